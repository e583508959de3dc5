package versioner

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
)

// TestMovedStreamIsNotTakenForAnotherPoolAfterRestart guards against streams that continue in another pool after a change of their route,
// at routers that have started since or have not read the change yet.
func TestMovedStreamIsNotTakenForAnotherPoolAfterRestart(t *testing.T) {
	const streams = 10
	before := masticway.Deployment{Version: 1, Routes: []masticway.Route{resumableRoute("/x", shareOf("a", 1)), resumableRoute("/y", shareOf("b", 1))}}.WithIndex()
	after := masticway.Deployment{Version: 2, Routes: []masticway.Route{resumableRoute("/x", shareOf("b", 1)), resumableRoute("/y", shareOf("b", 1))}}.WithIndex()
	cases := map[string]struct {
		// routers is the number of routers, of which the first restarts of them restart.
		routers, restarts int
		// isAlone is set if router 0, at which the streams are resumed, is cut off from the others, and isBehind if it has not the newest
		// configuration. The streams begin after the change then.
		isAlone, isBehind bool
	}{
		"one router, restarts":                            {routers: 1, restarts: 1},
		"six, one restarts":                               {routers: 6, restarts: 1},
		"six, one restarts and is alone":                  {routers: 6, restarts: 1, isAlone: true},
		"six, all restart":                                {routers: 6, restarts: 6},
		"six, one alone has not the newest configuration": {routers: 6, isAlone: true, isBehind: true},
	}
	for name, tc := range cases {
		for _, version := range []string{"v1", ""} {
			t.Run(fmt.Sprintf("%s, version %q", name, version), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := newWorld(1, tc.routers, "v1")
					defer w.close()
					servers := map[string][]masticway.Server{"a": {{Pool: "a", Version: version}}, "b": {{Pool: "b", Version: version}}}
					update := func(d masticway.Deployment, rs ...*simRouter) {
						for _, r := range rs {
							r.Update(d, servers)
							r.seen = []string{"v1"}
						}
					}
					beginner := w.routers[fmt.Sprint(min(1, tc.routers-1))]
					begin := func(pool string) {
						for i := range streams {
							beginner.Versioner.Record(t.Context(), pool, fmt.Sprint("begun", i), version)
						}
					}
					update(before, w.up()...)
					w.readFor(time.Minute)
					pool, other := "a", "b"
					if tc.isBehind {
						pool, other = other, pool
						w.routers["0"].aloneUntil, w.routers["0"].configurationAwayUntil = time.Now().Add(time.Hour), time.Now().Add(time.Hour)
						update(after, w.up()[1:]...)
						w.readFor(time.Second)
						begin(pool)
						w.readFor(200 * time.Millisecond)
					} else {
						begin(pool)
						w.readFor(time.Second)
						update(after, w.up()...)
						w.readFor(time.Second)
						for i := range tc.restarts {
							w.start(fmt.Sprint(i))
						}
						for i := range tc.restarts {
							update(after, w.routers[fmt.Sprint(i)])
						}
						if tc.isAlone {
							w.routers["0"].aloneUntil = time.Now().Add(time.Hour)
						}
						w.readFor(3 * time.Second)
					}
					found := make(chan bool, streams)
					for i := range streams {
						go func() {
							_, ok := w.routers["0"].Find(t.Context(), other, fmt.Sprint("begun", i))
							found <- ok
						}()
					}
					w.readFor(5 * time.Second)
					for range streams {
						qt.Check(t, <-found, qt.IsFalse, qt.Commentf("a stream begun in pool %s goes on in pool %s", pool, other))
					}
				})
			})
		}
	}
}
