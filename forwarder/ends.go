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
	// checkTimeout is the timeout of the connection attempt of a check; it is many times the round trip between availability
	// zones.
	checkTimeout = 100 * time.Millisecond
	// checkTTL is how long the result of a check is reused, for example for other connections that broke at the same time.
	checkTTL = 250 * time.Millisecond
)

// condition is the state of a server as found by a connection attempt.
type condition string

// The conditions of a server.
const (
	// conditionAnswers means that the server accepts connections, so it has not ended.
	conditionAnswers condition = "answers"
	// conditionEnded means that the connection was refused: nothing listens at the server's address any more.
	conditionEnded condition = "ended"
	// conditionUnreachable means that the state is unknown: the machine may be down, or the network partitioned.
	conditionUnreachable condition = "unreachable"
)

// check is a connection attempt that determines whether one incarnation of a server has ended. The other fields are valid after
// done has been closed.
type check struct {
	done       chan struct{}
	result     condition
	finishedAt time.Time
}

// checks holds the latest check of each server incarnation. A check shows whether a server has ended or only a connection to it
// has broken. All connections to a server break when it ends, so they share one check.
type checks struct {
	dial  func(ctx context.Context, network, address string) (net.Conn, error)
	clock masticway.Clock
	log   *logrus.Entry
	// onEnded is called after each check that finds that a server has ended.
	onEnded func(server masticway.ServerIncarnation)

	mu       sync.Mutex
	byServer map[masticway.ServerIncarnation]*check
}

// start returns the server's latest check if it is current (see isCurrent). Otherwise it starts a new one. It does not block.
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

// isCurrent reports whether the check is in progress or its result is younger than checkTTL.
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

// retain drops the checks of server incarnations that are not in the snapshot.
func (c *checks) retain(snapshot follower.Snapshot) {
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
