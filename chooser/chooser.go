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
	PolicyForecast   Policy = "forecast"
	PolicyRoundRobin Policy = "round_robin"
	PolicyLeastBusy  Policy = "least_in_flight"
)

const (
	// blockBytes is the length of prompt that one prefix hash covers.
	blockBytes = 256
	// prefixLife is how long a cached prefix is believed in.
	prefixLife = 60 * time.Second
	// prefixLimit bounds the prefixes remembered for one upstream, and seenLimit those of the router's own prompts.
	prefixLimit = 4096
	seenLimit   = 32768
	// bytesPerToken estimates a prompt's tokens before the engine has counted them.
	bytesPerToken = 4
	// defaultPrefill is seconds per prompt token until the upstream has reported.
	defaultPrefill = 0.0002
	// defaultCapacity is the runs at once until the upstream has reported.
	defaultCapacity = 8
	// defaultService is the seconds that one run occupies a slot until some have finished.
	defaultService = 1.0
	// firstTrust is the trust in cache hints before any has been checked, and leastTrust what is always left of it.
	firstTrust = 0.5
	leastTrust = 0.02
	// trustWeight is the weight of the newest check.
	trustWeight = 0.2
	// othersWeight is the weight of the newest report on other routers' work.
	othersWeight = 0.5
	// historyLife is how late a load report may be.
	historyLife = 3 * time.Second
	// fullestUse bounds the soft part of the wait, which grows without bound towards a full batch.
	fullestUse = 0.85
	// smoothing is the weight of the newest sample in moving averages.
	smoothing = 0.1
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

func (w Work) tokens() float64 { return float64(w.PromptBytes) / bytesPerToken }

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
	// prefilling is the tokens sent that have not yet given a first token.
	prefilling float64
	report     masticway.LoadReport
	// others is the work of other routers, from reports less the router's own work when they were made.
	others float64
	// history is the router's own work in flight over the last seconds, to compare late reports with.
	history  []ownWork
	service  float64
	prefixes prefixes
	// trust is how much of what was expected in the cache has been there lately.
	trust float64
}

// Chooser is the state of all upstreams' load; it is not safe for concurrent use.
type Chooser struct {
	policy    Policy
	upstreams map[string]*upstream
	// seen are the prefixes of prompts that this router has sent anywhere.
	seen prefixes
	turn int
}

// New returns a chooser that knows no load.
func New(p Policy) *Chooser {
	return &Chooser{policy: p, upstreams: map[string]*upstream{}, seen: newPrefixes(seenLimit)}
}

func (c *Chooser) upstream(instance string) *upstream {
	u, ok := c.upstreams[instance]
	if !ok {
		u = &upstream{service: defaultService, trust: firstTrust, prefixes: newPrefixes(prefixLimit)}
		c.upstreams[instance] = u
	}
	return u
}

// Choose returns the best candidate's index and all scores; the index is -1 without candidates.
func (c *Chooser) Choose(now time.Time, w Work, candidates []Candidate) (int, []Score) {
	scores := make([]Score, 0, len(candidates))
	best := -1
	c.turn++
	shared := c.seen.depth(now, w.Prefixes)
	home := homeOf(w, candidates)
	for i, k := range candidates {
		depth := 0
		if i == home {
			depth = shared
		}
		s := c.score(now, w, k, depth)
		switch c.policy {
		case PolicyRoundRobin:
			s.Seconds = float64((i + len(candidates) - c.turn%len(candidates)) % len(candidates))
		case PolicyLeastBusy:
			s.Seconds = float64(s.InFlight)
		}
		scores = append(scores, s)
		if best < 0 || s.Seconds < scores[best].Seconds || (s.Seconds == scores[best].Seconds && c.tie(i)) {
			best = i
		}
	}
	return best, scores
}

// tie spreads equal scores over the candidates in turn.
func (c *Chooser) tie(i int) bool { return (c.turn+i)%2 == 0 }

// homeOf returns the candidate at which all routers look for a repeated prefix, or -1.
//
// Without it each router would gather a prefix at an engine of its own choice,
// and the engines' caches would hold everything several times.
func homeOf(w Work, candidates []Candidate) int {
	if len(w.Prefixes) == 0 {
		return -1
	}
	best, highest := -1, uint64(0)
	for i, c := range candidates {
		if weight := rendezvous(w.Prefixes[0], c.Instance); best < 0 || weight > highest {
			best, highest = i, weight
		}
	}
	return best
}

// rendezvous is the weight of a name for a hash, the same wherever it is worked out.
func rendezvous(hash uint64, name string) uint64 { return mix(xxhash.Sum64String(name) ^ hash) }

