package treasurer

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/measurer"
	"github.com/masticway/masticway/retrier"
)

// These constants are policy: how long a request may wait for a loan from another router.
const (
	// lendTimeout bounds one loan request to another router. It is clearTimeout plus a few times the latency between
	// availability zones. clearTimeout bounds how long the lender waits until its spend limits cover the loan, usually
	// because of its next checkpoint.
	lendTimeout  = 60 * time.Millisecond
	clearTimeout = 45 * time.Millisecond
)

// These constants are timeouts, intervals and bounds of the treasurer's calls.
const (
	// tickInterval is how often Run checks waiting requests and plans calls if nothing wakes it up earlier. Close does both
	// every fifth of tickInterval.
	tickInterval = 50 * time.Millisecond
	// callTimeout bounds one call to the store that reads or writes accounts or checkpoints. A takeover's read and write
	// share it. It does not apply to the watch and to the reads that precede the watch.
	callTimeout = 2 * time.Second
	// callRetryInterval is the pause after a failed attempt before the next one, for calls that are repeated until they
	// succeed or a maximum number of attempts is reached: takeover, closing of grants, repayments and calls to witnesses.
	callRetryInterval = 100 * time.Millisecond
	// maxConcurrentClosings bounds how many grants of predecessors are closed at the same time.
	maxConcurrentClosings = 6
	// closingInterval times the number of grants in a workspace's row is the upper bound of a random wait. The wait precedes
	// each write that is tried again after a conflict, and also the first write if the row has contendedGrants or more. The
	// write closes one grant. The store needs 10 ms for two writes to one part.
	closingInterval = 10 * time.Millisecond
	// contendedGrants is the number of grants in a workspace's row from which on writes to it conflict often. A row that was
	// returned with a conflict is then probably outdated already.
	contendedGrants = 8
	// watchWait is how long one call of the accounts' watch may wait for changes. After each call the watch pauses for
	// watchInterval plus watchIntervalPerRouter times the number of routers.
	watchWait              = 5 * time.Second
	watchInterval          = 200 * time.Millisecond
	watchIntervalPerRouter = 6 * time.Millisecond
	// repayTimeout bounds one attempt to repay a loan or to cancel a loan request. maxRepayAttempts is the maximum number of
	// attempts.
	repayTimeout     = 500 * time.Millisecond
	maxRepayAttempts = 5
)

// Names of metrics.
const (
	metricStoreCalls    = "money_store_calls"
	metricStoreFailures = "money_store_failures"
	metricConflicts     = "money_conflicts"
	metricExhausted     = "money_exhausted"
	metricUnreachable   = "money_unreachable"
	metricRouters       = "routers"
	metricBorrowed      = "money_borrowed"
	metricLent          = "money_lent"
	metricNotRepaid     = "money_not_repaid"
	metricUnanswered    = "money_asks_unanswered"
	metricLendShort     = "money_lends_short"
	metricLendUncleared = "money_lends_unpromised"
	metricReports       = "money_statements"
	metricRecalled      = "money_recalled"
	histogramHold       = "money_wait"
)

// Treasurer keeps the prepaid budgets for one router. It carries out what its Planner decides, and answers requests for
// tokens.
type Treasurer struct {
	store   masticway.RowStore
	clock   masticway.Clock
	log     *logrus.Entry
	metrics *measurer.Set
	self    masticway.Incarnation
	// parts is Settings.Parts.
	parts int
	// address is where other routers reach this one. The process has listened there since listeningAt at the latest.
	address     string
	zone        string
	processors  float64
	listeningAt time.Time

	mu      sync.Mutex
	planner *Planner
	// waiting has the channels of the goroutines that wait for a verdict in Hold or for a clearance in Clear.
	waiting map[HoldID]chan Reply
	// members is the number of running routers at the last count, including this one. It is zero until the first count.
	members int
	// sealed is set once this incarnation must not spend any more (see seal).
	sealed bool
	// enteringEra is set while enterEra runs. eraContinued and eraBeganAt are those of the EraRecord of the era that was entered last.
	enteringEra  bool
	eraContinued bool
	eraBeganAt   time.Duration

	// countedAt is when the routers were last counted. countedBytes is the size of all routers' presences then. presence is
	// what is known of this router's own presence.
	countedAt    time.Time
	countedBytes int64
	presence     presenceRow
	// share decides among how many routers the fixed retries are divided.
	share retrier.Share

	// peers lists the other routers that have an address and were running at the last count, sorted by incarnation.
	peers []Peer

	// configuration is the version of the newest configuration.
	configuration       int64
	onPeerConfiguration func(version int64)

	peerClient PeerClient
	wake       chan struct{}
	tasks      sync.WaitGroup
	// closingSlots bounds how many grants are closed at the same time.
	closingSlots chan struct{}
	// runCtx is the context of Run while it runs, else nil. farewells has the farewells of others that this router has accepted and not
	// carried out.
	runCtx    context.Context
	farewells map[masticway.Incarnation]Farewell
}

