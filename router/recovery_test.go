package router

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/bookkeeper"
	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/linker"
	"github.com/masticway/masticway/logger"
	"github.com/masticway/masticway/measurer"
)

// timer is one wait on the clock.
type timer struct {
	due   time.Time
	fired chan time.Time
}

// loopClock is the clock of a single loop. It advances only while that loop waits for it.
type loopClock struct {
	now    time.Time
	timers chan timer
}

func (c *loopClock) Now() time.Time { return c.now }

func (c *loopClock) After(d time.Duration) <-chan time.Time {
	w := timer{due: c.now.Add(d), fired: make(chan time.Time, 1)}
	c.timers <- w
	return w.fired
}

// runUntil advances the clock, and returns once the loop has done everything that is due by then.
func (c *loopClock) runUntil(until time.Time) {
	for w := range c.timers {
		if w.due.After(until) {
			return
		}
		c.now = w.due
		w.fired <- w.due
	}
}

// TestChallengeIsAnsweredInTime challenges a router that is up. Its lease row is read again half a lease after the challenge, so
// the router must renew it within a quarter of a lease; the rest is left for the table. Otherwise a router that is up would be
// considered crashed and be recovered.
func TestChallengeIsAnsweredInTime(t *testing.T) {
	cases := map[string]time.Duration{
		"lease of the settings": 4 * time.Second, "short lease": 2 * time.Second, "very short lease": 200 * time.Millisecond,
	}
	for name, lease := range cases {
		t.Run(name, func(t *testing.T) {
			table := emulator.NewTable()
			book := bookkeeper.New(table)
			c := &loopClock{now: time.Unix(1_800_000_000, 0), timers: make(chan timer)}
			var dial linker.DialFunc
			r := New(Settings{Lease: masticway.Duration(lease), Heartbeat: masticway.Duration(15 * time.Second)}, Secrets{}, c,
				logger.Discard(), Platform{Table: table}, dial, measurer.New())
			defer r.Close()
			ctx := context.Background()
			qt.Assert(t, r.renewLease(ctx), qt.IsNil)
			before, err := book.Lease(ctx, r.self)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, book.Challenge(ctx, r.self, "r~2"), qt.IsNil)
			r.wg.Go(r.watchChallenges)
			c.runUntil(c.now.Add(lease / 4))
			after, err := book.Lease(ctx, r.self)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, after.ExpiresAt.After(before.ExpiresAt), qt.IsTrue)
		})
	}
}
