package throttler_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/measurer"
	"github.com/masticway/masticway/throttler"
)

const (
	// step is the time by which the simulation advances in each step.
	step = 20 * time.Millisecond
	// window, overshoot and slack define the allowed number of requests: in any window, a server may get overshoot times what its
	// limit allows, plus slack.
	window    = 4 * time.Second
	overshoot = 1.5
	slack     = 5
	// settleTime is how long the fleet runs before the server reports its limit.
	settleTime    = 25 * time.Second
	limitedServer = masticway.ServerIncarnation("i-1")
)

var errCut = errors.New("cut off")

// world simulates a fleet in front of one server, in one goroutine.
type world struct {
	now     time.Time
	random  *rand.Rand
	routers []*simRouter
	// isCut reports whether messages from one router cannot reach another.
	isCut func(from, to *simRouter) bool
	// limit is the server's rate limit. arrivals are the times of the requests that it got, except those of exempt routers.
	limit        masticway.RateLimit
	arrivals     []time.Duration
	began        time.Time
	refusedCount int
	requestCount int
}

// simRouter is one simulated router.
type simRouter struct {
	w        *world
	address  string
	throttle *throttler.Throttler
	isDown   bool
	// isExempt is set if its requests are not counted.
	isExempt bool
	// members are the routers that it knows. ranked are their addresses, ranked for the server.
	members []*simRouter
	ranked  []string
	// rankedMembers are the members for which ranked was computed.
	rankedMembers []*simRouter
}

func (n *simRouter) Now() time.Time { return n.w.now }

func (n *simRouter) After(time.Duration) <-chan time.Time { return nil }

func (n *simRouter) Members() int { return len(n.members) }

// peers returns the addresses of the other members, or that of a seed if there are no members.
func (n *simRouter) peers() (all []string) {
	for _, o := range n.members {
		if o != n {
			all = append(all, o.address)
		}
	}
	if len(n.members) == 0 && len(n.w.routers) > 0 {
		all = append(all, n.w.routers[0].address)
	}
	return all
}

// reach returns another router, unless it is down or cut off.
func (n *simRouter) reach(address string) (*simRouter, bool) {
	for _, o := range n.w.routers {
		if o.address == address && !o.isDown && (n.w.isCut == nil || !n.w.isCut(n, o)) {
			return o, true
		}
	}
	return nil, false
}

func (n *simRouter) RankedAddresses(key string, max int) []string {
	if !slices.Equal(n.members, n.rankedMembers) {
		n.rankedMembers, n.ranked = n.members, nil
		ranked := slices.Clone(n.members)
		weight := func(o *simRouter) uint64 { return xxhash.Sum64String(key + "\x00" + o.address) }
		slices.SortFunc(ranked, func(x, y *simRouter) int { return cmp.Compare(weight(y), weight(x)) })
		for _, o := range ranked {
			n.ranked = append(n.ranked, o.address)
		}
	}
	return n.ranked[:min(max, len(n.ranked))]
}

// Ask calls the other router directly.
func (n *simRouter) Ask(ctx context.Context, address string, req throttler.PermitRequest) (throttler.PermitReply, error) {
	if o, ok := n.reach(address); ok {
		return o.throttle.Answer(ctx, req), nil
	}
	return throttler.PermitReply{}, errCut
}

// Observations calls the other router directly.
func (n *simRouter) Observations(_ context.Context, address string) (throttler.Observations, error) {
	if o, ok := n.reach(address); ok {
		return o.throttle.Observations(), nil
	}
	return nil, errCut
}

func newWorld(routers int) *world {
	w := &world{now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(1, uint64(routers)))}
	w.began = w.now
	for range routers {
		w.addRouter()
	}
	w.updateMembership()
	return w
}

// addRouter adds a router that has no members yet.
func (w *world) addRouter() *simRouter {
	n := &simRouter{w: w, address: fmt.Sprintf("router-%d", len(w.routers))}
	log, _ := test.NewNullLogger()
	n.throttle = throttler.New(throttler.Dependencies{Routers: n, Members: n, Peers: n.peers, Clock: n, Log: log.WithField("", ""), Metrics: measurer.New(), Address: n.address})
	n.throttle.FetchObservations(context.Background())
	w.routers = append(w.routers, n)
	return n
}