// PeerClient calls other routers: to borrow tokens and repay them, and to use the routers as witnesses.
type PeerClient interface {
	// Borrow asks the router at the address for a loan and returns the loan, which may be empty. If the loan names no
	// lender, the lender is the incarnation that the caller expects at the address.
	Borrow(ctx context.Context, address string, request LoanRequest) (Loan, error)
	// Repay sends a repayment to a lender. It returns an error if the lender may not have received the repayment. The caller
	// may then send the repayment again.
	Repay(ctx context.Context, address string, r Repayment) error
	// SendReport sends a report to a witness and reports whether the witness accepted it.
	SendReport(ctx context.Context, address string, s SpendReport) (bool, error)
	// FinalReports asks a witness what an ended incarnation has reported to it. The witness then refuses further reports of
	// the ended incarnation.
	FinalReports(ctx context.Context, address string, witness, ended masticway.Incarnation) (WitnessRecord, error)
	// SendFarewell asks the router at the address to close the grants of an incarnation that shuts down, and reports whether it will.
	SendFarewell(ctx context.Context, address string, f Farewell) (bool, error)
}

// New returns a treasurer for a new incarnation on an instance. It ignores the incarnation in the settings. The process must
// already listen at the settings' address.
func New(store masticway.RowStore, peerClient PeerClient, clock masticway.Clock, log *logrus.Entry, metrics *measurer.Set, instance string, s Settings) *Treasurer {
	s.Incarnation = masticway.NewIncarnation(instance, uuid.NewString()[:8])
	return &Treasurer{
		store: store, peerClient: peerClient, clock: clock, log: log, metrics: metrics, self: s.Incarnation, parts: s.Parts, address: s.Address, zone: s.Zone, processors: s.Processors, listeningAt: clock.Now(),
		planner: NewPlanner(s), share: retrier.Share{Window: s.RetryWindow},
		onPeerConfiguration: func(int64) {},
		waiting:             map[HoldID]chan Reply{}, wake: make(chan struct{}, 1),
		closingSlots: make(chan struct{}, maxConcurrentClosings), farewells: map[masticway.Incarnation]Farewell{},
	}
}

// Self returns the router's incarnation.
func (t *Treasurer) Self() masticway.Incarnation { return t.self }

// PeerAddresses returns the addresses of the other routers that were running at the last count, sorted.
func (t *Treasurer) PeerAddresses() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []string
	for _, p := range t.peers {
		all = append(all, p.Address)
	}
	slices.Sort(all)
	return all
}

// Members returns the number of routers that were running at the last count, including this one. It returns zero until the
// first count.
func (t *Treasurer) Members() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.members
}

// Peers returns the other routers in all availability zones that have an address and were running at the last count.
func (t *Treasurer) Peers() []Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.peers)
}

// ZonePeers returns the other routers in this router's availability zone that have an address and were running at the last
// count.
func (t *Treasurer) ZonePeers() []Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(t.peers), func(o Peer) bool { return o.Zone != t.zone })
}

