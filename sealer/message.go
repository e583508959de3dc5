package sealer

import (
	"github.com/masticway/masticway"
	"github.com/masticway/masticway/bookkeeper"
)

// Dispatch requests that a sidecar run one attempt.
type Dispatch struct {
	Run     masticway.RunKey      `cbor:"1,keyasint"`
	Request string                `cbor:"2,keyasint"`
	Sender  masticway.Incarnation `cbor:"3,keyasint"`
	Hold    masticway.HoldID      `cbor:"4,keyasint"`
	Grant   masticway.GrantKey    `cbor:"5,keyasint"`
	// Bound is the maximum cost of the run.
	Bound            masticway.Amount   `cbor:"6,keyasint"`
	PromptWeight     masticway.Amount   `cbor:"7,keyasint,omitempty"`
	CompletionWeight masticway.Amount   `cbor:"8,keyasint,omitempty"`
	Price            masticway.Amount   `cbor:"9,keyasint,omitempty"`
	Revision         masticway.Revision `cbor:"10,keyasint"`
	NonRepeatable    bool               `cbor:"11,keyasint,omitempty"`
	Call             masticway.Call     `cbor:"12,keyasint"`
}

// cost returns the cost of what a run used. A resumed run is not charged for the prompt again.
func (d Dispatch) cost(u masticway.Usage) masticway.Amount {
	if d.Call.Service != "" {
		return d.Price
	}
	cost := masticway.Amount(u.Completion) * d.CompletionWeight
	if d.Call.Resumed == 0 {
		cost += masticway.Amount(u.Prompt) * d.PromptWeight
	}
	return cost
}

// Reason is the reason why a dispatch was refused.
type Reason string

// The reasons why a sidecar refuses a dispatch. In each case the dispatch did not run.
const (
	ReasonSealed     Reason = "sealed"
	ReasonUnverified Reason = "unverified"
	ReasonUnlinked   Reason = "unlinked"
	ReasonDraining   Reason = "leaving"
	ReasonStale      Reason = "stale_revision"
	ReasonDuplicate  Reason = "duplicate"
	ReasonCancelled  Reason = "cancelled"
	ReasonFull       Reason = "full"
)

// Accepted confirms to a run's sender that the run has been accepted and will start, or to a router that it has been attached.
type Accepted struct {
	Run masticway.RunKey `cbor:"1,keyasint"`
}

// Refused is sent to the sender if the run has not been accepted and never will be.
type Refused struct {
	Run    masticway.RunKey `cbor:"1,keyasint"`
	Reason Reason           `cbor:"2,keyasint"`
	// Existing is the run that already has this identity.
	Existing *masticway.RunKey `cbor:"3,keyasint,omitempty"`
	// Changes are the configuration changes that the sender has not applied.
	Changes []masticway.Change `cbor:"4,keyasint,omitempty"`
	// Fenced is the incarnation that is sealed, unverified or unlinked.
	Fenced masticway.Incarnation `cbor:"5,keyasint,omitempty"`
}

// PromptCount is sent to a run's readers with the prompt's true token count and the maximum cost that follows from it.
type PromptCount struct {
	Run    masticway.RunKey `cbor:"1,keyasint"`
	Prompt int              `cbor:"2,keyasint"`
	Bound  masticway.Amount `cbor:"3,keyasint"`
	// Cached is the number of prompt tokens that the engine had in its prefix cache.
	Cached int `cbor:"4,keyasint,omitempty"`
}

// Frame carries one chunk of an answer.
type Frame struct {
	Run   masticway.RunKey `cbor:"1,keyasint"`
	Chunk masticway.Chunk  `cbor:"2,keyasint"`
}

// RunResult is a run's result.
type RunResult struct {
	Run  masticway.RunKey `cbor:"1,keyasint"`
	Fate masticway.Fate   `cbor:"2,keyasint"`
	// Complete is set if the answer is complete.
	Complete bool              `cbor:"3,keyasint"`
	Outcome  masticway.Outcome `cbor:"4,keyasint"`
	Cost     masticway.Amount  `cbor:"5,keyasint"`
	Hold     masticway.HoldID  `cbor:"6,keyasint"`
	Chunks   int               `cbor:"7,keyasint"`
	// Disrupted is set if the upstream or its environment failed, and not the request.
	Disrupted bool `cbor:"8,keyasint,omitempty"`
	// UpstreamEnded is set if the upstream's process no longer listens.
	UpstreamEnded bool `cbor:"9,keyasint,omitempty"`
}

// Attach requests a run's answer from the chunk with index From on.
type Attach struct {
	Run  masticway.RunKey `cbor:"1,keyasint"`
	From int              `cbor:"2,keyasint"`
}

// Query requests the status of a run. A run that has not been accepted is refused from then on.
type Query struct {
	Run masticway.RunKey `cbor:"1,keyasint"`
}

// Find requests the status of an identity's newest run, without side effects.
type Find struct {
	Identity masticway.Identity `cbor:"1,keyasint"`
}

// RunStatus is the answer to Query and Find.
type RunStatus struct {
	Run    masticway.RunKey `cbor:"1,keyasint"`
	Found  bool             `cbor:"2,keyasint"`
	Result *RunResult       `cbor:"3,keyasint,omitempty"`
	// Resumed and ResumedText are the tokens and the text that earlier attempts had produced when this run began.
	Resumed     int    `cbor:"4,keyasint,omitempty"`
	ResumedText string `cbor:"5,keyasint,omitempty"`
}

// Cancel requests that a run be stopped because its caller has disconnected.
type Cancel struct {
	Run masticway.RunKey `cbor:"1,keyasint"`
}

// Seal fences an incarnation at this sidecar and requests a report of what was run for it.
type Seal struct {
	Incarnation masticway.Incarnation `cbor:"1,keyasint"`
}

// HoldReport is the cost of one hold's run at a sidecar.
type HoldReport struct {
	Hold    masticway.HoldID `cbor:"1,keyasint"`
	Cost    masticway.Amount `cbor:"2,keyasint"`
	Running bool             `cbor:"3,keyasint,omitempty"`
}

// SealReport reports what this sidecar ran for a sealed incarnation: the totals of its grants, and the holds it dispatched.
type SealReport struct {
	Incarnation masticway.Incarnation `cbor:"1,keyasint"`
	// Sidecar is the incarnation of the reporting sidecar.
	Sidecar masticway.Incarnation `cbor:"2,keyasint"`
	Totals  []bookkeeper.Total    `cbor:"3,keyasint,omitempty"`
	Holds   []HoldReport          `cbor:"4,keyasint,omitempty"`
}
