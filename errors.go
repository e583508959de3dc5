package masticway

import (
	"fmt"
	"time"
)

// ConflictError reports a transaction condition that did not hold.
type ConflictError struct {
	Key string
}

// Error describes the conflict.
func (e *ConflictError) Error() string { return fmt.Sprintf("row %s has changed", e.Key) }

// UnavailableError reports a platform call that certainly had no effect.
type UnavailableError struct {
	Service string
	Reason  string
	// RateLimited tells that the call was one too many for the service's rate: it is well, and should be asked less.
	RateLimited bool
}

// Error describes the outage.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%s unavailable: %s", e.Service, e.Reason)
}

// OutcomeUnknownError reports a platform write whose answer was lost.
type OutcomeUnknownError struct {
	Service string
	ID      string
	Reason  string
}

// Error describes the lost answer.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("%s outcome of %s unknown: %s", e.Service, e.ID, e.Reason)
}

// NotFoundError reports an object or named thing that does not exist.
type NotFoundError struct {
	Kind string
	Name string
}

// Error names what is missing.
func (e *NotFoundError) Error() string { return fmt.Sprintf("no %s %q", e.Kind, e.Name) }

// UpstreamError reports a run that an upstream did not finish.
type UpstreamError struct {
	Reason string
	// Started tells whether the upstream may have begun the work.
	Started bool
	// NotListening tells that nothing listens at the upstream's address any more.
	NotListening bool
	// Status is the upstream's HTTP status, or zero without one.
	Status int
}

// Error describes the failure.
func (e *UpstreamError) Error() string { return "upstream failed: " + e.Reason }

// SealedError reports that this incarnation has been fenced and must start anew.
type SealedError struct {
	Incarnation Incarnation
}

// Error names the fenced incarnation.
func (e *SealedError) Error() string { return fmt.Sprintf("incarnation %s is sealed", e.Incarnation) }

// RefusalError is the final answer to a request that the fleet does not serve.
type RefusalError struct {
	Status     int
	Code       string
	Message    string
	Fate       Fate
	RetryAfter time.Duration
}

// Error returns code and message.
func (e *RefusalError) Error() string { return e.Code + ": " + e.Message }
