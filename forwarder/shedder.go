package forwarder

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
)

const (
	// dialSlow is how much longer than usual, and dialTimes how many times the usual, the making of a connection takes
	// once a link is full: a handshake is answered by the far kernel, whatever its server has to do.
	dialSlow  = 30 * time.Millisecond
	dialTimes = 4
	// dialWeight is the weight of the newest connection in the share of slow ones, shedFrom the share above which
	// requests are sent elsewhere, and shedMost the most of them: some have to go on, to tell when the link is free.
	dialWeight = 0.15
	shedFrom   = 0.5
	shedMost   = 0.9
	// dialForget is the time over which a share of slow connections loses its meaning when none is made.
	dialForget = 3 * time.Second
)

// shedder tells from the making of connections to servers that this router's own link is full, or that it cannot reach
// servers. Callers come by a hash, so a workspace that sends much fills one small router's link while the next one is
// idle; a refusal at once, before anything was done, brings its caller to another router within its target.
type shedder struct {
	clock masticway.Clock
	log   *logrus.Entry
	dial  func(ctx context.Context, network, address string) (net.Conn, error)

	mu sync.Mutex
	// usual is what a connection takes when the link is free, slow the share of those that took much longer, as of seenAt.
	usual  time.Duration
	slow   float64
	seenAt time.Time
	full   bool
}

func newShedder(clock masticway.Clock, log *logrus.Entry, dial func(ctx context.Context, network, address string) (net.Conn, error)) *shedder {
	return &shedder{clock: clock, log: log, dial: dial}
}

// connect makes a connection and notes what it took.
func (s *shedder) connect(ctx context.Context, network, address string) (net.Conn, error) {
	began := s.clock.Now()
	c, err := s.dial(ctx, network, address)
	now := s.clock.Now()
	if err == nil || ctx.Err() == context.DeadlineExceeded {
		s.note(now, now.Sub(began))
	}
	return c, err
}

// note takes what one connection took.
func (s *shedder) note(now time.Time, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow, s.seenAt = s.share(now), now
	slow := 0.0
	if s.usual > 0 && took > s.usual*dialTimes+dialSlow {
		slow = 1
	} else {
		s.learn(took)
	}
	s.slow += (slow - s.slow) * dialWeight
	if full := s.slow > shedFrom; full != s.full {
		s.full = full
		s.log.WithFields(logrus.Fields{
			"event": "link_full", "full": full, "slow_share": s.slow, "took_ms": took.Milliseconds(), "usual_us": s.usual.Microseconds(),
		}).Warn("connections to servers take longer than usual, or no longer")
	}
}

// learn follows what connections take when they are not slow.
func (s *shedder) learn(took time.Duration) {
	if s.usual == 0 {
		s.usual = min(took, dialSlow)
		return
	}
	s.usual += (took - s.usual) / 16
}

// share is the share of slow connections, which counts less as it gets old.
func (s *shedder) share(now time.Time) float64 {
	return s.slow * math.Exp2(-now.Sub(s.seenAt).Seconds()/dialForget.Seconds())
}

// sheds tells whether the next request should go to another router.
func (s *shedder) sheds() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	shed := min(shedMost, (s.share(s.clock.Now())-shedFrom)/(1-shedFrom))
	return shed > 0 && rand.Float64() < shed
}
