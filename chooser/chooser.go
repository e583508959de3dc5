package chooser

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/masticway/masticway"
)

// Policy chooses how upstreams are compared.
type Policy string

// The routing policies.
const (
	PolicyForecast      Policy = "forecast"
	PolicyRoundRobin    Policy = "round_robin"
	PolicyLeastInFlight Policy = "least_in_flight"
)

const (
	// blockBytes is the length of prompt that one prefix hash covers.
	blockBytes = 256
	// prefixTTL is how long a cached prefix is believed in.
	prefixTTL = 60 * time.Second
	// maxUpstreamPrefixes bounds the prefixes remembered for one upstream, and maxSentPrefixes those of the router's own prompts.
	maxUpstreamPrefixes = 4096
	maxSentPrefixes     = 32768
	// bytesPerToken estimates a prompt's tokens before the engine has counted them.
	bytesPerToken = 4
	// defaultPrefillTime is seconds per prompt token until the upstream has reported.
	defaultPrefillTime = 0.0002
	// defaultCapacity is the runs at once until the upstream has reported.
	defaultCapacity = 8
	// defaultServiceTime is the seconds that one run occupies a slot until some have finished.
	defaultServiceTime = 1.0
	// initialHitRate is the trust in cache hints before any has been checked, and minHitRate what is always left of it.
	initialHitRate = 0.5
	minHitRate     = 0.02
	// hitRateWeight is the weight of the newest check.
	hitRateWeight = 0.2
	// otherLoadWeight is the weight of the newest report on other routers' work.
	otherLoadWeight = 0.5
	// maxReportAge is how late a load report may be.
	maxReportAge = 3 * time.Second
	// maxUtilization bounds the soft part of the wait, which grows without bound towards a full batch.
	maxUtilization = 0.85
	// serviceTimeWeight is the weight of the newest sample in moving averages.
	serviceTimeWeight = 0.1
	// zonePenalty is the cost in seconds of leaving the router's own availability zone.
	zonePenalty = 0.002
)

// Work describes a request to be placed.
type Work struct {
	PromptBytes int
	Prefixes    []uint64
	// Zone is the router's availability zone.
	Zone string
}

func (req Work) tokens() float64 { return float64(req.PromptBytes) / bytesPerToken }

// Candidate is an upstream that may be chosen.
type Candidate struct {
	Instance string
	Zone     string
}

// Score is a candidate's expected time to the first token, and what it is made of.
type Score struct {
	Instance string  `json:"instance"`
	Seconds  float64 `json:"seconds"`
	Queue    float64 `json:"queue"`
	Prefill  float64 `json:"prefill"`
	// Cached is the number of prompt tokens expected in the prefix cache.
	Cached   int `json:"cached"`
	InFlight int `json:"in_flight"`
}

type upstream struct {
	inFlight int
	// pendingPrefill is the tokens sent that have not yet given a first token.
	pendingPrefill float64
	report         masticway.LoadReport
	// otherLoad is the work of other routers, from reports less the router's own work when they were made.
	otherLoad float64
	// inFlightHistory is the router's own work in flight over the last seconds, to compare late reports with.
	inFlightHistory []inFlightSample
	serviceTime     float64
	prefixes        prefixSet
	// hitRate is how much of what was expected in the cache has been there lately.
	hitRate float64
}

// Chooser is the state of all upstreams' load; it is not safe for concurrent use.
type Chooser struct {
	policy    Policy
	upstreams map[string]*upstream
	// sentPrefixes are the prefixes of prompts that this router has sent anywhere.
	sentPrefixes prefixSet
	choices      int
}

// New returns a chooser that knows no load.
func New(p Policy) *Chooser {
	return &Chooser{policy: p, upstreams: map[string]*upstream{}, sentPrefixes: newPrefixSet(maxSentPrefixes)}
}

func (c *Chooser) upstream(instance string) *upstream {
	u, ok := c.upstreams[instance]
	if !ok {
		u = &upstream{serviceTime: defaultServiceTime, hitRate: initialHitRate, prefixes: newPrefixSet(maxUpstreamPrefixes)}
		c.upstreams[instance] = u
	}
	return u
}

