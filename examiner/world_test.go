package examiner

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/emulator"
)

const (
	tick = 10 * time.Millisecond
	// detectionTime is the time in which all routers are to know, maxLaterSends how often a request at fault may be sent later.
	detectionTime = 3 * time.Second
	maxLaterSends = 3
	// answerDelay is when an answer begins, clearDelay from when on it clears its request.
	answerDelay = 100 * time.Millisecond
	clearDelay  = time.Second
)

// simRequest is one caller's request, which comes again and again.
type simRequest struct {
	digest         masticway.RequestDigest
	crashesServers bool
	// duration is how long an answer takes, next when the request comes again.
	duration time.Duration
	nextAt   time.Time
	router   int
	// crashedAt are the servers that ended under it, sent when it was sent to servers, served how often it was.
	crashedAt []time.Time
	sentAt    []time.Time
	served    int
	isWaiting bool
}

// simRun is one request at one server.
type simRun struct {
	*simRequest
	router      int
	startedAt   time.Time
	quarantined bool
	cleared     bool
}

// simRouter is a router: its beliefs, and the rows that are on their way to it.
type simRouter struct {
	*Registry
	pendingChanges []rowChange
	// storeAwayUntil is until when the store does not serve it.
	storeAwayUntil time.Time
}

type rowChange struct {
	at  time.Time
	row masticway.StoredRow
}

// world is a fleet in one goroutine: routers, servers that end under some requests, and the store between them.
type world struct {
	t            *testing.T
	random       *rand.Rand
	now          time.Time
	rows         *emulator.Rows
	routers      []*simRouter
	servers      map[masticway.ServerIncarnation][]*simRun
	restartTimes []time.Time
	startCount   int
	requests     []*simRequest
	// brokenUntil is until when every server ends under whatever it runs.
	brokenUntil time.Time
}

func newWorld(t *testing.T, seed uint64, routers, servers int) *world {
	w := &world{t: t, random: rand.New(rand.NewPCG(seed, 1)), now: testTime, servers: map[masticway.ServerIncarnation][]*simRun{}}
	w.rows = emulator.NewRows(func() time.Time { return w.now })
	for i := range routers {
		w.routers = append(w.routers, &simRouter{Registry: NewRegistry(masticway.Incarnation(fmt.Sprintf("r%d~1", i)), w.random.Float64)})
	}
	for range servers {
		w.startServer()
	}
	return w
}

func (w *world) startServer() {
	w.startCount++
	w.servers[masticway.ServerIncarnation(fmt.Sprintf("s%03d", w.startCount))] = nil
}

func (w *world) randomDuration(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(w.random.Int64N(int64(longest-shortest)+1))
}

// addRequests has callers ask for some things again and again; those at fault end the servers that run them.
func (w *world) addRequests(n int, crashesServers bool) {
	for range n {
		w.requests = append(w.requests, &simRequest{
			digest: masticway.RequestDigest(fmt.Sprintf("d%03d", len(w.requests))), crashesServers: crashesServers,
			duration: w.randomDuration(200*time.Millisecond, 3*time.Second), nextAt: w.now.Add(w.randomDuration(0, time.Second)),
		})
	}
}

// write changes rows for a router and sends what changed to all.
func (w *world) write(r *simRouter, changes []change) error {
	if w.now.Before(r.storeAwayUntil) {
		return errors.New("the store is away")
	}
	var write masticway.RowWrite
	for _, c := range changes {
		key := masticway.RowKey{Table: Table, Part: Part, Key: string(c.digest)}
		write.Expected = append(write.Expected, masticway.RowVersion{RowKey: key, Version: c.version})
		if c.deleted {
			write.Deletes = append(write.Deletes, key)
			continue
		}
		write.Puts = append(write.Puts, masticway.RowPut{RowKey: key, Value: c.record.encode()})
	}
	reading, err := w.rows.Apply(write)
	if conflict, ok := errors.AsType[*masticway.RowConflictError](err); ok {
		r.ApplyConflict(w.now, changes, conflict.Rows)
		return err
	}
	qt.Assert(w.t, err, qt.IsNil)
	for _, c := range changes {
		r.ApplyWrite(w.now, c, reading.Version)
		row := masticway.StoredRow{RowKey: masticway.RowKey{Key: string(c.digest)}, Version: reading.Version, Value: c.record.encode(), Deleted: c.deleted}
		for _, other := range w.routers {
			if other != r {
				at := w.now.Add(w.randomDuration(10*time.Millisecond, 150*time.Millisecond))
				if n := len(other.pendingChanges); n > 0 && at.Before(other.pendingChanges[n-1].at) {
					at = other.pendingChanges[n-1].at
				}
				other.pendingChanges = append(other.pendingChanges, rowChange{at: at, row: row})
			}
		}
	}
	return nil
}

