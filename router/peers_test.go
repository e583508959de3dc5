package router

import (
	"context"
	"net"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/configurer"
	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/linker"
)

const (
	// slowLink is the bandwidth of the slowest link of a router, 10 Mbit/s, in bytes per second.
	slowLink = 10_000_000 / 8
	// largeConfigBytes is the size of a configuration that takes 8.4 s on a slow link.
	largeConfigBytes = 10 << 20
	// configLimit is the maximum duration of the transfer in the test, more than twice the time that a large configuration takes.
	configLimit = 30 * time.Second
)

func peerIdentity(instance string) linker.Identity {
	self := masticway.Peer{Instance: instance, Incarnation: masticway.Incarnation(instance + "~1"), Role: masticway.RoleRouter}
	return linker.Identity{Self: self, Key: []byte("0123456789abcdef")}
}

// startingRouter returns a router that sends no regular heartbeats, like one whose configuration is not loaded yet.
func startingRouter(ctx context.Context) *Router {
	r := &Router{ctx: ctx, clock: masticway.SystemClock{}}
	r.settings.HeartbeatInterval = masticway.Duration(time.Second)
	r.snapshot.Store(&configurer.Snapshot{})
	return r
}

// linkedPeer returns a slow link from a router to a peer that sends heartbeats, and answers a request for its configuration if
// full is not nil.
func linkedPeer(t *testing.T, instance string, full *configurer.Configuration) *linker.Conn {
	answer := func(c *linker.Conn, m linker.Message) {
		if m.ConfigRequest != nil && full != nil {
			_ = c.Reply(m, linker.Message{Config: full})
		}
	}
	var wg sync.WaitGroup
	startHeartbeats := func(c *linker.Conn) { wg.Go(func() { sendHeartbeats(c) }) }
	l := linker.NewListener(peerIdentity(instance), answer, startHeartbeats, func(*linker.Conn) {})
	server := httptest.NewServer(l)
	link := emulator.NewBandwidthProxy(slowLink)
	address, err := link.AddTarget(server.Listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	d := linker.Dialer{
		Identity: peerIdentity("asking"), Dial: (&net.Dialer{}).DialContext,
		Handler: func(*linker.Conn, linker.Message) {}, OnUp: func(*linker.Conn) {}, OnDown: func(*linker.Conn) {},
	}
	ctx, cancel := context.WithCancel(context.Background())
	c, err := d.Connect(ctx, address)
	qt.Assert(t, err, qt.IsNil)
	wg.Go(func() { d.Serve(ctx, c) })
	t.Cleanup(func() {
		cancel()
		l.Close()
		wg.Wait()
		link.Close()
		server.Close()
	})
	return c
}

func sendHeartbeats(c *linker.Conn) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-c.Done():
			return
		case <-tick.C:
			// Send fails once the link is down, which the next iteration detects.
			_ = c.Send(linker.Message{Heartbeat: &linker.Heartbeat{}})
		}
	}
}

// TestFetchConfigOverSlowLink guards against a timeout of the whole transfer, which would cut off a large configuration on a slow
// link each time it is fetched, and against waiting without end for a peer that does not answer.
func TestFetchConfigOverSlowLink(t *testing.T) {
	large := &configurer.Configuration{Revision: 7, Contracts: []masticway.Contract{{Workspace: strings.Repeat("w", largeConfigBytes)}}}
	cases := map[string]struct {
		full *configurer.Configuration
		want bool
	}{
		"large":      {full: large, want: true},
		"no answer":  {},
		"none there": {full: &configurer.Configuration{}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(t.Context(), configLimit)
			defer cancel()
			c := linkedPeer(t, "peer", tc.full)
			r := startingRouter(ctx)
			defer r.wg.Wait()
			p := &peers{router: r, conns: map[masticway.Incarnation]*linker.Conn{c.Peer().Incarnation: c}}
			full, ok := p.fetchConfig(ctx)
			// The next peer must be asked long before configLimit if one does not answer.
			qt.Check(t, ctx.Err(), qt.IsNil)
			qt.Assert(t, ok, qt.Equals, tc.want)
			if tc.want {
				qt.Assert(t, full, qt.DeepEquals, *large)
			}
		})
	}
}
