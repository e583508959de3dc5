package starter_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway/starter"
)

// piecewiseCaller sends requests that may run once on a kept connection, in pieces.
type piecewiseCaller struct {
	random *rand.Rand
	conn   net.Conn
	reader *bufio.Reader
	name   string
	sent   int
	// unread holds the IDs of the requests whose connections were reset without an answer, and refused those that were answered "not
	// run".
	unread, refused []string
}

// sendUntilClosed sends requests until the connection ends. A pause of up to maxPause follows each piece of a request.
func (c *piecewiseCaller) sendUntilClosed(maxPause time.Duration) {
	for {
		c.sent++
		id := fmt.Sprintf("%s-%d", c.name, c.sent)
		body := strings.Repeat("x", c.random.IntN(3000))
		request := fmt.Sprintf("POST /book/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %s\r\nAuthorization: Token k\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
		if c.sent%2 == 0 {
			request = fmt.Sprintf("POST /book/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %s\r\nAuthorization: Token k\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%sx\r\n0\r\n\r\n", id, len(body)+1, body)
		}
		err := c.write(request, maxPause)
		var response *http.Response
		if err == nil {
			response, err = http.ReadResponse(c.reader, nil)
		}
		switch {
		case errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE):
			c.unread = append(c.unread, id)
			return
		case err != nil:
			return
		case response.StatusCode == http.StatusServiceUnavailable:
			c.refused = append(c.refused, id)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil || response.Close {
			return
		}
	}
}

// write writes a request in up to three pieces.
func (c *piecewiseCaller) write(request string, maxPause time.Duration) error {
	for range 2 {
		n := c.random.IntN(len(request))
		if _, err := io.WriteString(c.conn, request[:n]); err != nil {
			return err
		}
		request = request[n:]
		time.Sleep(time.Duration(c.random.Int64N(int64(maxPause))))
	}
	_, err := io.WriteString(c.conn, request)
	return err
}

// TestNothingRanWhoseConnectionWasReset guards against second runs of requests that may run once: callers take a reset for a sign that
// the router has not read their request, and a refusal for a promise, and send it again.
func TestNothingRanWhoseConnectionWasReset(t *testing.T) {
	const callers, maxPause = 60, 8 * time.Millisecond
	for name, end := range map[string]func(*starter.GatewayDaemon){
		"killed":     func(d *starter.GatewayDaemon) { d.Kill() },
		"terminated": func(d *starter.GatewayDaemon) { d.Drain() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newTestPlatform(t, 1000)
			d := p.gateway("edge-1")
			address, _ := d.Addresses()
			all := make([]*piecewiseCaller, callers)
			var load sync.WaitGroup
			for i := range all {
				conn, err := net.Dial("tcp", address)
				qt.Assert(t, err, qt.IsNil)
				defer conn.Close()
				all[i] = &piecewiseCaller{random: rand.New(rand.NewPCG(1, uint64(i))), conn: conn, reader: bufio.NewReader(conn), name: fmt.Sprintf("c%d", i)}
				load.Go(func() { all[i].sendUntilClosed(maxPause) })
			}
			time.Sleep(400 * time.Millisecond)
			end(d)
			load.Wait()
			runs := map[string]int{}
			for _, r := range p.ledger.Runs() {
				runs[r.ID]++
			}
			qt.Assert(t, len(runs) > callers, qt.IsTrue)
			unread := 0
			for _, c := range all {
				unread += len(c.unread)
				for _, id := range append(c.unread, c.refused...) {
					qt.Check(t, runs[id], qt.Equals, 0, qt.Commentf("%s was reset or refused", id))
				}
			}
			t.Logf("%d requests ran, %d were reset", len(runs), unread)
		})
	}
}
