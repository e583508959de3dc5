package retrier

import (
	"time"

	"github.com/masticway/masticway"
)

// Cause classifies a failed attempt.
type Cause string

// The causes of a failed attempt.
const (
	CauseRefused   Cause = "refused"
	CauseDraining  Cause = "leaving"
	CauseStale     Cause = "stale"
	CauseFenced    Cause = "fenced"
	CauseFull      Cause = "full"
	CauseDisrupted Cause = "disrupted"
	CauseFailed    Cause = "failed"
	CauseLinkLost  Cause = "link_lost"
)

// Action is what to do after a failed attempt.
type Action string

// The possible actions. Only a counted retry counts against Settings.MaxCountedRetries.
const (
	ActionRetryFree    Action = "retry_free"
	ActionRetryCounted Action = "retry_counted"
	ActionFail         Action = "fail"
)

// Failure is a classified failed attempt for which it is final whether the request ran.
type Failure struct {
	Cause Cause
	Fate  masticway.Fate
	// NonRepeatable requests are retried only if they did not run.
	NonRepeatable bool
	// Resumable is set if the partial answer can be continued at another upstream.
	Resumable bool
	// UpstreamEnded is set if the upstream's process ended while it ran the request.
	UpstreamEnded bool
	// Progress is set if the failed attempt delivered part of the answer.
	Progress bool
}

// Rule maps matching failures to an action. Empty fields match anything.
type Rule struct {
	Cause  Cause
	Fate   masticway.Fate
	Action Action
}

// disruptionRules retry disruptions for free. The first matching rule decides.
var disruptionRules = []Rule{
	{Cause: CauseStale, Fate: masticway.FateNotRun, Action: ActionRetryFree},
	{Cause: CauseFenced, Fate: masticway.FateNotRun, Action: ActionRetryFree},
	{Cause: CauseDraining, Fate: masticway.FateNotRun, Action: ActionRetryFree},
	{Cause: CauseFull, Fate: masticway.FateNotRun, Action: ActionRetryFree},
	{Cause: CauseLinkLost, Fate: masticway.FateNotRun, Action: ActionRetryFree},
	{Cause: CauseDisrupted, Action: ActionRetryFree},
	{Fate: masticway.FateNotRun, Action: ActionRetryCounted},
	{Cause: CauseLinkLost, Action: ActionRetryCounted},
	{Cause: CauseFailed, Action: ActionRetryCounted},
	{Action: ActionFail},
}

// plainRules are the baseline: every failure counts.
var plainRules = []Rule{
	{Action: ActionRetryCounted},
}

// Policy selects the rules.
type Policy string

// The retry policies.
const (
	PolicyDisruptions Policy = "disruptions"
	PolicyPlain       Policy = "plain"
)

const (
	// maxFreeRetries bounds the free retries of a request, so that it does not circulate forever.
	maxFreeRetries = 16
	// maxFruitlessRetries bounds the retries of a request whose upstreams end before they deliver any part of the answer, because
	// the request may be the cause. An upstream that delivered a part was more likely ended by something else.
	maxFruitlessRetries = 2
	// baseBudget is the initial retry budget, and what it gains per budgetRefillTime. A longer gap between requests gains no more.
	// Each request adds budgetPerRequest. The budget is capped at ten times baseBudget.
	baseBudget       = 10.0
	budgetPerRequest = 0.2
	// budgetRefillTime is the time in which the retry budget gains baseBudget.
	budgetRefillTime = 10 * time.Second
	minBackoff       = 10 * time.Millisecond
	maxBackoff       = 500 * time.Millisecond
)

// History counts the retries that a request has used.
type History struct {
	Free    int
	Counted int
	// Fruitless is how often an upstream ended before it delivered any part of the answer.
	Fruitless int
}

// Settings configures a Retrier.
type Settings struct {
	Policy Policy
	// MaxCountedRetries is the maximum number of counted retries of one request.
	MaxCountedRetries int
}

// Retrier decides about retries and holds the router's retry budget. It is not safe for concurrent use.
type Retrier struct {
	settings   Settings
	rules      []Rule
	budget     float64
	refilledAt time.Time
}

// New returns a Retrier whose budget is baseBudget.
func New(s Settings) *Retrier {
	rules := disruptionRules
	if s.Policy == PolicyPlain {
		rules = plainRules
	}
	return &Retrier{settings: s, rules: rules, budget: baseBudget}
}

// RecordRequest adds to the budget what one more request and the time since the last one allow.
func (r *Retrier) RecordRequest(now time.Time) {
	if passed := now.Sub(r.refilledAt); passed > 0 {
		r.budget += baseBudget * min(1, passed.Seconds()/budgetRefillTime.Seconds())
		r.refilledAt = now
	}
	r.budget = min(r.budget+budgetPerRequest, 10*baseBudget)
}

// Decide returns the action for a failure, the updated history, and the delay before the next attempt.
func (r *Retrier) Decide(f Failure, h History) (Action, History, time.Duration) {
	action := r.match(f)
	if f.Fate != masticway.FateNotRun && (f.NonRepeatable || !f.Resumable) {
		action = ActionFail
	}
	switch action {
	case ActionRetryFree:
		fruitless := f.UpstreamEnded && f.Fate != masticway.FateNotRun && !f.Progress
		if h.Free >= maxFreeRetries || fruitless && h.Fruitless >= maxFruitlessRetries {
			return ActionFail, h, 0
		}
		if fruitless {
			h.Fruitless++
		}
		h.Free++
		return action, h, backoff(h.Free)
	case ActionRetryCounted:
		if h.Counted >= r.settings.MaxCountedRetries || r.budget < 1 {
			return ActionFail, h, 0
		}
		r.budget--
		h.Counted++
		return action, h, backoff(h.Counted + 1)
	}
	return ActionFail, h, 0
}

func (r *Retrier) match(f Failure) Action {
	for _, rule := range r.rules {
		if (rule.Cause == "" || rule.Cause == f.Cause) && (rule.Fate == "" || rule.Fate == f.Fate) {
			return rule.Action
		}
	}
	return ActionFail
}

// backoff returns the delay before a try: none before the first one, then doubling from minBackoff to maxBackoff. Counted retries
// start with the second try.
func backoff(try int) time.Duration {
	if try <= 1 {
		return 0
	}
	return min(maxBackoff, minBackoff<<min(try-2, 10))
}
