package versioner

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
)

// TestMovedStreamIsNotTakenForAnotherPoolWhileNobodyReadsConfiguration guards against streams that go on in another pool than the one in
// which they began, because no keeper acknowledged them, and none of the routers that could say so has read the configuration since.
func TestMovedStreamIsNotTakenForAnotherPoolWhileNobodyReadsConfiguration(t *testing.T) {
	const routers, streams = 6, 10
	before := masticway.Deployment{Version: 1, Routes: []masticway.Route{resumableRoute("/x", shareOf("a", 1)), resumableRoute("/y", shareOf("b", 1))}}.WithIndex()
	after := masticway.Deployment{Version: 2, Routes: []masticway.Route{resumableRoute("/x", shareOf("b", 1)), resumableRoute("/y", shareOf("b", 1))}}.WithIndex()
	cases := map[string]struct {
		version       string
		readsNoServer bool
	}{
		"they read the servers": {version: "v1"}, "they read the servers, no version": {}, "they read nothing, no version": {readsNoServer: true},
		"they read nothing": {version: "v1", readsNoServer: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(1, routers, "v1")
				defer w.close()
				servers := map[string][]masticway.Server{"a": {{Pool: "a", Version: tc.version}}, "b": {{Pool: "b", Version: tc.version}}}
				for _, r := range w.up() {
					r.Update(before, servers)
				}
				w.readFor(time.Minute)
				w.mu.Lock()
				until := time.Now().Add(time.Hour)
				for address, r := range w.routers {
					switch {
					case address == "1":
						r.aloneUntil = until
					case tc.readsNoServer:
						r.storeAwayUntil = until
					default:
						r.configurationAwayUntil = until
					}
				}
				w.mu.Unlock()
				w.routers["1"].Update(after, servers)
				var mu sync.Mutex
				var wg sync.WaitGroup
				begun, found := 0, 0
				for i := range streams {
					wg.Go(func() {
						if !w.routers["1"].Versioner.Record(t.Context(), "b", fmt.Sprint("begun", i), tc.version) {
							return
						}
						time.Sleep(time.Second)
						_, ok := w.routers["0"].Find(t.Context(), "a", fmt.Sprint("begun", i))
						mu.Lock()
						defer mu.Unlock()
						if begun++; ok {
							found++
						}
					})
				}
				w.readFor(10 * time.Second)
				wg.Wait()
				qt.Check(t, begun, qt.Equals, streams)
				qt.Check(t, found, qt.Equals, 0, qt.Commentf("of %d streams begun in pool b, at a router that takes them for ones of pool a", begun))
			})
		})
	}
}
