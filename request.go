package masticway

import (
	"strings"
)

// Incarnation identifies one run of a process between its start and its end. A restart creates a new incarnation.
type Incarnation string

// Instance returns the instance that the incarnation ran on.
func (i Incarnation) Instance() string {
	instance, _, _ := strings.Cut(string(i), "~")
	return instance
}

// NewIncarnation returns the incarnation with an instance and a random suffix.
func NewIncarnation(instance, suffix string) Incarnation {
	return Incarnation(instance + "~" + suffix)
}

// Identity identifies a request by its workspace and idempotency key. Each identity is billed once.
type Identity string

// NewIdentity returns the identity with a workspace and an idempotency key.
func NewIdentity(workspace, key string) Identity { return Identity(workspace + "/" + key) }

// Workspace returns the workspace of the identity.
func (i Identity) Workspace() string {
	workspace, _, _ := strings.Cut(string(i), "/")
	return workspace
}

// RunKey identifies one attempt to run a request.
type RunKey struct {
	Identity Identity `json:"identity" cbor:"1,keyasint"`
	Attempt  int      `json:"attempt" cbor:"2,keyasint"`
}

// GrantKey identifies one grant from a budget to one incarnation.
type GrantKey struct {
	Budget string      `json:"budget" cbor:"1,keyasint"`
	Payer  Incarnation `json:"payer" cbor:"2,keyasint"`
	Number int64       `json:"number" cbor:"3,keyasint"`
}

// HoldID identifies a hold. It is unique in the fleet.
type HoldID string

// Fate is whether a dispatched request ran.
type Fate string

// The fates of a request. FateUnknown must never be treated as FateNotRun.
const (
	FateNotRun  Fate = "not_run"
	FateRan     Fate = "ran"
	FateUnknown Fate = "unknown"
)
