package chooser

import (
	"math"
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/masticway/masticway"
)

// Policy is the method for comparing upstreams.
type Policy string

// The routing policies.
const (
	PolicyForecast      Policy = "forecast"
	PolicyRoundRobin    Policy = "round_robin"
	PolicyLeastInFlight Policy = "least_in_flight"
)

const (
	// blockBytes is the size of a prompt block in bytes. Each prefix hash covers one block more than the hash before it.
	blockBytes = 256
	// prefixTTL is how long a prefix is assumed to stay in an upstream's cache after it was last sent to the upstream or reported
	// by it.
	prefixTTL = 60 * time.Second
	// maxUpstreamPrefixes is the number of prefix hashes stored for one upstream above which old ones are evicted.
	// maxSentPrefixes is the number above which old ones are evicted from Chooser.sentPrefixes.
	maxUpstreamPrefixes = 4096
	maxSentPrefixes     = 32768
	// bytesPerToken is the assumed number of bytes per prompt token.
	bytesPerToken = 4
	// defaultPrefillTime is the assumed prefill time in seconds per prompt token, until the upstream has reported one.
	defaultPrefillTime = 0.0002
	// defaultCapacity is the assumed number of requests that an upstream runs concurrently, until the upstream has reported one.
	defaultCapacity = 8
	// defaultServiceTime is the initial value of an upstream's average service time: the time in seconds that a run occupies a
	// slot.
	defaultServiceTime = 1.0
	// initialHitRate is the initial hit rate of an upstream: the share, from 0 to 1, of the prompt tokens predicted to be cached
	// that were cached. minHitRate is the lower bound of the hit rate.
	initialHitRate = 0.5
	minHitRate     = 0.02
	// hitRateWeight is the weight of the newest request in the moving average of an upstream's hit rate.
	hitRateWeight = 0.2
	// otherLoadWeight is the weight of the newest report in the moving average of an upstream's load from other routers.
	otherLoadWeight = 0.5
	// inFlightHistorySpan is how long the numbers of this router's requests in flight are stored. A delayed load report is
	// compared with the number at the time of the report.
	inFlightHistorySpan = 3 * time.Second
	// maxUtilization is the upper bound of the utilization in the formula of queueTime, whose result goes to infinity as the
	// utilization approaches 1.
	maxUtilization = 0.85
	// serviceTimeWeight is the weight of the newest run in the moving average of an upstream's service time.
	serviceTimeWeight = 0.1
	// zonePenalty is the time in seconds added to the score of an upstream outside the router's availability zone.
	zonePenalty = 0.002
)

// Request describes a request for which an upstream must be chosen.
type Request struct {
	PromptBytes int
	// Prefixes are the hashes of the prompt's leading blocks, as returned by the function Prefixes.
	Prefixes []uint64
	// Zone is the router's availability zone.
	Zone string
}

func (req Request) tokens() float64 { return float64(req.PromptBytes) / bytesPerToken }

// Candidate is an upstream that may be chosen.
type Candidate struct {
	Instance string
	Zone     string
}

// Score is the result of scoring a candidate. The candidate with the lowest Seconds is chosen.
type Score struct {
	Instance string `json:"instance"`
	// Seconds is the expected time to the first token: the sum of Queue, Prefill and the penalty for another availability zone. For
	// policies other than PolicyForecast, it is the value that the policy compares.
	Seconds float64 `json:"seconds"`
	// Queue is the expected time in the upstream's queue, in seconds. Prefill is the expected time of the prefill, in seconds,
	// including the pending prefill of this router's other requests there.
	Queue   float64 `json:"queue"`
	Prefill float64 `json:"prefill"`
	// Cached is the number of prompt tokens that are expected in the upstream's prefix cache.
	Cached   int `json:"cached"`
	InFlight int `json:"in_flight"`
}

type upstream struct {
	inFlight int
	// pendingPrefill estimates the number of uncached prompt tokens in requests that have not yet produced a first token. It may
	// be too low, because RecordFirstToken and RecordDone also subtract the cached tokens of a request.
	pendingPrefill float64
	report         masticway.LoadReport
	// otherLoad is the moving average of the load from other routers, in requests. The load at one report is the reported number
	// of requests minus this router's requests in flight at the time of the report.
	otherLoad float64
	// inFlightHistory holds the numbers of this router's requests in flight over the last inFlightHistorySpan, oldest first.
	inFlightHistory []inFlightSample
	// serviceTime is the moving average of the time in seconds that a run occupies a slot.
	serviceTime float64
	prefixes    prefixSet
	// hitRate is the share, from 0 to 1, of the prompt tokens predicted to be cached that were cached, as a moving average over
	// requests.
	hitRate float64
}

