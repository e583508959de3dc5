package starter_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway/emulator"
)

// TestBrokenAnswerIsResetForCallersOfHTTP10 guards against answers that look complete to callers of HTTP/1.0 although they broke off: for
// these callers an answer without a length ends when its connection is closed in order.
func TestBrokenAnswerIsResetForCallersOfHTTP10(t *testing.T) {
	for name, tc := range map[string]struct {
		fault emulator.OpaqueFault
		// kill is set if the router ends while the stream lasts.
		kill, complete bool
	}{
		"whole":               {complete: true},
		"server breaks off":   {fault: emulator.OpaqueTruncated},
		"router ends":         {kill: true},
		"server is cut early": {fault: emulator.OpaqueReset},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCrashPlatform(t, 1)
			d := c.start(c.settings("edge-1"))
			kill := sync.OnceFunc(d.Kill)
			t.Cleanup(kill)
			c.failAll(tc.fault)
			address, _ := d.Addresses()
			n, err := net.Dial("tcp", address)
			qt.Assert(t, err, qt.IsNil)
			defer n.Close()
			_, err = fmt.Fprintf(n, "POST /draft/x HTTP/1.0\r\nHost: h.example\r\nX-Attempt-Id: %016x\r\nAuthorization: Token k\r\nX-Token-Count: 100,200\r\nX-Deadline-Ms: 5000\r\nContent-Length: 4\r\n\r\nbody", 1)
			qt.Assert(t, err, qt.IsNil)
			if tc.kill {
				time.AfterFunc(200*time.Millisecond, kill)
			}
			text, err := io.ReadAll(bufio.NewReader(n))
			events := strings.Count(string(text), "data: piece")
			if tc.fault == emulator.OpaqueReset {
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, string(text), qt.Contains, "502 Bad Gateway")
				return
			}
			qt.Check(t, err == nil, qt.Equals, tc.complete, qt.Commentf("%d events, %v", events, err))
			qt.Check(t, events == 40, qt.Equals, tc.complete, qt.Commentf("%d events, %v", events, err))
		})
	}
}
