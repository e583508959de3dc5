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
	route := func(path string, shares ...masticway.TrafficShare) masticway.Route {
		return masticway.Route{Name: path, Prefix: path, RetryPolicy: masticway.RetryByResuming, Timeout: 4 * time.Second, Shares: shares}
	}
	share := func(pool string) masticway.TrafficShare { return masticway.TrafficShare{Pool: pool, Weight: 1} }
	before := []masticway.Route{route("/x", share("a")), route("/y", share("b"))}
	after := []masticway.Route{route("/x", share("b")), route("/y", share("b"))}
	for _, version := range []string{"v1", ""} {
		for _, kind := range []string{"one router, restarts", "six, one restarts", "six, one restarts and is alone", "six, all restart", "six, one alone has not the newest configuration"} {
			t.Run(fmt.Sprintf("%s, version %q", kind, version), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					n := 6
					if kind == "one router, restarts" {
						n = 1
					}
					w := newWorld(1, n, "v1")
					defer w.close()
					servers := map[string][]masticway.Server{"a": {{Pool: "a", Version: version}}, "b": {{Pool: "b", Version: version}}}
					update := func(number int64, routes []masticway.Route, rs ...*simRouter) {
						for _, r := range rs {
							r.Update(masticway.Deployment{Version: number, Routes: routes}.WithIndex(), servers)
							r.seen = []string{"v1"}
						}
					}
					update(1, before, w.up()...)
					w.readFor(time.Minute)
					begin, moved, beginPool, resumePool := "0", after, "a", "b"
					if n > 1 {
						begin = "1"
					}
					if kind == "six, one alone has not the newest configuration" {
						var rest []*simRouter
						for _, r := range w.up() {
							if r.address != "0" {
								rest = append(rest, r)
							}
						}
						w.routers["0"].aloneUntil, w.routers["0"].configurationAwayUntil = time.Now().Add(time.Hour), time.Now().Add(time.Hour)
						update(2, moved, rest...)
						beginPool, resumePool = "b", "a"
						w.readFor(time.Second)
						for i := range streams {
							w.routers[begin].Versioner.Record(t.Context(), beginPool, fmt.Sprint("begun", i), version)
						}
						w.readFor(200 * time.Millisecond)
					} else {
						for i := range streams {
							w.routers[begin].Versioner.Record(t.Context(), beginPool, fmt.Sprint("begun", i), version)
						}
						w.readFor(time.Second)
						update(2, moved, w.up()...)
						w.readFor(time.Second)
						switch kind {
						case "six, all restart":
							for i := range n {
								w.start(fmt.Sprint(i))
							}
							for i := range n {
								update(2, moved, w.routers[fmt.Sprint(i)])
							}
						default:
							w.start("0")
							update(2, moved, w.routers["0"])
							if kind == "six, one restarts and is alone" {
								w.routers["0"].aloneUntil = time.Now().Add(time.Hour)
							}
						}
						w.readFor(3 * time.Second)
					}
					found := 0
					done := make(chan bool, streams)
					for i := range streams {
						go func() {
							_, ok := w.routers["0"].Find(t.Context(), resumePool, fmt.Sprint("begun", i))
							done <- ok
						}()
					}
					w.readFor(5 * time.Second)
					for range streams {
						if <-done {
							found++
						}
					}
					qt.Check(t, found, qt.Equals, 0, qt.Commentf("streams begun in pool %s go on in pool %s", beginPool, resumePool))
				})
			})
		}
	}
}
