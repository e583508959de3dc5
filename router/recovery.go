package router

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/biller"
	"github.com/masticway/masticway/bookkeeper"
	"github.com/masticway/masticway/keeper"
	"github.com/masticway/masticway/linker"
	"github.com/masticway/masticway/recoverer"
	"github.com/masticway/masticway/sealer"
)

const (
	// recoveryInterval is the interval at which lease rows and recoveries are checked.
	recoveryInterval = 250 * time.Millisecond
	// minLeaseReadInterval is the minimum interval between two reads of all lease rows. With many rows, the interval is longer:
	// leaseReadIntervalPerRow times their number.
	minLeaseReadInterval    = time.Second
	leaseReadIntervalPerRow = 100 * time.Millisecond
	// taskLeases is the name of the task of reading all lease rows, as passed to peers.rank. leaseReaders is the number of a
	// region's routers that perform it.
	taskLeases   = "leases"
	leaseReaders = 2
	// recoveredTTL is how long an incarnation is remembered after it was drained or recovered. Meanwhile, settlements with it are
	// not retried.
	recoveredTTL = 10 * time.Minute
)

// recovery watches the leases of other incarnations. It recovers those that have crashed, the victims: it returns their unspent
// money to the budgets.
type recovery struct {
	router *Router

	mu        sync.Mutex
	detector  *recoverer.FailureDetector
	active    map[masticway.Incarnation]*recoverer.Recovery
	recovered map[masticway.Incarnation]time.Time
	instances map[string]masticway.Instance
	// lastReadAt is when this router last began to read all lease rows. rowCount is their number at the last successful reading.
	lastReadAt time.Time
	rowCount   int
}

func newRecovery(r *Router) *recovery {
	return &recovery{
		router: r, detector: recoverer.NewFailureDetector(recoverer.DetectorSettings{
			Self: r.self, Region: r.settings.Region, DetectionTime: r.settings.Lease.Std(), HeartbeatInterval: r.settings.Heartbeat.Std(),
		}), active: map[masticway.Incarnation]*recoverer.Recovery{},
		recovered: map[masticway.Incarnation]time.Time{}, instances: map[string]masticway.Instance{},
	}
}

func (v *recovery) updateInstances(instances []masticway.Instance) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, i := range instances {
		v.instances[i.ID] = i
	}
}

// isRecovered reports whether this router has learned within the last recoveredTTL that an incarnation's rows are gone, because
// it was drained or recovered.
func (v *recovery) isRecovered(inc masticway.Incarnation) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	_, ok := v.recovered[inc]
	return ok
}

// summary describes what active recoveries wait for, as text for the lease row.
func (v *recovery) summary() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var parts []string
	for victim, rec := range v.active {
		if missing := rec.Missing(); len(missing) > 0 {
			parts = append(parts, fmt.Sprintf("%s waits for %v", victim, missing))
		}
	}
	return strings.Join(parts, "; ")
}

func (v *recovery) tick() {
	r := v.router
	if r.isSealed() {
		return
	}
	now := r.clock.Now()
	if v.isReadDue(now) {
		v.readLeases()
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, e := range v.detector.Check(now, v.observe, v.responsibility) {
		v.applyDetection(now, e)
	}
	for victim, rec := range v.active {
		v.apply(victim, rec, rec.Tick(now))
	}
	for inc, at := range v.recovered {
		if now.Sub(at) > recoveredTTL {
			delete(v.recovered, inc)
		}
	}
}

// isReadDue decides whether this router must read all lease rows now. If so, it records the time of the reading and returns true.
// The interval between readings grows with the number of rows, which bounds the bytes read per second.
func (v *recovery) isReadDue(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if now.Sub(v.lastReadAt) < max(minLeaseReadInterval, time.Duration(v.rowCount)*leaseReadIntervalPerRow) {
		return false
	}
	if v.router.peers.rank(taskLeases) >= leaseReaders {
		// The first leaseReaders routers read the rows, to find crashed routers to which no router has a link. This router relies
		// on its links.
		return false
	}
	v.lastReadAt = now
	return true
}

// readLeases reads all lease rows and gives them to the detector.
func (v *recovery) readLeases() {
	r := v.router
	ctx, cancel := r.platformContext()
	defer cancel()
	rows, err := r.book.Leases(ctx)
	if err != nil {
		return
	}
	now := r.clock.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.rowCount = len(rows)
	for _, inc := range v.detector.ApplyRows(now, rows) {
		v.markRecovered(now, inc)
	}
}

// watchPeer makes the detector watch a router to which this one has a link.
func (v *recovery) watchPeer(p masticway.Peer) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.detector.AddRouter(v.router.clock.Now(), bookkeeper.RouterLease{
		Incarnation: p.Incarnation, Instance: p.Instance, Region: v.router.settings.Region,
	})
}

