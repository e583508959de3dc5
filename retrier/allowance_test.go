package retrier_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/masticway/masticway/retrier"
)

var testLimit = retrier.Limit{Ratio: 0.2, Fixed: 50, Window: 10 * time.Second}

func TestAllowanceSize(t *testing.T) {
	cases := map[string]struct {
		requests, routers int
		// age is the time since the start of the incarnation, pause the time from the requests to the retries.
		age, pause time.Duration
		want       int
	}{
		"no requests, one router":              {routers: 1, age: time.Minute, want: 45},
		"no requests, five routers":            {routers: 5, age: time.Minute, want: 9},
		"unknown number of routers":            {age: time.Minute},
		"many requests":                        {requests: 1000, routers: 5, age: time.Minute, want: 142},
		"requests of the last 2 s":             {requests: 1000, routers: 5, age: time.Minute, pause: 2 * time.Second, want: 142},
		"requests of 3 s ago":                  {requests: 1000, routers: 5, age: time.Minute, pause: 3 * time.Second, want: 9},
		"a new incarnation":                    {routers: 5, age: time.Second},
		"a new incarnation with requests":      {requests: 1000, routers: 5, age: time.Second, want: 133},
		"an incarnation older than the window": {routers: 5, age: 11 * time.Second, want: 9},
		"fewer fixed retries than routers":     {requests: 4, routers: 100, age: time.Minute, want: 0},
		"parts of a retry add up":              {requests: 5, routers: 100, age: time.Minute, want: 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			a := retrier.NewAllowance(testLimit, now.Add(-tc.age))
			for range tc.requests {
				a.RecordRequest(now)
			}
			now = now.Add(tc.pause)
			taken := 0
			for a.TryTake(now, tc.routers).Granted {
				taken++
			}
			qt.Assert(t, taken, qt.Equals, tc.want)
		})
	}
}

// TestAllowanceBoundsEveryWindow guards against more retries in any window than its requests, those of a quarter of the window
// before it and the fixed retries entitle to.
func TestAllowanceBoundsEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 10 * time.Second
		now := time.Unix(1000, 0)
		a := retrier.NewAllowance(retrier.Limit{Ratio: 0.2, Fixed: 20, Window: window}, now.Add(-time.Minute))
		type event struct {
			at      time.Time
			isRetry bool
		}
		var all []event
		for range rapid.IntRange(50, 400).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				a.RecordRequest(now)
				all = append(all, event{at: now})
			} else if a.TryTake(now, 1).Granted {
				all = append(all, event{at: now, isRetry: true})
			}
		}
		for i := range all {
			requests, retries := 0, 0
			for _, e := range all {
				switch age := e.at.Sub(all[i].at); {
				case age >= window || age < -window/4 || age < 0 && e.isRetry:
				case e.isRetry:
					retries++
				default:
					requests++
				}
			}
			if allowed := 0.2*float64(requests) + 20; float64(retries) > allowed {
				t.Fatalf("%d retries for %d requests", retries, requests)
			}
		}
	})
}

// TestReturnedRetryCanBeGrantedAgain guards against retries that stay used up although no server got them, and against credit that is
// valid for longer because a retry was returned.
func TestReturnedRetryCanBeGrantedAgain(t *testing.T) {
	const window = 10 * time.Second
	start := time.Unix(1_000_000, 0)
	for name, tc := range map[string]struct {
		requests int
		after    time.Duration
	}{
		"at once":                 {requests: 1000},
		"fixed retry, at once":    {},
		"fixed retry, later":      {after: window / 2},
		"once credit has expired": {requests: 1000, after: window / 2},
	} {
		t.Run(name, func(t *testing.T) {
			a := retrier.NewAllowance(retrier.Limit{Ratio: 0.001, Fixed: 1.2, Window: window}, start.Add(-3*window))
			for range tc.requests {
				a.RecordRequest(start)
			}
			first := a.TryTake(start, 1)
			qt.Assert(t, first.Granted, qt.IsTrue)
			for a.TryTake(start, 1).Granted {
			}
			later := start.Add(tc.after)
			before := a.TryTake(later, 1)
			qt.Assert(t, before.Granted, qt.IsFalse)
			a.Return(later, first)
			// A return of nothing has no effect.
			a.Return(later, before)
			second := a.TryTake(later, 1)
			if tc.requests > 0 && tc.after > window/4 {
				qt.Assert(t, second.Credit, qt.Equals, 0.0)
				return
			}
			qt.Assert(t, second.Granted, qt.IsTrue)
			qt.Assert(t, a.TryTake(later, 1).Granted, qt.IsFalse)
		})
	}
}
