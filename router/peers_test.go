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
	// slowLink is 10 Mbit/s, the slowest link of a router, in bytes a second.
	slowLink = 10_000_000 / 8
	// largeConfigBytes takes 8.4 s on a slow link, in bytes.
	largeConfigBytes = 10 << 20
	// configLimit is over twice what a large configuration takes.
	configLimit = 30 * time.Second
)

func peerIdentity(instance string) linker.Identity {
	self := masticway.Peer{Instance: instance, Incarnation: masticway.Incarnation(instance + "~1"), Role: masticway.RoleRouter}
	return linker.Identity{Self: self, Key: []byte("0123456789abcdef")}
}

// startingRouter sends no heartbeats of its own yet, as before its configuration is loaded.
func startingRouter(ctx context.Context) *Router {
	r := &Router{ctx: ctx, clock: masticway.SystemClock{}}
	r.settings.HeartbeatInterval = masticway.Duration(time.Second)
	r.snapshot.Store(&configurer.Snapshot{})
	return r
}

// linkedPeer is a router's link to a peer that sends heartbeats and answers a question for its configuration, if it has one.
func linkedPeer(t *testing.T, instance string, full *configurer.Full) *linker.Conn {
	answer := func(c *linker.Conn, m linker.Message) {
		if m.WantConfig != nil && full != nil {
			_ = c.Answer(m, linker.Message{Config: full})
		}
	}
	var wg sync.WaitGroup
	startHeartbeats := func(c *linker.Conn) { wg.Go(func() { sendHeartbeats(c) }) }
	l := linker.NewListener(peerIdentity(instance), answer, startHeartbeats, func(*linker.Conn) {})
	server := httptest.NewServer(l)
	link := emulator.NewLink(slowLink)
	address, err := link.To(server.Listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	d := linker.Dialer{
		Identity: peerIdentity("asking"), Dial: (&net.Dialer{}).DialContext,
		Handler: func(*linker.Conn, linker.Message) {}, Up: func(*linker.Conn) {}, Down: func(*linker.Conn) {},
	}
	ctx, cancel := context.WithCancel(context.Background())
	c, err := d.Once(ctx, address)
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
			// It fails once the link is down, which the next turn finds.
			_ = c.Send(linker.Message{Beat: &linker.Beat{}})
		}
	}
}

func TestFetchConfigOverSlowLink(t *testing.T) {
	large := &configurer.Full{Revision: 7, Contracts: []masticway.Contract{{Workspace: strings.Repeat("w", largeConfigBytes)}}}
	cases := map[string]struct {
		full *configurer.Full
		want bool
	}{
		"large":      {full: large, want: true},
		"no answer":  {},
		"none there": {full: &configurer.Full{}},
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
			// A peer that says nothing of it is left for the next one, long before the limit.
			qt.Check(t, ctx.Err(), qt.IsNil)
			qt.Assert(t, ok, qt.Equals, tc.want)
			if tc.want {
				qt.Assert(t, full, qt.DeepEquals, *large)
			}
		})
	}
}
