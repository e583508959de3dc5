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
	CauseLeaving   Cause = "leaving"
	CauseStale     Cause = "stale"
	CauseFenced    Cause = "fenced"
	CauseFull      Cause = "full"
	CauseDisrupted Cause = "disrupted"
	CauseFailed    Cause = "failed"
	CauseLinkLost  Cause = "link_lost"
)

// Action is what to do after a failed attempt.
type Action string

// The actions; a free retry is not counted against the limit.
const (
	ActionRetryFree    Action = "retry_free"
	ActionRetryCounted Action = "retry_counted"
	ActionFail         Action = "fail"
)

// Failure is a classified failure whose fate is final.
type Failure struct {
	Cause Cause
	Fate  masticway.Fate
	// NonRepeatable requests are retried only when they did not run.
	NonRepeatable bool
	// Resumable tells that the answer so far can be continued elsewhere.
	Resumable bool
	// Ended tells that the upstream ended under the request.
	Ended bool
	// Progress tells that the failed attempt had brought a part of the answer.
	Progress bool
}

// Rule maps matching failures to an action; empty fields match anything.
type Rule struct {
	Cause  Cause
	Fate   masticway.Fate
	Action Action
}

// Rules are consulted in order; the first match decides.
var disruptionRules = []Rule{
	{Cause: CauseStale, Fate: masticway.FateNotRun, Action: ActionRetryFree},
	{Cause: CauseFenced, Fate: masticway.FateNotRun, Action: ActionRetryFree},
	{Cause: CauseLeaving, Fate: masticway.FateNotRun, Action: ActionRetryFree},
	{Cause: CauseFull, Fate: masticway.FateNotRun, Action: ActionRetryFree},
	{Cause: CauseLinkLost, Fate: masticway.FateNotRun, Action: ActionRetryFree},
	{Cause: CauseDisrupted, Action: ActionRetryFree},
	{Fate: masticway.FateNotRun, Action: ActionRetryCounted},
	{Cause: CauseLinkLost, Action: ActionRetryCounted},
	{Cause: CauseFailed, Action: ActionRetryCounted},
	{Action: ActionFail},
}

// plainRules is the baseline: every failure counts.
var plainRules = []Rule{
	{Action: ActionRetryCounted},
}

// Policy chooses the rules.
type Policy string

// The retry policies.
const (
	PolicyDisruptions Policy = "disruptions"
	PolicyPlain       Policy = "plain"
)

const (
	// maxFreeRetries bounds free retries too, so that no request circles for ever.
	maxFreeRetries = 16
	// maxFruitlessRetries bounds the retries of a request whose upstreams end before they bring anything: it may be why. What had
	// come on in between is an answer that others' failures broke off.
	maxFruitlessRetries = 2
	// baseBudget is the retries a quiet router may make; budgetPerRequest adds a part of its requests.
	baseBudget       = 10.0
	budgetPerRequest = 0.2
	// budgetRefillTime is the time over which the retry budget refills from its floor.
	budgetRefillTime = 10 * time.Second
	minBackoff       = 10 * time.Millisecond
	maxBackoff       = 500 * time.Millisecond
)

// History is what a request has already used up.
type History struct {
	Free    int
	Counted int
	// Fruitless is how often an upstream ended before it had brought anything of the answer.
	Fruitless int
}

// Settings are the tunables of a retrier.
type Settings struct {
	Policy Policy
	// CountedLimit is the number of counted retries of one request.
	CountedLimit int
}

// Retrier holds the router's retry budget; it is not safe for concurrent use.
type Retrier struct {
	settings   Settings
	rules      []Rule
	budget     float64
	refilledAt time.Time
}

// New returns a retrier with a full budget.
func New(s Settings) *Retrier {
	rules := disruptionRules
	if s.Policy == PolicyPlain {
		rules = plainRules
	}
	return &Retrier{settings: s, rules: rules, budget: baseBudget}
}

// Request refills the budget by the share that one more request allows.
func (r *Retrier) Request(now time.Time) {
	if passed := now.Sub(r.refilledAt); passed > 0 {
		r.budget += baseBudget * min(1, passed.Seconds()/budgetRefillTime.Seconds())
		r.refilledAt = now
	}
	r.budget = min(r.budget+budgetPerRequest, 10*baseBudget)
}

// Decide returns what to do, the history after it, and how long to wait before the next attempt.
func (r *Retrier) Decide(f Failure, h History) (Action, History, time.Duration) {
	action := r.match(f)
	if f.Fate != masticway.FateNotRun && (f.NonRepeatable || !f.Resumable) {
		action = ActionFail
	}
	switch action {
	case ActionRetryFree:
		fruitless := f.Ended && f.Fate != masticway.FateNotRun && !f.Progress
		if h.Free >= maxFreeRetries || fruitless && h.Fruitless >= maxFruitlessRetries {
			return ActionFail, h, 0
		}
		if fruitless {
			h.Fruitless++
		}
		h.Free++
		return action, h, backoff(h.Free)
	case ActionRetryCounted:
		if h.Counted >= r.settings.CountedLimit || r.budget < 1 {
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

// backoff grows from nothing, so that the first retry goes out at once.
func backoff(try int) time.Duration {
	if try <= 1 {
		return 0
	}
	return min(maxBackoff, minBackoff<<min(try-2, 10))
}