// advance lets a time pass.
func (w *world) advance(d time.Duration) {
	for until := w.now.Add(d); w.now.Before(until); w.now = w.now.Add(tick) {
		w.deliver()
		for _, server := range w.incarnations() {
			w.runServer(server)
		}
		for len(w.restartTimes) > 0 && !w.now.Before(w.restartTimes[0]) {
			w.restartTimes = w.restartTimes[1:]
			w.startServer()
		}
		for _, q := range w.requests {
			if !w.now.Before(q.nextAt) {
				w.arrive(q)
			}
		}
		for _, r := range w.routers {
			if due := r.DueChanges(w.now, maxWriteRows); len(due) > 0 {
				// What the store does not take stays due.
				_ = w.write(r, due)
			}
		}
	}
}

// deliver brings the store's changes to the routers, and what these tell each other while it is away.
func (w *world) deliver() {
	for _, r := range w.routers {
		for len(r.pendingChanges) > 0 && !w.now.Before(r.pendingChanges[0].at) && !w.now.Before(r.storeAwayUntil) {
			qt.Assert(w.t, r.ApplyRow(w.now, r.pendingChanges[0].row), qt.IsNil)
			r.pendingChanges = r.pendingChanges[1:]
		}
		for _, entry := range r.Unshared(w.now) {
			for _, other := range w.routers {
				if other != r {
					other.Merge(w.now, entry)
				}
			}
		}
	}
}

func (w *world) incarnations() []masticway.ServerIncarnation {
	var all []masticway.ServerIncarnation
	for server := range w.servers {
		all = append(all, server)
	}
	slices.Sort(all)
	return all
}

// runServer has a server go on with what it runs, and end under a request at fault.
func (w *world) runServer(server masticway.ServerIncarnation) {
	hasCrashed := false
	runs := w.servers[server]
	for _, run := range slices.Clone(runs) {
		since := w.now.Sub(run.startedAt)
		r := w.routers[run.router]
		switch {
		case run.crashesServers || w.now.Before(w.brokenUntil):
			hasCrashed = hasCrashed || since >= 60*time.Millisecond
			continue
		case since < run.duration:
			if run.quarantined && !run.cleared && since >= answerDelay+clearDelay {
				run.cleared = true
				r.Clear(run.digest)
			}
			continue
		}
		if run.quarantined && !run.cleared {
			r.Clear(run.digest)
		}
		run.served++
		run.nextAt = w.now.Add(w.randomDuration(0, 500*time.Millisecond))
		runs = slices.DeleteFunc(runs, func(x *simRun) bool { return x == run })
	}
	w.servers[server] = runs
	if hasCrashed {
		w.crashServer(server, runs)
	}
}

// crashServer ends a server under all that it runs.
func (w *world) crashServer(server masticway.ServerIncarnation, runs []*simRun) {
	delete(w.servers, server)
	w.restartTimes = append(w.restartTimes, w.now.Add(500*time.Millisecond))
	for _, run := range runs {
		since := w.now.Sub(run.startedAt)
		if since < answerDelay+clearDelay {
			w.routers[run.router].RecordCrash(w.now, run.digest, "/p", masticway.ServerCrash{Server: server, Quarantined: run.quarantined, Answered: since >= answerDelay})
		}
		run.crashedAt = append(run.crashedAt, w.now)
		// What was not at fault goes on at once, at the same router; the other comes again anywhere.
		run.nextAt = w.now
		if run.crashesServers {
			run.nextAt = w.now.Add(w.randomDuration(10*time.Millisecond, 400*time.Millisecond))
		}
	}
}

// arrive has a request come to a router, or look again there whether its turn has come.
func (w *world) arrive(q *simRequest) {
	if !q.isWaiting && (q.crashesServers || len(q.crashedAt) == 0) {
		q.router = w.random.IntN(len(w.routers))
	}
	r := w.routers[q.router]
	s := r.Status(w.now, q.digest)
	q.isWaiting = false
	switch {
	case s.Suspicion == masticway.SuspicionProven:
		qt.Assert(w.t, q.crashesServers || !w.brokenUntil.IsZero(), qt.IsTrue, qt.Commentf("%s is not at fault: %+v", q.digest, s.Crashes))
		q.nextAt = w.now.Add(w.randomDuration(50*time.Millisecond, 400*time.Millisecond))
		return
	case s.Suspicion == masticway.SuspicionNone:
		_, serious := r.QuarantineServers(w.now)
		w.send(q, w.pickServer(serious), false)
		return
	}
	occupied, _ := r.QuarantineServers(w.now)
	if server := w.pickServer(occupied); server != "" {
		w.claim(q, r, server)
	}
	if q.nextAt.After(w.now) {
		return
	}
	q.isWaiting = true
	q.nextAt = w.now.Add(20 * time.Millisecond)
}

// claim has a request run apart, unless another router has it do so.
func (w *world) claim(q *simRequest, r *simRouter, server masticway.ServerIncarnation) {
	if record, version, ok := r.Claim(w.now, q.digest, server); ok {
		err := w.write(r, []change{{digest: q.digest, record: record, version: version}})
		if _, conflict := errors.AsType[*masticway.RowConflictError](err); !conflict {
			w.send(q, server, true)
			return
		}
		r.Release(q.digest)
	}
}

