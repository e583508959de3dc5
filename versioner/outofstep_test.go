package versioner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway/emulator"
)

// newWorld returns a simulated fleet whose routers have read the servers for a minute.
func newWorld(seed uint64, routers int, versions ...string) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, uint64(routers))), routers: map[string]*simRouter{}, versions: versions, rows: emulator.NewRowStore(time.Now)}
	for i := range routers {
		w.start(fmt.Sprint(i))
	}
	w.readFor(time.Minute)
	return w
}

// readFor lets the routers read the servers every 0.2 s for a time.
func (w *world) readFor(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		w.read()
		time.Sleep(min(200*time.Millisecond, time.Until(end)))
	}
}

// close ends the routers' background work.
func (w *world) close() {
	for _, r := range w.routers {
		r.stop()
	}
	time.Sleep(2 * deliveryTimeout)
}

// resumeAt resumes streams at a router at once and counts what became of them. The routers go on reading meanwhile.
func (w *world) resumeAt(r *simRouter, versions map[string]string) (o outcome) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for id, version := range versions {
		wg.Go(func() {
			one := w.resume(r, id, version)
			mu.Lock()
			defer mu.Unlock()
			o.add(one)
		})
	}
	w.readFor(5 * time.Second)
	wg.Wait()
	return o
}

// resume resumes a stream of a version at a router and returns what became of it.
func (w *world) resume(r *simRouter, id, version string) (o outcome) {
	found, ok := r.Find(context.Background(), "p", id)
	switch {
	case !ok:
		o.unknown++
	case found != version:
		o.mixed++
	default:
		o.resumed++
	}
	return o
}

// TestRouterOutOfStepTellsNoWrongVersion guards against streams that go on at another version at a router that was out of step with the
// others for some seconds while servers of a new version came. Where the router can know the version, it must tell it.
func TestRouterOutOfStepTellsNoWrongVersion(t *testing.T) {
	const routers, streams = 6, 12
	disturbances := map[string]struct {
		begin func(w *world, r *simRouter, until time.Time)
		// isKnown is set if the router reaches the others when streams are resumed at it, and reads if it reaches the store then.
		isKnown, reads bool
	}{
		"cut off from the others": {begin: func(w *world, r *simRouter, until time.Time) {
			w.mu.Lock()
			defer w.mu.Unlock()
			r.aloneUntil = until.Add(10 * time.Second)
		}, reads: true},
		"cut off from the others, its reading late": {begin: func(w *world, r *simRouter, until time.Time) {
			w.mu.Lock()
			defer w.mu.Unlock()
			r.aloneUntil, r.storeAwayUntil = until.Add(10*time.Second), until.Add(200*time.Millisecond)
		}, reads: true},
		"cut off from the store": {begin: func(w *world, r *simRouter, until time.Time) {
			w.mu.Lock()
			defer w.mu.Unlock()
			r.storeAwayUntil = until.Add(10 * time.Second)
		}, isKnown: true},
		"cut off from the others and the store": {begin: func(w *world, r *simRouter, until time.Time) {
			w.mu.Lock()
			defer w.mu.Unlock()
			r.cutUntil = until.Add(10 * time.Second)
		}},
		// What was sent to it meanwhile was given up, and it has read nothing when the resumption arrives.
		"standing still": {begin: func(w *world, r *simRouter, until time.Time) {
			w.mu.Lock()
			defer w.mu.Unlock()
			r.cutUntil = until.Add(-time.Nanosecond)
		}, isKnown: true},
		"just started": {begin: func(w *world, r *simRouter, until time.Time) {
			w.start(r.address)
			w.mu.Lock()
			w.routers[r.address].downUntil = until.Add(-300 * time.Millisecond)
			w.mu.Unlock()
		}, isKnown: true},
	}
	releases := map[string]struct{ before, after []string }{
		"a new version joins": {[]string{"v1"}, []string{"v1", "v2"}}, "the old one leaves": {[]string{"v1", "v2"}, []string{"v2"}},
		"a new one for the old one": {[]string{"v1"}, []string{"v2"}}, "one version": {[]string{"v1"}, []string{"v1"}},
		"no version": {[]string{""}, []string{""}},
	}
	// The versions of a pool that does not change are known by a reading.
	isCalm := func(before, after []string) bool { return len(before)+len(after) == 2 && before[0] == after[0] }
	for disturbance, tc := range disturbances {
		for release, rc := range releases {
			t.Run(disturbance+", "+release, func(t *testing.T) {
				var total outcome
				for seed, delay := range []time.Duration{500 * time.Millisecond, time.Second, 1500 * time.Millisecond, 2500 * time.Millisecond} {
					synctest.Test(t, func(t *testing.T) {
						w := newWorld(uint64(seed), routers, rc.before...)
						defer w.close()
						w.mu.Lock()
						until := time.Now().Add(delay)
						w.mu.Unlock()
						tc.begin(w, w.routers["0"], until)
						w.mu.Lock()
						w.versions = rc.after
						w.mu.Unlock()
						w.readFor(delay - 200*time.Millisecond)
						versions := map[string]string{}
						for k := range streams {
							w.mu.Lock()
							first := w.routers[fmt.Sprint(1+w.rng.IntN(routers-1))]
							id := fmt.Sprintf("%d-%d", seed, k)
							versions[id] = first.seen[w.rng.IntN(len(first.seen))]
							w.mu.Unlock()
							go first.Versioner.Record(context.Background(), "p", id, versions[id])
						}
						w.readFor(time.Until(until))
						o := w.resumeAt(w.routers["0"], versions)
						total.add(o)
					})
				}
				t.Logf("%+v", total)
				qt.Check(t, total.mixed, qt.Equals, 0, qt.Commentf("%+v", total))
				if tc.isKnown || isCalm(rc.before, rc.after) && tc.reads {
					qt.Check(t, total.unknown, qt.Equals, 0, qt.Commentf("%+v", total))
				}
				if !tc.isKnown && !tc.reads {
					qt.Check(t, total.resumed, qt.Equals, 0, qt.Commentf("the route may have been moved, %+v", total))
				}
			})
		}
	}
}
