package router

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/bookkeeper"
	"github.com/masticway/masticway/keeper"
	"github.com/masticway/masticway/limiter"
	"github.com/masticway/masticway/linker"
	"github.com/masticway/masticway/measurer"
)

const (
	// moveRetryInterval is the interval between two attempts at a move of money, or at adding sidecars to the links row.
	moveRetryInterval = 200 * time.Millisecond
	// moveTimeout limits the time of one attempt at a move of money, and of one read or write of the links row after its
	// creation.
	moveTimeout = 3 * time.Second
	// tickInterval is the interval at which timeouts are checked. It is also the interval at which a drain or a start checks its
	// progress, and the minimum interval between two checks for a challenge.
	tickInterval = 20 * time.Millisecond
	// memoryCompleteAfter is how long a keeper must have run until it counts as knowing the identities of all earlier requests,
	// so that it detects every duplicate.
	memoryCompleteAfter = 2 * time.Minute
)

// budgetManager runs this router's keeper. It answers hold requests, and executes the moves that the keeper decides on: transfers
// of money between a budget and this router's grant in the table. It also maintains this incarnation's links row, the list of
// sidecars at which the incarnation's money may be used.
type budgetManager struct {
	self    masticway.Incarnation
	clock   masticway.Clock
	log     *logrus.Entry
	book    *bookkeeper.Ledger
	metrics *measurer.Set
	// onSealed is called when the table shows that this incarnation is sealed.
	onSealed func()
	// isKeeper reports whether this router is currently the keeper of a budget.
	isKeeper func(budget string) bool
	// linksOpened is closed once openLinks has written the links row.
	linksOpened chan struct{}
	openOnce    sync.Once
	// requestReturn asks other routers to return money of a budget. It is called if the budget is short of money and the payers
	// have open grants of it.
	requestReturn func(budget string, payers []masticway.Incarnation)

	mu     sync.Mutex
	keeper *keeper.Keeper
	limits *limiter.ContractLimiter
	// waiting holds the functions that answer the hold requests that wait for money.
	waiting map[masticway.HoldID]func(keeper.Reply)
	// holdWorkspaces maps each hold that counts against its contract's limits to its workspace.
	holdWorkspaces map[masticway.HoldID]string
	// sealed is set if this incarnation is sealed, so that it can draw no more money.
	sealed bool
	// faultLogged is set once the keeper's chart error has been logged, so that it is not logged again.
	faultLogged bool

	linksMu      sync.Mutex
	links        bookkeeper.Links
	linksVersion int64
	// goneAt maps each ended sidecar that is still in the links row to the time at which this router noticed its end.
	goneAt map[masticway.Incarnation]time.Time

	ctx context.Context
	wg  *sync.WaitGroup
}

func newBudgetManager(ctx context.Context, wg *sync.WaitGroup, self masticway.Incarnation, s Money, clock masticway.Clock, log *logrus.Entry, book *bookkeeper.Ledger, metrics *measurer.Set) *budgetManager {
	return &budgetManager{
		self: self, clock: clock, log: log, book: book, metrics: metrics,
		keeper: keeper.New(keeper.Settings{
			Incarnation: self, Policy: s.Policy, Slices: s.Slices, IdleTimeout: s.IdleAfter.Std(),
		}, clock.Now()),
		limits:         limiter.NewContractLimiter(),
		waiting:        map[masticway.HoldID]func(keeper.Reply){},
		holdWorkspaces: map[masticway.HoldID]string{},
		links:          bookkeeper.Links{Incarnation: self, State: bookkeeper.LinksOpen},
		goneAt:         map[masticway.Incarnation]time.Time{},
		linksOpened:    make(chan struct{}),
		ctx:            ctx, wg: wg,
	}
}

// openLinks creates this incarnation's links row. Until this has succeeded, no money can be drawn and no sidecar can be
// registered.
func (b *budgetManager) openLinks(ctx context.Context) error {
	version, err := b.book.OpenLinks(ctx, b.self)
	if err != nil {
		return err
	}
	b.linksMu.Lock()
	defer b.linksMu.Unlock()
	b.linksVersion = version
	b.openOnce.Do(func() { close(b.linksOpened) })
	return nil
}

// hold checks the limits of contract c, and then asks this router's keeper for money. It calls reply once with the answer,
// possibly before hold returns. b.mu is locked during this call. reply is not called if the hold is settled first, and may not be
// called if the router stops.
func (b *budgetManager) hold(r keeper.HoldRequest, c masticway.Contract, reply func(linker.HoldReply)) {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.sealed {
		reply(linker.HoldReply{Result: keeper.ResultNotKeeper})
		return
	}
	limit, retry := b.limits.Admit(now, c)
	if limit != limiter.LimitNone {
		reply(linker.HoldReply{Limit: string(limit), RetryAfter: retry})
		return
	}
	sure := now.Sub(b.keeper.Started()) > memoryCompleteAfter
	b.holdWorkspaces[r.ID] = c.Workspace
	b.waiting[r.ID] = func(a keeper.Reply) {
		if a.Result != keeper.ResultHeld {
			b.releaseLimit(r.ID)
		}
		reply(linker.HoldReply{Result: a.Result, Grant: a.Grant, Amount: a.Amount, Waited: a.Waited, FirstInProgress: a.InProgress, DetectsDuplicates: sure})
	}
	b.apply(b.keeper.Hold(now, r))
}

