package forwarder

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/sender"
)

// TestRejectionNeedsFreshConnection guards against rejections that are believed although an earlier sending of the request on the
// connection may have caused them, and against relaying them as answers.
func TestRejectionNeedsFreshConnection(t *testing.T) {
	for name, tc := range map[string]struct {
		head              masticway.ServerAnswer
		history           sender.History
		rejected, relayed bool
	}{
		"the request's rejection":             {head: masticway.ServerAnswer{ID: "a", NotRun: true}, history: sender.History{Requests: 3, Rejections: 1}, rejected: true},
		"on a connection that had carried it": {head: masticway.ServerAnswer{ID: "a", NotRun: true}, history: sender.History{Requests: 3, Repeated: true}},
		"the same, signed":                    {head: masticway.ServerAnswer{ID: "a", NotRun: true, Signed: true}, history: sender.History{Requests: 3, Repeated: true}},
		"without an ID":                       {head: masticway.ServerAnswer{NotRun: true}},
		"another request's":                   {head: masticway.ServerAnswer{ID: "b", NotRun: true}},
		"no rejection":                        {head: masticway.ServerAnswer{ID: "a", Signed: true}, relayed: true},
		"no rejection, unsigned":              {head: masticway.ServerAnswer{ID: "a"}},
	} {
		t.Run(name, func(t *testing.T) {
			x := &exchange{}
			x.q.ID = "a"
			a := &attempt{x: x}
			qt.Assert(t, a.isRejected(tc.head, tc.history), qt.Equals, tc.rejected)
			if !tc.rejected && !a.isForeign(tc.head) {
				qt.Assert(t, checkAnswer(&sender.Answer{Status: 503, History: tc.history}, tc.head) == nil, qt.Equals, tc.relayed)
			}
		})
	}
}
