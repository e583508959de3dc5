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
	worldTick = 10 * time.Millisecond
	// knownWithin is the time in which all routers are to know, sendsAfter how often a request at fault may be sent later.
	knownWithin = 3 * time.Second
	sendsAfter  = 3
	// worldAnswer is when an answer begins, worldAlone from when on it clears its request.
	worldAnswer = 100 * time.Millisecond
	worldAlone  = time.Second
)

// worldRequest is one caller's request, which comes again and again.
type worldRequest struct {
	digest masticway.RequestDigest
	fault  bool
	// long is how long an answer takes, next when the request comes again.
	long   time.Duration
	next   time.Time
	router int
	// ends are the servers that ended under it, sent when it was sent to servers, served how often it was.
	ends   []time.Time
	sent   []time.Time
	served int
	waits  bool
}

// worldRun is one request at one server.
type worldRun struct {
	*worldRequest
	router int
	began  time.Time
	apart  bool
	told   bool
}

// worldRouter is a router: its beliefs, and the rows that are on their way to it.
type worldRouter struct {
	*Register
	feed []worldNews
	// away is until when the store does not serve it.
	away time.Time
}

type worldNews struct {
	at  time.Time
	row masticway.StoredRow
}

// world is a fleet in one goroutine: routers, servers that end under some requests, and the store between them.
type world struct {
	t        *testing.T
	random   *rand.Rand
	now      time.Time
	rows     *emulator.Rows
	routers  []*worldRouter
	servers  map[masticway.ServerIncarnation][]*worldRun
	back     []time.Time
	lives    int
	requests []*worldRequest
	// broken is until when every server ends under whatever it runs.
	broken time.Time
}

func newWorld(t *testing.T, seed uint64, routers, servers int) *world {
	w := &world{t: t, random: rand.New(rand.NewPCG(seed, 1)), now: testTime, servers: map[masticway.ServerIncarnation][]*worldRun{}}
	w.rows = emulator.NewRows(func() time.Time { return w.now })
	for i := range routers {
		w.routers = append(w.routers, &worldRouter{Register: NewRegister(masticway.Incarnation(fmt.Sprintf("r%d~1", i)), w.random.Float64)})
	}
	for range servers {
		w.start()
	}
	return w
}

func (w *world) start() {
	w.lives++
	w.servers[masticway.ServerIncarnation(fmt.Sprintf("s%03d", w.lives))] = nil
}

func (w *world) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.random.Int64N(int64(most-least)+1))
}

// add has callers ask for some things again and again; those at fault end the servers that run them.
func (w *world) add(n int, fault bool) {
	for range n {
		w.requests = append(w.requests, &worldRequest{
			digest: masticway.RequestDigest(fmt.Sprintf("d%03d", len(w.requests))), fault: fault,
			long: w.between(200*time.Millisecond, 3*time.Second), next: w.now.Add(w.between(0, time.Second)),
		})
	}
}

// write changes rows for a router and sends what changed to all.
func (w *world) write(r *worldRouter, changes []change) error {
	if w.now.Before(r.away) {
		return errors.New("the store is away")
	}
	var write masticway.RowWrite
	for _, c := range changes {
		key := masticway.RowKey{Table: Table, Part: Part, Key: string(c.digest)}
		write.Expected = append(write.Expected, masticway.RowVersion{RowKey: key, Version: c.version})
		if c.gone {
			write.Deletes = append(write.Deletes, key)
			continue
		}
		write.Puts = append(write.Puts, masticway.RowPut{RowKey: key, Value: c.record.encode()})
	}
	reading, err := w.rows.Apply(write)
	if conflict, ok := errors.AsType[*masticway.RowConflictError](err); ok {
		r.Collided(w.now, changes, conflict.Rows)
		return err
	}
	qt.Assert(w.t, err, qt.IsNil)
	for _, c := range changes {
		r.Wrote(w.now, c, reading.Version)
		row := masticway.StoredRow{RowKey: masticway.RowKey{Key: string(c.digest)}, Version: reading.Version, Value: c.record.encode(), Deleted: c.gone}
		for _, other := range w.routers {
			if other != r {
				at := w.now.Add(w.between(10*time.Millisecond, 150*time.Millisecond))
				if n := len(other.feed); n > 0 && at.Before(other.feed[n-1].at) {
					at = other.feed[n-1].at
				}
				other.feed = append(other.feed, worldNews{at: at, row: row})
			}
		}
	}
	return nil
}

