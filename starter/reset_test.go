package starter_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/starter"
)

// endOf sends text on a new connection and returns how many bytes of an answer came and the error that ended the connection.
func endOf(address, text string) (int64, error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	if _, err := io.WriteString(c, text); err != nil {
		return 0, err
	}
	return io.Copy(io.Discard, bufio.NewReader(c))
}

// TestRequestThatRanIsNotReset guards against second runs of requests that may run once: callers take a reset before any byte of an
// answer for a sign that the router has not passed their request on, and send it again.
func TestRequestThatRanIsNotReset(t *testing.T) {
	const callers, work = 20, 8 * time.Second
	kill := func(d *starter.GatewayDaemon) { d.Kill() }
	drain := func(d *starter.GatewayDaemon) { d.Drain() }
	for name, tc := range map[string]struct {
		protocol string
		end      func(*starter.GatewayDaemon)
	}{
		"router ends":                     {protocol: "HTTP/1.1", end: kill},
		"grace period ends":               {protocol: "HTTP/1.1", end: drain},
		"router ends, protocol 1.0":       {protocol: "HTTP/1.0", end: kill},
		"grace period ends, protocol 1.0": {protocol: "HTTP/1.0", end: drain},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newTestPlatform(t, 1000)
			p.plain.SetStall(work)
			p.plain.InjectFaults(repeatFault(emulator.OpaqueStall, callers)...)
			s := p.settings("edge-1")
			s.GraceSeconds = 4
			d := p.start(s)
			var all sync.WaitGroup
			var mu sync.Mutex
			ends := map[string]error{}
			for i := range callers {
				id := fmt.Sprintf("c%d", i)
				all.Go(func() {
					n, err := endOf(s.CallerAddress, fmt.Sprintf("POST /book/x %s\r\nHost: h.example\r\nX-Attempt-Id: %s\r\nAuthorization: Token k\r\nX-Deadline-Ms: 9000\r\nContent-Length: 4\r\n\r\nbody", tc.protocol, id))
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
			qt.Check(t, ran > 0, qt.IsTrue)
			qt.Check(t, reset, qt.Equals, 0)
		})
	}
}

// repeatFault returns a fault n times.
func repeatFault(f emulator.OpaqueFault, n int) []emulator.OpaqueFault {
	all := make([]emulator.OpaqueFault, n)
	for i := range all {
		all[i] = f
	}
	return all
}
