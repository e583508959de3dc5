package starter_test

import (
	"bufio"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/starter"
)

// maxPropagation is how long an operator's order may take to reach all routers: the shortest such time that deployments require.
const maxPropagation = 3 * time.Second

// evacuationKey returns the key of the row with which an operator evacuates a zone: its servers must get no new requests.
func evacuationKey(zone string) masticway.RowKey {
	return masticway.RowKey{Table: "op", Key: "evacuate/" + zone}
}

// addServer starts a server and registers it for a pool in a zone.
func (p *testPlatform) addServer(id, pool, zone string) *emulator.OpaqueServer {
	s, err := emulator.StartOpaqueServer(id, p.ledger)
	qt.Assert(p.t, err, qt.IsNil)
	p.t.Cleanup(s.Close)
	s.Register(p.rows, pool, zone, false)
	return s
}

// waitForLog waits until the gateways have logged a line that contains all of the texts, and fails the test after maxPropagation.
func (p *testPlatform) waitForLog(texts ...string) {
	p.t.Helper()
	for deadline := time.Now().Add(maxPropagation); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if p.logLines(texts...) != "" {
			return
		}
	}
	p.t.Fatalf("no line with %q:\n%s", texts, p.log)
}

// logLines returns the lines logged by the gateways so far that contain all of the texts.
func (p *testPlatform) logLines(texts ...string) string {
	var lines strings.Builder
	for line := range strings.Lines(p.log.String()) {
		if !slices.ContainsFunc(texts, func(text string) bool { return !strings.Contains(line, text) }) {
			lines.WriteString(line)
		}
	}
	return lines.String()
}

// runsAt returns the number of runs at a server, leaving out the first since runs at all servers.
func (p *testPlatform) runsAt(id string, since int) int {
	n := 0
	for _, run := range p.ledger.Runs()[since:] {
		if run.Server == id {
			n++
		}
	}
	return n
}

// askMany sends n requests for the plain service and returns the number of responses by status.
func (p *testPlatform) askMany(d *starter.GatewayDaemon, name string, n int) map[int]int {
	got := map[int]int{}
	for i := range n {
		status, _ := p.ask(d, fmt.Sprintf("%s%d", name, i), "/book/x", "")
		got[status]++
	}
	return got
}

// TestEvacuatedZoneGetsNoRequests evacuates a zone, revokes that and orders it again at once, evacuates the other zone too and
// ends the first evacuation. It guards against routers that don't read the operators' evacuation orders and go on sending
// requests to the zone.
func TestEvacuatedZoneGetsNoRequests(t *testing.T) {
	p := newTestPlatform(t, 100000)
	p.addServer("i-far", "ledger", "y")
	d := p.gateway("edge-1")
	defer d.Kill()
	p.askMany(d, "a", 20)
	qt.Assert(t, p.runsAt("i-ledger", 0) > 0, qt.IsTrue)

	p.rows.Put(evacuationKey("z"), []byte("{}"))
	p.waitForLog("event=zone_evacuated", "zone=z")
	before := len(p.ledger.Runs())
	qt.Assert(t, p.askMany(d, "b", 20), qt.DeepEquals, map[int]int{200: 20})
	qt.Assert(t, p.runsAt("i-ledger", before), qt.Equals, 0)

	// If an order is revoked and given again at once, the last change counts.
	p.rows.Delete(evacuationKey("z"))
	p.rows.Put(evacuationKey("z"), []byte("{}"))
	time.Sleep(200 * time.Millisecond)
	before = len(p.ledger.Runs())
	p.askMany(d, "c", 20)
	qt.Assert(t, p.runsAt("i-ledger", before), qt.Equals, 0)

	p.rows.Put(evacuationKey("y"), []byte("{}"))
	p.waitForLog("event=zone_evacuated", "zone=y")
	began := time.Now()
	qt.Assert(t, p.askMany(d, "d", 5), qt.DeepEquals, map[int]int{503: 5})
	qt.Assert(t, time.Since(began) < 500*time.Millisecond, qt.IsTrue, qt.Commentf("a request that no server can serve must be refused at once"))

	p.rows.Delete(evacuationKey("z"))
	p.waitForLog("event=zone_back", "zone=z")
	for range 300 {
		before = len(p.ledger.Runs())
		if p.askMany(d, "e", 1)[200] == 1 {
			qt.Assert(t, p.runsAt("i-ledger", before), qt.Equals, 1)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("the zone got no requests after the end of its evacuation:\n%s", p.log)
}

// TestEvacuationKeepsRunningStreams evacuates a zone while a stream runs there. The stream must run to its end.
func TestEvacuationKeepsRunningStreams(t *testing.T) {
	p := newTestPlatform(t, 100000)
	p.engine.SetStream(20, 50*time.Millisecond)
	p.addServer("i-far", "llm", "y")
	p.rows.Put(evacuationKey("y"), []byte("{}"))
	d := p.gateway("edge-1")
	defer d.Kill()
	response, err := http.DefaultTransport.RoundTrip(p.request(d, "a", "/draft/x", "100,60"))
	qt.Assert(t, err, qt.IsNil)
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	qt.Assert(t, lines.Scan(), qt.IsTrue)
	p.rows.Put(evacuationKey("z"), []byte("{}"))
	p.waitForLog("event=zone_evacuated", "zone=z")
	pieces := 0
	for lines.Scan() {
		if strings.Contains(lines.Text(), "data: piece") {
			pieces++
		}
	}
	qt.Assert(t, lines.Err(), qt.IsNil)
	qt.Assert(t, pieces, qt.Equals, 20)
}

// TestEvacuationReachesLateRouters starts routers during an evacuation, one of which can't reach the store. Then another zone is
// evacuated instead and the store compacts its history, so that routers can't read the changes one by one. It guards against
// routers that know only the orders whose changes they have read.
func TestEvacuationReachesLateRouters(t *testing.T) {
	p := newTestPlatform(t, 100000)
	p.addServer("i-far", "ledger", "y")
	p.rows.Put(evacuationKey("z"), []byte("{}"))
	first := p.settings("edge-1")
	a := p.start(first)
	defer a.Kill()
	second := p.settings("edge-2")
	second.StoreAddress = freeAddress(t)
	second.PeerSeeds = []string{first.PeerAddress}
	b := p.start(second)
	defer b.Kill()
	qt.Assert(t, p.askMany(a, "a", 10), qt.DeepEquals, map[int]int{200: 10})
	qt.Assert(t, p.askMany(b, "b", 10), qt.DeepEquals, map[int]int{200: 10})
	qt.Assert(t, p.runsAt("i-ledger", 0), qt.Equals, 0)

	p.rows.Put(evacuationKey("y"), []byte("{}"))
	p.rows.Delete(evacuationKey("z"))
	p.rows.Compact()
	p.waitForLog("event=zone_evacuated", "zone=y", "instance=edge-2")
	p.waitForLog("event=zone_back", "zone=z", "instance=edge-2")
	p.waitForLog("event=zone_back", "zone=z", "instance=edge-1")
}