// Chooser tracks the load of upstreams with sidecars and chooses among them. It is not safe for concurrent use.
type Chooser struct {
	policy    Policy
	upstreams map[string]*upstream
	// sentPrefixes are the prefixes of the prompts that this router has sent to any upstream.
	sentPrefixes prefixSet
	choices      int
}

// New returns a chooser without load information.
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

// Choose returns the index of the candidate with the lowest Score.Seconds, or -1 if there are no candidates. It also returns the
// scores of all candidates.
func (c *Chooser) Choose(now time.Time, req Request, candidates []Candidate) (int, []Score) {
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

// winsTie reports whether candidate i replaces an earlier candidate with an equal score. The result alternates between calls of
// Choose, so that ties do not always go to the same upstream.
func (c *Chooser) winsTie(i int) bool { return (c.choices+i)%2 == 0 }

// homeIndex returns the index of the prompt's home, or -1 if the request has no prefix hashes. The home is the candidate with the
// highest rendezvous weight for the prompt's first block. Routers with equal candidates compute the same home, and prefer it if
// its load permits.
//
// Without a common home, each router might send requests with one prefix to a different engine, and the engines' caches would
// hold many copies of the prefix.
func homeIndex(req Request, candidates []Candidate) int {
	if len(req.Prefixes) == 0 {
		return -1
	}
	best, highest := -1, uint64(0)
	for i, c := range candidates {
		if weight := RendezvousWeight(req.Prefixes[0], c.Instance); best < 0 || weight > highest {
			best, highest = i, weight
		}
	}
	return best
}

// RendezvousWeight returns the rendezvous hashing weight of a name for a hash. All routers compute the same weight.
func RendezvousWeight(hash uint64, name string) uint64 {
	return MixWeight(hash, xxhash.Sum64String(name))
}

// MixWeight returns the rendezvous hashing weight of a name for a hash, where the name is given by its hash.
func MixWeight(hash, name uint64) uint64 { return mix(name ^ hash) }

// The shares of slow and fast engines in the homes of prompts, relative to engines of normal speed.
const (
	SlowShare = 0.5
	FastShare = 2.0
)

// ScaleWeight converts a rendezvous weight so that its name has the highest weight share times as often as names with other
// weights. As a fraction of the maximum, the result is the fraction to the power of 1/share. Shares other than SlowShare and
// FastShare change nothing: the powers for these two are exact on all processors, so that all routers agree on the order.
func ScaleWeight(weight uint64, share float64) uint64 {
	switch share {
	case SlowShare:
		high, _ := bits.Mul64(weight, weight)
		return high
	case FastShare:
		// A conversion from all 64 bits could round up to 2^64.
		const mantissa = 53
		return uint64(math.Sqrt(float64(weight>>(64-mantissa))/(1<<mantissa))*(1<<mantissa)) << (64 - mantissa)
	}
	return weight
}

// mix is the finalizer of MurmurHash3. It spreads the bits of x, because an exclusive or of two hashes is not a good weight.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// score computes the score of a candidate under PolicyForecast. homeDepth is the number of prefix blocks that are assumed to be
// cached because the candidate is the home. It must be zero for other candidates.
func (c *Chooser) score(now time.Time, req Request, k Candidate, homeDepth int) Score {
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

// load estimates the upstream's current load in requests: the average load from other routers plus this router's requests in
// flight.
func (u *upstream) load() float64 {
	return u.otherLoad + float64(u.inFlight)
}

// queueTime estimates the wait for a slot in the upstream's batch, in seconds.
//
// The load is known only with a delay, so the estimate must grow before the batch is full. Otherwise all routers would fill the
// best upstream completely at the same time. The variable soft is Sakasegawa's approximation for a queue with several servers.
func (u *upstream) queueTime(load float64) float64 {
	capacity := float64(u.report.Capacity)
	if capacity == 0 {
		capacity = defaultCapacity
	}
	utilization := min(maxUtilization, (load+1)/capacity)
	soft := u.serviceTime * math.Pow(utilization, math.Sqrt(2*(capacity+1))) / (capacity * (1 - utilization))
	excess := max(0, load+1-capacity) * u.serviceTime / capacity
	// The last term is there because a fuller batch slows down each step. It breaks ties among upstreams with free slots.
	return soft + excess + load/capacity*u.report.TokenTime
}

// cachedTokens estimates the number of prompt tokens in the cache: the predicted tokens times the hit rate.
func (u *upstream) cachedTokens(now time.Time, req Request, homeDepth int) int {
	return int(float64(u.predictedTokens(now, req, homeDepth)) * u.hitRate)
}

// predictedTokens predicts the number of prompt tokens in the cache, without regard to the hit rate. It uses the prefixes that
// the upstream has reported or this router has sent to it, and homeDepth.
func (u *upstream) predictedTokens(now time.Time, req Request, homeDepth int) int {
	return max(homeDepth, u.prefixes.depth(now, req.Prefixes)) * blockBytes / bytesPerToken
}

// RecordCacheHit updates an upstream's hit rate from the number of prompt tokens that were expected in its cache, as returned by
// RecordSent, and the number that were cached. It does nothing if none were expected.
//
// A prediction may be wrong: cache reports are delayed and incomplete, and an engine may have evicted prefixes that a router
// sent. The hit rate prevents wrong predictions from attracting requests to a busy upstream.
func (c *Chooser) RecordCacheHit(instance string, expected, cached int) {
	if expected <= 0 {
		return
	}
	u := c.upstream(instance)
	share := min(1, float64(cached)/float64(expected))
	u.hitRate = max(minHitRate, (1-hitRateWeight)*u.hitRate+hitRateWeight*share)
}

// RecordSent records that a request was sent to an upstream, and that its prompt is now likely to be cached there.
//
// It returns the number of prompt tokens that were predicted to be cached at the upstream before this request. The caller passes
// it to RecordCacheHit later.
func (c *Chooser) RecordSent(now time.Time, instance string, req Request) (expected int) {
	u := c.upstream(instance)
	expected = u.predictedTokens(now, req, 0)
	u.setInFlight(now, u.inFlight+1)
	u.pendingPrefill += max(0, req.tokens()-float64(u.cachedTokens(now, req, 0)))
	u.prefixes.add(now, req.Prefixes)
	c.sentPrefixes.add(now, req.Prefixes)
	return expected
}

// RecordFirstToken records that an upstream has sent the first token for a request, and so has finished its prefill.
func (c *Chooser) RecordFirstToken(instance string, req Request) {
	u := c.upstream(instance)
	u.pendingPrefill = max(0, u.pendingPrefill-req.tokens())
	if u.inFlight == 0 {
		u.pendingPrefill = 0
	}
}

// RecordDone records the end of a request that was recorded by RecordSent. took is how long the request occupied a slot of the
// upstream; zero does not count in the average service time. firstTokenSeen must be set if RecordFirstToken was called for the
// request.
func (c *Chooser) RecordDone(now time.Time, instance string, took time.Duration, firstTokenSeen bool, req Request) {
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

// RecordReport records an upstream's report on its load and its cache. The report may be delayed. If a report has the same
// ReportedAt as the previous one, it is not added to the average load from other routers a second time.
func (c *Chooser) RecordReport(now time.Time, instance string, r masticway.LoadReport) {
	u := c.upstream(instance)
	fresh := !r.ReportedAt.Equal(u.report.ReportedAt)
	u.report = r
	if fresh {
		others := max(0, float64(r.Running+r.Queued-u.inFlightAt(r.ReportedAt)))
		u.otherLoad += otherLoadWeight * (others - u.otherLoad)
	}
	u.prefixes.add(now, r.Prefixes)
}

// inFlightSample is the number of this router's requests in flight at an upstream, from the time at until the next sample.
type inFlightSample struct {
	at       time.Time
	inFlight int
}

func (u *upstream) setInFlight(now time.Time, n int) {
	u.inFlight = n
	u.inFlightHistory = append(u.inFlightHistory, inFlightSample{at: now, inFlight: n})
	for len(u.inFlightHistory) > 1 && now.Sub(u.inFlightHistory[1].at) > inFlightHistorySpan {
		u.inFlightHistory = u.inFlightHistory[1:]
	}
}

// inFlightAt returns the number of this router's requests in flight at the given earlier time. It returns zero if the history
// does not reach back to it.
func (u *upstream) inFlightAt(at time.Time) int {
	for i := len(u.inFlightHistory) - 1; i >= 0; i-- {
		if !u.inFlightHistory[i].at.After(at) {
			return u.inFlightHistory[i].inFlight
		}
	}
	return 0
}

// Forget removes all information about an upstream.
func (c *Chooser) Forget(instance string) { delete(c.upstreams, instance) }

// InFlight returns the number of this router's requests in flight at an upstream, and the upstream's capacity, which is
// defaultCapacity until the upstream has reported it.
func (c *Chooser) InFlight(instance string) (own, capacity int) {
	u := c.upstream(instance)
	if u.report.Capacity == 0 {
		return u.inFlight, defaultCapacity
	}
	return u.inFlight, u.report.Capacity
}

// EstimateWait estimates how long a new request waits for a slot at one of the candidates, behind the given number of queued
// requests. It assumes that all slots are occupied. It returns one second if there are no candidates.
func (c *Chooser) EstimateWait(queued int, candidates []Candidate) time.Duration {
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
