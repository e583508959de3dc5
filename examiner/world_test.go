package examiner

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cespare/xxhash/v2"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/emulator"
)

const (
	tick = 10 * time.Millisecond
	// detectionTime is the time within which all routers must know a proven request. maxLaterSends is how often it may be sent to
	// servers later.
	detectionTime = 3 * time.Second
	maxLaterSends = 3
	// answerDelay is the time from the start of a run to the start of its answer. clearDelay is the time from then on until the
	// answer clears the request.
	answerDelay = 100 * time.Millisecond
	clearDelay  = time.Second
)

// simRequest is one caller's request, which is repeated.
type simRequest struct {
	digest         masticway.SuspectID
	crashesServers bool
	// duration is how long an answer takes. nextAt is when the request is sent next.
	duration time.Duration
	nextAt   time.Time
	router   int
	// crashedAt are the times of the server crashes during the request. sentAt are the times at which it was sent to servers.
	// served is the number of times that it was served.
	crashedAt []time.Time
	sentAt    []time.Time
	served    int
	isWaiting bool
	// The other fields are for requests with prompts, which are not repeated (see prompts).
	prompts *prompts
	parts   []masticway.SuspectPart
	// arrivedAt is when the request arrived. refused is set if it was refused.
	arrivedAt time.Time
	refused   bool
}

// suspects returns what in the request may crash servers.
func (q *simRequest) suspects() masticway.Suspects {
	s := masticway.Suspects{Request: q.digest, Parts: q.parts}
	if q.prompts != nil {
		s.Workspace = q.prompts.workspace
	}
	return s
}

// simRun is one run of a request on one server.
type simRun struct {
	*simRequest
	router      int
	startedAt   time.Time
	quarantined bool
	cleared     bool
	// answered is set once the answer counts for the parts of the prompt.
	answered bool
	// registry is that of the router when it sent the request. A router that starts again has another one.
	registry *Registry
}

// simRouter is a router with its registry and the row changes that are in transit to it.
type simRouter struct {
	*Registry
	pendingChanges []rowChange
	// storeDownUntil is the time until which the store does not serve the router, and cutUntil the time until which no other router
	// reaches it. startedAt is when it last started. writes is the number of its calls to the store.
	storeDownUntil, cutUntil, startedAt time.Time
	nextWriteAt                         time.Time
	writes                              int
}

type rowChange struct {
	at  time.Time
	row masticway.StoredRow
}

// world simulates a fleet in one goroutine: routers, servers that some requests crash, and the store.
type world struct {
	t            *testing.T
	random       *rand.Rand
	now          time.Time
	rows         *emulator.RowStore
	routers      []*simRouter
	servers      map[masticway.ServerIncarnation][]*simRun
	restartTimes []time.Time
	startCount   int
	requests     []*simRequest
	// brokenUntil is the time until which every server crashes whatever it runs.
	brokenUntil time.Time
	// restartDelay is the time from a server's crash to its restart. table holds the rows of the store.
	restartDelay time.Duration
	table        map[string]masticway.StoredRow
	promptWorld
}

func newWorld(t *testing.T, seed uint64, routers, servers int) *world {
	w := &world{t: t, random: rand.New(rand.NewPCG(seed, 1)), now: testTime, servers: map[masticway.ServerIncarnation][]*simRun{}}
	w.restartDelay, w.table = 500*time.Millisecond, map[string]masticway.StoredRow{}
	w.rows = emulator.NewRowStore(func() time.Time { return w.now })
	for i := range routers {
		w.routers = append(w.routers, &simRouter{Registry: w.newRegistry(i, routers)})
	}
	for range servers {
		w.startServer()
	}
	return w
}

func (w *world) newRegistry(i, routers int) *Registry {
	w.startCount++
	owns := func(key string) bool { return xxhash.Sum64String(key)%uint64(routers) == uint64(i) }
	return NewRegistry(masticway.Incarnation(fmt.Sprintf("r%d~%d", i, w.startCount)), w.random.Float64, owns)
}

func (w *world) startServer() {
	w.startCount++
	w.servers[masticway.ServerIncarnation(fmt.Sprintf("s%03d", w.startCount))] = nil
}

func (w *world) randomDuration(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(w.random.Int64N(int64(longest-shortest)+1))
}

// addRequests adds n repeated requests. If crashesServers is set, they crash the servers that run them.
func (w *world) addRequests(n int, crashesServers bool) {
	for range n {
		w.requests = append(w.requests, &simRequest{
			digest: masticway.SuspectID(fmt.Sprintf("d%03d", len(w.requests))), crashesServers: crashesServers,
			duration: w.randomDuration(200*time.Millisecond, 3*time.Second), nextAt: w.now.Add(w.randomDuration(0, time.Second)),
		})
	}
}

