package retrier_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/retrier"
)

func TestDecide(t *testing.T) {
	cases := map[string]struct {
		policy  retrier.Policy
		failure retrier.Failure
		history retrier.History
		action  retrier.Action
	}{
		"a draining upstream is retried for free": {
			failure: retrier.Failure{Cause: retrier.CauseDraining, Fate: masticway.FateNotRun},
			history: retrier.History{Counted: 3}, action: retrier.ActionRetryFree,
		},
		"a lost upstream is resumed": {
			failure: retrier.Failure{Cause: retrier.CauseDisrupted, Fate: masticway.FateRan, Resumable: true},
			history: retrier.History{Counted: 3}, action: retrier.ActionRetryFree,
		},
		"free retries are bounded": {
			failure: retrier.Failure{Cause: retrier.CauseDraining, Fate: masticway.FateNotRun},
			history: retrier.History{Free: 16}, action: retrier.ActionFail,
		},
		"a failed request is a counted retry": {
			failure: retrier.Failure{Cause: retrier.CauseFailed, Fate: masticway.FateRan, Resumable: true}, action: retrier.ActionRetryCounted,
		},
		"counted retries are bounded": {
			failure: retrier.Failure{Cause: retrier.CauseFailed, Fate: masticway.FateRan, Resumable: true},
			history: retrier.History{Counted: 3}, action: retrier.ActionFail,
		},
		"non-repeatable that ran": {
			failure: retrier.Failure{Cause: retrier.CauseDisrupted, Fate: masticway.FateRan, NonRepeatable: true, Resumable: true}, action: retrier.ActionFail,
		},
		"non-repeatable with unknown outcome": {
			failure: retrier.Failure{Cause: retrier.CauseLinkLost, Fate: masticway.FateUnknown, NonRepeatable: true, Resumable: true}, action: retrier.ActionFail,
		},
		"non-repeatable that did not run": {
			failure: retrier.Failure{Cause: retrier.CauseDraining, Fate: masticway.FateNotRun, NonRepeatable: true}, action: retrier.ActionRetryFree,
		},
		"plain counts a drain": {
			policy: retrier.PolicyPlain, failure: retrier.Failure{Cause: retrier.CauseDraining, Fate: masticway.FateNotRun}, action: retrier.ActionRetryCounted,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := retrier.New(retrier.Settings{Policy: tc.policy, MaxCountedRetries: 3})
			action, _, _ := r.Decide(tc.failure, tc.history)
			qt.Assert(t, action, qt.Equals, tc.action)
		})
	}
}

// TestDecideBoundsFruitlessRetries guards against sending a request that crashes its upstreams to 17 of them: such crashes are
// retried for free, so the limit on counted retries does not apply. Retries after a partial answer, after a run that broke off
// while its upstream stayed up, or for a request that did not run are not bounded that way.
func TestDecideBoundsFruitlessRetries(t *testing.T) {
	for name, tc := range map[string]struct {
		failure retrier.Failure
		sent    int
	}{
		"no answer":                  {failure: retrier.Failure{Cause: retrier.CauseDisrupted, Fate: masticway.FateUnknown, Resumable: true, UpstreamEnded: true}, sent: 3},
		"the upstream stayed up":     {failure: retrier.Failure{Cause: retrier.CauseDisrupted, Fate: masticway.FateRan, Resumable: true}, sent: 17},
		"a partial answer each time": {failure: retrier.Failure{Cause: retrier.CauseDisrupted, Fate: masticway.FateRan, Resumable: true, UpstreamEnded: true, Progress: true}, sent: 17},
		"the request did not run":    {failure: retrier.Failure{Cause: retrier.CauseDisrupted, Fate: masticway.FateNotRun, Resumable: true, UpstreamEnded: true}, sent: 17},
	} {
		t.Run(name, func(t *testing.T) {
			r := retrier.New(retrier.Settings{MaxCountedRetries: 3})
			sent, history := 0, retrier.History{}
			for action := retrier.ActionRetryFree; action != retrier.ActionFail; sent++ {
				action, history, _ = r.Decide(tc.failure, history)
			}
			qt.Assert(t, sent, qt.Equals, tc.sent)
		})
	}
}

func TestRetryBudgetBoundsRetries(t *testing.T) {
	r := retrier.New(retrier.Settings{MaxCountedRetries: 1000})
	now := time.Unix(1_800_000_000, 0)
	retried := 0
	for range 1000 {
		r.RecordRequest(now)
		action, _, _ := r.Decide(retrier.Failure{Cause: retrier.CauseFailed, Fate: masticway.FateRan, Resumable: true}, retrier.History{})
		if action == retrier.ActionRetryCounted {
			retried++
		}
	}
	// The initial budget of 10, 10 more for the time before the first request, and a fifth of the requests.
	qt.Assert(t, retried >= 200 && retried <= 230, qt.IsTrue, qt.Commentf("%d", retried))
}
