package starter_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/starter"
)

const (
	// limitWindow, limitOvershoot and limitSlack are a requirement of the users: in any time of length limitWindow, a server gets
	// at most limitOvershoot times the requests that its rate limit allows, plus limitSlack.
	limitWindow    = 4 * time.Second
	limitOvershoot = 1.5
	limitSlack     = 5
	// limitPropagation is how long after a server has set a rate limit all routers must observe it.
	limitPropagation = time.Second
)

// limitAllowed returns how many requests a server with a rate limit may get in any window.
func limitAllowed(perSecond float64) int {
	return int(limitOvershoot*perSecond*limitWindow.Seconds() + limitSlack)
}

// maxInWindow returns the largest number of arrivals in any window that begins with an arrival at since or later.
func maxInWindow(arrivals []emulator.OpaqueArrival, since time.Time) (maxCount int) {
	for i, first := range arrivals {
		if first.ReceivedAt.Before(since) {
			continue
		}
		n := 0
		for _, a := range arrivals[i:] {
			if a.ReceivedAt.Sub(first.ReceivedAt) < limitWindow {
				n++
			}
		}
		maxCount = max(maxCount, n)
	}
	return maxCount
}

// askSteadily sends requests to a router until a time, one per pause, and returns the answers.
func (p *testPlatform) askSteadily(d *starter.GatewayDaemon, path, tokens string, pause time.Duration, until time.Time) (all []answer) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := 0; time.Now().Before(until); i++ {
		wg.Go(func() {
			got := p.send(d, fmt.Sprintf("%p-%d", d, i), path, tokens, "body")
			mu.Lock()
			defer mu.Unlock()
			all = append(all, got)
		})
		time.Sleep(pause)
	}
	wg.Wait()
	return all
}

// TestRateLimitHoldsForAllRouters guards against routers that each send an overloaded server requests up to its rate limit, or
// without any limit: the limit in its answers holds for all routers together. It also checks that the server gets most of what it
// allows.
func TestRateLimitHoldsForAllRouters(t *testing.T) {
	for name, tc := range map[string]struct {
		routers int
		limit   string
		rate    float64
	}{
		"one router":    {routers: 1, limit: "1.1", rate: 1.1},
		"four routers":  {routers: 4, limit: "1.1", rate: 1.1},
		"eight routers": {routers: 8, limit: "4", rate: 4},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newTestPlatform(t, 1<<40)
			var all []*starter.GatewayDaemon
			for i := range tc.routers {
				all = append(all, p.gateway(fmt.Sprintf("edge-%d", i+1)))
				t.Cleanup(all[i].Kill)
			}
			// By then each router counts the others as members.
			time.Sleep(4 * time.Second)
			p.engine.SetRateLimit(tc.limit)
			limitSetAt := time.Now()
			until := limitSetAt.Add(10 * time.Second)
			var wg sync.WaitGroup
			answers := make([][]answer, len(all))
			for i, d := range all {
				wg.Go(func() { answers[i] = p.askSteadily(d, "/draft/x", "10,10", 200*time.Millisecond, until) })
			}
			wg.Wait()
			arrivals := p.engine.Arrivals()
			maxCount := maxInWindow(arrivals, limitSetAt.Add(limitPropagation))
			qt.Check(t, maxCount <= limitAllowed(tc.rate), qt.IsTrue, qt.Commentf("%d requests in %v, only %d are allowed", maxCount, limitWindow, limitAllowed(tc.rate)))
			got := 0
			for _, a := range arrivals {
				if a.ReceivedAt.After(limitSetAt.Add(limitPropagation)) {
					got++
				}
			}
			t.Logf("at most %d requests in %v, %d are allowed; %d in 9 s", maxCount, limitWindow, limitAllowed(tc.rate), got)
			qt.Check(t, float64(got) >= 0.6*tc.rate*9, qt.IsTrue, qt.Commentf("the server got %d requests in 9 s, its limit is %v per second", got, tc.rate))
			for _, some := range answers {
				for _, a := range some {
					qt.Check(t, a.status == 200 || a.status == 503 && a.header.Get("Retry-After") != "", qt.IsTrue, qt.Commentf("status %d, %q", a.status, a.body))
					qt.Check(t, a.status == 200 || a.took < 500*time.Millisecond, qt.IsTrue, qt.Commentf("refused after %v", a.took))
				}
			}
			p.engine.SetRateLimit("")
			time.Sleep(5 * time.Second)
			for i, d := range all {
				for range 3 {
					qt.Check(t, p.send(d, fmt.Sprintf("after-%d", i), "/draft/x", "10,10", "body").status, qt.Equals, 200, qt.Commentf("the limit has ended"))
				}
			}
			if t.Failed() {
				t.Log(strings.Join(tail(p.log.String(), 60), "\n"))
			}
		})
	}
}

// tail returns the last n lines of a text.
func tail(text string, n int) []string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return lines[max(0, len(lines)-n):]
}