// Choose returns the best candidate's index and all scores; the index is -1 without candidates.
func (c *Chooser) Choose(now time.Time, req Work, candidates []Candidate) (int, []Score) {
	scores := make([]Score, 0, len(candidates))
	best := -1
	c.choices++
	sharedDepth := c.sentPrefixes.depth(now, req.Prefixes)
	home := homeIndex(req, candidates)
	for i, k := range candidates {
		depth := 0
		if i == home {
			depth = sharedDepth
		}
		s := c.score(now, req, k, depth)
		switch c.policy {
		case PolicyRoundRobin:
			s.Seconds = float64((i + len(candidates) - c.choices%len(candidates)) % len(candidates))
		case PolicyLeastInFlight:
			s.Seconds = float64(s.InFlight)
		}
		scores = append(scores, s)
		if best < 0 || s.Seconds < scores[best].Seconds || (s.Seconds == scores[best].Seconds && c.winsTie(i)) {
			best = i
		}
	}
	return best, scores
}

// winsTie spreads equal scores over the candidates in turn.
func (c *Chooser) winsTie(i int) bool { return (c.choices+i)%2 == 0 }

// homeIndex returns the candidate at which all routers look for a repeated prefix, or -1.
//
// Without it each router would gather a prefix at an engine of its own choice,
// and the engines' caches would hold everything several times.
func homeIndex(req Work, candidates []Candidate) int {
	if len(req.Prefixes) == 0 {
		return -1
	}
	best, highest := -1, uint64(0)
	for i, c := range candidates {
		if weight := rendezvousWeight(req.Prefixes[0], c.Instance); best < 0 || weight > highest {
			best, highest = i, weight
		}
	}
	return best
}

// rendezvousWeight is the weight of a name for a hash, the same wherever it is worked out.
func rendezvousWeight(hash uint64, name string) uint64 { return mix(xxhash.Sum64String(name) ^ hash) }

// mix spreads the bits of a weight, because both parts of it are hashes joined by one operation only.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// score works out a candidate's expected time; presumed is the depth of prefix that is looked for at the home.
func (c *Chooser) score(now time.Time, req Work, k Candidate, homeDepth int) Score {
	u := c.upstream(k.Instance)
	prefillTime := u.report.PrefillTime
	if prefillTime == 0 {
		prefillTime = defaultPrefillTime
	}
	cached := u.cachedTokens(now, req, homeDepth)
	load := u.load()
	s := Score{Instance: k.Instance, Cached: cached, InFlight: u.inFlight}
	s.Prefill = (max(0, req.tokens()-float64(cached)) + u.pendingPrefill) * prefillTime
	s.Queue = u.queueTime(load)
	s.Seconds = s.Prefill + s.Queue
	if k.Zone != req.Zone {
		s.Seconds += zonePenalty
	}
	return s
}

// load corrects the lagging report by what this router has sent and finished since.
func (u *upstream) load() float64 {
	return u.otherLoad + float64(u.inFlight)
}

// queueTime estimates the wait for a place in the upstream's batch.
//
// The load is known late, so the wait must grow before the batch is full:
// otherwise every router would fill a favoured upstream to the brim at once. The
// soft part is Sakasegawa's approximation for a queue with several servers.
func (u *upstream) queueTime(load float64) float64 {
	capacity := float64(u.report.Capacity)
	if capacity == 0 {
		capacity = defaultCapacity
	}
	utilization := min(maxUtilization, (load+1)/capacity)
	soft := u.serviceTime * math.Pow(utilization, math.Sqrt(2*(capacity+1))) / (capacity * (1 - utilization))
	excess := max(0, load+1-capacity) * u.serviceTime / capacity
	// A fuller batch also slows each step; this breaks ties among free upstreams.
	return soft + excess + load/capacity*u.report.TokenTime
}

// cachedTokens is how much of a prompt is likely in the cache, weighed by trust.
func (u *upstream) cachedTokens(now time.Time, req Work, homeDepth int) int {
	return int(float64(u.predictedTokens(now, req, homeDepth)) * u.hitRate)
}

// predictedTokens is the same before trust.
func (u *upstream) predictedTokens(now time.Time, req Work, homeDepth int) int {
	return max(homeDepth, u.prefixes.depth(now, req.Prefixes)) * blockBytes / bytesPerToken
}