// markRecovered records that an incarnation's rows are gone, because it was drained or another router has recovered it. It does
// nothing while this router is recovering the incarnation itself. The caller must hold the lock.
func (v *recovery) markRecovered(now time.Time, inc masticway.Incarnation) {
	if v.active[inc] == nil {
		v.recovered[inc] = now
	}
}

// observe returns what this router observes, apart from the lease row, about whether another router is up. The caller must hold
// the lock.
func (v *recovery) observe(d bookkeeper.RouterLease) recoverer.Observation {
	r := v.router
	return recoverer.Observation{
		IsAlive:       r.peers.isResponsive(d.Incarnation),
		InstanceEnded: v.instances[d.Instance].State == masticway.InstanceEnded,
		SelfDraining:  r.draining.Load(),
	}
}

// responsibility returns whether this router holds money for requests of another router, and this router's rank among those that
// may recover the other one.
func (v *recovery) responsibility(d bookkeeper.RouterLease) recoverer.Responsibility {
	return recoverer.Responsibility{
		HoldsMoney: len(v.router.budgets.holdsOf(d.Incarnation)) > 0,
		Rank:       v.router.peers.rank(string(d.Incarnation)),
	}
}

// applyDetection executes one effect of the detector: it starts a read or a challenge in the background, or begins a recovery.
// The caller must hold the lock.
func (v *recovery) applyDetection(now time.Time, e recoverer.DetectorEffect) {
	switch e := e.(type) {
	case recoverer.ReadRow:
		v.router.wg.Go(func() { v.readRow(e.Incarnation) })
	case recoverer.Challenge:
		v.router.wg.Go(func() { v.challenge(e.Incarnation) })
	case recoverer.Recover:
		if v.active[e.Incarnation] == nil {
			v.active[e.Incarnation] = recoverer.New(now, e.Incarnation)
			v.router.log.WithFields(logrus.Fields{"event": "recovery_started", "victim": e.Incarnation}).Info("recovery started")
		}
	}
}

// readRow reads the lease row of one router and gives the result to the detector.
func (v *recovery) readRow(inc masticway.Incarnation) {
	ctx, cancel := v.router.platformContext()
	defer cancel()
	d, err := v.router.book.Lease(ctx, inc)
	_, missing := errors.AsType[*masticway.NotFoundError](err)
	now := v.router.clock.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.detector.ApplyRow(now, inc, d, err == nil, err != nil && !missing) {
		v.markRecovered(now, inc)
	}
}

// challenge writes a challenge to the table for a router that seems to have crashed. If that router is up, it answers by renewing
// its lease.
func (v *recovery) challenge(inc masticway.Incarnation) {
	ctx, cancel := v.router.platformContext()
	defer cancel()
	err := v.router.book.Challenge(ctx, inc, v.router.self)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.detector.RecordChallenge(v.router.clock.Now(), inc, err == nil)
}

// watchChallenges checks for challenges to this router until the router stops.
func (r *Router) watchChallenges() {
	r.loop(max(tickInterval, r.settings.Lease.Std()/challengeReadsPerLease), r.answerChallenge)
}

