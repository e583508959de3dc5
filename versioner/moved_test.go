package versioner

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
)

// TestStreamIsNotResumedInAnotherPool guards against streams that go on in another pool than the one in which they began, because the
// configuration has changed where their route leads: the version on which the other pool is settled says nothing of them.
func TestStreamIsNotResumedInAnotherPool(t *testing.T) {
	const streams = 10
	// Route /y leads to pool b all the time, so that it is settled.
	whole, toB := resumableRoute("/x", shareOf("a", 1)), resumableRoute("/y", shareOf("b", 1))
	cases := map[string]struct{ before, after []masticway.Route }{
		"the route leads to another pool": {[]masticway.Route{whole, toB}, []masticway.Route{resumableRoute("/x", shareOf("b", 1)), toB}},
		"the weights change": {
			[]masticway.Route{resumableRoute("/x", shareOf("a", 9), shareOf("b", 1)), toB}, []masticway.Route{resumableRoute("/x", shareOf("a", 1), shareOf("b", 9)), toB},
		},
		"a route takes over a part":    {[]masticway.Route{whole, toB}, []masticway.Route{whole, resumableRoute("/x/z", shareOf("b", 1)), toB}},
		"a route gives back its part":  {[]masticway.Route{resumableRoute("/", shareOf("b", 1)), whole}, []masticway.Route{resumableRoute("/", shareOf("b", 1))}},
		"a route has another path now": {[]masticway.Route{whole, toB}, []masticway.Route{resumableRoute("/z", shareOf("a", 1)), resumableRoute("/", shareOf("b", 1)), toB}},
	}
	for name, tc := range cases {
		for _, version := range []string{"v1", ""} {
			t.Run(fmt.Sprintf("%s, version %q", name, version), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := newWorld(1, 6, "v1")
					defer w.close()
					servers := map[string][]masticway.Server{"a": {{Pool: "a", Version: version}}, "b": {{Pool: "b", Version: version}}}
					update := func(number int64, routes []masticway.Route) {
						for _, r := range w.up() {
							r.Update(masticway.Deployment{Version: number, Routes: routes}.WithIndex(), servers)
						}
					}
					// find returns how many streams are taken for ones of a pool at a router.
					find := func(address, pool, prefix string) (found int) {
						for i := range streams {
							if _, ok := w.routers[address].Find(t.Context(), pool, fmt.Sprint(prefix, i)); ok {
								found++
							}
						}
						return found
					}
					update(1, tc.before)
					w.readFor(time.Minute)
					for i := range streams {
						w.routers["1"].Versioner.Record(t.Context(), "a", fmt.Sprint("begun", i), version)
					}
					qt.Check(t, find("0", "a", "begun"), qt.Equals, streams)
					update(2, tc.after)
					w.readFor(time.Second)
					qt.Check(t, find("0", "b", "begun"), qt.Equals, 0)
					// Server changes and readings change nothing.
					update(2, tc.after)
					w.readFor(time.Second)
					qt.Check(t, find("2", "b", "begun"), qt.Equals, 0)
					for i := range streams {
						w.routers["3"].Versioner.Record(t.Context(), "b", fmt.Sprint("later", i), version)
					}
					qt.Check(t, find("0", "b", "later"), qt.Equals, streams, qt.Commentf("begun in the pool after the change"))
					if name == "the weights change" {
						qt.Check(t, find("0", "a", "begun"), qt.Equals, streams, qt.Commentf("begun before, and the route still leads there"))
					}
					w.readFor(time.Minute)
					_, ok := w.routers["0"].Find(t.Context(), "b", "unsent")
					qt.Check(t, ok, qt.IsTrue, qt.Commentf("the change was long ago"))
				})
			})
		}
	}
}