// play lets a time pass.
func (w *world) play(d time.Duration) {
	for until := w.now.Add(d); w.now.Before(until); w.now = w.now.Add(worldTick) {
		w.hear()
		for _, life := range w.lifes() {
			w.work(life)
		}
		for len(w.back) > 0 && !w.now.Before(w.back[0]) {
			w.back = w.back[1:]
			w.start()
		}
		for _, q := range w.requests {
			if !w.now.Before(q.next) {
				w.come(q)
			}
		}
		for _, r := range w.routers {
			if due := r.Due(w.now, writesMost); len(due) > 0 {
				// What the store does not take stays due.
				_ = w.write(r, due)
			}
		}
	}
}

// hear brings the store's changes to the routers, and what these tell each other while it is away.
func (w *world) hear() {
	for _, r := range w.routers {
		for len(r.feed) > 0 && !w.now.Before(r.feed[0].at) && !w.now.Before(r.away) {
			qt.Assert(w.t, r.Learn(w.now, r.feed[0].row), qt.IsNil)
			r.feed = r.feed[1:]
		}
		for _, n := range r.Untold(w.now) {
			for _, other := range w.routers {
				if other != r {
					other.Heard(w.now, n)
				}
			}
		}
	}
}

func (w *world) lifes() []masticway.ServerIncarnation {
	var all []masticway.ServerIncarnation
	for life := range w.servers {
		all = append(all, life)
	}
	slices.Sort(all)
	return all
}

// work has a server go on with what it runs, and end under a request at fault.
func (w *world) work(life masticway.ServerIncarnation) {
	ends := false
	runs := w.servers[life]
	for _, run := range slices.Clone(runs) {
		since := w.now.Sub(run.began)
		r := w.routers[run.router]
		switch {
		case run.fault || w.now.Before(w.broken):
			ends = ends || since >= 60*time.Millisecond
			continue
		case since < run.long:
			if run.apart && !run.told && since >= worldAnswer+worldAlone {
				run.told = true
				r.Cleared(run.digest)
			}
			continue
		}
		if run.apart && !run.told {
			r.Cleared(run.digest)
		}
		run.served++
		run.next = w.now.Add(w.between(0, 500*time.Millisecond))
		runs = slices.DeleteFunc(runs, func(x *worldRun) bool { return x == run })
	}
	w.servers[life] = runs
	if ends {
		w.end(life, runs)
	}
}

// end ends a server under all that it runs.
func (w *world) end(life masticway.ServerIncarnation, runs []*worldRun) {
	delete(w.servers, life)
	w.back = append(w.back, w.now.Add(500*time.Millisecond))
	for _, run := range runs {
		since := w.now.Sub(run.began)
		if since < worldAnswer+worldAlone {
			w.routers[run.router].Ended(w.now, run.digest, "/p", masticway.ServerCrash{Server: life, Quarantined: run.apart, Answered: since >= worldAnswer})
		}
		run.ends = append(run.ends, w.now)
		// What was not at fault goes on at once, at the same router; the other comes again anywhere.
		run.next = w.now
		if run.fault {
			run.next = w.now.Add(w.between(10*time.Millisecond, 400*time.Millisecond))
		}
	}
}

// come has a request come to a router, or look again there whether its turn has come.
func (w *world) come(q *worldRequest) {
	if !q.waits && (q.fault || len(q.ends) == 0) {
		q.router = w.random.IntN(len(w.routers))
	}
	r := w.routers[q.router]
	s := r.Standing(w.now, q.digest)
	q.waits = false
	switch {
	case s.Suspicion == masticway.SuspicionProven:
		qt.Assert(w.t, q.fault || !w.broken.IsZero(), qt.IsTrue, qt.Commentf("%s is not at fault: %+v", q.digest, s.Crashes))
		q.next = w.now.Add(w.between(50*time.Millisecond, 400*time.Millisecond))
		return
	case s.Suspicion == masticway.SuspicionNone:
		_, serious := r.Occupied(w.now)
		w.send(q, w.pick(serious), false)
		return
	}
	occupied, _ := r.Occupied(w.now)
	if life := w.pick(occupied); life != "" {
		w.claim(q, r, life)
	}
	if q.next.After(w.now) {
		return
	}
	q.waits = true
	q.next = w.now.Add(20 * time.Millisecond)
}

// claim has a request run apart, unless another router has it do so.
func (w *world) claim(q *worldRequest, r *worldRouter, life masticway.ServerIncarnation) {
	if record, version, ok := r.Claim(w.now, q.digest, life); ok {
		err := w.write(r, []change{{digest: q.digest, record: record, version: version}})
		if _, conflict := errors.AsType[*masticway.RowConflictError](err); !conflict {
			w.send(q, life, true)
			return
		}
		r.Released(q.digest)
	}
}

// pick draws a server that is not among some.
func (w *world) pick(without map[masticway.ServerIncarnation]bool) masticway.ServerIncarnation {
	free := slices.DeleteFunc(w.lifes(), func(l masticway.ServerIncarnation) bool { return without[l] })
	if len(free) == 0 {
		return ""
	}
	return free[w.random.IntN(len(free))]
}

