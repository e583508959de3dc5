package starter_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/starter"
)

// maxDrainDelay is how long a server may still get requests after it has announced that it drains: a requirement of the users.
const maxDrainDelay = 2 * time.Second

// twoEngines starts a platform with a second engine, and a number of routers.
func twoEngines(t *testing.T, routers int) (p *testPlatform, other *emulator.OpaqueServer, all []*starter.GatewayDaemon) {
	p = newTestPlatform(t, 1<<40)
	p.removeBudgetLimit()
	other = p.addServer("i-other", "llm", "z")
	for i := range routers {
		all = append(all, p.gateway(fmt.Sprintf("edge-%d", i+1)))
		t.Cleanup(all[i].Kill)
	}
	return p, other, all
}

// removeBudgetLimit configures the workspace without a budget limit, so that its requests need no store.
func (p *testPlatform) removeBudgetLimit() {
	p.rows.Put(masticway.RowKey{Table: "op", Key: "config"}, []byte(`{"version":2,"routes":[
		{"name":"r3","host":"h.example","path_prefix":"/essay/","route_kind":"streaming","resumable":true,"service":"llm","max_attempts":2,"target_latency_ms":800,"timeout_ms":6000}],
		"services":[{"name":"llm","max_conns":50,"engine":{"slots":4,"stride":3}}],
		"limits":{"max_body_bytes":4096},"tenants":[{"name":"w","api_keys":["k"]}]}`))
}

// countServed returns the number of complete successful answers.
func countServed(all []answer) (n int) {
	for _, a := range all {
		if a.status == 200 && a.err == nil {
			n++
		}
	}
	return n
}

// arrivalsAfter returns the number of requests that a server received after a time.
func arrivalsAfter(s *emulator.OpaqueServer, at time.Time) (n int) {
	for _, arrived := range s.Arrivals() {
		if arrived.ReceivedAt.After(at) {
			n++
		}
	}
	return n
}

// TestDrainingAnswersStopNewRequests guards against routers that go on using a server whose answers announce that it drains,
// because the store doesn't have that state: it doesn't answer, or the server's row hasn't been updated yet.
func TestDrainingAnswersStopNewRequests(t *testing.T) {
	cases := map[string]struct {
		fault     emulator.OpaqueFault
		storeDown bool
	}{
		"success, the store is down":   {storeDown: true},
		"rejection, the store is down": {storeDown: true, fault: emulator.OpaqueOverloaded},
		"failure, the store is down":   {storeDown: true, fault: emulator.OpaqueError},
		"the row is not updated yet":   {},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p, other, all := twoEngines(t, 2)
			if tc.storeDown {
				p.rows.SetFaults(emulator.RowFaults{Unresponsive: true})
			}
			p.engine.StartDraining()
			p.engine.InjectFaults(tc.fault, tc.fault)
			began := time.Now()
			for _, d := range all {
				p.askSteadily(d, "/essay/x", "10,10", 20*time.Millisecond, time.Now().Add(time.Second))
			}
			announcedAt := time.Now()
			for _, d := range all {
				answers := p.askSteadily(d, "/essay/x", "10,10", 20*time.Millisecond, time.Now().Add(2*time.Second))
				qt.Check(t, countServed(answers), qt.Equals, len(answers))
			}
			qt.Assert(t, arrivalsAfter(p.engine, began) > 0, qt.IsTrue, qt.Commentf("the server got no request, so it announced nothing"))
			qt.Check(t, arrivalsAfter(p.engine, announcedAt.Add(maxDrainDelay)), qt.Equals, 0)
			qt.Check(t, arrivalsAfter(p.engine, announcedAt), qt.Equals, 0, qt.Commentf("routers that got the announcement"))
			qt.Check(t, arrivalsAfter(other, announcedAt) > 0, qt.IsTrue)
		})
	}
}

// TestDrainedServerIsUsedAgainAfterRestart guards against routers that apply a server's announcement of draining to its next
// incarnation too, or forget it within the same incarnation because the server's row is written again or expires.
func TestDrainedServerIsUsedAgainAfterRestart(t *testing.T) {
	p, _, all := twoEngines(t, 1)
	register := func(startedAt string) {
		p.rows.Put(masticway.RowKey{Table: "servers", Key: p.engine.ID}, fmt.Appendf(nil,
			`{"service":"llm","address":%q,"zone":"z","slots":4,"state":"ready","born":%s}`, p.engine.Address(), startedAt))
		time.Sleep(time.Second)
	}
	serves := func() bool {
		before := len(p.engine.Arrivals())
		p.askSteadily(all[0], "/essay/x", "10,10", 20*time.Millisecond, time.Now().Add(time.Second))
		return len(p.engine.Arrivals()) > before
	}
	register("1000")
	p.engine.StartDraining()
	qt.Assert(t, serves(), qt.IsTrue, qt.Commentf("the server got no request, so it announced nothing"))
	qt.Check(t, serves(), qt.IsFalse)
	register("1000")
	qt.Check(t, serves(), qt.IsFalse, qt.Commentf("its row was written again"))
	p.engine.Deregister(p.rows)
	time.Sleep(time.Second)
	register("1000")
	qt.Check(t, serves(), qt.IsFalse, qt.Commentf("its row had lapsed"))
	p.engine.StopDraining()
	register("2000")
	qt.Check(t, serves(), qt.IsTrue, qt.Commentf("it has restarted"))
}

// TestBackoffAppliesToOneRouter guards against routers that stop using a server because it has asked another router to back off.
func TestBackoffAppliesToOneRouter(t *testing.T) {
	p := newTestPlatform(t, 1<<40)
	limited, other := p.gateway("edge-1"), p.gateway("edge-2")
	t.Cleanup(limited.Kill)
	t.Cleanup(other.Kill)
	p.engine.SetRetryAfter("10")
	p.engine.InjectFaults(emulator.OpaqueOverloaded)
	for range 5 {
		p.send(limited, "told", "/essay/x", "10,10", "body")
	}
	qt.Assert(t, p.engine.Arrivals(), qt.HasLen, 1)
	for range 5 {
		got := p.send(other, "other", "/essay/x", "10,10", "body")
		qt.Assert(t, got.status, qt.Equals, 200, qt.Commentf("%s", got.body))
	}
}