// write writes changes for a router and sends them to all other routers.
func (w *world) write(r *simRouter, changes []change) error {
	r.writes++
	if w.now.Before(r.storeDownUntil) {
		return errors.New("the store is down")
	}
	var write masticway.RowWrite
	for _, c := range changes {
		key := masticway.RowKey{Table: Table, Part: Part, Key: string(c.suspect)}
		write.Expected = append(write.Expected, masticway.RowVersion{RowKey: key, Version: c.version})
		if c.deleted {
			write.Deletes = append(write.Deletes, key)
			continue
		}
		write.Puts = append(write.Puts, masticway.RowPut{RowKey: key, Value: c.record.encode()})
	}
	reading, err := w.rows.Apply(write)
	if conflict, ok := errors.AsType[*masticway.RowConflictError](err); ok {
		r.ApplyConflict(w.now, changes, conflict.Rows, conflict.Version)
		return err
	}
	qt.Assert(w.t, err, qt.IsNil)
	for _, c := range changes {
		r.ApplyWrite(w.now, c, reading.Version)
		row := masticway.StoredRow{RowKey: masticway.RowKey{Key: string(c.suspect)}, Version: reading.Version, Value: c.record.encode(), Deleted: c.deleted}
		w.table[row.Key] = row
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

// advance runs the simulation for a time.
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
		w.sendPrompts()
		for _, q := range w.requests {
			if !w.now.Before(q.nextAt) {
				w.arrive(q)
			}
		}
		for _, r := range w.routers {
			parts, requests := splitParts(r.DueChanges(w.now, maxWriteRows))
			for _, due := range [][]change{requests, parts} {
				if len(due) > 0 && !w.now.Before(r.nextWriteAt) {
					// Changes that the store rejects stay due.
					if w.write(r, due) != nil {
						r.nextWriteAt = w.now.Add(writeInterval)
					}
				}
			}
		}
	}
}

