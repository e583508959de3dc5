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
)

// The policy of a treasurer: how long a request may wait for what other routers lend.
const (
	// lendTimeout bounds one question to another router, a few times the way between availability zones and the wait for
	// its book, which clearTimeout bounds: what it lends should arrive in time.
	lendTimeout  = 60 * time.Millisecond
	clearTimeout = 45 * time.Millisecond
)

// The mechanics of a treasurer: timeouts, pauses and bounds of its calls.
const (
	// tickInterval is how often waits and plans are looked at when nothing happens.
	tickInterval = 50 * time.Millisecond
	// callTimeout bounds one call to the store.
	callTimeout = 2 * time.Second
	// callRetryInterval separates attempts to take over the book.
	callRetryInterval = 100 * time.Millisecond
	// maxConcurrentClosings bounds the grants of a predecessor that are closed at the same time.
	maxConcurrentClosings = 6
	// closingInterval is a grant's part of the time over which closings of one row's grants are spread, the store's time for
	// two writes of one part.
	closingInterval = 10 * time.Millisecond
	// contendedGrants is the number of grants in a row below which one that was given back with a conflict is probably the
	// newest yet.
	contendedGrants = 8
	// watchWait is how long one call of the accounts' feed may wait, watchInterval what separates two calls, and
	// watchIntervalPerRouter what is added for each router.
	watchWait              = 5 * time.Second
	watchInterval          = 200 * time.Millisecond
	watchIntervalPerRouter = 6 * time.Millisecond
	// repayTimeout and maxRepayAttempts bound the giving back of a loan.
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

// Treasurer carries a purse's steps out and answers requests for money.
type Treasurer struct {
	store   masticway.RowStore
	clock   masticway.Clock
	log     *logrus.Entry
	metrics *measurer.Set
	self    masticway.Incarnation
	parts   int
	// address is where other routers reach this one; it has been listened at since listeningAt.
	address     string
	zone        string
	processors  float64
	listeningAt time.Time

	mu      sync.Mutex
	planner *Planner
	waiting map[HoldID]chan Reply
	members int
	sealed  bool

	// countedAt is when the routers were last counted, countedBytes what their presences took, presence the own one.
	countedAt    time.Time
	countedBytes int64
	presence     presenceRow

	// peers are the other routers that can be reached, in the order of their incarnations.
	peers []Peer

	peerClient Lender
	wake       chan struct{}
	tasks      sync.WaitGroup
}

// Lender asks another router for money and gives it back, and has it remember what is taken while the store is silent.
type Lender interface {
	// Borrow returns what the router at an address lends, which may be nothing, and which incarnation that is.
	Borrow(ctx context.Context, address string, ask LoanAsk) (Loan, error)
	// Repay fails when the lender may not have heard of it; a repayment may be sent again.
	Repay(ctx context.Context, address string, r Repayment) error
	// Testify gives a statement to a witness and tells whether it took it.
	Testify(ctx context.Context, address string, s Statement) (bool, error)
	// Recall asks a witness what an ended incarnation has stated.
	Recall(ctx context.Context, address string, witness, ended masticway.Incarnation) (Recollection, error)
}

// New returns a treasurer for a new incarnation on an instance; the process already listens at the settings' address,
// where others reach it.
func New(store masticway.RowStore, lender Lender, clock masticway.Clock, log *logrus.Entry, metrics *measurer.Set, instance string, s Settings) *Treasurer {
	s.Incarnation = masticway.NewIncarnation(instance, uuid.NewString()[:8])
	return &Treasurer{
		store: store, peerClient: lender, clock: clock, log: log, metrics: metrics, self: s.Incarnation, parts: s.Parts, address: s.Address, zone: s.Zone, processors: s.Processors, listeningAt: clock.Now(),
		planner: NewPlanner(s),
		waiting: map[HoldID]chan Reply{}, wake: make(chan struct{}, 1),
	}
}

// Self names this incarnation.
func (t *Treasurer) Self() masticway.Incarnation { return t.self }

// Peers names the addresses of the other routers.
func (t *Treasurer) Peers() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []string
	for _, p := range t.peers {
		all = append(all, p.Address)
	}
	slices.Sort(all)
	return all
}

// Members returns how many routers there seem to be, this one included; zero when they have not been counted.
func (t *Treasurer) Members() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.members
}

// Neighbours lists the other routers in this one's availability zone that can be reached.
func (t *Treasurer) Neighbours() []Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(t.peers), func(o Peer) bool { return o.Zone != t.zone })
}

// Readers names the addresses of the routers of this one's availability zone that read something for it, best first, by rendezvous
// hash and processors, and tells whether this one is among them. There are none before the routers are counted.
func (t *Treasurer) Readers(of string, most int) (addresses []string, own bool) {
	zone := t.Neighbours()
	if len(zone) == 0 {
		return nil, false
	}
	for _, p := range t.rankPeers(of, zone, most) {
		if p.Incarnation == t.self {
			return nil, true
		}
		addresses = append(addresses, p.Address)
	}
	return addresses, false
}