// ZoneReaders returns the addresses of the routers that read a key from its source on behalf of this router's availability
// zone. They are the routers of the zone with the greatest rendezvous weights for the key, at most limit of them, greatest
// first. If this router is one of them, ZoneReaders returns no addresses and true. While no other router of the zone is
// known, it returns no addresses and false.
func (t *Treasurer) ZoneReaders(key string, limit int) (addresses []string, isReader bool) {
	zone := t.ZonePeers()
	if len(zone) == 0 {
		return nil, false
	}
	for _, p := range t.rankPeers(key, zone, limit) {
		if p.Incarnation == t.self {
			return nil, true
		}
		addresses = append(addresses, p.Address)
	}
	return addresses, false
}

// RankedAddresses returns the addresses of the routers with the greatest rendezvous weights for a key, at most limit of
// them, greatest first. This router's own address may be among them. It returns none until the first count of routers.
func (t *Treasurer) RankedAddresses(key string, limit int) (addresses []string) {
	t.mu.Lock()
	counted, peers := t.members > 0, slices.Clone(t.peers)
	t.mu.Unlock()
	if !counted {
		return nil
	}
	for _, p := range t.rankPeers(key, peers, limit) {
		addresses = append(addresses, p.Address)
	}
	return addresses
}

// minOwnerShare is the least share of the processors of the fleet's largest router that a router needs to be ranked by
// RankedLargeAddresses.
const minOwnerShare = 0.5

// RankedLargeAddresses is like RankedAddresses, but leaves out small routers: those with less than minOwnerShare of the
// processors of the largest one. By the weights alone, one key in some tens gets a small router, which cannot serve requests
// of all other routers beside its own callers.
func (t *Treasurer) RankedLargeAddresses(key string, limit int) (addresses []string) {
	t.mu.Lock()
	counted, peers := t.members > 0, slices.Clone(t.peers)
	t.mu.Unlock()
	if !counted {
		return nil
	}
	all := t.rankPeers(key, peers, len(peers)+1)
	most := 0.0
	for _, p := range all {
		most = max(most, p.Processors)
	}
	for _, p := range all {
		if p.Processors >= minOwnerShare*most && len(addresses) < limit {
			addresses = append(addresses, p.Address)
		}
	}
	return addresses
}

// rankPeers ranks the given peers and this router by their rendezvous weights for a key, and returns the first limit of
// them, greatest first. A router's weight grows with its number of processors.
func (t *Treasurer) rankPeers(key string, peers []Peer, limit int) []Peer {
	self := Peer{Witness: Witness{Incarnation: t.self, Address: t.address}, Zone: t.zone, Processors: t.processors}
	weights := map[masticway.Incarnation]float64{}
	all := append(peers, self)
	for _, p := range all {
		weights[p.Incarnation] = p.weight(key)
	}
	slices.SortFunc(all, func(x, y Peer) int { return cmp.Compare(weights[y.Incarnation], weights[x.Incarnation]) })
	return all[:min(limit, len(all))]
}

// OwnsKey reports whether this router has the greatest rendezvous weight for a key among all known routers. Unlike in
// RankedAddresses, the routers' processors don't count. It returns false until the first count of routers.
func (t *Treasurer) OwnsKey(key string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.members == 0 {
		return false
	}
	own := weight(key, t.self.Instance())
	return !slices.ContainsFunc(t.peers, func(o Peer) bool { return weight(key, o.Incarnation.Instance()) > own })
}

// Configure sets what workspaces have prepaid. It ignores amounts that are older than those it knows.
func (t *Treasurer) Configure(d masticway.Deployment) {
	t.mu.Lock()
	t.planner.Configure(d.Version, d.Accounts)
	t.configuration = max(t.configuration, d.Version)
	t.mu.Unlock()
	t.wakeUp()
}

// Hold reserves tokens for a request. It waits until there is a verdict or the context is done. The verdict is usually there
// after maxWait at the latest. If the verdict is VerdictHeld, the caller must end the hold with Settle.
func (t *Treasurer) Hold(ctx context.Context, workspace string, need int64, maxWait time.Duration) Reply {
	now := t.clock.Now()
	answer := make(chan Reply, 1)
	t.mu.Lock()
	id, replies := t.planner.Hold(now, workspace, need, now.Add(maxWait))
	t.waiting[id] = answer
	t.deliver(replies)
	t.mu.Unlock()
	select {
	case r := <-answer:
		return r
	default:
	}
	t.wakeUp()
	select {
	case r := <-answer:
		t.metrics.Observe(histogramHold, workspace, r.Waited)
		return r
	case <-ctx.Done():
		t.Settle(id, 0)
		return Reply{ID: id, Verdict: VerdictUnreachable, Waited: t.clock.Now().Sub(now)}
	}
}