func (w *world) send(q *worldRequest, life masticway.ServerIncarnation, apart bool) {
	if life == "" {
		q.next = w.now.Add(worldTick)
		return
	}
	q.sent = append(q.sent, w.now)
	q.next = w.now.Add(time.Hour)
	w.servers[life] = append(w.servers[life], &worldRun{worldRequest: q, router: q.router, began: w.now, apart: apart})
}

// judge checks what must hold of every request.
func (w *world) judge() {
	for _, q := range w.requests {
		if !q.fault {
			qt.Assert(w.t, q.served > 0, qt.IsTrue, qt.Commentf("%s was never served, %d servers ended under it", q.digest, len(q.ends)))
			continue
		}
		if len(q.ends) < endsToProve {
			continue
		}
		known := q.ends[endsToProve-1].Add(knownWithin)
		later := slices.DeleteFunc(slices.Clone(q.sent), func(at time.Time) bool { return !at.After(known) })
		qt.Assert(w.t, len(later) <= sendsAfter, qt.IsTrue, qt.Commentf("%s was sent %d times later", q.digest, len(later)))
	}
}

// TestOnlyRequestsAtFaultAreKeptFromServers plays fleets in which some requests end the servers that run them and many others
// share these servers, come again and are served.
func TestOnlyRequestsAtFaultAreKeptFromServers(t *testing.T) {
	for name, tc := range map[string]struct {
		routers, servers, fault, others int
		// away is for how long the store serves nobody, from the first second on.
		away  time.Duration
		seeds uint64
		// plays is for how long requests at fault come again, 15 s when it is zero.
		plays time.Duration
	}{
		"one at fault":                       {routers: 5, servers: 18, fault: 1, others: 40, seeds: 10},
		"one at fault comes for long":        {routers: 5, servers: 18, fault: 1, others: 20, seeds: 3, plays: 90 * time.Second},
		"three at once":                      {routers: 5, servers: 18, fault: 3, others: 40, seeds: 10},
		"few servers":                        {routers: 3, servers: 4, fault: 1, others: 12, seeds: 20},
		"many routers":                       {routers: 100, servers: 60, fault: 2, others: 100, seeds: 2},
		"the store is away for a while":      {routers: 5, servers: 18, fault: 1, others: 40, away: 5 * time.Second, seeds: 10},
		"the store is away nearly all along": {routers: 5, servers: 18, fault: 2, others: 40, away: 12 * time.Second, seeds: 10},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range tc.seeds {
				w := newWorld(t, seed, tc.routers, tc.servers)
				w.add(tc.others, false)
				w.play(time.Second)
				for _, r := range w.routers {
					r.away = w.now.Add(tc.away)
				}
				w.add(tc.fault, true)
				w.play(max(tc.plays, 15*time.Second))
				w.judge()
			}
		})
	}
}

// TestRequestAtManyRoutersAtOnceIsTriedOnce has a request at fault come to all routers in the same instant, again and again.
func TestRequestAtManyRoutersAtOnceIsTriedOnce(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(t, seed, 10, 30)
		// Callers of the same thing share its digest.
		for i := range w.routers {
			w.requests = append(w.requests, &worldRequest{digest: "d", fault: true, router: i, waits: true, next: w.now.Add(time.Second)})
		}
		w.play(1050 * time.Millisecond)
		var ends []time.Time
		for range 10 {
			w.play(time.Second)
			for i, q := range w.requests {
				q.router, q.waits, q.next = i, true, w.now
			}
		}
		sent := 0
		for _, q := range w.requests {
			ends = append(ends, q.ends...)
			for _, at := range q.sent {
				if at.After(testTime.Add(1100 * time.Millisecond)) {
					sent++
				}
			}
		}
		qt.Assert(t, len(ends) >= endsToProve, qt.IsTrue)
		qt.Assert(t, sent <= weightToProve/weightUnbegun, qt.IsTrue, qt.Commentf("seed %d: after the first ten at once it was sent %d times", seed, sent))
	}
}

// TestRequestsAreServedAgainOnceBrokenServersAreMended has every server end under whatever it runs for a while, as after a bad
// release: all requests look at fault, and none is.
func TestRequestsAreServedAgainOnceBrokenServersAreMended(t *testing.T) {
	const (
		mendedAfter = 6 * time.Second
		servedAgain = 45 * time.Second
	)
	for seed := range uint64(5) {
		w := newWorld(t, seed, 3, 6)
		w.add(12, false)
		w.broken = w.now.Add(mendedAfter)
		w.play(mendedAfter)
		for _, q := range w.requests {
			qt.Assert(t, q.served, qt.Equals, 0)
		}
		w.play(servedAgain)
		w.judge()
	}
}
