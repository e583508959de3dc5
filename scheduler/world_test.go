package scheduler_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/masticway/masticway"
)

const (
	routerCount = 31
	engineCount = 56
	zoneCount   = 4
	// slowSpeed is the relative speed of each fourth engine.
	slowSpeed = 1.0 / 3
	// zoneDelay is the one-way delay between zones, localDelay the one within a zone.
	zoneDelay  = 900 * time.Microsecond
	localDelay = 100 * time.Microsecond
	// runTime is the simulated time in which requests arrive. Those that arrive in the first warmUp are not measured, because
	// caches are empty and speeds unknown.
	runTime = 40 * time.Second
	warmUp  = 10 * time.Second
	// drainTime is the time after the last arrival in which requests may end.
	drainTime = 20 * time.Second
	// wavePeriod and waveSwing describe how the rate of arrivals varies.
	wavePeriod = 15 * time.Second
	waveSwing  = 0.55
	// meanClump is the mean number of requests that one caller sends together, within clumpSpan.
	meanClump = 3.0
	clumpSpan = 20 * time.Millisecond
	// singleRouterShare is the share of the requests that belong to a workspace whose callers all use one router.
	singleRouterShare = 0.1
	// ownTokensSpread is the standard deviation of the logarithm of a request's own tokens.
	ownTokensSpread = 0.9
	// popularitySkew is the exponent by which the popularity of the variants of a part falls with their number.
	popularitySkew = 0.5
)

var testTime = time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)

// requestKind is a kind of request and its objectives.
type requestKind struct {
	name string
	// rate is in requests per second.
	rate float64
	// shared describes the two parts that other requests share.
	shared [2]struct{ tokens, variants int }
	// ownTokens is the mean number of tokens that no other request shares, maxOwnTokens the largest.
	ownTokens, maxOwnTokens float64
	events, rank            int
	objective, eventGap     time.Duration
	timeLimit               time.Duration
}

var requestKinds = []requestKind{
	{
		name: "long prompt", rate: 94.5, shared: [2]struct{ tokens, variants int }{{2520, 4}, {3780, 606}}, ownTokens: 2890, maxOwnTokens: 39_600,
		events: 17, objective: 600 * time.Millisecond, eventGap: 200 * time.Millisecond, timeLimit: 8 * time.Second,
	},
	{
		name: "short", rate: 127, shared: [2]struct{ tokens, variants int }{{341, 80}, {227, 543}}, ownTokens: 1800, maxOwnTokens: 24_700,
		events: 8, rank: 1, objective: 800 * time.Millisecond, eventGap: 200 * time.Millisecond, timeLimit: 4 * time.Second,
	},
	{
		name: "long answer", rate: 103, shared: [2]struct{ tokens, variants int }{{103, 16}, {69, 660}}, ownTokens: 543, maxOwnTokens: 7440,
		events: 82, rank: 2, objective: time.Second, eventGap: 200 * time.Millisecond, timeLimit: 15 * time.Second,
	},
}

// request is one request and what happened to it.
type request struct {
	id      string
	kind    int
	arrival time.Duration
	router  int
	parts   []masticway.PromptPart
	tokens  int
	events  int
	// workspace and urgency are set in worlds with several workspaces. Engines serve lower urgencies first.
	workspace string
	urgency   int
	// engine is the index of the chosen engine, and job the request there.
	engine int
	job    *job
	// firstEvent is the time of the first event at the router, lastEvent that of the last one at the engine; zero if there was none.
	firstEvent, lastEvent time.Duration
	longestGap            time.Duration
	// refused is set if no engine was chosen, cut if its router died, and ended after the last event.
	refused, cut, ended bool
}

func (r *request) output() int { return r.events * tokensPerEvent }

// tokensOfParts returns the tokens of the parts from index i to before index k.
func (r *request) tokensOfParts(i, k int) int {
	n := 0
	for _, p := range r.parts[i:k] {
		n += p.Tokens
	}
	return n
}

// wayOfChoosing decides which engine gets a request.
type wayOfChoosing interface {
	// choose calls w.send or w.refuse for the request, now or later.
	choose(r *request)
	firstEvent(r *request)
	end(r *request)
	// routerDied discards what a router knows. Its requests are cut.
	routerDied(router int)
}

