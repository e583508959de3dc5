package forwarder

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/follower"
)

const (
	// checkTimeout bounds the connection by which a server is checked, many times the way between availability zones.
	checkTimeout = 100 * time.Millisecond
	// checkFresh is how long the result of a check holds for the other connections that break at the same moment.
	checkFresh = 250 * time.Millisecond
)

// condition is what a connection that is made after another one broke tells of a server.
type condition string

// The conditions of a server.
const (
	// conditionAnswers tells that only the connection has ended.
	conditionAnswers condition = "answers"
	// conditionEnded tells that nothing listens at its address any more.
	conditionEnded condition = "ended"
	// conditionUnreachable tells that nothing is known: its machine may be dark, or the way to it cut.
	conditionUnreachable condition = "unreachable"
)

// check is one check of one life of a server.
type check struct {
	done  chan struct{}
	found condition
	at    time.Time
}

// checks tells servers that have ended from connections that have. All requests of a server break off with it, so one
// check serves them all.
type checks struct {
	dial  func(ctx context.Context, network, address string) (net.Conn, error)
	clock masticway.Clock
	log   *logrus.Entry
	// ended is called with each server that is found to have ended.
	ended func(life masticway.ServerIncarnation)

	mu    sync.Mutex
	known map[masticway.ServerIncarnation]*check
}

// begin returns the check of a server, a new one unless one is under way or fresh.
func (c *checks) begin(s masticway.Server) *check {
	c.mu.Lock()
	defer c.mu.Unlock()
	life := s.Incarnation()
	if k, ok := c.known[life]; ok && k.holds(c.clock.Now()) {
		return k
	}
	k := &check{done: make(chan struct{})}
	c.known[life] = k
	go c.run(s, k)
	return k
}

// holds tells that a check is under way or its result still counts.
func (k *check) holds(now time.Time) bool {
	select {
	case <-k.done:
		return now.Sub(k.at) < checkFresh
	default:
		return true
	}
}

func (c *checks) run(s masticway.Server, k *check) {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	n, err := c.dial(ctx, "tcp", s.Address)
	switch {
	case err == nil:
		_ = n.Close()
		k.found = conditionAnswers
	case errors.Is(err, syscall.ECONNREFUSED):
		k.found = conditionEnded
	default:
		k.found = conditionUnreachable
	}
	k.at = c.clock.Now()
	close(k.done)
	c.log.WithFields(logrus.Fields{
		"event": "server_checked", "server": s.ID, "address": s.Address, "pool": s.Pool, "found": k.found, "error": err,
	}).Info("server checked after a connection broke")
	if k.found == conditionEnded {
		c.ended(s.Incarnation())
	}
}

// keep forgets the checks of lives that are not among the given servers.
func (c *checks) keep(b follower.Beliefs) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.known) == 0 {
		return
	}
	registered := map[masticway.ServerIncarnation]bool{}
	for _, servers := range b.Servers {
		for _, s := range servers {
			registered[s.Incarnation()] = true
		}
	}
	for life := range c.known {
		if !registered[life] {
			delete(c.known, life)
		}
	}
}
