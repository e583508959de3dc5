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
	Grant   masticway.GrantKey    `cbor:"5,keyasint"`
	// Bound is the most that the run may cost.
	Bound            masticway.Amount   `cbor:"6,keyasint"`
	PromptWeight     masticway.Amount   `cbor:"7,keyasint,omitempty"`
	CompletionWeight masticway.Amount   `cbor:"8,keyasint,omitempty"`
	Price            masticway.Amount   `cbor:"9,keyasint,omitempty"`
	Revision         masticway.Revision `cbor:"10,keyasint"`
	NonRepeatable    bool               `cbor:"11,keyasint,omitempty"`
	Call             masticway.Call     `cbor:"12,keyasint"`
}

// cost prices what a run used; a resumed run does not pay for the prompt again.
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

// Reason says why a dispatch was refused.
type Reason string

// The reasons for which a sidecar refuses work; in every case it did not run.
const (
	ReasonSealed     Reason = "sealed"
	ReasonUnverified Reason = "unverified"
	ReasonUnlinked   Reason = "unlinked"
	ReasonLeaving    Reason = "leaving"
	ReasonStale      Reason = "stale_revision"
	ReasonDuplicate  Reason = "duplicate"
	ReasonCancelled  Reason = "cancelled"
	ReasonFull       Reason = "full"
)

// Accepted tells the sender that the run has been taken and will be started.
type Accepted struct {
	Run masticway.RunKey `cbor:"1,keyasint"`
}

// Refused tells the sender that the run was not taken and never will be.
type Refused struct {
	Run    masticway.RunKey `cbor:"1,keyasint"`
	Reason Reason           `cbor:"2,keyasint"`
	// Existing names the run that already has this identity.
	Existing *masticway.RunKey `cbor:"3,keyasint,omitempty"`
	// Changes are configuration changes that the sender has not applied.
	Changes []masticway.Change `cbor:"4,keyasint,omitempty"`
	// Fenced is the incarnation that is sealed, unverified or not linked.
	Fenced masticway.Incarnation `cbor:"5,keyasint,omitempty"`
}

// Counted tells the sender the prompt's true count and the bound that follows from it.
type Counted struct {
	Run    masticway.RunKey `cbor:"1,keyasint"`
	Prompt int              `cbor:"2,keyasint"`
	Bound  masticway.Amount `cbor:"3,keyasint"`
	// Cached is how much of the prompt the engine had in its prefix cache.
	Cached int `cbor:"4,keyasint,omitempty"`
}

// Frame carries one piece of an answer.
type Frame struct {
	Run   masticway.RunKey `cbor:"1,keyasint"`
	Chunk masticway.Chunk  `cbor:"2,keyasint"`
}

// Final is the sidecar's last word on a run.
type Final struct {
	Run  masticway.RunKey `cbor:"1,keyasint"`
	Fate masticway.Fate   `cbor:"2,keyasint"`
	// Complete tells that the whole answer was given.
	Complete bool              `cbor:"3,keyasint"`
	Outcome  masticway.Outcome `cbor:"4,keyasint"`
	Cost     masticway.Amount  `cbor:"5,keyasint"`
	Hold     masticway.HoldID  `cbor:"6,keyasint"`
	Chunks   int               `cbor:"7,keyasint"`
	// Disrupted tells that the upstream or its environment failed, not the request.
	Disrupted bool `cbor:"8,keyasint,omitempty"`
	// Ended tells that the upstream itself has ended, not only the run.
	Ended bool `cbor:"9,keyasint,omitempty"`
}

// Attach asks for a run's answer from a chunk on.
type Attach struct {
	Run  masticway.RunKey `cbor:"1,keyasint"`
	From int              `cbor:"2,keyasint"`
}

// Query asks what became of a run, and forbids it to start when it has not been taken.
type Query struct {
	Run masticway.RunKey `cbor:"1,keyasint"`
}

// Find asks for any run of an identity, without side effects.
type Find struct {
	Identity masticway.Identity `cbor:"1,keyasint"`
}

// Status answers Query and Find.
type Status struct {
	Run   masticway.RunKey `cbor:"1,keyasint"`
	Known bool             `cbor:"2,keyasint"`
	Final *Final           `cbor:"3,keyasint,omitempty"`
	// Resumed and ResumedText are what earlier attempts had given when this run began.
	Resumed     int    `cbor:"4,keyasint,omitempty"`
	ResumedText string `cbor:"5,keyasint,omitempty"`
}

// Cancel stops a run whose caller has gone.
type Cancel struct {
	Run masticway.RunKey `cbor:"1,keyasint"`
}

// Seal fences an incarnation at this sidecar and asks what it ran.
type Seal struct {
	Incarnation masticway.Incarnation `cbor:"1,keyasint"`
}

// HoldReport is what became of one hold at a sidecar.
type HoldReport struct {
	Hold    masticway.HoldID `cbor:"1,keyasint"`
	Cost    masticway.Amount `cbor:"2,keyasint"`
	Running bool             `cbor:"3,keyasint,omitempty"`
}

// Sealed reports what a sealed incarnation ran here, as payer and as sender.
type Sealed struct {
	Incarnation masticway.Incarnation `cbor:"1,keyasint"`
	// Sidecar is the witness.
	Sidecar masticway.Incarnation `cbor:"2,keyasint"`
	Totals  []bookkeeper.Total    `cbor:"3,keyasint,omitempty"`
	Holds   []HoldReport          `cbor:"4,keyasint,omitempty"`
}
