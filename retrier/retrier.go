package retrier

import (
	"time"

	"github.com/masticway/masticway"
)

// Cause classifies a failed attempt.
type Cause string

// The causes of a failed attempt.
const (
	// CauseRefused is a refusal for a reason other than those of the causes below.
	CauseRefused Cause = "refused"
	// CauseDraining is a refusal because the upstream drains.
	CauseDraining Cause = "leaving"
	// CauseStale is a refusal because the router's configuration is outdated.
	CauseStale Cause = "stale"
	// CauseFenced is a refusal because an incarnation of a router is sealed (fenced off) at the sidecar. It is the one that sent
	// the request, or the hold's payer, whose grant pays for the request. The sidecar also refuses if it cannot verify that both
	// are unsealed, or if the links row of one of them does not contain the sidecar.
	CauseFenced Cause = "fenced"
	// CauseFull is a refusal because the upstream has no capacity.
	CauseFull Cause = "full"
	// CauseDisrupted is a run that did not end by itself, for example because the upstream or its sidecar ended.
	CauseDisrupted Cause = "disrupted"
	// CauseFailed is a run that ended by itself and failed.
	CauseFailed Cause = "failed"
	// CauseLinkLost is an attempt that did not reach the sidecar, or whose result was lost with the link (the router's connection
	// to the sidecar).
	CauseLinkLost Cause = "link_lost"
)

// Action is what to do after a failed attempt.
type Action string

// The possible actions. Only a counted retry counts against Settings.MaxCountedRetries.
const (
	ActionRetryFree    Action = "retry_free"
	ActionRetryCounted Action = "retry_counted"
	ActionFail         Action = "fail"
)

// Failure describes a failed attempt. Its fate must be final: not run, ran, or unknown for good.
type Failure struct {
	Cause Cause
	Fate  masticway.Fate
	// NonRepeatable is set if the request may be retried only if it did not run.
	NonRepeatable bool
	// Resumable is set if another upstream can run the request again or continue its partial answer. Otherwise the request may be
	// retried only if it did not run.
	Resumable bool
	// UpstreamEnded is set if the upstream's process ended while it ran the request.
	UpstreamEnded bool
	// Progress is set if the failed attempt delivered part of the answer.
	Progress bool
}

// Rule maps the failures with a cause and a fate to an action. An empty Cause or Fate matches any.
type Rule struct {
	Cause  Cause
	Fate   masticway.Fate
	Action Action
}

// disruptionRules grant free retries after disruptions, which the environment caused. Other failures use a counted retry or are
// final. The first matching rule decides.
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

// plainRules are a baseline for comparison with disruptionRules: each retry is counted.
var plainRules = []Rule{
	{Action: ActionRetryCounted},
}

// Policy selects the rules: plainRules for PolicyPlain, disruptionRules otherwise.
type Policy string

// The retry policies.
const (
	PolicyDisruptions Policy = "disruptions"
	PolicyPlain       Policy = "plain"
)

const (
	// maxFreeRetries is the maximum number of free retries of one request. Without it, a request could be retried forever.
	maxFreeRetries = 16
	// maxFruitlessRetries is the maximum number of free retries of one request after upstreams that ended before they delivered
	// any part of the answer. The number is small because the request may be the cause. If an upstream delivered a part of the
	// answer, the request is less likely to be the cause.
	maxFruitlessRetries = 2
	// baseBudget is the initial retry budget, in counted retries. The maximum is ten times as much.
	baseBudget = 10.0
	// budgetPerRequest is what each request adds to the retry budget, in counted retries.
	budgetPerRequest = 0.2
	// budgetRefillTime is the time in which the retry budget gains baseBudget. A longer gap between two requests gains no more.
	budgetRefillTime = 10 * time.Second
	// minBackoff and maxBackoff bound the delay before a retry. The first free retry has no delay.
	minBackoff = 10 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// History counts the retries that a request has used.
type History struct {
	Free    int
	Counted int
	// Fruitless is the number of free retries after an upstream ended before it delivered any part of the answer.
	Fruitless int
}

// Settings configures a Retrier.
type Settings struct {
	Policy Policy
	// MaxCountedRetries is the maximum number of counted retries of one request.
	MaxCountedRetries int
}

// Retrier decides about retries and holds the router's retry budget, which limits the counted retries of all requests. It is not
// safe for concurrent use.
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

// RecordRequest records the arrival of a request, which adds to the retry budget. The time since the last request adds to it as
// well (see budgetRefillTime).
func (r *Retrier) RecordRequest(now time.Time) {
	if passed := now.Sub(r.refilledAt); passed > 0 {
		r.budget += baseBudget * min(1, passed.Seconds()/budgetRefillTime.Seconds())
		r.refilledAt = now
	}
	r.budget = min(r.budget+budgetPerRequest, 10*baseBudget)
}

// Decide returns the action for a failure, the updated history, and the delay before the next attempt. If the action is
// ActionRetryCounted, Decide also takes one retry from the retry budget.
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

// match returns the action of the first rule that matches the failure.
func (r *Retrier) match(f Failure) Action {
	for _, rule := range r.rules {
		if (rule.Cause == "" || rule.Cause == f.Cause) && (rule.Fate == "" || rule.Fate == f.Fate) {
			return rule.Action
		}
	}
	return ActionFail
}

// backoff returns the delay before the n-th retry: none for the first, minBackoff for the second, then twice the previous delay
// up to maxBackoff. For the first counted retry, Decide passes n = 2, so that this retry is delayed.
func backoff(n int) time.Duration {
	if n <= 1 {
		return 0
	}
	return min(maxBackoff, minBackoff<<min(n-2, 10))
}
