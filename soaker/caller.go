package soaker

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"time"
)

const (
	// thinkMost bounds a caller's usual pause, idleMost the longer one of idleShare of them, in which a router may end.
	thinkMost = 120 * time.Millisecond
	idleMost  = 5 * time.Second
	idleShare = 0.03
	// connectTimeout is how long callers let a new connection take, unreachedPause the pause after one that failed.
	connectTimeout = time.Second
	unreachedPause = 100 * time.Millisecond
)

// caller sends requests one after the other on a connection that it keeps for as long as it is open.
type caller struct {
	soak   *run
	random *rand.Rand
	name   string
	sent   int
	conn   net.Conn
	reader *bufio.Reader
	router int
	// used tells that the connection has carried a request.
	used bool
}

// call sends requests until the soak ends.
func (c *caller) call(done <-chan struct{}) {
	defer c.drop()
	for {
		pause := time.Duration(c.random.Int64N(int64(thinkMost)))
		if c.random.Float64() < idleShare {
			pause = time.Duration(c.random.Int64N(int64(idleMost)))
		}
		select {
		case <-done:
			return
		case <-time.After(pause):
		}
		i := c.random.IntN(len(c.soak.processes))
		if !c.connected() && !c.connect(i, c.soak.processes[i].callers.Addr().String()) {
			time.Sleep(unreachedPause)
			continue
		}
		c.ask(routes[c.random.IntN(len(routes))])
	}
}

// ask sends a request for a route.
func (c *caller) ask(r route) *request {
	c.sent++
	q := draw(c.random, r, fmt.Sprintf("%s-%d", c.name, c.sent), c.soak.park.events)
	c.send(q)
	return q
}

// send sends a request on the present connection.
func (c *caller) send(q *request) {
	q.router, q.kept, c.used = c.router, c.used, true
	c.soak.record.begin(q)
	q.exchange(c.conn, c.reader)
	c.soak.finish(q)
	if q.outcome != outcomeAnswered || q.last {
		c.drop()
	}
}

// connected tells whether the kept connection is still open, and leaves it when the router has ended it.
func (c *caller) connected() bool {
	if c.conn == nil {
		return false
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.reader.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return true
	}
	if err == nil {
		c.soak.record.violate(promiseWhole, "%s got bytes from router-%d with no request waiting", c.name, c.router)
	}
	c.drop()
	return false
}

func (c *caller) connect(router int, address string) bool {
	conn, err := net.DialTimeout("tcp", address, connectTimeout)
	if err != nil {
		return false
	}
	c.router, c.conn, c.reader, c.used = router, conn, bufio.NewReader(conn), false
	return true
}

func (c *caller) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn, c.reader = nil, nil
}

// finish judges what can be judged at once.
func (s *run) finish(q *request) {
	got := s.record.deliver(q.workspace, q.tokens())
	// What was paid is read after the delivery, so a top-up under way counts for the product.
	if paid := s.operator.paid(q.workspace); q.tokens() > 0 && got > paid {
		s.record.violate(promiseBudget, "%s got %d tokens of %d prepaid, with %s", q.workspace, got, paid, q)
	}
	switch q.status {
	case statusForeign:
		s.record.violate(promiseWhole, "not its answer: %s", q)
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound, http.StatusRequestEntityTooLarge:
		// Every configuration has these routes and keys, and a router that knows none answers 503.
		if q.route.name != "" {
			s.record.violate(promiseInForce, "refused what every configuration allows: %s", q)
		}
	case http.StatusPaymentRequired:
		if !q.route.metered {
			s.record.violate(promiseBudget, "402 for what costs nothing: %s", q)
		}
	}
}
