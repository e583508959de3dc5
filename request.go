package masticway

import (
	"strings"
)

// Incarnation identifies one run of a router or sidecar. A process gets a new one when it restarts. A router also gets a new one
// when it finds that its current one has been fenced, that is, that other routers treat it as ended.
type Incarnation string

// Instance returns the ID of the instance that the incarnation runs on.
func (i Incarnation) Instance() string {
	instance, _, _ := strings.Cut(string(i), "~")
	return instance
}

// NewIncarnation returns the incarnation with an instance and a suffix, which must be unique on the instance.
func NewIncarnation(instance, suffix string) Incarnation {
	return Incarnation(instance + "~" + suffix)
}

// Identity identifies a request by its workspace and idempotency key. Requests with the same identity are billed only once.
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

// GrantKey identifies one grant: money moved from a budget to one incarnation of a router.
type GrantKey struct {
	Budget string `json:"budget" cbor:"1,keyasint"`
	// Payer is the incarnation that got the grant and pays for requests from it.
	Payer Incarnation `json:"payer" cbor:"2,keyasint"`
	// Number distinguishes the grants of one payer.
	Number int64 `json:"number" cbor:"3,keyasint"`
}

// HoldID identifies a hold: money reserved for the cost of a request. It is unique in the fleet.
type HoldID string

// Fate is whether an upstream ran a request. A request that was never sent to one has FateNotRun.
type Fate string

// The fates of a request. FateUnknown must never be treated as FateNotRun.
const (
	FateNotRun  Fate = "not_run"
	FateRan     Fate = "ran"
	FateUnknown Fate = "unknown"
)