// answerChallenge renews this router's lease at once if another router has written a new challenge, because it suspects that this
// one has crashed.
func (r *Router) answerChallenge() {
	ctx, cancel := r.platformContext()
	defer cancel()
	version, err := r.book.ChallengeVersion(ctx, r.self)
	if err != nil || version == r.answeredChallenge.Load() {
		return
	}
	if r.renewLease(ctx) == nil {
		r.answeredChallenge.Store(version)
	}
}

// apply starts the effects of a recovery in the background. The caller must hold the lock.
func (v *recovery) apply(victim masticway.Incarnation, rec *recoverer.Recovery, effects []recoverer.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case recoverer.SealInTable:
			v.router.wg.Go(func() { v.sealInTable(victim, rec) })
		case recoverer.SealAtSidecar:
			v.router.wg.Go(func() { v.collectReport(rec, victim, e.Sidecar) })
		case recoverer.CloseGrants:
			v.router.wg.Go(func() { v.returnMoney(rec, victim, e.Closures) })
		}
	}
}

// sealInTable seals the victim's rows in the table, so that it can draw no more money. It then reads which sidecars and grants
// the victim has, and records the result in rec.
func (v *recovery) sealInTable(victim masticway.Incarnation, rec *recoverer.Recovery) {
	ctx, cancel := v.router.platformContext()
	defer cancel()
	links, err := v.router.book.Seal(ctx, victim)
	var grants []masticway.GrantKey
	if err == nil {
		grants, err = v.router.book.GrantsOf(ctx, victim)
	}
	if err != nil {
		v.router.budgets.sleep(settleRetryInterval)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	rec.RecordSealed(links, grants, err == nil)
}

// collectReport seals the victim at one sidecar and records the sidecar's report in rec. If the sidecar has ended, it records the
// report that the sidecar left in the table, if any.
func (v *recovery) collectReport(rec *recoverer.Recovery, victim, sidecar masticway.Incarnation) {
	report, sidecarGone, err := v.sealAt(victim, sidecar)
	if err == nil && !sidecarGone {
		v.mu.Lock()
		defer v.mu.Unlock()
		rec.RecordReport(report)
		return
	}
	if !sidecarGone {
		return
	}
	ctx, cancel := v.router.platformContext()
	defer cancel()
	lastReport, found, err := v.router.book.Report(ctx, sidecar)
	if err != nil {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	rec.RecordLost(sidecar, lastReport, found)
}

// sealAt seals the victim at one sidecar, so that the sidecar starts no more runs for it. It returns the sidecar's report on the
// victim's holds. sidecarGone is set if the sidecar's process has ended.
func (v *recovery) sealAt(victim, sidecar masticway.Incarnation) (report sealer.SealReport, sidecarGone bool, err error) {
	instance := sidecar.Instance()
	v.mu.Lock()
	listed := v.instances[instance]
	v.mu.Unlock()
	if listed.State == masticway.InstanceEnded {
		return report, true, nil
	}
	ctx, cancel := v.router.platformContext()
	defer cancel()
	c := v.router.upstreams.conn(instance)
	if c == nil {
		if c, err = v.router.dialOnce(ctx, listed.Address); err != nil {
			return report, false, err
		}
		defer c.Close()
	}
	if c.Peer().Incarnation != sidecar {
		// An instance runs one process at a time, and it now runs a newer one, so the given sidecar has ended.
		return report, true, nil
	}
	a, err := c.Call(ctx, linker.Message{Seal: &sealer.Seal{Incarnation: victim}})
	if err != nil || a.Sealed == nil {
		return report, false, fmt.Errorf("sealing %s at %s: %w", victim, sidecar, err)
	}
	return *a.Sealed, false, nil
}

// returnMoney closes grants of the victim, which returns their unspent money to the budgets, and settles the victim's holds. It
// finishes the recovery if nothing is left to do.
func (v *recovery) returnMoney(rec *recoverer.Recovery, victim masticway.Incarnation, closings []bookkeeper.GrantClosure) {
	ctx, cancel := v.router.platformContext()
	defer cancel()
	ok := true
	for _, c := range closings {
		returned, err := v.router.book.Recover(ctx, c)
		if err != nil {
			ok = false
			v.router.log.WithFields(logrus.Fields{"event": "recovery_delayed", "victim": victim, "error": err}).Warn("cannot return money yet")
			break
		}
		v.router.metrics.Add(metricReturned, int64(returned))
	}
	if !ok {
		v.router.budgets.sleep(settleRetryInterval)
	}
	v.mu.Lock()
	v.settleHolds(rec, victim)
	rec.RecordClosed(ok)
	finished := rec.IsDone()
	v.mu.Unlock()
	if finished {
		v.finish(rec, victim)
	}
}

// settleHolds settles and bills the holds of this router's money that the victim took for its requests. It leaves a hold if one
// of its runs still runs. The caller must hold the lock.
func (v *recovery) settleHolds(rec *recoverer.Recovery, victim masticway.Incarnation) {
	fates, goneSidecar := rec.HoldReports()
	byHold := map[masticway.HoldID][]recoverer.SidecarHold{}
	for _, f := range fates {
		byHold[f.Report.Hold] = append(byHold[f.Report.Hold], f)
	}
	for _, h := range v.router.budgets.holdsOf(victim) {
		charges, running := chargesOf(byHold[h.ID])
		if running {
			continue
		}
		if len(charges) == 0 && goneSidecar != "" {
			charges = []keeper.Charge{{Sidecar: goneSidecar, Amount: h.Amount, Presumed: true}}
			v.router.metrics.Add(metricPresumed, int64(h.Amount))
		}
		v.router.budgets.settle(linker.Settle{Hold: h.ID, Charges: charges})
		v.bill(h, charges)
	}
}

// chargesOf returns the charges for one hold, from the sidecars' reports on it. If one of its runs still runs, it returns no
// charges and sets running.
func chargesOf(fates []recoverer.SidecarHold) (charges []keeper.Charge, running bool) {
	for _, f := range fates {
		if f.Report.Running {
			return nil, true
		}
		charges = append(charges, keeper.Charge{Sidecar: f.Sidecar, Amount: f.Report.Cost})
	}
	return charges, false
}

func (v *recovery) bill(h keeper.OpenHold, charges []keeper.Charge) {
	var cost, presumed masticway.Amount
	for _, c := range charges {
		cost += c.Amount
		if c.Presumed {
			presumed += c.Amount
		}
	}
	if cost == 0 {
		return
	}
	kind := biller.KindFinal
	if presumed > 0 {
		kind = biller.KindPart
	}
	v.router.journal.Add(biller.Bill{
		Identity: h.Identity, Hold: h.ID, Budget: h.Grant.Budget, Payer: h.Grant.Payer,
		Kind: kind, Cost: cost, Presumed: presumed, At: v.router.clock.Now(),
	})
}

// finish deletes the victim's rows from the table and ends the recovery, even if the deletion fails.
func (v *recovery) finish(rec *recoverer.Recovery, victim masticway.Incarnation) {
	ctx, cancel := v.router.platformContext()
	defer cancel()
	if err := v.router.book.DeleteIncarnation(ctx, victim); err != nil {
		v.router.log.WithFields(logrus.Fields{"event": "forget_failed", "victim": victim, "error": err}).Warn("rows of a recovered router could not be removed")
	}
	took := v.router.clock.Now().Sub(rec.Started())
	v.router.metrics.Add(metricRecoveries, 1)
	v.router.metrics.Observe(histogramRecovery, "router", took)
	v.router.log.WithFields(logrus.Fields{"event": "recovery_done", "victim": victim, "ms": took.Milliseconds()}).Info("recovery done")
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.active, victim)
	v.detector.Remove(victim)
	v.recovered[victim] = v.router.clock.Now()
}
