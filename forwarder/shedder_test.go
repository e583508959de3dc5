package forwarder

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
)

// stillClock stands still unless it is moved.
type stillClock struct{ now time.Time }

func (c *stillClock) Now() time.Time                         { return c.now }
func (c *stillClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// link is a way to servers on which a connection takes as long as is said.
type link struct {
	clock *stillClock
	takes time.Duration
	err   error
}

func (l *link) dial(context.Context, string, string) (net.Conn, error) {
	l.clock.now = l.clock.now.Add(l.takes)
	return nil, l.err
}

// shedOf is how many of a thousand requests are sent elsewhere.
func shedOf(s *shedder) int {
	n := 0
	for range 1000 {
		if s.sheds() {
			n++
		}
	}
	return n
}

// TestRouterWithAFullLinkSendsRequestsElsewhere has a workspace that sends three times its usual through one router with
// a link of 10 Mbit/s: a connection takes 1 ms when the link is free and 100 to 250 ms while answers fill it. Some of
// the requests go on, so that the end of it is seen.
func TestRouterWithAFullLinkSendsRequestsElsewhere(t *testing.T) {
	const usual = time.Millisecond
	cases := map[string]struct {
		// takes are the connections' times, after twenty usual ones; idle is how long none is made after them.
		takes       []time.Duration
		idle        time.Duration
		least, most int
	}{
		"link is free":                    {takes: repeat(usual, 10)},
		"a single server does not answer": {takes: []time.Duration{250 * time.Millisecond, usual, 250 * time.Millisecond, usual, usual}},
		"link is full":                    {takes: repeat(150*time.Millisecond, 30), least: 550, most: 850},
		"link is full and free again":     {takes: append(repeat(150*time.Millisecond, 30), repeat(usual, 10)...)},
		"nothing is known any more":       {takes: repeat(150*time.Millisecond, 30), idle: 6 * time.Second},
		"links that are just far away":    {takes: repeat(25*time.Millisecond, 30)},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			clock := &stillClock{now: time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)}
			l := &link{clock: clock}
			log := logrus.New()
			log.SetOutput(io.Discard)
			s := newShedder(clock, logrus.NewEntry(log), l.dial)
			for _, took := range append(repeat(usual, 20), tc.takes...) {
				l.takes = took
				_, err := s.connect(t.Context(), "tcp", "server")
				qt.Assert(t, err, qt.IsNil)
			}
			clock.now = clock.now.Add(tc.idle)
			shed := shedOf(s)
			qt.Assert(t, shed >= tc.least && shed <= tc.most, qt.IsTrue, qt.Commentf("%d", shed))
		})
	}
}

// TestRefusedConnectionsSayNothingOfTheLink has servers that refuse connections at once, as those that are gone do.
func TestRefusedConnectionsSayNothingOfTheLink(t *testing.T) {
	clock := &stillClock{now: time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)}
	l := &link{clock: clock, takes: 200 * time.Millisecond, err: errors.New("connection refused")}
	s := newShedder(clock, logrus.NewEntry(logrus.New()), l.dial)
	for range 30 {
		_, err := s.connect(t.Context(), "tcp", "server")
		qt.Assert(t, err, qt.IsNotNil)
	}
	qt.Assert(t, shedOf(s), qt.Equals, 0)
}

func repeat(d time.Duration, n int) []time.Duration {
	all := make([]time.Duration, n)
	for i := range all {
		all[i] = d
	}
	return all
}