// refuseAll refuses the waiting hold requests and makes hold refuse all later ones. It must be called once this incarnation is
// sealed.
func (b *budgetManager) refuseAll() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sealed = true
	for id, reply := range b.waiting {
		delete(b.waiting, id)
		reply(keeper.Reply{ID: id, Result: keeper.ResultNotKeeper})
		b.apply(b.keeper.Settle(b.clock.Now(), id, nil))
	}
}

// resize reduces a hold of this router's money to an amount.
func (b *budgetManager) resize(id masticway.HoldID, amount masticway.Amount) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.apply(b.keeper.Resize(b.clock.Now(), id, amount))
}

// settle ends a hold and charges its cost to the grant.
func (b *budgetManager) settle(s linker.Settle) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.releaseLimit(s.Hold)
	delete(b.waiting, s.Hold)
	b.apply(b.keeper.Settle(b.clock.Now(), s.Hold, s.Charges))
}

// releaseLimit stops counting a hold against its contract's limits. The caller must hold b.mu.
func (b *budgetManager) releaseLimit(id masticway.HoldID) {
	if workspace, ok := b.holdWorkspaces[id]; ok {
		delete(b.holdWorkspaces, id)
		b.limits.Done(workspace)
	}
}

// returnFree asks the keeper to return money of a budget that no hold uses. It is called if another router needs money of the
// budget. The keeper may return a part of it or nothing.
func (b *budgetManager) returnFree(budget string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.apply(b.keeper.ReturnFree(b.clock.Now(), budget, !b.isKeeper(budget)))
}

// apply executes the keeper's effects: it calls the waiting replies, and starts moves and messages to peers in the background.
// The caller must hold b.mu.
func (b *budgetManager) apply(effects []keeper.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case keeper.Reply:
			if reply, ok := b.waiting[e.ID]; ok {
				delete(b.waiting, e.ID)
				reply(e)
			}
		case keeper.Move:
			b.wg.Go(func() { b.move(e) })
		case keeper.AskPeers:
			b.wg.Go(func() { b.requestReturn(e.Budget, e.Payers) })
		}
	}
}

// move executes a move in the table. It retries the move until the outcome is known, this incarnation is sealed or the router
// stops. It reports the move as failed to the keeper only if the table was unavailable and no earlier attempt can have succeeded.
func (b *budgetManager) move(m keeper.Move) {
	unknown := false
	for b.ctx.Err() == nil {
		result, err := b.tryMove(m)
		if err == nil {
			b.metrics.Add(metricMoves, 1)
			b.completeMove(result)
			return
		}
		if _, ok := errors.AsType[*masticway.SealedError](err); ok {
			b.onSealed()
			return
		}
		if _, ok := errors.AsType[*masticway.ConflictError](err); ok {
			b.refreshLinks()
			continue
		}
		if _, ok := errors.AsType[*masticway.UnavailableError](err); ok && !unknown {
			b.metrics.Add(metricMovesFailed, 1)
			b.completeMove(keeper.MoveResult{Move: m, Failed: true})
			return
		}
		unknown = true
		b.metrics.Add(metricMovesUnknown, 1)
		b.log.WithFields(logrus.Fields{"event": "move_outcome_unknown", "budget": m.Grant.Budget, "error": err}).Warn("outcome of a money move unknown")
		b.sleep(moveRetryInterval)
	}
}

// tryMove makes one attempt at a move.
func (b *budgetManager) tryMove(m keeper.Move) (keeper.MoveResult, error) {
	ctx, cancel := context.WithTimeout(b.ctx, moveTimeout)
	defer cancel()
	b.linksMu.Lock()
	version := b.linksVersion
	b.linksMu.Unlock()
	return b.book.ApplyMove(ctx, m, version)
}

// completeMove gives the result of a move to the keeper.
func (b *budgetManager) completeMove(r keeper.MoveResult) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.apply(b.keeper.ApplyMoveResult(b.clock.Now(), r))
}

func (b *budgetManager) sleep(d time.Duration) {
	select {
	case <-b.ctx.Done():
	case <-b.clock.After(d):
	}
}

// refreshLinks reads the links row again after a move found another version of it.
func (b *budgetManager) refreshLinks() {
	b.linksMu.Lock()
	defer b.linksMu.Unlock()
	b.readLinks()
}

// readLinks reads the links row. It calls onSealed if the row is missing or sealed, and does nothing if the row cannot be read.
// The caller must hold linksMu.
func (b *budgetManager) readLinks() {
	ctx, cancel := context.WithTimeout(b.ctx, moveTimeout)
	defer cancel()
	links, version, err := b.book.Links(ctx, b.self)
	if err != nil {
		return
	}
	if version == 0 || links.State == bookkeeper.LinksSealed {
		b.onSealed()
		return
	}
	b.links = links
	b.linksVersion = version
}

