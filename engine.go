package masticway

import (
	"context"
	"time"
)

// EngineRun describes one attempt of a request at an engine, as far as the choice of the engine depends on it.
type EngineRun struct {
	// ID identifies the attempt: the request's ID and a number that is unique at the router. Two routers can use the same ID if a
	// caller sends requests with the same ID to both.
	ID        string `cbor:"1,keyasint,omitempty"`
	Workspace string `cbor:"2,keyasint,omitempty"`
	// Rank is the urgency, from 0, the most urgent, to 9.
	Rank int `cbor:"3,keyasint,omitempty"`
	// Tokens is the size of the prompt, Output the maximum size of the answer, both in tokens.
	Tokens int `cbor:"4,keyasint,omitempty"`
	Output int `cbor:"5,keyasint,omitempty"`
	// Parts are the leading parts of the prompt, in order.
	Parts []PromptPart `cbor:"6,keyasint,omitempty"`
	// Zone is the availability zone of the router that sends the request.
	Zone string `cbor:"7,keyasint,omitempty"`
	// EventGap is the longest pause between two events that meets the objective; zero means that there is none. Objective is the
	// same for the time to the first event.
	EventGap  time.Duration `cbor:"8,keyasint,omitempty"`
	Objective time.Duration `cbor:"9,keyasint,omitempty"`
	// TimeLeft is the time until the deadline of the request.
	TimeLeft time.Duration `cbor:"10,keyasint,omitempty"`
}

// EngineChoice is an engine that was chosen for a run, or the reason why none was.
type EngineChoice struct {
	// Server is the chosen engine. It is empty if Full is set.
	Server ServerIncarnation `cbor:"1,keyasint,omitempty"`
	// Wait is the expected time to the first event at this engine.
	Wait time.Duration `cbor:"2,keyasint,omitempty"`
	// Full is set if no engine can produce the first event before the deadline, or if the engines are contended, Level is 2 and none
	// can produce it within the objective. RetryAfter is then the time after which one probably can.
	Full       bool          `cbor:"3,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
	// Level says how far the workspace of the run exceeds its fair share of contended engines: 0, 1 above 1.5 times the share, or 2
	// above 3 times the share.
	Level int `cbor:"5,keyasint,omitempty"`
}

// EngineRunState is how far a run has progressed. States only grow.
type EngineRunState int

// The states of a run.
const (
	// EngineRunSent is the state from the choice of the engine to the first event.
	EngineRunSent EngineRunState = iota
	EngineRunStreaming
	EngineRunEnded
)

// EngineReport is the state of one run as its sender knows it. Reports are idempotent, and an older one changes nothing.
type EngineReport struct {
	// Run is the ID of the run.
	Run string `cbor:"1,keyasint,omitempty"`
	// Server is the engine at which it runs. It is empty if the run has ended without being sent.
	Server ServerIncarnation `cbor:"2,keyasint,omitempty"`
	State  EngineRunState    `cbor:"3,keyasint,omitempty"`
	// Age is the time since the run reached its state, by the sender's clock.
	Age time.Duration `cbor:"4,keyasint,omitempty"`
	// FirstEventAfter is the time from sending the request to its first event; zero if there was none.
	FirstEventAfter time.Duration `cbor:"5,keyasint,omitempty"`
	// Events is the number of events of an ended run, and StreamedFor the time from its first to its last event.
	Events      int           `cbor:"6,keyasint,omitempty"`
	StreamedFor time.Duration `cbor:"7,keyasint,omitempty"`
	// Details describes the run. It is nil if the receiver chose the engine itself and the sender has accepted that choice.
	Details *EngineRun `cbor:"8,keyasint,omitempty"`
	// IsNeutral is set if the end of the run says nothing about the engine, for example because the caller has left.
	IsNeutral bool `cbor:"9,keyasint,omitempty"`
}

// EngineSpeed is what is known of an engine's prefill speed.
type EngineSpeed struct {
	// TokensPerMS is the speed in prompt tokens per millisecond, while the engine has prompts to prefill.
	TokensPerMS float64 `cbor:"1,keyasint,omitempty"`
	// Tokens is the weight of the estimate: the prompt tokens of the samples, decayed by their age.
	Tokens float64 `cbor:"2,keyasint,omitempty"`
}

// EngineQuery asks for an engine for a run.
type EngineQuery struct {
	Pool Pool
	Run  EngineRun
	// Candidates are the engines that may be chosen.
	Candidates []Server
	// Penalties are additional costs in milliseconds of engines, by server ID, from the sender's own observations of failures.
	Penalties map[string]float64
}

// EngineCoordinator chooses engines by the load that all routers together cause.
type EngineCoordinator interface {
	// AppliesTo reports whether runs at the engines of a pool are coordinated. If not, the other methods do nothing.
	AppliesTo(pool string) bool
	// Place queries the owner of the run's group of engines. It returns false if local estimates must decide.
	Place(ctx context.Context, q EngineQuery) (EngineChoice, bool)
	// Begin, FirstEvent and End report the progress of a run, wherever its engine was chosen. They do not block.
	// End must be called for each run that was placed or begun, also if it was not sent.
	Begin(pool string, r EngineRun, server Server)
	FirstEvent(run string, took time.Duration)
	// failed is set if the run ended because of the engine.
	End(run string, events int, streamedFor time.Duration, failed bool)
	// HomeWeights returns the shares of the pool's engines in the homes of prompts, relative to an engine of normal speed, by server
	// ID, for local choices. Engines that are not in the map have share 1. The caller must not change the map.
	HomeWeights(pool string) map[string]float64
}