type event struct {
	at     time.Duration
	number int
	run    func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, k int) bool {
	if q[i].at != q[k].at {
		return q[i].at < q[k].at
	}
	return q[i].number < q[k].number
}
func (q eventQueue) Swap(i, k int) { q[i], q[k] = q[k], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return e
}

// world simulates routers, engines and the delays between them. It is deterministic for a seed and has one goroutine.
type world struct {
	now      time.Duration
	events   eventQueue
	number   int
	pool     masticway.Pool
	servers  []masticway.Server
	engines  []*engineModel
	zones    []string
	dead     [routerCount]bool
	requests []*request
	way      wayOfChoosing
	// urgency returns the urgency at the engines by the rank and the owner's level; nil means that all are equal.
	urgency func(rank, level int) int
	// prefilledParts are the shared parts that some engine has prefilled. repeated is the number of tokens that were prefilled
	// again after the warm-up.
	prefilledParts map[string]bool
	repeated       int
	// busyAtWarmUp is the busy time of each engine, and prefilledAtWarmUp its prefilled tokens, at the end of the warm-up.
	busyAtWarmUp      []time.Duration
	prefilledAtWarmUp []int
}

func newWorld(seed uint64) *world {
	w := &world{
		pool:           masticway.Pool{Name: "engines", IsEngine: true, Slots: engineSlots, TokensPerEvent: tokensPerEvent, TokenCapacity: engineMemory},
		prefilledParts: map[string]bool{},
	}
	for i := range engineCount {
		s := masticway.Server{ID: fmt.Sprintf("e-%d", i), Pool: w.pool.Name, Zone: zoneName(i), Slots: engineSlots, State: masticway.ServerReady, StartedAt: testTime.Add(-time.Hour)}
		speed := 1.0
		// The slow engines are spread over the zones.
		if (i+i/zoneCount)%4 == 0 {
			speed = slowSpeed
		}
		w.servers = append(w.servers, s)
		w.engines = append(w.engines, newEngineModel(w, s, speed))
	}
	for i := range routerCount {
		w.zones = append(w.zones, zoneName(i))
	}
	w.requests = arrivals(rand.New(rand.NewPCG(seed, 1)))
	return w
}

func zoneName(i int) string { return fmt.Sprintf("zone-%d", i%zoneCount) }

// arrivals returns the requests of a run in the order of their arrival.
func arrivals(rng *rand.Rand) []*request {
	weights := make([]float64, routerCount)
	for i := range weights {
		weights[i] = 0.5 + rng.Float64()
	}
	total := 0.0
	for _, k := range requestKinds {
		total += k.rate
	}
	var all []*request
	for at := time.Duration(0); ; {
		// Clumps arrive as a Poisson process with a varying rate.
		at += time.Duration(rng.ExpFloat64() / (total * (1 + waveSwing) / meanClump) * float64(time.Second))
		if at >= runTime {
			break
		}
		rate := 1 + waveSwing*math.Sin(2*math.Pi*at.Seconds()/wavePeriod.Seconds())
		if rng.Float64() > rate/(1+waveSwing) {
			continue
		}
		kind := pick(rng, len(requestKinds), func(i int) float64 { return requestKinds[i].rate })
		router := pick(rng, routerCount, func(i int) float64 { return weights[i] })
		if rng.Float64() < singleRouterShare {
			router = singleRouter
		}
		for {
			all = append(all, newRequest(rng, kind, router, at+time.Duration(rng.Float64()*float64(clumpSpan))))
			if rng.Float64() < 1/meanClump {
				break
			}
		}
	}
	sortByArrival(all)
	for i, r := range all {
		r.id = fmt.Sprintf("r%d-1", i)
		r.parts[2].ID = "own-" + r.id
	}
	return all
}

// singleRouter is the router that all callers of one large workspace use.
const singleRouter = 5

// pick returns an index with a probability in proportion to its weight.
func pick(rng *rand.Rand, n int, weight func(i int) float64) int {
	sum := 0.0
	for i := range n {
		sum += weight(i)
	}
	x := rng.Float64() * sum
	for i := range n {
		x -= weight(i)
		if x < 0 {
			return i
		}
	}
	return n - 1
}

