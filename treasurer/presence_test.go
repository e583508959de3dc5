package treasurer

import (
	"fmt"
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/measurer"
)

// movedClock is moved by the test.
type movedClock struct{ now time.Time }

func (c *movedClock) Now() time.Time                         { return c.now }
func (c *movedClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// TestRoutersAreCountedByTheirPresence has five routers on one store. After an outage all presences are old, and who
// counts first must not take itself for alone; a router that is gone is left out after 12 s of others' counting.
func TestRoutersAreCountedByTheirPresence(t *testing.T) {
	const routers = 5
	cases := map[string]struct {
		// outage is how long nobody reaches the store, gone how long the last router has been gone before the last count.
		outage, gone time.Duration
		want         int
	}{
		"all are there":           {want: routers},
		"after an outage of 10 s": {outage: 10 * time.Second, want: routers},
		"after one of a minute":   {outage: time.Minute, want: routers},
		"one is just gone":        {gone: 6 * time.Second, want: routers},
		"one is gone":             {gone: 18 * time.Second, want: routers - 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			clock := &movedClock{now: time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)}
			rows := emulator.NewRows(clock.Now)
			log := logrus.New()
			log.SetOutput(io.Discard)
			var all []*Treasurer
			for i := range routers {
				all = append(all, New(rows, nil, clock, logrus.NewEntry(log), measurer.New(), fmt.Sprintf("edge-%d", i), Settings{
					Address: fmt.Sprintf("10.0.0.%d:1", i), Parts: 1,
				}))
			}
			count := func(counting []*Treasurer) (n int) {
				for _, r := range counting {
					var err error
					n, err = r.countOnce(t.Context())
					qt.Assert(t, err, qt.IsNil)
				}
				return n
			}
			for range 2 {
				count(all)
				clock.now = clock.now.Add(countPause)
			}
			for passed := time.Duration(0); passed < tc.gone; passed += countPause {
				count(all[:routers-1])
				clock.now = clock.now.Add(countPause)
			}
			clock.now = clock.now.Add(tc.outage)
			qt.Assert(t, count(all[:1]), qt.Equals, tc.want)
			qt.Assert(t, all[0].Peers(), qt.HasLen, tc.want-1)
		})
	}
}
