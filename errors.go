package masticway

import (
	"fmt"
	"time"
)

// ConflictError reports that a condition of a transaction did not hold.
type ConflictError struct {
	Key string
}

// Error returns the key of the changed row.
func (e *ConflictError) Error() string { return fmt.Sprintf("row %s has changed", e.Key) }

// UnavailableError reports that a platform call failed and certainly had no effect.
type UnavailableError struct {
	Service string
	Reason  string
	// RateLimited is set if the call exceeded the rate limit of the service. The service is healthy, and must be called less
	// often.
	RateLimited bool
}

// Error returns the service and the reason.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%s unavailable: %s", e.Service, e.Reason)
}

// OutcomeUnknownError reports that a platform write may or may not have had an effect, because no usable answer arrived.
type OutcomeUnknownError struct {
	Service string
	// ID is the ID of the write; it is empty for writes without an ID.
	ID     string
	Reason string
}

// Error returns the service, the ID of the write and the reason.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("%s outcome of %s unknown: %s", e.Service, e.ID, e.Reason)
}

// NotFoundError reports that an object does not exist.
type NotFoundError struct {
	Kind string
	Name string
}

// Error returns the kind and the name of the object.
func (e *NotFoundError) Error() string { return fmt.Sprintf("no %s %q", e.Kind, e.Name) }

// UpstreamError reports that an upstream did not finish a run.
type UpstreamError struct {
	Reason string
	// Started is set if the upstream may have started the work.
	Started bool
	// NotListening is set if the upstream's address refused connections after a run that may have started: the upstream's process
	// has ended.
	NotListening bool
	// Status is the HTTP status of the upstream, or zero if there is none.
	Status int
}

// Error returns the reason.
func (e *UpstreamError) Error() string { return "upstream failed: " + e.Reason }

// SealedError reports that this incarnation of a router has been fenced: the other processes treat it as ended. The router must
// start a new incarnation.
type SealedError struct {
	Incarnation Incarnation
}

// Error returns the fenced incarnation.
func (e *SealedError) Error() string { return fmt.Sprintf("incarnation %s is sealed", e.Incarnation) }

// RefusalError is the final answer to a request that the fleet refuses or gives up on.
type RefusalError struct {
	Status     int
	Code       string
	Message    string
	Fate       Fate
	RetryAfter time.Duration
}

// Error returns the code and the message.
func (e *RefusalError) Error() string { return e.Code + ": " + e.Message }
