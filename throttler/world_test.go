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
	// step is the time that the simulated fleet moves on at once.
	step = 20 * time.Millisecond
	// window, overshoot and slack are the users' rule: in any window a server gets no more than the overshoot times what its limit allows,
	// and the slack.
	window    = 4 * time.Second
	overshoot = 1.5
	slack     = 5
	// settled is how long the fleet has run when the server names its limit.
	settled = 25 * time.Second
	server  = masticway.ServerIncarnation("i-1")
)

var errCut = errors.New("cut off")

// world is a simulated fleet in front of one server, in one goroutine.
type world struct {
	now     time.Time
	random  *rand.Rand
	routers []*node
	// cut tells that two routers cannot reach each other.
	cut func(from, to *node) bool
	// named is the server's limit, sent tells when it got requests, and which of them were of routers that the rule excuses.
	named    masticway.RateLimit
	arrivals []time.Duration
	began    time.Time
	refused  int
	offered  int
}

// node is one router of the world.
type node struct {
	w        *world
	address  string
	throttle *throttler.Throttler
	dead     bool
	// excused tells that the rule does not count its requests.
	excused bool
	// knows are the routers that it counts, ranked the same as they come for the server.
	knows  []*node
	ranked []string
	// rankedOf are those that were ranked.
	rankedOf []*node
}

func (n *node) Now() time.Time { return n.w.now }

func (n *node) After(time.Duration) <-chan time.Time { return nil }

func (n *node) Members() int { return len(n.knows) }

// peers are the others that it counts, or a seed.
func (n *node) peers() (all []string) {
	for _, o := range n.knows {
		if o != n {
			all = append(all, o.address)
		}
	}
	if len(n.knows) == 0 && len(n.w.routers) > 0 {
		all = append(all, n.w.routers[0].address)
	}
	return all
}

// reach returns the other router, unless it is dead or cut off.
func (n *node) reach(address string) (*node, bool) {
	for _, o := range n.w.routers {
		if o.address == address && !o.dead && (n.w.cut == nil || !n.w.cut(n, o)) {
			return o, true
		}
	}
	return nil, false
}

func (n *node) Ranked(of string, most int) []string {
	if !slices.Equal(n.knows, n.rankedOf) {
		n.rankedOf, n.ranked = n.knows, nil
		ranked := slices.Clone(n.knows)
		weight := func(o *node) uint64 { return xxhash.Sum64String(of + "\x00" + o.address) }
		slices.SortFunc(ranked, func(x, y *node) int { return cmp.Compare(weight(y), weight(x)) })
		for _, o := range ranked {
			n.ranked = append(n.ranked, o.address)
		}
	}
	return n.ranked[:min(most, len(n.ranked))]
}

// Ask calls the other router directly.
func (n *node) Ask(ctx context.Context, address string, q throttler.Question) (throttler.Reply, error) {
	if o, ok := n.reach(address); ok {
		return o.throttle.Answer(ctx, q), nil
	}
	return throttler.Reply{}, errCut
}

// Known does the same for all limits.
func (n *node) Known(_ context.Context, address string) (throttler.Observations, error) {
	if o, ok := n.reach(address); ok {
		return o.throttle.Known(), nil
	}
	return nil, errCut
}

func newWorld(routers int) *world {
	w := &world{now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(1, uint64(routers)))}
	w.began = w.now
	for range routers {
		w.start()
	}
	w.count()
	return w
}

// start adds a router that only it itself counts.
func (w *world) start() *node {
	n := &node{w: w, address: fmt.Sprintf("router-%d", len(w.routers))}
	log, _ := test.NewNullLogger()
	n.throttle = throttler.New(throttler.Parts{Routers: n, Members: n, Peers: n.peers, Clock: n, Log: log.WithField("", ""), Metrics: measurer.New(), Address: n.address})
	n.throttle.Learn(context.Background())
	w.routers = append(w.routers, n)
	return n
}

// count has all routers count those that are alive.
func (w *world) count() {
	alive := slices.DeleteFunc(slices.Clone(w.routers), func(n *node) bool { return n.dead })
	for _, n := range w.routers {
		n.knows = alive
	}
}

func (w *world) at() time.Duration { return w.now.Sub(w.began) }

// run moves the world on; callers offer so many requests a second in all, at any router.
func (w *world) run(until time.Duration, perSecond float64) {
	for w.at() < until {
		w.now = w.now.Add(step)
		for offered := perSecond * step.Seconds(); offered > 0; offered-- {
			if w.random.Float64() < offered {
				w.offer(w.routers[w.random.IntN(len(w.routers))])
			}
		}
		for _, n := range w.routers {
			if !n.dead {
				n.throttle.Tell(context.Background())
			}
		}
	}
}

// offer has one caller come to a router.
func (w *world) offer(n *node) {
	if n.dead {
		return
	}
	w.offered++
	servers := []masticway.Server{{ID: string(server)}}
	if len(n.throttle.Available(servers)) == 0 || !n.throttle.Admit(context.Background(), server) {
		w.refused++
		return
	}
	if !n.excused {
		w.arrivals = append(w.arrivals, w.at())
	}
	n.throttle.Observe(server, masticway.ServerAnswer{Signed: true, Limit: w.named})
}

// name has the server name a limit; zero ends it.
func (w *world) name(perSecond float64) {
	w.named = masticway.RateLimit{IsSet: perSecond > 0, Rate: perSecond}
}

// most is the most arrivals in any window that begins at a time or later, and count the arrivals between two times.
func (w *world) most(since time.Duration) (most int) {
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
		most = max(most, n)
	}
	return most
}