// Counted compares what was expected in an upstream's cache with what was there.
//
// Cache reports come late and with gaps, and an engine may have evicted what a
// router sent; trust keeps such hints from drawing work to a busy upstream.
func (c *Chooser) Counted(instance string, expected, cached int) {
	if expected <= 0 {
		return
	}
	u := c.upstream(instance)
	share := min(1, float64(cached)/float64(expected))
	u.hitRate = max(minHitRate, (1-hitRateWeight)*u.hitRate+hitRateWeight*share)
}

// Sent records work given to an upstream, whose prompt is now likely to be cached there.
//
// It returns the prompt tokens expected in the cache, for Counted.
func (c *Chooser) Sent(now time.Time, instance string, req Work) (expected int) {
	u := c.upstream(instance)
	expected = u.predictedTokens(now, req, 0)
	u.setInFlight(now, u.inFlight+1)
	u.pendingPrefill += max(0, req.tokens()-float64(u.cachedTokens(now, req, 0)))
	u.prefixes.add(now, req.Prefixes)
	c.sentPrefixes.add(now, req.Prefixes)
	return expected
}

// FirstToken records that an upstream has finished a prefill.
func (c *Chooser) FirstToken(instance string, req Work) {
	u := c.upstream(instance)
	u.pendingPrefill = max(0, u.pendingPrefill-req.tokens())
	if u.inFlight == 0 {
		u.pendingPrefill = 0
	}
}

// Done records the end of a run and how long it occupied the upstream.
func (c *Chooser) Done(now time.Time, instance string, took time.Duration, firstTokenSeen bool, req Work) {
	u := c.upstream(instance)
	u.setInFlight(now, max(0, u.inFlight-1))
	if !firstTokenSeen {
		u.pendingPrefill = max(0, u.pendingPrefill-req.tokens())
	}
	if u.inFlight == 0 {
		u.pendingPrefill = 0
	}
	if took > 0 {
		u.serviceTime = (1-serviceTimeWeight)*u.serviceTime + serviceTimeWeight*took.Seconds()
	}
}

// Report takes an upstream's lagging word on its load and cache.
func (c *Chooser) Report(now time.Time, instance string, r masticway.LoadReport) {
	u := c.upstream(instance)
	fresh := !r.ReportedAt.Equal(u.report.ReportedAt)
	u.report = r
	if fresh {
		others := max(0, float64(r.Running+r.Queued-u.inFlightAt(r.ReportedAt)))
		u.otherLoad += otherLoadWeight * (others - u.otherLoad)
	}
	u.prefixes.add(now, r.Prefixes)
}

// inFlightSample is the router's own work in flight from a time on.
type inFlightSample struct {
	at       time.Time
	inFlight int
}

func (u *upstream) setInFlight(now time.Time, n int) {
	u.inFlight = n
	u.inFlightHistory = append(u.inFlightHistory, inFlightSample{at: now, inFlight: n})
	for len(u.inFlightHistory) > 1 && now.Sub(u.inFlightHistory[1].at) > maxReportAge {
		u.inFlightHistory = u.inFlightHistory[1:]
	}
}

// inFlightAt is the router's own work in flight at an earlier time.
func (u *upstream) inFlightAt(at time.Time) int {
	for i := len(u.inFlightHistory) - 1; i >= 0; i-- {
		if !u.inFlightHistory[i].at.After(at) {
			return u.inFlightHistory[i].inFlight
		}
	}
	return 0
}

// Forget drops an upstream that has ended.
func (c *Chooser) Forget(instance string) { delete(c.upstreams, instance) }

// InFlight returns the router's own work at an upstream, and the upstream's capacity.
func (c *Chooser) InFlight(instance string) (own, capacity int) {
	u := c.upstream(instance)
	if u.report.Capacity == 0 {
		return u.inFlight, defaultCapacity
	}
	return u.inFlight, u.report.Capacity
}

// Wait estimates how long a queue of this length takes to drain over the given upstreams.
func (c *Chooser) Wait(queued int, candidates []Candidate) time.Duration {
	rate := 0.0
	for _, k := range candidates {
		u := c.upstream(k.Instance)
		_, capacity := c.InFlight(k.Instance)
		rate += float64(capacity) / max(u.serviceTime, 0.001)
	}
	if rate == 0 {
		return time.Second
	}
	return time.Duration(math.Ceil(float64(queued+1)/rate*1000)) * time.Millisecond
}
