package versioner

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestUnrecordedStreamIsNotTakenForSettled guards against streams that go on at another version because no keeper acknowledged theirs in
// time, while a router that is behind, or has just started, takes the pool for settled on another version.
func TestUnrecordedStreamIsNotTakenForSettled(t *testing.T) {
	cases := map[string]unrecordedCase{
		"cut off after it began them": {begin: func(w *world, until time.Time) { w.routers["5"].aloneUntil = until }},
		"cut off, and some others do not read": {begin: func(w *world, until time.Time) {
			w.routers["5"].aloneUntil = until
			for i := 6; i < 16; i++ {
				w.routers[fmt.Sprint(i)].storeAwayUntil = until
			}
		}},
		"cut off, and only the one that resumes reads": {begin: func(w *world, until time.Time) {
			w.routers["5"].aloneUntil = until
			w.hideStoreFromOthers(until)
			w.routers["0"].storeAwayUntil = time.Time{}
		}},
		"cut off, and the one that resumes does not read": {begin: func(w *world, until time.Time) {
			w.routers["5"].aloneUntil, w.routers["0"].storeAwayUntil = until, until
		}},
		"cut off for a second, and none of the others reads": {begin: func(w *world, until time.Time) {
			w.routers["5"].aloneUntil = until.Add(-9 * time.Second)
			w.hideStoreFromOthers(until)
		}, pause: 1200 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, tc.run)
	}
}

// TestUnrecordedStreamIsNotTakenForSettledWhileNobodyReads guards against streams that go on at another version because no keeper
// acknowledged theirs, and none of the routers that could say so has read the servers since that version came.
func TestUnrecordedStreamIsNotTakenForSettledWhileNobodyReads(t *testing.T) {
	unrecordedCase{begin: func(w *world, until time.Time) {
		w.routers["5"].aloneUntil = until
		w.hideStoreFromOthers(until)
	}}.run(t)
}

// unrecordedCase is a disturbance of a fleet for 10 s. Streams begin at router 5, which has seen a new version, and are resumed at
// router 0 after a pause.
type unrecordedCase struct {
	begin func(w *world, until time.Time)
	pause time.Duration
}

// hideStoreFromOthers cuts all routers except router 5 off from the store.
func (w *world) hideStoreFromOthers(until time.Time) {
	for address, r := range w.routers {
		if address != "5" {
			r.storeAwayUntil = until
		}
	}
}

// run resumes streams of a new version once their first event may go to their callers, and checks that they are not told another one.
func (c unrecordedCase) run(t *testing.T) {
	const routers, streams = 30, 12
	var total outcome
	for seed := range 4 {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(uint64(seed), routers, "v1")
			defer w.close()
			w.mu.Lock()
			c.begin(w, time.Now().Add(10*time.Second))
			w.versions = []string{"v1", "v2"}
			w.mu.Unlock()
			joinedAt := time.Now()
			w.readFor(800 * time.Millisecond)
			var mu sync.Mutex
			var wg sync.WaitGroup
			for k := range streams {
				wg.Go(func() {
					id := fmt.Sprintf("%d-%d", seed, k)
					w.routers["5"].Versioner.Record(context.Background(), "p", id, "v2")
					qt.Check(t, time.Since(joinedAt) <= maxReadingAge+time.Second, qt.IsTrue, qt.Commentf("the first event waited until %v after the version came", time.Since(joinedAt)))
					time.Sleep(140*time.Millisecond + c.pause)
					o := w.resume(w.routers["0"], id, "v2")
					mu.Lock()
					defer mu.Unlock()
					total.add(o)
				})
			}
			w.readFor(9 * time.Second)
			wg.Wait()
		})
	}
	t.Logf("%+v", total)
	qt.Check(t, total.mixed, qt.Equals, 0)
	qt.Check(t, total.resumed+total.mixed+total.unknown, qt.Equals, 4*streams)
	if c.pause > 0 {
		qt.Check(t, total.unknown, qt.Equals, 0, qt.Commentf("the router that began them can record them again"))
	}
}