// updateMembership makes the routers that are not down the members of all routers.
func (w *world) updateMembership() {
	alive := slices.DeleteFunc(slices.Clone(w.routers), func(n *simRouter) bool { return n.isDown })
	for _, n := range w.routers {
		n.members = alive
	}
}

func (w *world) elapsed() time.Duration { return w.now.Sub(w.began) }

// advance runs the simulation until a time. Callers send perSecond requests per second in total, to random routers.
func (w *world) advance(until time.Duration, perSecond float64) {
	for w.elapsed() < until {
		w.now = w.now.Add(step)
		for offered := perSecond * step.Seconds(); offered > 0; offered-- {
			if w.random.Float64() < offered {
				w.sendRequest(w.routers[w.random.IntN(len(w.routers))])
			}
		}
		for _, n := range w.routers {
			if !n.isDown {
				n.throttle.NotifyPeers(context.Background())
			}
		}
	}
}

// sendRequest sends one request to a router.
func (w *world) sendRequest(n *simRouter) {
	if n.isDown {
		return
	}
	w.requestCount++
	servers := []masticway.Server{{ID: string(limitedServer)}}
	if len(n.throttle.Available(servers)) == 0 || !n.throttle.Admit(context.Background(), limitedServer) {
		w.refusedCount++
		return
	}
	if !n.isExempt {
		w.arrivals = append(w.arrivals, w.elapsed())
	}
	n.throttle.Observe(limitedServer, masticway.ServerAnswer{Signed: true, Limit: w.limit})
}

// setLimit sets the server's rate limit; zero removes it.
func (w *world) setLimit(perSecond float64) {
	w.limit = masticway.RateLimit{IsSet: perSecond > 0, Rate: perSecond}
}

// maxInWindow returns the maximum number of arrivals in any window that begins at a time or later.
func (w *world) maxInWindow(since time.Duration) (maxArrivals int) {
	for i, first := range w.arrivals {
		if first < since {
			continue
		}
		n := 0
		for _, at := range w.arrivals[i:] {
			if at-first < window {
				n++
			}
		}
		maxArrivals = max(maxArrivals, n)
	}
	return maxArrivals
}

