package sealer

import (
	"github.com/masticway/masticway"
	"github.com/masticway/masticway/bookkeeper"
)

// Dispatch asks a sidecar to run one attempt.
type Dispatch struct {
	Run     masticway.RunKey      `cbor:"1,keyasint"`
	Request string                `cbor:"2,keyasint"`
	Sender  masticway.Incarnation `cbor:"3,keyasint"`
	Hold    masticway.HoldID      `cbor:"4,keyasint"`
	// Grant is the grant that pays for the run. Its payer may be another router than the sender.
	Grant masticway.GrantKey `cbor:"5,keyasint"`
	// Bound is the maximum cost of the run.
	Bound masticway.Amount `cbor:"6,keyasint"`
	// PromptWeight and CompletionWeight are the costs of one token of the prompt and of the completion.
	PromptWeight     masticway.Amount `cbor:"7,keyasint,omitempty"`
	CompletionWeight masticway.Amount `cbor:"8,keyasint,omitempty"`
	// Price is the cost of a call of a plain service.
	Price masticway.Amount `cbor:"9,keyasint,omitempty"`
	// Revision is the sender's configuration revision.
	Revision masticway.Revision `cbor:"10,keyasint"`
	// NonRepeatable is set if the request must run at most once.
	NonRepeatable bool           `cbor:"11,keyasint,omitempty"`
	Call          masticway.Call `cbor:"12,keyasint"`
}

// cost returns the cost of a run with the given usage. For a plain service it is the price of a call. For a model it is the
// weighted number of tokens, without the prompt if the run is resumed, because an earlier attempt has paid for that.
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
	// ReasonSealed means that the payer or the sender is sealed.
	ReasonSealed Reason = "sealed"
	// ReasonUnverified means that the links row of the payer or the sender could not be read.
	ReasonUnverified Reason = "unverified"
	// ReasonUnlinked means that the links row of the payer or the sender does not contain this sidecar.
	ReasonUnlinked Reason = "unlinked"
	ReasonDraining Reason = "leaving"
	// ReasonStale means that the sender has an older configuration revision than the sidecar.
	ReasonStale Reason = "stale_revision"
	// ReasonDuplicate means that another run with the identity is in progress, has a complete answer, or must not be
	// repeated.
	ReasonDuplicate Reason = "duplicate"
	// ReasonCancelled means that this sidecar has already refused the run or reported it as not found.
	ReasonCancelled Reason = "cancelled"
	// ReasonFull means that Settings.MaxRuns runs are in progress.
	ReasonFull Reason = "full"
)

// Accepted confirms to the sender of a dispatch that the run will start. It also confirms to a router that it has been
// attached.
type Accepted struct {
	Run masticway.RunKey `cbor:"1,keyasint"`
}

// Refused is sent to the sender of a dispatch that has not run and will not run.
type Refused struct {
	Run    masticway.RunKey `cbor:"1,keyasint"`
	Reason Reason           `cbor:"2,keyasint"`
	// Existing is the run that already has the identity. It is set for ReasonDuplicate.
	Existing *masticway.RunKey `cbor:"3,keyasint,omitempty"`
	// Changes are the configuration changes that the sender has not applied. They are set for ReasonStale. Old ones may be
	// missing.
	Changes []masticway.Change `cbor:"4,keyasint,omitempty"`
	// Fenced is the incarnation that the reason is about, the payer or the sender. It is set for ReasonSealed,
	// ReasonUnverified and ReasonUnlinked.
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

// RunResult is sent to the readers of a run when it has ended.
type RunResult struct {
	Run  masticway.RunKey `cbor:"1,keyasint"`
	Fate masticway.Fate   `cbor:"2,keyasint"`
	// Complete is set if the answer is complete.
	Complete bool              `cbor:"3,keyasint"`
	Outcome  masticway.Outcome `cbor:"4,keyasint"`
	Cost     masticway.Amount  `cbor:"5,keyasint"`
	Hold     masticway.HoldID  `cbor:"6,keyasint"`
	// Chunks is the number of chunks of the answer.
	Chunks int `cbor:"7,keyasint"`
	// Disrupted is set if the run failed because of the upstream or its environment, not because of the request.
	Disrupted bool `cbor:"8,keyasint,omitempty"`
	// UpstreamEnded is set if the upstream's process no longer listens.
	UpstreamEnded bool `cbor:"9,keyasint,omitempty"`
}

// Attach requests a run's answer from the chunk with index From on.
type Attach struct {
	Run  masticway.RunKey `cbor:"1,keyasint"`
	From int              `cbor:"2,keyasint"`
}

// Query asks for the status of a run. If the sidecar does not have the run, it refuses all dispatches of the run for the
// next Settings.AnswerTTL.
type Query struct {
	Run masticway.RunKey `cbor:"1,keyasint"`
}

// Find asks for the status of the newest run with an identity. Unlike Query it has no side effects.
type Find struct {
	Identity masticway.Identity `cbor:"1,keyasint"`
}

// RunStatus is the answer to Query and Find, and to an Attach for a run that the sidecar does not have.
type RunStatus struct {
	Run masticway.RunKey `cbor:"1,keyasint"`
	// Found is set if the sidecar has the run.
	Found bool `cbor:"2,keyasint"`
	// Result is nil while the run is in progress.
	Result *RunResult `cbor:"3,keyasint,omitempty"`
	// Resumed and ResumedText are the number of tokens and the text that earlier attempts had produced when this run began.
	Resumed     int    `cbor:"4,keyasint,omitempty"`
	ResumedText string `cbor:"5,keyasint,omitempty"`
}

// Cancel asks a sidecar to stop a run whose answer the sending router no longer needs. For example, the caller has disconnected,
// or the request has another attempt. See Sealer.Cancel for when the run goes on.
type Cancel struct {
	Run masticway.RunKey `cbor:"1,keyasint"`
}

// Seal asks a sidecar to fence an incarnation and to report what was run for it.
type Seal struct {
	Incarnation masticway.Incarnation `cbor:"1,keyasint"`
}

// HoldReport is the cost of one hold's run at a sidecar. The cost is zero while the run is in progress.
type HoldReport struct {
	Hold    masticway.HoldID `cbor:"1,keyasint"`
	Cost    masticway.Amount `cbor:"2,keyasint"`
	Running bool             `cbor:"3,keyasint,omitempty"`
}

// SealReport reports what a sidecar ran for a sealed incarnation. Totals covers the grants of the incarnation. Holds covers the
// runs that the incarnation dispatched and that the sidecar still has in memory.
type SealReport struct {
	Incarnation masticway.Incarnation `cbor:"1,keyasint"`
	// Sidecar is the incarnation of the reporting sidecar.
	Sidecar masticway.Incarnation `cbor:"2,keyasint"`
	Totals  []bookkeeper.Total    `cbor:"3,keyasint,omitempty"`
	Holds   []HoldReport          `cbor:"4,keyasint,omitempty"`
}