// pickServer draws a server that is not among some.
func (w *world) pickServer(excluded map[masticway.ServerIncarnation]bool) masticway.ServerIncarnation {
	free := slices.DeleteFunc(w.incarnations(), func(l masticway.ServerIncarnation) bool { return excluded[l] })
	if len(free) == 0 {
		return ""
	}
	return free[w.random.IntN(len(free))]
}

func (w *world) send(q *simRequest, server masticway.ServerIncarnation, quarantined bool) {
	if server == "" {
		q.nextAt = w.now.Add(tick)
		return
	}
	q.sentAt = append(q.sentAt, w.now)
	q.nextAt = w.now.Add(time.Hour)
	w.servers[server] = append(w.servers[server], &simRun{simRequest: q, router: q.router, startedAt: w.now, quarantined: quarantined})
}

// checkRequests checks what must hold of every request.
func (w *world) checkRequests() {
	for _, q := range w.requests {
		if !q.crashesServers {
			qt.Assert(w.t, q.served > 0, qt.IsTrue, qt.Commentf("%s was never served, %d servers ended under it", q.digest, len(q.crashedAt)))
			continue
		}
		if len(q.crashedAt) < minCrashesToProve {
			continue
		}
		known := q.crashedAt[minCrashesToProve-1].Add(detectionTime)
		later := slices.DeleteFunc(slices.Clone(q.sentAt), func(at time.Time) bool { return !at.After(known) })
		qt.Assert(w.t, len(later) <= maxLaterSends, qt.IsTrue, qt.Commentf("%s was sent %d times later", q.digest, len(later)))
	}
}

// TestOnlyCrashingRequestsAreBlocked plays fleets in which some requests end the servers that run them and many others
// share these servers, come again and are served.
func TestOnlyCrashingRequestsAreBlocked(t *testing.T) {
	for name, tc := range map[string]struct {
		routers, servers, crashing, others int
		// away is for how long the store serves nobody, from the first second on.
		away  time.Duration
		seeds uint64
		// duration is for how long requests at fault come again, 15 s when it is zero.
		duration time.Duration
	}{
		"one at fault":                       {routers: 5, servers: 18, crashing: 1, others: 40, seeds: 10},
		"one at fault comes for long":        {routers: 5, servers: 18, crashing: 1, others: 20, seeds: 3, duration: 90 * time.Second},
		"three at once":                      {routers: 5, servers: 18, crashing: 3, others: 40, seeds: 10},
		"few servers":                        {routers: 3, servers: 4, crashing: 1, others: 12, seeds: 20},
		"many routers":                       {routers: 100, servers: 60, crashing: 2, others: 100, seeds: 2},
		"the store is away for a while":      {routers: 5, servers: 18, crashing: 1, others: 40, away: 5 * time.Second, seeds: 10},
		"the store is away nearly all along": {routers: 5, servers: 18, crashing: 2, others: 40, away: 12 * time.Second, seeds: 10},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range tc.seeds {
				w := newWorld(t, seed, tc.routers, tc.servers)
				w.addRequests(tc.others, false)
				w.advance(time.Second)
				for _, r := range w.routers {
					r.storeAwayUntil = w.now.Add(tc.away)
				}
				w.addRequests(tc.crashing, true)
				w.advance(max(tc.duration, 15*time.Second))
				w.checkRequests()
			}
		})
	}
}

// TestRequestAtManyRoutersIsTriedOnce has a request at fault come to all routers in the same instant, again and again.
func TestRequestAtManyRoutersIsTriedOnce(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(t, seed, 10, 30)
		// Callers of the same thing share its digest.
		for i := range w.routers {
			w.requests = append(w.requests, &simRequest{digest: "d", crashesServers: true, router: i, isWaiting: true, nextAt: w.now.Add(time.Second)})
		}
		w.advance(1050 * time.Millisecond)
		var crashes []time.Time
		for range 10 {
			w.advance(time.Second)
			for i, q := range w.requests {
				q.router, q.isWaiting, q.nextAt = i, true, w.now
			}
		}
		sent := 0
		for _, q := range w.requests {
			crashes = append(crashes, q.crashedAt...)
			for _, at := range q.sentAt {
				if at.After(testTime.Add(1100 * time.Millisecond)) {
					sent++
				}
			}
		}
		qt.Assert(t, len(crashes) >= minCrashesToProve, qt.IsTrue)
		qt.Assert(t, sent <= minWeightToProve/weightUnanswered, qt.IsTrue, qt.Commentf("seed %d: after the first ten at once it was sent %d times", seed, sent))
	}
}

// TestRequestsRecoverWithBrokenServers has every server end under whatever it runs for a while, as after a bad
// release: all requests look at fault, and none is.
func TestRequestsRecoverWithBrokenServers(t *testing.T) {
	const (
		mendedAfter = 6 * time.Second
		servedAgain = 45 * time.Second
	)
	for seed := range uint64(5) {
		w := newWorld(t, seed, 3, 6)
		w.addRequests(12, false)
		w.brokenUntil = w.now.Add(mendedAfter)
		w.advance(mendedAfter)
		for _, q := range w.requests {
			qt.Assert(t, q.served, qt.Equals, 0)
		}
		w.advance(servedAgain)
		w.checkRequests()
	}
}