// mix spreads the bits of a weight, because both parts of it are hashes joined by one operation only.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// score works out a candidate's expected time; presumed is the depth of prefix that is looked for at the home.
func (c *Chooser) score(now time.Time, w Work, k Candidate, presumed int) Score {
	u := c.upstream(k.Instance)
	prefillTime := u.report.PrefillTime
	if prefillTime == 0 {
		prefillTime = defaultPrefill
	}
	cached := u.cached(now, w, presumed)
	load := u.load()
	s := Score{Instance: k.Instance, Cached: cached, InFlight: u.inFlight}
	s.Prefill = (max(0, w.tokens()-float64(cached)) + u.prefilling) * prefillTime
	s.Queue = u.queue(load)
	s.Seconds = s.Prefill + s.Queue
	if k.Zone != w.Zone {
		s.Seconds += zonePenalty
	}
	return s
}

// load corrects the lagging report by what this router has sent and finished since.
func (u *upstream) load() float64 {
	return u.others + float64(u.inFlight)
}

// queue estimates the wait for a place in the upstream's batch.
//
// The load is known late, so the wait must grow before the batch is full:
// otherwise every router would fill a favoured upstream to the brim at once. The
// soft part is Sakasegawa's approximation for a queue with several servers.
func (u *upstream) queue(load float64) float64 {
	capacity := float64(u.report.Capacity)
	if capacity == 0 {
		capacity = defaultCapacity
	}
	use := min(fullestUse, (load+1)/capacity)
	soft := u.service * math.Pow(use, math.Sqrt(2*(capacity+1))) / (capacity * (1 - use))
	beyond := max(0, load+1-capacity) * u.service / capacity
	// A fuller batch also slows each step; this breaks ties among free upstreams.
	return soft + beyond + load/capacity*u.report.TokenTime
}

// cached is how much of a prompt is likely in the cache, weighed by trust.
func (u *upstream) cached(now time.Time, w Work, presumed int) int {
	return int(float64(u.expected(now, w, presumed)) * u.trust)
}

// expected is the same before trust.
func (u *upstream) expected(now time.Time, w Work, presumed int) int {
	return max(presumed, u.prefixes.depth(now, w.Prefixes)) * blockBytes / bytesPerToken
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
	u.trust = max(leastTrust, (1-trustWeight)*u.trust+trustWeight*share)
}

// Sent records work given to an upstream, whose prompt is now likely to be cached there.
//
// It returns the prompt tokens expected in the cache, for Counted.
func (c *Chooser) Sent(now time.Time, instance string, w Work) (expected int) {
	u := c.upstream(instance)
	expected = u.expected(now, w, 0)
	u.setInFlight(now, u.inFlight+1)
	u.prefilling += max(0, w.tokens()-float64(u.cached(now, w, 0)))
	u.prefixes.learn(now, w.Prefixes)
	c.seen.learn(now, w.Prefixes)
	return expected
}

// FirstToken records that an upstream has finished a prefill.
func (c *Chooser) FirstToken(instance string, w Work) {
	u := c.upstream(instance)
	u.prefilling = max(0, u.prefilling-w.tokens())
	if u.inFlight == 0 {
		u.prefilling = 0
	}
}

// Done records the end of a run and how long it occupied the upstream.
func (c *Chooser) Done(now time.Time, instance string, took time.Duration, firstTokenSeen bool, w Work) {
	u := c.upstream(instance)
	u.setInFlight(now, max(0, u.inFlight-1))
	if !firstTokenSeen {
		u.prefilling = max(0, u.prefilling-w.tokens())
	}
	if u.inFlight == 0 {
		u.prefilling = 0
	}
	if took > 0 {
		u.service = (1-smoothing)*u.service + smoothing*took.Seconds()
	}
}

// Report takes an upstream's lagging word on its load and cache.
func (c *Chooser) Report(now time.Time, instance string, r masticway.LoadReport) {
	u := c.upstream(instance)
	fresh := !r.ReportedAt.Equal(u.report.ReportedAt)
	u.report = r
	if fresh {
		others := max(0, float64(r.Running+r.Queued-u.ownAt(r.ReportedAt)))
		u.others += othersWeight * (others - u.others)
	}
	u.prefixes.learn(now, r.Prefixes)
}

// ownWork is the router's own work in flight from a time on.
type ownWork struct {
	at       time.Time
	inFlight int
}

func (u *upstream) setInFlight(now time.Time, n int) {
	u.inFlight = n
	u.history = append(u.history, ownWork{at: now, inFlight: n})
	for len(u.history) > 1 && now.Sub(u.history[1].at) > historyLife {
		u.history = u.history[1:]
	}
}

// ownAt is the router's own work in flight at an earlier time.
func (u *upstream) ownAt(at time.Time) int {
	for i := len(u.history) - 1; i >= 0; i-- {
		if !u.history[i].at.After(at) {
			return u.history[i].inFlight
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
		rate += float64(capacity) / max(u.service, 0.001)
	}
	if rate == 0 {
		return time.Second
	}
	return time.Duration(math.Ceil(float64(queued+1)/rate*1000)) * time.Millisecond
}
