package router

import (
	"context"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/chooser"
	"github.com/masticway/masticway/linker"
	"github.com/masticway/masticway/sealer"
)

// foundRun is a run that another request with the identity of this exchange's request has started, and the link to its sidecar.
type foundRun struct {
	conn   *linker.Conn
	status sealer.RunStatus
}

// findRun asks the linked sidecars for a run of the request's identity. If it finds one to join, it sets x.found and returns
// true. A run that has ended without a complete answer is not joined if the request is repeatable. The next attempt is then
// numbered after this run.
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

// joinRun relays the answer of the run x.found. If that run ends without a complete answer and the request is repeatable, it
// continues the answer with attempts of its own.
func (x *exchange) joinRun(ctx context.Context) (result, error) {
	x.step(eventAttached)
	if status := x.found.status; status.Resumed > 0 {
		// The run continues the output of earlier attempts, so this output is relayed first.
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
	// The router that started the run may have crashed, so this router continues the answer with its own hold.
	x.step(eventDisrupted)
	x.found = nil
	if err := x.reacquireHold(ctx); err != nil {
		return result{}, err
	}
	return x.runAttempts(ctx)
}