func newRequest(rng *rand.Rand, kind, router int, at time.Duration) *request {
	k := requestKinds[kind]
	median := k.ownTokens / math.Exp(ownTokensSpread*ownTokensSpread/2)
	own := int(max(16, min(k.maxOwnTokens, median*math.Exp(ownTokensSpread*rng.NormFloat64()))))
	second := int(float64(k.shared[1].variants) * math.Pow(rng.Float64(), 1/(1-popularitySkew)))
	// A second part always follows the same first part.
	first := second % k.shared[0].variants
	r := &request{kind: kind, router: router, arrival: at, engine: -1, parts: []masticway.PromptPart{
		{ID: fmt.Sprintf("first-%d-%d", kind, first), Tokens: k.shared[0].tokens},
		{ID: fmt.Sprintf("second-%d-%d", kind, second), Tokens: k.shared[1].tokens},
		{Tokens: own},
	}}
	r.tokens = r.tokensOfParts(0, 3)
	r.events = max(1, int(float64(k.events)*(0.5+rng.Float64())+0.5))
	return r
}

func (w *world) time() time.Time { return testTime.Add(w.now) }

func (w *world) after(d time.Duration, run func()) {
	w.number++
	heap.Push(&w.events, event{at: w.now + d, number: w.number, run: run})
}

// run simulates all requests until they have ended.
func (w *world) run() {
	w.arriveFrom(0)
	w.after(warmUp, func() {
		for _, e := range w.engines {
			w.busyAtWarmUp = append(w.busyAtWarmUp, e.busy)
			w.prefilledAtWarmUp = append(w.prefilledAtWarmUp, e.prefilled)
		}
	})
	for len(w.events) > 0 && w.now < runTime+drainTime {
		w.step()
	}
}

// step advances the time to the next event and runs it.
func (w *world) step() {
	e := heap.Pop(&w.events).(event)
	w.now = e.at
	e.run()
}

// arriveFrom schedules the arrivals of the requests from index i on, one after the other.
func (w *world) arriveFrom(i int) {
	if i == len(w.requests) {
		return
	}
	r := w.requests[i]
	w.after(r.arrival-w.now, func() {
		w.arrive(r)
		w.arriveFrom(i + 1)
	})
}

// arrive gives a request to its router, or to the next living one.
func (w *world) arrive(r *request) {
	for w.dead[r.router] {
		r.router = (r.router + 1) % routerCount
	}
	w.way.choose(r)
}

func (w *world) delay(router, engine int) time.Duration {
	if w.zones[router] == w.servers[engine].Zone {
		return localDelay
	}
	return zoneDelay
}

// send sends a request to an engine.
func (w *world) send(r *request, engine int) {
	if r.cut {
		return
	}
	r.engine = engine
	w.after(w.delay(r.router, engine), func() {
		if !r.cut {
			w.engines[engine].add(r)
		}
	})
}

func (w *world) refuse(r *request) {
	r.refused, r.ended = true, true
}

// recordEvent records an event of an answer. The router learns of the first and the last one after the delay.
func (w *world) recordEvent(r *request, ended bool) {
	isFirst := r.lastEvent == 0
	if !isFirst {
		r.longestGap = max(r.longestGap, w.now-r.lastEvent)
	}
	r.lastEvent = w.now
	if !isFirst && !ended {
		return
	}
	w.after(w.delay(r.router, r.engine), func() {
		if r.cut {
			return
		}
		if isFirst {
			r.firstEvent = w.now
			w.way.firstEvent(r)
		}
		if ended {
			r.ended = true
			w.way.end(r)
		}
	})
}

// recordPrefill counts the shared parts of a request that an engine prefills although some engine has prefilled them before.
func (w *world) recordPrefill(r *request, cached int) {
	for i, p := range r.parts[:len(r.parts)-1] {
		if i >= cached && w.prefilledParts[p.ID] && w.now >= warmUp {
			w.repeated += p.Tokens
		}
		w.prefilledParts[p.ID] = true
	}
}

// killRouter ends a router and all of its requests.
func (w *world) killRouter(router int) {
	w.dead[router] = true
	for _, r := range w.requests {
		if r.router == router && r.arrival <= w.now && !r.ended {
			r.cut, r.ended = true, true
			if r.engine >= 0 {
				w.engines[r.engine].cancel(r)
			}
		}
	}
	w.way.routerDied(router)
}
