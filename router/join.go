package router

import (
	"context"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/chooser"
	"github.com/masticway/masticway/linker"
	"github.com/masticway/masticway/sealer"
)

// foundRun is a run of the same identity and the link to its sidecar.
type foundRun struct {
	conn   *linker.Conn
	status sealer.RunStatus
}

// findRun looks for a run of the same identity at the sidecars, and reports whether there is one to join. A run that has ended
// without a complete answer is not joined if the request is repeatable.
func (x *exchange) findRun(ctx context.Context) bool {
	status, conn, complete := x.r.upstreams.findRun(ctx, x.q.identity)
	x.searchIncomplete = !complete
	if conn == nil {
		return false
	}
	if status.Result != nil && !status.Result.Complete && !x.q.nonRepeatable {
		x.endedEarly = true
		x.attempt = status.Run.Attempt
		return false
	}
	x.found = &foundRun{conn: conn, status: status}
	x.trace.Attached = true
	x.attempt = status.Run.Attempt
	x.r.metrics.Add(metricAttached, 1)
	return true
}

// joinRun relays the answer of a run that another request with the same identity started. If that run ends early and the request
// is repeatable, it continues the answer with its own attempts.
func (x *exchange) joinRun(ctx context.Context) (result, error) {
	x.step(eventAttached)
	if status := x.found.status; status.Resumed > 0 {
		// The run resumes where an earlier attempt ended, so the output of that attempt comes first.
		x.relay(masticway.Chunk{Text: status.ResumedText, Tokens: status.Resumed})
	}
	f := x.newFeed(x.found.conn.Peer())
	defer x.r.upstreams.feeds.remove(f)
	_ = x.found.conn.Send(linker.Message{Attach: &sealer.Attach{Run: f.run, From: 0}})
	e := x.relayRun(ctx, f, true, chooser.Request{})
	if e.final != nil && e.final.Complete {
		x.step(eventFinished)
		return result{outcome: e.final.Outcome, usage: x.usage(e.final)}, nil
	}
	if x.q.nonRepeatable || e.fate == masticway.FateUnknown {
		x.step(eventLost)
		return result{}, unknownOutcome()
	}
	// The run ended early and the router that started it may have crashed, so this router continues the answer with its own hold.
	x.step(eventDisrupted)
	x.found = nil
	if err := x.reacquireHold(ctx); err != nil {
		return result{}, err
	}
	return x.runAttempts(ctx)
}
