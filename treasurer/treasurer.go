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
	// tick is how often waits and plans are looked at when nothing happens.
	tick = 50 * time.Millisecond
	// callTimeout bounds one call to the store.
	callTimeout = 2 * time.Second
	// beginPause separates attempts to take over the book.
	beginPause = 100 * time.Millisecond
	// closingsAtOnce bounds the grants of a predecessor that are closed at the same time.
	closingsAtOnce = 6
	// closingPause is a grant's part of the time over which closings of one row's grants are spread, the store's time for
	// two writes of one part.
	closingPause = 10 * time.Millisecond
	// fewGrants is the number of grants in a row below which one that was given back with a conflict is probably the
	// newest yet.
	fewGrants = 8
	// followWait is how long one call of the accounts' feed may wait, followPause what separates two calls, and
	// followPauseEach what is added for each router.
	followWait      = 5 * time.Second
	followPause     = 200 * time.Millisecond
	followPauseEach = 6 * time.Millisecond
	// repayTimeout and repayTries bound the giving back of a loan.
	repayTimeout = 500 * time.Millisecond
	repayTries   = 5
)

// Names of metrics.
const (
	metricSteps       = "money_store_calls"
	metricFailures    = "money_store_failures"
	metricConflicts   = "money_conflicts"
	metricExhausted   = "money_exhausted"
	metricUnreachable = "money_unreachable"
	metricMembers     = "routers"
	metricBorrowed    = "money_borrowed"
	metricLent        = "money_lent"
	metricNotRepaid   = "money_not_repaid"
	metricUnanswered  = "money_asks_unanswered"
	metricLendShort   = "money_lends_short"
	metricLendLate    = "money_lends_unpromised"
	metricStated      = "money_statements"
	metricRecalled    = "money_recalled"
	histogramHold     = "money_wait"
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
	purse   *Purse
	waiting map[HoldID]chan Reply
	members int
	sealed  bool

	// countedAt is when the routers were last counted, countedBytes what their presences took, presence the own one.
	countedAt    time.Time
	countedBytes int64
	presence     presenceRow

	// peers are the other routers that can be reached, in the order of their incarnations.
	peers []Peer

	lender Lender
	wake   chan struct{}
	steps  sync.WaitGroup
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
		store: store, lender: lender, clock: clock, log: log, metrics: metrics, self: s.Incarnation, parts: s.Parts, address: s.Address, zone: s.Zone, processors: s.Processors, listeningAt: clock.Now(),
		purse:   NewPurse(s),
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
	for _, p := range t.rank(of, zone, most) {
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
	for _, p := range t.rank(of, peers, most) {
		addresses = append(addresses, p.Address)
	}
	return addresses
}

// rank returns the first of some peers and this router.
func (t *Treasurer) rank(of string, peers []Peer, most int) []Peer {
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
	t.purse.Configure(d.Version, d.Accounts)
	t.mu.Unlock()
	t.stir()
}

// Hold takes money for a request; it waits at most so long, or until the context ends.
func (t *Treasurer) Hold(ctx context.Context, workspace string, need int64, wait time.Duration) Reply {
	now := t.clock.Now()
	answer := make(chan Reply, 1)
	t.mu.Lock()
	id, replies := t.purse.Hold(now, workspace, need, now.Add(wait))
	t.waiting[id] = answer
	t.answer(replies)
	t.mu.Unlock()
	select {
	case r := <-answer:
		return r
	default:
	}
	t.stir()
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
	t.answer(t.purse.Clear(t.clock.Now(), id))
	t.mu.Unlock()
	t.stir()
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
	t.answer(t.purse.Settle(t.clock.Now(), id, used))
	t.mu.Unlock()
}

// answer hands replies out; the caller holds the lock.
func (t *Treasurer) answer(replies []Reply) {
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

// StoreIsBack tells that the store answers again.
func (t *Treasurer) StoreIsBack() {
	t.mu.Lock()
	t.purse.StoreIsBack()
	t.mu.Unlock()
	t.stir()
}

// stir makes the loop plan at once.
func (t *Treasurer) stir() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// Run takes the book over and keeps the purse going until the context ends.
func (t *Treasurer) Run(ctx context.Context) {
	if !t.begin(ctx) {
		return
	}
	// Before the first draw, so that a hundred routers that start at once don't all draw for every workspace.
	t.recount(ctx)
	t.steps.Go(func() { t.closePredecessors(ctx) })
	t.steps.Go(func() { t.follow(ctx) })
	t.steps.Go(func() { t.count(ctx) })
	for ctx.Err() == nil && !t.isSealed() {
		t.turn(ctx)
		select {
		case <-ctx.Done():
		case <-t.wake:
		case <-t.clock.After(tick):
		}
	}
	t.steps.Wait()
}

// pause waits, at most until the context ends.
func (t *Treasurer) pause(ctx context.Context, d time.Duration) {
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

// turn ends waits and starts the steps that are due.
func (t *Treasurer) turn(ctx context.Context) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.answer(t.purse.Tick(now))
	for _, s := range t.purse.Plan(now) {
		t.steps.Go(func() { _ = t.step(ctx, s) })
	}
	for _, s := range t.purse.Statements(now) {
		t.steps.Go(func() { t.testify(ctx, s) })
	}
	for _, r := range t.purse.Borrowing(now) {
		t.steps.Go(func() { t.borrow(ctx, r) })
	}
	for _, r := range t.purse.Repayments(now) {
		t.steps.Go(func() { t.repay(ctx, r) })
	}
}

// step carries one step out.
func (t *Treasurer) step(ctx context.Context, s Step) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	t.metrics.Add(metricSteps, 1)
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
	replies, fault := t.purse.Done(t.clock.Now(), s, reading, err)
	t.answer(replies)
	if fault != nil {
		t.fault(fault)
	}
	t.stir()
	return err
}

func (t *Treasurer) noteFailure(s Step, err error) {
	if _, ok := errors.AsType[*masticway.RowConflictError](err); ok {
		t.metrics.Add(metricConflicts, 1)
		return
	}
	t.metrics.Add(metricFailures, 1)
	t.log.WithFields(logrus.Fields{"event": "money_step_failed", "part": s.Part, "workspace": s.Workspace, "error": err}).Debug("step failed")
}

// fault ends the handing out of money; a sealed incarnation may not spend any more.
func (t *Treasurer) fault(err error) {
	if t.sealed {
		return
	}
	t.sealed = true
	t.log.WithFields(logrus.Fields{"event": "money_fault", "incarnation": t.self, "error": err}).Error("money is not handed out any more")
	t.purse = NewPurse(Settings{Incarnation: t.self, Parts: t.parts})
}

// Close gives the money back and writes the last word into the book; nothing can be held any more.
func (t *Treasurer) Close(ctx context.Context) {
	t.mu.Lock()
	t.purse.Close()
	t.mu.Unlock()
	for ctx.Err() == nil && !t.isSealed() {
		t.mu.Lock()
		last, ok := t.purse.Final(t.clock.Now())
		t.mu.Unlock()
		if ok && t.step(ctx, last) == nil {
			t.log.WithFields(logrus.Fields{"event": "money_closed", "incarnation": t.self}).Info("money given back")
			return
		}
		t.turn(ctx)
		t.pause(ctx, tick/5)
	}
}