// register adds sidecars to the links row. Only then may this router's money be used at them. It retries until it succeeds, ctx
// ends or the router stops, and returns true if it succeeded.
func (b *budgetManager) register(ctx context.Context, sidecars ...masticway.Incarnation) bool {
	for ctx.Err() == nil && b.ctx.Err() == nil {
		if b.tryRegister(sidecars) {
			return true
		}
		b.sleep(moveRetryInterval)
	}
	return false
}

// tryRegister makes one attempt to add sidecars to the links row. It returns true if the row now contains them.
func (b *budgetManager) tryRegister(sidecars []masticway.Incarnation) bool {
	b.linksMu.Lock()
	defer b.linksMu.Unlock()
	if b.linksVersion == 0 {
		// Only openLinks may create the row. If it found a row that was created here, it would report this router as sealed.
		return false
	}
	next := b.links
	next.Sidecars = slices.Clone(next.Sidecars)
	for _, s := range sidecars {
		if !next.Has(s) {
			next.Sidecars = append(next.Sidecars, s)
		}
	}
	if len(next.Sidecars) == len(b.links.Sidecars) {
		return true
	}
	return b.putLinks(next)
}

// putLinks replaces the links row and returns true. If this fails, it reads the row again and returns false. The caller must hold
// linksMu.
func (b *budgetManager) putLinks(next bookkeeper.Links) bool {
	ctx, cancel := context.WithTimeout(b.ctx, moveTimeout)
	defer cancel()
	version, err := b.book.PutLinks(ctx, next, b.linksVersion)
	if err == nil {
		b.links = next
		b.linksVersion = version
		return true
	}
	b.readLinks()
	return false
}

// isRegistered reports whether the links row contains a sidecar.
func (b *budgetManager) isRegistered(sidecar masticway.Incarnation) bool {
	b.linksMu.Lock()
	defer b.linksMu.Unlock()
	return b.links.Has(sidecar)
}

// markGone records that a sidecar has ended, so that it can be removed from the links row.
func (b *budgetManager) markGone(sidecar masticway.Incarnation) {
	b.linksMu.Lock()
	defer b.linksMu.Unlock()
	if _, known := b.goneAt[sidecar]; !known && b.links.Has(sidecar) {
		b.goneAt[sidecar] = b.clock.Now()
	}
}

// removeGone removes ended sidecars from the links row once every hold that may have been used at them is settled. It adds what
// they have spent of each open grant to the row's SpentByRemoved.
func (b *budgetManager) removeGone() {
	b.linksMu.Lock()
	defer b.linksMu.Unlock()
	for sidecar, at := range b.goneAt {
		b.mu.Lock()
		oldest, hasHolds := b.keeper.OldestHold()
		spent := b.keeper.SpentBy(sidecar)
		open, _ := b.keeper.OpenGrants()
		b.mu.Unlock()
		if hasHolds && !oldest.After(at) {
			continue
		}
		next := b.links
		next.Sidecars = slices.DeleteFunc(slices.Clone(next.Sidecars), func(s masticway.Incarnation) bool { return s == sidecar })
		next.SpentByRemoved = map[int64]masticway.Amount{}
		for _, number := range open {
			if sum := b.links.SpentByRemoved[number] + spent[number]; sum > 0 {
				next.SpentByRemoved[number] = sum
			}
		}
		if b.putLinks(next) {
			delete(b.goneAt, sidecar)
		}
	}
}

// returnIdle starts to return the money of budgets that have had no hold requests for IdleAfter, and of budgets that have another
// keeper now.
func (b *budgetManager) returnIdle() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.apply(b.keeper.ReleaseIdle(b.clock.Now()))
	for _, budget := range b.keeper.Budgets() {
		if !b.isKeeper(budget) {
			b.apply(b.keeper.HandOver(b.clock.Now(), budget))
		}
	}
}

// tick answers the waiting hold requests that have timed out or can now be served, and updates the metrics.
func (b *budgetManager) tick() {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits.EvictIdle(now)
	b.apply(b.keeper.Tick(now))
	budgets, holds := b.keeper.Size()
	b.metrics.Gauge(metricBudgets, int64(budgets))
	b.metrics.Gauge(metricHolds, int64(holds))
	if err := b.keeper.ChartError(); err != nil && !b.faultLogged {
		b.faultLogged = true
		b.log.WithFields(logrus.Fields{"event": "chart_fault", "error": err}).Error("event not allowed by the state chart")
	}
}

// drain returns all money to the budgets and waits until this is done. It returns false if ctx ends first.
func (b *budgetManager) drain(ctx context.Context) bool {
	for {
		b.mu.Lock()
		b.apply(b.keeper.Drain(b.clock.Now()))
		empty := b.keeper.IsEmpty()
		b.mu.Unlock()
		if empty {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-b.clock.After(tickInterval):
		}
	}
}

func (b *budgetManager) holdsOf(sender masticway.Incarnation) []keeper.OpenHold {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.keeper.HoldsOf(sender)
}

func (b *budgetManager) openGrants() ([]int64, int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.keeper.OpenGrants()
}

func (b *budgetManager) position(budget string) (keeper.Position, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.keeper.Position(budget)
}
