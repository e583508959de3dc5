package diverter_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/diverter"
	"github.com/masticway/masticway/measurer"
	"github.com/masticway/masticway/messenger"
)

// fixedRotation is the load control of a router whose load is set by the test.
type fixedRotation struct {
	masticway.Rotation
	overloaded atomic.Bool
}

func (r *fixedRotation) Pressure() (bool, int, time.Duration) { return r.overloaded.Load(), 0, 0 }
func (r *fixedRotation) IsOut() bool                          { return false }
func (r *fixedRotation) Admit(int, int64) bool                { return true }

// loopbackRouter is a diverter behind an HTTP server.
type loopbackRouter struct {
	diverter.Router
	rotation fixedRotation
	diverter *diverter.Diverter
}

// TestLoopback diverts a zone over real connections. It guards against messages that are not encoded, routed or decoded as intended,
// and against goroutines that outlast Run.
func TestLoopback(t *testing.T) {
	const zones, routersPerZone = 4, 3
	ctx, stop := context.WithCancel(t.Context())
	var all []*loopbackRouter
	var muxes []*http.ServeMux
	for i := range zones * routersPerZone {
		mux := http.NewServeMux()
		server := httptest.NewServer(mux)
		t.Cleanup(server.Close)
		muxes = append(muxes, mux)
		zone := i / routersPerZone
		all = append(all, &loopbackRouter{Router: diverter.Router{
			Instance: fmt.Sprintf("router-%d", i), Address: server.Listener.Addr().(*net.TCPAddr).String(), Zone: fmt.Sprintf("zone-%d", zone), Processors: 1,
		}})
	}
	log, hook := test.NewNullLogger()
	for i, r := range all {
		r.diverter = diverter.New(diverter.Settings{Instance: r.Instance, Address: r.Address, Zone: r.Zone, Processors: 1}, diverter.Dependencies{
			Rotation: &r.rotation, Messages: diverter.NewClient(messenger.NewSlowLinkClient()), Clock: masticway.SystemClock{},
			Log: log.WithField("instance", r.Instance), Metrics: measurer.New(), Applies: func() bool { return true }, IsServing: func() bool { return true },
			Routers: func() (others []diverter.Router) {
				for _, o := range all {
					if o != r {
						others = append(others, o.Router)
					}
				}
				return others
			},
		})
		r.diverter.Serve(muxes[i])
	}
	ended := make(chan struct{}, len(all))
	for _, r := range all {
		go func() {
			r.diverter.Run(ctx)
			ended <- struct{}{}
		}()
	}
	// Each router of zone-0 gets 20 times as many requests as the others.
	deadline := time.Now().Add(20 * time.Second)
	diverted := func(zone string) (n int) {
		for _, r := range all {
			if r.Zone == zone && r.diverter.IsOut() {
				n++
			}
		}
		return n
	}
	for diverted("zone-0") < routersPerZone {
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue)
		for _, r := range all {
			requests := 1
			if r.Zone == "zone-0" {
				requests = 20
				r.rotation.overloaded.Store(true)
			}
			for range requests {
				r.diverter.Admit(0, 1)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	for i := range zones {
		if i > 0 {
			qt.Check(t, diverted(fmt.Sprintf("zone-%d", i)), qt.Equals, 0)
		}
	}
	stop()
	for range all {
		<-ended
	}
	votes := 0
	for _, e := range hook.AllEntries() {
		if e.Data["event"] == "zone_vote" && e.Data["vote"] == diverter.VoteConsent {
			votes++
		}
	}
	qt.Check(t, votes >= zones-1, qt.IsTrue)
}
