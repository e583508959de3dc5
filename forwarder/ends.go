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
	"github.com/masticway/masticway/inspector"
	"github.com/masticway/masticway/sender"
)

const (
	// checkTimeout is the timeout of the connection attempt of a check; it is many times the round trip between availability
	// zones.
	checkTimeout = 100 * time.Millisecond
	// checkTTL is how long the result of a check is reused, for example for other connections that broke at the same time.
	checkTTL = 250 * time.Millisecond
)

// errEndedWithServer ends an attempt whose answer, of a framing that does not tell, may have ended because its server did.
var errEndedWithServer = errors.New("the connection ended, and the server does not serve any more")

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
	startedAt time.Time
	// settles is set if the check does not take a connection that ends at once for a server that serves (see inspector.CheckServing).
	settles    bool
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
	return c.startUnless(s, false, func(k *check) bool { return k.isCurrent(c.clock.Now()) })
}

// startSettling returns a check of the server that settles and began after the given time. It does not block.
func (c *checks) startSettling(s masticway.Server, after time.Time) *check {
	return c.startUnless(s, true, func(k *check) bool { return k.settles && !k.startedAt.Before(after) })
}

// startUnless returns the server's latest check if it is usable. Otherwise it starts a new one.
func (c *checks) startUnless(s masticway.Server, settles bool, isUsable func(*check) bool) *check {
	c.mu.Lock()
	defer c.mu.Unlock()
	incarnation := s.Incarnation()
	if k, ok := c.byServer[incarnation]; ok && isUsable(k) {
		return k
	}
	k := &check{startedAt: c.clock.Now(), settles: settles, done: make(chan struct{})}
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
	err := c.connect(ctx, s.Address, k.settles)
	switch {
	case err == nil:
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
	}).Info("server checked after a connection ended")
	if k.result == conditionEnded {
		c.onEnded(s.Incarnation())
	}
}

// connect makes a connection to a server, and closes it if it could be made.
func (c *checks) connect(ctx context.Context, address string, settles bool) error {
	if settles {
		return inspector.CheckServing(ctx, c.dial, address)
	}
	n, err := c.dial(ctx, "tcp", address)
	if err == nil {
		_ = n.Close()
	}
	return err
}

// isWhole reports whether an answer that was read to its end is whole. If its end is known only by that of its connection, the server
// must still serve: the kernel of a server that was killed ends its connections in the same way. It may block for checkTimeout.
func (a *attempt) isWhole(answer *sender.Answer) bool {
	if answer.IsFramed() {
		return true
	}
	// The server has sent all that it will.
	a.setSilenceTimeout(0)
	k := a.x.f.checks.startSettling(a.server, a.x.f.clock.Now())
	select {
	case <-k.done:
		return k.result == conditionAnswers
	case <-a.ctx.Done():
		return false
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
