package router

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/chooser"
	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/explainer"
	"github.com/masticway/masticway/logger"
	"github.com/masticway/masticway/measurer"
	"github.com/masticway/masticway/tracker"
)

// closedConnection is the connection of a caller that has left, of which only the kernel knows.
type closedConnection struct{}

func (closedConnection) ArrivedAt() time.Time { return time.Time{} }

func (closedConnection) HasClosed() bool { return true }

func (closedConnection) HasLeft() bool { return true }

// TestRequestOfCallerThatLeftIsNotDispatched guards against dispatching the request of a caller that has left, although the caller
// cannot ask again for its outcome, because the HTTP server has not read the end of the connection yet.
func TestRequestOfCallerThatLeftIsNotDispatched(t *testing.T) {
	for name, hasKey := range map[string]bool{"without a key": false, "with a key": true} {
		t.Run(name, func(t *testing.T) {
			r := New(Settings{}, Secrets{}, masticway.SystemClock{}, logger.Discard(), Platform{Table: emulator.NewTable()}, nil, measurer.New())
			defer r.Close()
			ctx := masticway.WithCallerConnection(t.Context(), closedConnection{})
			x := r.newExchange(ctx, request{hasCallerKey: hasKey, model: masticway.Model{CompletionWeight: 1}}, nil)
			x.hold = &moneyHold{}
			x.step(eventAdmitted)
			x.step(eventHeld)
			x.trace.Attempts = append(x.trace.Attempts, explainer.Attempt{})
			e := x.runAttempt(ctx, slot{upstream: tracker.Upstream{}}, chooser.Request{})
			qt.Assert(t, e.fate, qt.Equals, masticway.FateNotRun)
			qt.Assert(t, e.reason == "the caller has left", qt.Equals, !hasKey, qt.Commentf(e.reason))
			_, refused := errors.AsType[*masticway.RefusalError](x.handleFailure(ctx, e))
			qt.Assert(t, refused, qt.Equals, !hasKey)
		})
	}
}