// Ranked names the addresses of the routers that something falls to, this one's among them, first by rendezvous hash and processors
// to last. There are none before the routers are counted.
func (t *Treasurer) Ranked(of string, most int) (addresses []string) {
	t.mu.Lock()
	counted, peers := t.members > 0, slices.Clone(t.peers)
	t.mu.Unlock()
	if !counted {
		return nil
	}
	for _, p := range t.rankPeers(of, peers, most) {
		addresses = append(addresses, p.Address)
	}
	return addresses
}

// rankPeers returns the first of some peers and this router.
func (t *Treasurer) rankPeers(of string, peers []Peer, most int) []Peer {
	self := Peer{Witness: Witness{Incarnation: t.self, Address: t.address}, Zone: t.zone, Processors: t.processors}
	weights := map[masticway.Incarnation]float64{}
	all := append(peers, self)
	for _, p := range all {
		weights[p.Incarnation] = p.weight(of)
	}
	slices.SortFunc(all, func(x, y Peer) int { return cmp.Compare(weights[y.Incarnation], weights[x.Incarnation]) })
	return all[:min(most, len(all))]
}

// Owns tells whether this router is the one of all to which a key falls, by rendezvous hash; nobody is before the routers
// were counted.
func (t *Treasurer) Owns(key string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.members == 0 {
		return false
	}
	own := weight(key, t.self.Instance())
	return !slices.ContainsFunc(t.peers, func(o Peer) bool { return weight(key, o.Incarnation.Instance()) > own })
}

// Configure tells what each workspace has paid for.
func (t *Treasurer) Configure(d masticway.Deployment) {
	t.mu.Lock()
	t.planner.Configure(d.Version, d.Accounts)
	t.mu.Unlock()
	t.wakeUp()
}

// Hold takes money for a request; it waits at most so long, or until the context ends.
func (t *Treasurer) Hold(ctx context.Context, workspace string, need int64, wait time.Duration) Reply {
	now := t.clock.Now()
	answer := make(chan Reply, 1)
	t.mu.Lock()
	id, replies := t.planner.Hold(now, workspace, need, now.Add(wait))
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

// Clear waits until a hold's answer may go to the caller; it returns false when the context ended first.
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

// Settle ends a hold with what was used of it.
func (t *Treasurer) Settle(id HoldID, used int64) {
	t.mu.Lock()
	delete(t.waiting, id)
	t.deliver(t.planner.Settle(t.clock.Now(), id, used))
	t.mu.Unlock()
}

// deliver hands replies out; the caller holds the lock.
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

// RetryCheckpoint tells that the store answers again.
func (t *Treasurer) StoreIsBack() {
	t.mu.Lock()
	t.planner.RetryCheckpoint()
	t.mu.Unlock()
	t.wakeUp()
}

// wakeUp makes the loop plan at once.
func (t *Treasurer) wakeUp() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// Run takes the book over and keeps the purse going until the context ends.
func (t *Treasurer) Run(ctx context.Context) {
	if !t.takeOver(ctx) {
		return
	}
	// Before the first draw, so that a hundred routers that start at once don't all draw for every workspace.
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
	t.tasks.Wait()
}

// sleep waits, at most until the context ends.
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

// runOnce ends waits and starts the steps that are due.
func (t *Treasurer) runOnce(ctx context.Context) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.deliver(t.planner.Tick(now))
	for _, s := range t.planner.Plan(now) {
		t.tasks.Go(func() { _ = t.runStep(ctx, s) })
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

// runStep carries one step out.
func (t *Treasurer) runStep(ctx context.Context, s Step) error {
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
	replies, fault := t.planner.CompleteStep(t.clock.Now(), s, reading, err)
	t.deliver(replies)
	if fault != nil {
		t.seal(fault)
	}
	t.wakeUp()
	return err
}

func (t *Treasurer) noteFailure(s Step, err error) {
	if _, ok := errors.AsType[*masticway.RowConflictError](err); ok {
		t.metrics.Add(metricConflicts, 1)
		return
	}
	t.metrics.Add(metricStoreFailures, 1)
	t.log.WithFields(logrus.Fields{"event": "money_step_failed", "part": s.Part, "workspace": s.Workspace, "error": err}).Debug("step failed")
}

// seal ends the handing out of money; a sealed incarnation may not spend any more.
func (t *Treasurer) seal(err error) {
	if t.sealed {
		return
	}
	t.sealed = true
	t.log.WithFields(logrus.Fields{"event": "money_fault", "incarnation": t.self, "error": err}).Error("money is not handed out any more")
	t.planner = NewPlanner(Settings{Incarnation: t.self, Parts: t.parts})
}

// Close gives the money back and writes the last word into the book; nothing can be held any more.
func (t *Treasurer) Close(ctx context.Context) {
	t.mu.Lock()
	t.planner.Close()
	t.mu.Unlock()
	for ctx.Err() == nil && !t.isSealed() {
		t.mu.Lock()
		last, ok := t.planner.FinalCheckpoint(t.clock.Now())
		t.mu.Unlock()
		if ok && t.runStep(ctx, last) == nil {
			t.log.WithFields(logrus.Fields{"event": "money_closed", "incarnation": t.self}).Info("money given back")
			return
		}
		t.runOnce(ctx)
		t.sleep(ctx, tickInterval/5)
	}
}