// deliver delivers row changes to the routers, and the evidence that routers share while the store is down.
func (w *world) deliver() {
	for _, r := range w.routers {
		for len(r.pendingChanges) > 0 && !w.now.Before(r.pendingChanges[0].at) && !w.now.Before(r.storeDownUntil) {
			qt.Assert(w.t, r.ApplyRow(w.now, r.pendingChanges[0].row), qt.IsNil)
			r.pendingChanges = r.pendingChanges[1:]
		}
		if w.now.Before(r.cutUntil) {
			continue
		}
		for _, evidence := range r.Unshared(w.now) {
			for _, other := range w.routers {
				if other != r && !w.now.Before(other.cutUntil) {
					other.Merge(w.now, evidence)
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

// runServer advances the runs on a server, and crashes it if one of them is a crashing request.
func (w *world) runServer(server masticway.ServerIncarnation) {
	hasCrashed := false
	runs := w.servers[server]
	for _, run := range slices.Clone(runs) {
		since := w.now.Sub(run.startedAt)
		r := run.registry
		if !run.crashesServers && !run.answered && (since >= answerDelay+confirmDelay || since >= run.duration) {
			run.answered = true
			for _, part := range run.parts {
				r.RefutePart(w.now, part.ID, run.suspects().Pool, run.startedAt.Add(answerDelay))
			}
		}
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

// crashServer crashes a server during all its runs.
func (w *world) crashServer(server masticway.ServerIncarnation, runs []*simRun) {
	delete(w.servers, server)
	w.restartTimes = append(w.restartTimes, w.now.Add(w.restartDelay))
	for _, run := range runs {
		since := w.now.Sub(run.startedAt)
		crash := masticway.ServerCrash{Server: server, Quarantined: run.quarantined, Answered: since >= answerDelay}
		if since < answerDelay+clearDelay {
			run.registry.RecordCrash(w.now, run.digest, "/p", crash)
		}
		for _, part := range run.parts {
			if !run.answered {
				run.registry.RecordPartCrash(w.now, part, run.suspects(), crash, run.startedAt)
			}
		}
		run.crashedAt = append(run.crashedAt, w.now)
		if run.prompts != nil {
			// The request is not repeated.
			continue
		}
		// Requests that do not crash servers are retried at once at the same router, the others later at any router.
		run.nextAt = w.now
		if run.crashesServers {
			run.nextAt = w.now.Add(w.randomDuration(10*time.Millisecond, 400*time.Millisecond))
		}
	}
}

// arrive handles a request that arrives at a router or that waits there.
func (w *world) arrive(q *simRequest) {
	if !q.isWaiting && (q.crashesServers || len(q.crashedAt) == 0) {
		q.router = w.random.IntN(len(w.routers))
	}
	r := w.routers[q.router]
	s := r.StatusOf(w.now, q.suspects())
	q.isWaiting = false
	switch {
	case s.Suspicion == masticway.SuspicionProven && q.prompts != nil:
		q.refused = true
		q.nextAt = w.now.Add(time.Hour)
		return
	case s.Suspicion == masticway.SuspicionProven:
		qt.Assert(w.t, q.crashesServers || !w.brokenUntil.IsZero(), qt.IsTrue, qt.Commentf("%s does not crash servers: %+v", q.digest, s.Crashes))
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

// claim runs a request in quarantine, unless another router has reserved the run.
func (w *world) claim(q *simRequest, r *simRouter, server masticway.ServerIncarnation) {
	changes, ok := r.ClaimAll(w.now, q.suspects(), server)
	if !ok {
		return
	}
	err := w.write(r, changes)
	parts, _ := splitParts(changes)
	if _, conflict := errors.AsType[*masticway.RowConflictError](err); !conflict && (err == nil || len(parts) == 0) {
		w.send(q, server, true)
		return
	}
	for _, c := range changes {
		r.DropClaim(w.now, c.suspect)
	}
}

// pickServer returns a random server that is not excluded.
func (w *world) pickServer(excluded map[masticway.ServerIncarnation]bool) masticway.ServerIncarnation {
	free := slices.DeleteFunc(w.incarnations(), func(server masticway.ServerIncarnation) bool { return excluded[server] })
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
	w.servers[server] = append(w.servers[server], &simRun{simRequest: q, router: q.router, startedAt: w.now, quarantined: quarantined, registry: w.routers[q.router].Registry})
}

// checkRequests checks the conditions that every request must meet.
func (w *world) checkRequests() {
	for _, q := range w.requests {
		if !q.crashesServers {
			qt.Assert(w.t, q.served > 0, qt.IsTrue, qt.Commentf("%s was never served, %d servers crashed", q.digest, len(q.crashedAt)))
			continue
		}
		if len(q.crashedAt) < minCrashesToProve {
			continue
		}
		known := q.crashedAt[minCrashesToProve-1].Add(detectionTime)
		later := slices.DeleteFunc(slices.Clone(q.sentAt), func(at time.Time) bool { return !at.After(known) })
		qt.Assert(w.t, len(later) <= maxLaterSends, qt.IsTrue, qt.Commentf("%s was sent %d times after its detection", q.digest, len(later)))
	}
}

// TestOnlyCrashingRequestsAreBlocked simulates fleets in which some requests crash the servers that run them. Other requests on
// these servers must still be served, and the crashing ones must be blocked.
func TestOnlyCrashingRequestsAreBlocked(t *testing.T) {
	for name, tc := range map[string]struct {
		routers, servers, crashing, others int
		// storeDowntime is how long the store is down, beginning after the first second.
		storeDowntime time.Duration
		seeds         uint64
		// duration is how long the crashing requests are repeated; zero is 15 s.
		duration time.Duration
	}{
		"one crashing request":                 {routers: 5, servers: 18, crashing: 1, others: 40, seeds: 10},
		"one crashing request for a long time": {routers: 5, servers: 18, crashing: 1, others: 20, seeds: 3, duration: 90 * time.Second},
		"three crashing requests":              {routers: 5, servers: 18, crashing: 3, others: 40, seeds: 10},
		"few servers":                          {routers: 3, servers: 4, crashing: 1, others: 12, seeds: 20},
		"many routers":                         {routers: 100, servers: 60, crashing: 2, others: 100, seeds: 2},
		"the store is down for a while":        {routers: 5, servers: 18, crashing: 1, others: 40, storeDowntime: 5 * time.Second, seeds: 10},
		"the store is down most of the time":   {routers: 5, servers: 18, crashing: 2, others: 40, storeDowntime: 12 * time.Second, seeds: 10},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range tc.seeds {
				w := newWorld(t, seed, tc.routers, tc.servers)
				w.addRequests(tc.others, false)
				w.advance(time.Second)
				for _, r := range w.routers {
					r.storeDownUntil = w.now.Add(tc.storeDowntime)
				}
				w.addRequests(tc.crashing, true)
				w.advance(max(tc.duration, 15*time.Second))
				w.checkRequests()
			}
		})
	}
}

// TestRequestAtManyRoutersIsTriedOnce sends a crashing request to all routers at the same instant, repeatedly. After the first
// time, it may only be sent to servers as often as the proof needs, not once by each router.
func TestRequestAtManyRoutersIsTriedOnce(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(t, seed, 10, 30)
		// Requests with the same content have the same digest.
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
		qt.Assert(t, sent <= minWeightToProve/weightUnanswered, qt.IsTrue, qt.Commentf("seed %d: after the first ten sends it was sent %d times", seed, sent))
	}
}

// TestRequestsRecoverWithBrokenServers guards against requests that stay blocked after all servers have crashed whatever they
// ran, as after a bad release, and have been repaired. Every request then looks like the cause of the crashes.
func TestRequestsRecoverWithBrokenServers(t *testing.T) {
	const (
		repairTime   = 6 * time.Second
		recoveryTime = 45 * time.Second
	)
	for seed := range uint64(5) {
		w := newWorld(t, seed, 3, 6)
		w.addRequests(12, false)
		w.brokenUntil = w.now.Add(repairTime)
		w.advance(repairTime)
		for _, q := range w.requests {
			qt.Assert(t, q.served, qt.Equals, 0)
		}
		w.advance(recoveryTime)
		w.checkRequests()
	}
}
