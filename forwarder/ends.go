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
	// checkTTL is how long the result of a check holds for the other connections that break at the same moment.
	checkTTL = 250 * time.Millisecond
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
	done       chan struct{}
	result     condition
	finishedAt time.Time
}

// checks tells servers that have ended from connections that have. All requests of a server break off with it, so one
// check serves them all.
type checks struct {
	dial  func(ctx context.Context, network, address string) (net.Conn, error)
	clock masticway.Clock
	log   *logrus.Entry
	// onEnded is called with each server that is found to have ended.
	onEnded func(server masticway.ServerIncarnation)

	mu       sync.Mutex
	byServer map[masticway.ServerIncarnation]*check
}

// start returns the check of a server, a new one unless one is under way or fresh.
func (c *checks) start(s masticway.Server) *check {
	c.mu.Lock()
	defer c.mu.Unlock()
	incarnation := s.Incarnation()
	if k, ok := c.byServer[incarnation]; ok && k.isCurrent(c.clock.Now()) {
		return k
	}
	k := &check{done: make(chan struct{})}
	c.byServer[incarnation] = k
	go c.run(s, k)
	return k
}

// isCurrent tells that a check is under way or its result still counts.
func (k *check) isCurrent(now time.Time) bool {
	select {
	case <-k.done:
		return now.Sub(k.finishedAt) < checkTTL
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
		k.result = conditionAnswers
	case errors.Is(err, syscall.ECONNREFUSED):
		k.result = conditionEnded
	default:
		k.result = conditionUnreachable
	}
	k.finishedAt = c.clock.Now()
	close(k.done)
	c.log.WithFields(logrus.Fields{
		"event": "server_checked", "server": s.ID, "address": s.Address, "pool": s.Pool, "found": k.result, "error": err,
	}).Info("server checked after a connection broke")
	if k.result == conditionEnded {
		c.onEnded(s.Incarnation())
	}
}

// retain forgets the checks of lives that are not among the given servers.
func (c *checks) retain(snapshot follower.Beliefs) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.byServer) == 0 {
		return
	}
	registered := map[masticway.ServerIncarnation]bool{}
	for _, servers := range snapshot.Servers {
		for _, s := range servers {
			registered[s.Incarnation()] = true
		}
	}
	for incarnation := range c.byServer {
		if !registered[incarnation] {
			delete(c.byServer, incarnation)
		}
	}
}