func (w *world) countIn(from, to time.Duration) (n int) {
	for _, at := range w.arrivals {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// keeps asserts the users' rule from a time on.
func (w *world) keeps(t *testing.T, since time.Duration, perSecond float64) {
	allowed := int(overshoot*perSecond*window.Seconds() + slack)
	most := w.most(since)
	t.Logf("%d arrivals in %v at the most, %d are allowed", most, window, allowed)
	qt.Check(t, most <= allowed, qt.IsTrue, qt.Commentf("%d requests in %v, %d are allowed", most, window, allowed))
}

// TestLimitIsDividedAmongRouters: the sum of what all routers send overruns a server, however few or many there are, or much less
// reaches it than it takes.
func TestLimitIsDividedAmongRouters(t *testing.T) {
	for _, routers := range []int{1, 5, 30, 300} {
		for _, rate := range []float64{0.3, 1.1, 10, 60} {
			t.Run(fmt.Sprintf("%d routers, %v a second", routers, rate), func(t *testing.T) {
				t.Parallel()
				w := newWorld(routers)
				w.run(settled, 20)
				w.name(rate)
				w.run(settled+20*time.Second, 200)
				w.keeps(t, settled+500*time.Millisecond, rate)
				got := w.countIn(settled+4*time.Second, settled+20*time.Second)
				qt.Check(t, float64(got) >= 0.75*rate*16-1, qt.IsTrue, qt.Commentf("%d requests in 16 s of the %v a second that it takes", got, rate))
			})
		}
	}
}

// TestEndOfALimitIsNoticed: after a limit has ended, routers that are not sent to the server go on keeping requests from it.
func TestEndOfALimitIsNoticed(t *testing.T) {
	for name, tc := range map[string]struct {
		routers int
		rate    float64
	}{
		"few routers":                  {routers: 5, rate: 1.1},
		"hundreds":                     {routers: 300, rate: 1.1},
		"a server that takes nothing":  {routers: 30, rate: 1e-9},
		"one of few that takes little": {routers: 300, rate: 0.2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(tc.routers)
			w.run(settled, 20)
			w.name(tc.rate)
			w.run(settled+12*time.Second, 200)
			w.name(0)
			// The next permit is due after ten seconds at the latest.
			w.run(settled+24*time.Second, 200)
			before := w.refused
			w.run(settled+34*time.Second, 200)
			qt.Check(t, w.refused-before, qt.Equals, 0)
		})
	}
}

// TestLimitHoldsWhileRoutersComeAndGo: a router that dies, starts or is cut off has two routers divide one limit, each all of it.
func TestLimitHoldsWhileRoutersComeAndGo(t *testing.T) {
	// owner returns the router that owns the limit.
	owner := func(w *world) *node {
		for _, n := range w.routers {
			if n.address == n.Ranked(string(server), 1)[0] {
				return n
			}
		}
		return nil
	}
	cases := map[string]func(w *world){
		"the owner dies and is counted for 10 s more": func(w *world) {
			owner(w).dead = true
			w.run(settled+20*time.Second, 200)
			w.count()
		},
		"the owner is out of reach of half of the routers": func(w *world) {
			d := owner(w)
			w.cut = func(from, to *node) bool { return to == d && w.random.IntN(2) == 0 }
		},
		"routers start and are counted one after the other": func(w *world) {
			for range len(w.routers) / 2 {
				w.start()
			}
			all := slices.Clone(w.routers)
			for i, n := range all {
				n.knows = all
				w.run(settled+10*time.Second+time.Duration(i)*10*time.Second/time.Duration(len(all)), 200)
			}
		},
		"all start anew": func(w *world) {
			for _, n := range w.routers {
				n.dead = true
			}
			old := len(w.routers)
			for range old {
				w.start()
			}
			w.count()
		},
		"half of them lose the other half and count it for 10 s more": func(w *world) {
			half := map[*node]bool{}
			for i, n := range w.routers {
				half[n] = i%2 == 0
			}
			w.cut = func(from, to *node) bool { return half[from] != half[to] }
			d := half[owner(w)]
			for _, n := range w.routers {
				n.excused = half[n] != d
			}
			w.run(settled+20*time.Second, 200)
			for _, n := range w.routers {
				n.knows = slices.DeleteFunc(slices.Clone(w.routers), func(o *node) bool { return half[o] != half[n] })
			}
		},
	}
	for name, change := range cases {
		for _, routers := range []int{5, 30, 300} {
			for _, rate := range []float64{1.1, 20} {
				t.Run(fmt.Sprintf("%s, %d routers, %v a second", name, routers, rate), func(t *testing.T) {
					t.Parallel()
					w := newWorld(routers)
					w.run(settled, 20)
					w.name(rate)
					w.run(settled+10*time.Second, 200)
					change(w)
					from := w.at()
					w.run(from+40*time.Second, 200)
					w.keeps(t, settled+500*time.Millisecond, rate)
					got := w.countIn(from+20*time.Second, from+40*time.Second)
					qt.Check(t, float64(got) >= 0.5*rate*20-1, qt.IsTrue, qt.Commentf("%d requests in 20 s of the %v a second that it takes", got, rate))
				})
			}
		}
	}
}

// TestQuestionsAreBounded: hundreds of routers ask the owner of one server for every request.
func TestQuestionsAreBounded(t *testing.T) {
	for _, routers := range []int{30, 300} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			w := newWorld(routers)
			w.run(settled, 20)
			w.name(1.1)
			w.run(settled+2*time.Second, 2000)
			asks := func() (n int64) {
				for _, r := range w.routers {
					n += r.throttle.Metrics.Count("limit_asks")
				}
				return n
			}
			before := asks()
			w.run(settled+12*time.Second, 2000)
			perSecond := float64(asks()-before) / 10
			t.Logf("%.0f questions a second", perSecond)
			qt.Check(t, perSecond <= 110, qt.IsTrue)
		})
	}
}
