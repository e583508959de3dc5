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
		"a leaving upstream costs no retry": {
			failure: retrier.Failure{Cause: retrier.CauseLeaving, Fate: masticway.FateNotRun},
			history: retrier.History{Counted: 3}, action: retrier.ActionRetryFree,
		},
		"a lost upstream is resumed": {
			failure: retrier.Failure{Cause: retrier.CauseDisrupted, Fate: masticway.FateRan, Resumable: true},
			history: retrier.History{Counted: 3}, action: retrier.ActionRetryFree,
		},
		"free retries end too": {
			failure: retrier.Failure{Cause: retrier.CauseLeaving, Fate: masticway.FateNotRun},
			history: retrier.History{Free: 16}, action: retrier.ActionFail,
		},
		"a failed request counts": {
			failure: retrier.Failure{Cause: retrier.CauseFailed, Fate: masticway.FateRan, Resumable: true}, action: retrier.ActionRetryCounted,
		},
		"and is bounded": {
			failure: retrier.Failure{Cause: retrier.CauseFailed, Fate: masticway.FateRan, Resumable: true},
			history: retrier.History{Counted: 3}, action: retrier.ActionFail,
		},
		"non-repeatable that ran": {
			failure: retrier.Failure{Cause: retrier.CauseDisrupted, Fate: masticway.FateRan, NonRepeatable: true, Resumable: true}, action: retrier.ActionFail,
		},
		"non-repeatable, unknown": {
			failure: retrier.Failure{Cause: retrier.CauseLinkLost, Fate: masticway.FateUnknown, NonRepeatable: true, Resumable: true}, action: retrier.ActionFail,
		},
		"non-repeatable that did not run": {
			failure: retrier.Failure{Cause: retrier.CauseLeaving, Fate: masticway.FateNotRun, NonRepeatable: true}, action: retrier.ActionRetryFree,
		},
		"plain counts a drain": {
			policy: retrier.PolicyPlain, failure: retrier.Failure{Cause: retrier.CauseLeaving, Fate: masticway.FateNotRun}, action: retrier.ActionRetryCounted,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := retrier.New(retrier.Settings{Policy: tc.policy, CountedLimit: 3})
			action, _, _ := r.Decide(tc.failure, tc.history)
			qt.Assert(t, action, qt.Equals, tc.action)
		})
	}
}

// TestDecideBoundsFruitlessRetries has every upstream of a request vanish, before anything of the answer or amid it.
//
// Seen: a request whose upstreams vanish one after the other was sent to 17. Cause: what befell the upstream was never taken for
// the request's fault, so no retry counted.
func TestDecideBoundsFruitlessRetries(t *testing.T) {
	for name, tc := range map[string]struct {
		failure retrier.Failure
		sent    int
	}{
		"nothing came":                {failure: retrier.Failure{Cause: retrier.CauseDisrupted, Fate: masticway.FateUnknown, Resumable: true, Ended: true}, sent: 3},
		"only the run broke off":      {failure: retrier.Failure{Cause: retrier.CauseDisrupted, Fate: masticway.FateRan, Resumable: true}, sent: 17},
		"a part came each time":       {failure: retrier.Failure{Cause: retrier.CauseDisrupted, Fate: masticway.FateRan, Resumable: true, Ended: true, Progress: true}, sent: 17},
		"it was not running anywhere": {failure: retrier.Failure{Cause: retrier.CauseDisrupted, Fate: masticway.FateNotRun, Resumable: true, Ended: true}, sent: 17},
	} {
		t.Run(name, func(t *testing.T) {
			r := retrier.New(retrier.Settings{CountedLimit: 3})
			sent, history := 0, retrier.History{}
			for action := retrier.ActionRetryFree; action != retrier.ActionFail; sent++ {
				action, history, _ = r.Decide(tc.failure, history)
			}
			qt.Assert(t, sent, qt.Equals, tc.sent)
		})
	}
}

func TestRetryBudgetBoundsRetries(t *testing.T) {
	r := retrier.New(retrier.Settings{CountedLimit: 1000})
	now := time.Unix(1_800_000_000, 0)
	retried := 0
	for range 1000 {
		r.Request(now)
		action, _, _ := r.Decide(retrier.Failure{Cause: retrier.CauseFailed, Fate: masticway.FateRan, Resumable: true}, retrier.History{})
		if action == retrier.ActionRetryCounted {
			retried++
		}
	}
	// Ten from the floor, and a fifth of the requests.
	qt.Assert(t, retried >= 200 && retried <= 230, qt.IsTrue, qt.Commentf("%d", retried))
}
