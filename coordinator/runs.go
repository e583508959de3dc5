package coordinator

import (
	"time"

	"github.com/masticway/masticway"
)

// source is how the engine of a run was chosen.
type source string

// The sources of choices. All but sourceOwner are local estimates: because the query was not answered in time, because the
// router sends no queries, because no owner was ready to choose, or because no query was made or its choice was not used.
const (
	sourceOwner    source = "owner"
	sourceTimeout  source = "local_timeout"
	sourcePressure source = "local_pressure"
	sourceNotReady source = "local_not_ready"
	sourceOther    source = "local"
)

// trackedRun is a run of this router, as it is reported to the owner.
type trackedRun struct {
	run    masticway.EngineRun
	server masticway.ServerIncarnation
	// placedAt is when the run was first known. asked is set if the owner was queried for it, so that it may have reserved an
	// engine, and began once the request was sent.
	placedAt     time.Time
	asked, began bool
	// source is how the engine was chosen, wait the time to the first event that the owner expected, and level the owner's level of the
	// workspace.
	source source
	wait   time.Duration
	level  int
	state  masticway.EngineRunState
	// stateAt is when the run reached its state.
	stateAt         time.Time
	firstEventAfter time.Duration
	events          int
	streamedFor     time.Duration
	// failed is set if the run ended because of the engine.
	failed bool
	// isKnown is set if the target knows the run and its engine.
	isKnown bool
	// version changes with each change that must be reported. reported is the last version that was acknowledged.
	version, reported int
	queued            bool
}

// report returns the report on the run. It describes the run unless the target knows it already.
func (r *trackedRun) report(now time.Time) masticway.EngineReport {
	p := masticway.EngineReport{
		Run: r.run.ID, Server: r.server, State: r.state, Age: now.Sub(r.stateAt), FirstEventAfter: r.firstEventAfter,
		Events: r.events, StreamedFor: r.streamedFor, IsNeutral: r.state == masticway.EngineRunEnded && !r.failed,
	}
	if !r.began {
		// Only the reservation ends. The engine has not seen the run.
		p.Server = ""
	}
	if r.began && !r.isKnown {
		p.Details = &r.run
	}
	return p
}

// isOpen reports whether the request was sent and has not ended.
func (r *trackedRun) isOpen() bool { return r.began && r.state != masticway.EngineRunEnded }