// Clear waits until the response covered by a hold may be sent to the caller, and returns true. It returns false if the
// context is done first. If there is no such hold, it waits until the context is done.
func (t *Treasurer) Clear(ctx context.Context, id HoldID) bool {
	answer := make(chan Reply, 1)
	t.mu.Lock()
	t.waiting[id] = answer
	t.deliver(t.planner.Clear(t.clock.Now(), id))
	t.mu.Unlock()
	t.wakeUp()
	select {
	case <-answer:
		return true
	case <-ctx.Done():
		t.mu.Lock()
		delete(t.waiting, id)
		t.mu.Unlock()
		return false
	}
}

// Settle ends a hold. used is how many tokens of it were used; the others are free again.
func (t *Treasurer) Settle(id HoldID, used int64) {
	t.mu.Lock()
	delete(t.waiting, id)
	t.deliver(t.planner.Settle(t.clock.Now(), id, used))
	t.mu.Unlock()
}

// deliver passes replies to the goroutines that wait for them, and counts the refusals among the replies. t.mu must be held.
func (t *Treasurer) deliver(replies []Reply) {
	for _, r := range replies {
		if c, ok := t.waiting[r.ID]; ok {
			delete(t.waiting, r.ID)
			c <- r
		}
		switch r.Verdict {
		case VerdictExhausted:
			t.metrics.Add(metricExhausted, 1)
		case VerdictUnreachable:
			t.metrics.Add(metricUnreachable, 1)
		}
	}
}

// NotifyStoreRecovered makes the treasurer write the checkpoint at once if an earlier write failed. It is to be called when
// the store answers again after an outage.
func (t *Treasurer) NotifyStoreRecovered() {
	t.mu.Lock()
	t.planner.RetryCheckpoint()
	t.mu.Unlock()
	t.wakeUp()
}

// wakeUp makes the loop in Run check at once which calls are due.
func (t *Treasurer) wakeUp() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// Run takes over the instance's checkpoint, and then makes the calls to the store and to other routers that requests need.
// It stops making calls for requests if the incarnation is sealed. It returns after the context is done and the calls that
// it has started have ended.
func (t *Treasurer) Run(ctx context.Context) {
	if !t.takeOver(ctx) {
		return
	}
	t.mu.Lock()
	t.runCtx = ctx
	t.mu.Unlock()
	// Try to learn the other routers before the first grant. A router that knows no others keeps a reserve of every workspace
	// (see keepsReserve), so a hundred routers that start at the same time would all draw grants of each.
	t.tryCount(ctx)
	t.tasks.Go(func() { t.closePredecessors(ctx) })
	t.tasks.Go(func() { t.watchAccounts(ctx) })
	t.tasks.Go(func() { t.maintainPresence(ctx) })
	for ctx.Err() == nil && !t.isSealed() {
		t.runOnce(ctx)
		select {
		case <-ctx.Done():
		case <-t.wake:
		case <-t.clock.After(tickInterval):
		}
	}
	t.mu.Lock()
	t.runCtx = nil
	t.mu.Unlock()
	t.tasks.Wait()
}

// sleep waits for the given time, or until the context is done.
func (t *Treasurer) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-t.clock.After(d):
	}
}

func (t *Treasurer) isSealed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sealed
}

// runOnce answers the waiting requests that can be answered now, and starts the calls that are due.
func (t *Treasurer) runOnce(ctx context.Context) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.deliver(t.planner.ServeQueues(now))
	if t.planner.MustEnterEra() && !t.enteringEra {
		t.enteringEra = true
		t.tasks.Go(func() { t.enterEra(ctx) })
	}
	if strays := t.planner.DueStrays(now); len(strays) > 0 {
		t.tasks.Go(func() { t.closeStrays(ctx, strays) })
	}
	for _, s := range t.planner.Plan(now) {
		t.tasks.Go(func() { _ = t.runStoreCall(ctx, s) })
	}
	for _, s := range t.planner.DueReports(now) {
		t.tasks.Go(func() { t.sendReport(ctx, s) })
	}
	for _, r := range t.planner.DueBorrowRounds(now) {
		t.tasks.Go(func() { t.borrow(ctx, r) })
	}
	for _, r := range t.planner.DueRepayments(now) {
		t.tasks.Go(func() { t.repay(ctx, r) })
	}
}

