package starter_test

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/starter"
)

// surplusDelay is how long after a request endOf sends what comes late.
const surplusDelay = 200 * time.Millisecond

// endOf sends text on a new connection, late some time after it, and returns how many bytes of an answer came and the error that ended
// the connection.
func endOf(address, text, late string) (int64, error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	_, sendErr := io.WriteString(c, text)
	if sendErr == nil && late != "" {
		time.Sleep(surplusDelay)
		_, sendErr = io.WriteString(c, late)
	}
	n, err := io.Copy(io.Discard, bufio.NewReader(c))
	return n, errors.Join(sendErr, err)
}

// resetCase is a way in which a request's connection may end.
type resetCase struct {
	protocol string
	// surplus is sent behind the request, in one piece with it, and late when the request has reached its server.
	surplus, late string
	fault         emulator.OpaqueFault
	end           func(*starter.GatewayDaemon)
}

func killRouter(d *starter.GatewayDaemon)  { d.Kill() }
func drainRouter(d *starter.GatewayDaemon) { d.Drain() }

// TestRequestThatRanIsNotReset guards against second runs of requests that may run once: callers take a reset before any byte of an
// answer for a sign that the router has not passed their request on, and send it again.
func TestRequestThatRanIsNotReset(t *testing.T) {
	for name, tc := range map[string]resetCase{
		"router ends":                     {protocol: "HTTP/1.1", end: killRouter},
		"grace period ends":               {protocol: "HTTP/1.1", end: drainRouter},
		"router ends, protocol 1.0":       {protocol: "HTTP/1.0", end: killRouter},
		"grace period ends, protocol 1.0": {protocol: "HTTP/1.0", end: drainRouter},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkResets(t, tc)
		})
	}
}

// TestRequestThatRanIsNotResetBeforeOthers guards against the same if the router has not read all that was sent behind the request: the
// kernel then resets a connection that is closed.
func TestRequestThatRanIsNotResetBeforeOthers(t *testing.T) {
	next := "POST /book/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4\r\n\r\nbody"
	surplus := strings.Repeat("x", 20_000)
	for name, tc := range map[string]resetCase{
		"router ends, next request at once": {protocol: "HTTP/1.1", surplus: next, end: killRouter},
		"router ends, next request":         {protocol: "HTTP/1.1", late: next, end: killRouter},
		"grace period ends, next request":   {protocol: "HTTP/1.1", late: next, end: drainRouter},
		"router ends, surplus bytes":        {protocol: "HTTP/1.1", surplus: surplus, end: killRouter},
		"grace period ends, surplus bytes":  {protocol: "HTTP/1.1", surplus: surplus, end: drainRouter},
		"server resets, surplus bytes":      {protocol: "HTTP/1.1", surplus: surplus, fault: emulator.OpaqueReset, end: killRouter},
		"server breaks off, surplus bytes":  {protocol: "HTTP/1.1", surplus: surplus, fault: emulator.OpaqueTruncated, end: killRouter},
		"server breaks off, next request":   {protocol: "HTTP/1.1", surplus: next, fault: emulator.OpaqueTruncated, end: killRouter},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkResets(t, tc)
		})
	}
}

// checkResets ends a router while a server works on requests, and checks that none of their connections is reset before any byte of an
// answer.
func checkResets(t *testing.T, tc resetCase) {
	const callers, work = 20, 8 * time.Second
	p := newTestPlatform(t, 1000)
	p.plain.SetStall(work)
	p.plain.InjectFaults(slices.Repeat([]emulator.OpaqueFault{cmp.Or(tc.fault, emulator.OpaqueStall)}, callers)...)
	s := p.settings("edge-1")
	s.GraceSeconds = 4
	d := p.start(s)
	var all sync.WaitGroup
	var mu sync.Mutex
	ends := map[string]error{}
	for i := range callers {
		id := fmt.Sprintf("c%d", i)
		all.Go(func() {
			n, err := endOf(s.CallerAddress, fmt.Sprintf("POST /book/x %s\r\nHost: h.example\r\nX-Attempt-Id: %s\r\nAuthorization: Token k\r\nX-Deadline-Ms: 9000\r\nContent-Length: 4\r\n\r\nbody%s", tc.protocol, id, tc.surplus), tc.late)
			mu.Lock()
			defer mu.Unlock()
			if n == 0 {
				ends[id] = err
			}
		})
	}
	for waited := 0; len(p.ledger.Runs()) < callers && waited < 300; waited++ {
		time.Sleep(10 * time.Millisecond)
	}
	if tc.late != "" {
		time.Sleep(2 * surplusDelay)
	}
	tc.end(d)
	all.Wait()
	ran, reset := 0, 0
	for _, r := range p.ledger.Runs() {
		ran++
		if errors.Is(ends[r.ID], syscall.ECONNRESET) {
			reset++
		}
	}
	t.Logf("%d requests ran, %d of their connections were reset before any byte of an answer, %d ended without one", ran, reset, len(ends))
	qt.Check(t, ran, qt.Equals, callers)
	qt.Check(t, reset, qt.Equals, 0)
}