func (w *world) countIn(from, to time.Duration) (n int) {
	for _, at := range w.arrivals {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// checkBound checks that no window that begins at a time or later has more requests than allowed.
func (w *world) checkBound(t *testing.T, since time.Duration, perSecond float64) {
	allowed := int(overshoot*perSecond*window.Seconds() + slack)
	maxArrivals := w.maxInWindow(since)
	t.Logf("at most %d arrivals in %v, %d are allowed", maxArrivals, window, allowed)
	qt.Check(t, maxArrivals <= allowed, qt.IsTrue, qt.Commentf("%d requests in %v, %d are allowed", maxArrivals, window, allowed))
}

// TestRoutersShareLimit guards against a wrong division of a limit: the routers together overload the server, or send it much
// less than it accepts, depending on their number.
func TestRoutersShareLimit(t *testing.T) {
	for _, routers := range []int{1, 5, 30, 300} {
		for _, rate := range []float64{0.3, 1.1, 10, 60} {
			t.Run(fmt.Sprintf("%d routers, %v a second", routers, rate), func(t *testing.T) {
				t.Parallel()
				w := newWorld(routers)
				w.advance(settleTime, 20)
				w.setLimit(rate)
				w.advance(settleTime+20*time.Second, 200)
				w.checkBound(t, settleTime+500*time.Millisecond, rate)
				got := w.countIn(settleTime+4*time.Second, settleTime+20*time.Second)
				qt.Check(t, float64(got) >= 0.75*rate*16-1, qt.IsTrue, qt.Commentf("%d requests in 16 s at a limit of %v per second", got, rate))
			})
		}
	}
}

// TestLimitEndIsNoticed guards against routers that go on withholding requests after a limit has ended, because they send nothing
// to the server and thus do not see its answers.
func TestLimitEndIsNoticed(t *testing.T) {
	for name, tc := range map[string]struct {
		routers int
		rate    float64
	}{
		"few routers":               {routers: 5, rate: 1.1},
		"many routers":              {routers: 300, rate: 1.1},
		"a limit of nearly zero":    {routers: 30, rate: 1e-9},
		"many routers, a low limit": {routers: 300, rate: 0.2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(tc.routers)
			w.advance(settleTime, 20)
			w.setLimit(tc.rate)
			w.advance(settleTime+12*time.Second, 200)
			w.setLimit(0)
			// The next permit is due after ten seconds at most.
			w.advance(settleTime+24*time.Second, 200)
			before := w.refusedCount
			w.advance(settleTime+34*time.Second, 200)
			qt.Check(t, w.refusedCount-before, qt.Equals, 0)
		})
	}
}

// TestLimitHoldsWhileMembershipChanges guards against two routers that both grant the full limit while a router crashes, starts
// or is cut off.
func TestLimitHoldsWhileMembershipChanges(t *testing.T) {
	// owner returns the router that owns the limit.
	owner := func(w *world) *simRouter {
		for _, n := range w.routers {
			if n.address == n.RankedAddresses(string(limitedServer), 1)[0] {
				return n
			}
		}
		return nil
	}
	cases := map[string]func(w *world){
		"the owner crashes and remains a member for 10 s": func(w *world) {
			owner(w).isDown = true
			w.advance(settleTime+20*time.Second, 200)
			w.updateMembership()
		},
		"half of the requests to the owner fail": func(w *world) {
			old := owner(w)
			w.isCut = func(from, to *simRouter) bool { return to == old && w.random.IntN(2) == 0 }
		},
		"routers start and become members one after the other": func(w *world) {
			for range len(w.routers) / 2 {
				w.addRouter()
			}
			all := slices.Clone(w.routers)
			for i, n := range all {
				n.members = all
				w.advance(settleTime+10*time.Second+time.Duration(i)*10*time.Second/time.Duration(len(all)), 200)
			}
		},
		"all routers restart": func(w *world) {
			for _, n := range w.routers {
				n.isDown = true
			}
			old := len(w.routers)
			for range old {
				w.addRouter()
			}
			w.updateMembership()
		},
		"the routers are split in halves, which remain members for 10 s": func(w *world) {
			half := map[*simRouter]bool{}
			for i, n := range w.routers {
				half[n] = i%2 == 0
			}
			w.isCut = func(from, to *simRouter) bool { return half[from] != half[to] }
			ownerHalf := half[owner(w)]
			for _, n := range w.routers {
				n.isExempt = half[n] != ownerHalf
			}
			w.advance(settleTime+20*time.Second, 200)
			for _, n := range w.routers {
				n.members = slices.DeleteFunc(slices.Clone(w.routers), func(o *simRouter) bool { return half[o] != half[n] })
			}
		},
	}
	for name, disturb := range cases {
		for _, routers := range []int{5, 30, 300} {
			for _, rate := range []float64{1.1, 20} {
				t.Run(fmt.Sprintf("%s, %d routers, %v a second", name, routers, rate), func(t *testing.T) {
					t.Parallel()
					w := newWorld(routers)
					w.advance(settleTime, 20)
					w.setLimit(rate)
					w.advance(settleTime+10*time.Second, 200)
					disturb(w)
					from := w.elapsed()
					w.advance(from+40*time.Second, 200)
					w.checkBound(t, settleTime+500*time.Millisecond, rate)
					got := w.countIn(from+20*time.Second, from+40*time.Second)
					qt.Check(t, float64(got) >= 0.5*rate*20-1, qt.IsTrue, qt.Commentf("%d requests in 20 s at a limit of %v per second", got, rate))
				})
			}
		}
	}
}

// TestPermitRequestsAreBounded guards against hundreds of routers that ask the owner of a server's limit for every request.
func TestPermitRequestsAreBounded(t *testing.T) {
	for _, routers := range []int{30, 300} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			w := newWorld(routers)
			w.advance(settleTime, 20)
			w.setLimit(1.1)
			w.advance(settleTime+2*time.Second, 2000)
			asks := func() (n int64) {
				for _, r := range w.routers {
					n += r.throttle.Metrics.Count("limit_asks")
				}
				return n
			}
			before := asks()
			w.advance(settleTime+12*time.Second, 2000)
			perSecond := float64(asks()-before) / 10
			t.Logf("%.0f permit requests per second", perSecond)
			qt.Check(t, perSecond <= 110, qt.IsTrue)
		})
	}
}