// runStoreCall makes one call to the store and passes the outcome to the planner. It does not stop when the context is done,
// only after callTimeout.
func (t *Treasurer) runStoreCall(ctx context.Context, s StoreCall) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	t.metrics.Add(metricStoreCalls, 1)
	var reading masticway.RowReading
	var err error
	if s.Write == nil {
		reading, err = t.store.Read(ctx, tableAccounts, s.Part)
	} else {
		reading, err = t.store.Write(ctx, *s.Write)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.noteFailure(s, err)
	}
	replies, fault := t.planner.CompleteStoreCall(t.clock.Now(), s, reading, err)
	t.deliver(replies)
	if fault != nil {
		t.seal(fault)
	}
	t.wakeUp()
	return err
}

// noteFailure counts a failed call. It also logs the error unless the error is a conflict.
func (t *Treasurer) noteFailure(s StoreCall, err error) {
	if _, ok := errors.AsType[*masticway.RowConflictError](err); ok {
		t.metrics.Add(metricConflicts, 1)
		return
	}
	t.metrics.Add(metricStoreFailures, 1)
	t.log.WithFields(logrus.Fields{"event": "money_step_failed", "part": s.Part, "workspace": s.Workspace, "error": err}).Debug("store call failed")
}

// seal makes this incarnation spend no more, because another incarnation has taken over its instance or because a row cannot be
// decoded. It replaces the planner by one without accounts, so that nothing more is granted, lent or cleared. Calls of Hold and
// Clear that are waiting get no reply from the new planner and fail when their context is done. Later calls of Hold fail, at once
// or when their context is done. t.mu must be held.
func (t *Treasurer) seal(err error) {
	if t.sealed {
		return
	}
	t.sealed = true
	t.log.WithFields(logrus.Fields{"event": "money_fault", "incarnation": t.self, "error": err}).Error("no more tokens are spent")
	t.planner = NewPlanner(Settings{Incarnation: t.self, Parts: t.parts})
}

// Close gives the free tokens of the grants back to the workspaces and starts to send unused loans back, and then writes the
// final checkpoint. If that takes longer than farewellDelay, it also asks other routers to close the grants, and returns once enough of
// them will. It gives up if the context is done or the router is sealed. If a hold is settled after Close, its unused tokens are not
// given back; they count as spent.
func (t *Treasurer) Close(ctx context.Context) {
	t.mu.Lock()
	t.planner.Close()
	hasStarted := t.planner.started
	t.mu.Unlock()
	if !hasStarted {
		// There are no grants.
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	var farewell sync.WaitGroup
	defer farewell.Wait()
	defer cancel()
	farewell.Go(func() {
		t.sleep(ctx, farewellDelay)
		if t.sayFarewell(ctx) {
			cancel()
		}
	})
	for ctx.Err() == nil && !t.isSealed() {
		t.mu.Lock()
		final, ok := t.planner.FinalCheckpoint(t.clock.Now())
		t.mu.Unlock()
		if ok && t.runFinalCall(ctx, final) {
			t.log.WithFields(logrus.Fields{"event": "money_closed", "incarnation": t.self}).Info("unused tokens returned")
			return
		}
		t.runOnce(ctx)
		t.sleep(ctx, tickInterval/5)
	}
}

// runFinalCall makes the call that writes the final checkpoint and reports whether it succeeded. It returns early if the context is
// done.
func (t *Treasurer) runFinalCall(ctx context.Context, s StoreCall) bool {
	done := make(chan error, 1)
	t.tasks.Go(func() { done <- t.runStoreCall(ctx, s) })
	select {
	case err := <-done:
		return err == nil
	case <-ctx.Done():
		return false
	}
}
