package emulator

import (
	"strconv"
	"time"
)

// OpaqueFault is a fault that is injected into an opaque server for one request.
type OpaqueFault string

// The faults of an opaque server.
const (
	// OpaqueNoFault runs the request and answers normally.
	OpaqueNoFault OpaqueFault = ""
	// OpaqueOverloaded rejects the request with 503 without running it.
	OpaqueOverloaded OpaqueFault = "full"
	// OpaqueRateLimited rejects the request with 429 without running it.
	OpaqueRateLimited OpaqueFault = "rate"
	// OpaqueWrongServer answers with 421, as if the request were meant for another server, without running it.
	OpaqueWrongServer OpaqueFault = "other"
	// OpaqueError runs the request and answers with a signed 500.
	OpaqueError OpaqueFault = "error"
	// OpaqueReset runs the request and resets the connection without an answer.
	OpaqueReset OpaqueFault = "reset"
	// OpaqueTruncated runs the request and closes the connection in the middle of the answer. It has no effect on a stream that
	// has only one event left.
	OpaqueTruncated OpaqueFault = "cut"
	// OpaqueUnframed runs the request and sends an answer with neither a length nor chunks, which ends with its connection.
	OpaqueUnframed OpaqueFault = "unframed"
	// OpaqueUnframedTruncated does the same, but a stream ends in the middle of an event, and other answers with a reset.
	OpaqueUnframedTruncated OpaqueFault = "unframed_cut"
	// OpaqueUnframedEnded does the same, but the server ends in the middle of the answer, between two events of a stream. Its connections
	// are closed in order, as the kernel does for a process that is killed.
	OpaqueUnframedEnded OpaqueFault = "unframed_ended"
	// OpaqueStall runs the request and answers after the time that SetStall sets.
	OpaqueStall OpaqueFault = "stall"
	// OpaqueAnonymousRejection rejects the request like OpaqueOverloaded, but its answer does not name the request.
	OpaqueAnonymousRejection OpaqueFault = "full_anonymous"
	// OpaqueStrayRejection runs the request. Before the answer it sends one that rejects a request that it does not name.
	OpaqueStrayRejection OpaqueFault = "extra_full"
	// OpaqueHang runs the request and never answers. The server waits until the caller closes the connection.
	OpaqueHang OpaqueFault = "hang"
	// OpaqueUnsigned runs the request and answers without its signature.
	OpaqueUnsigned OpaqueFault = "forged"
	// OpaqueWrongRequest runs the request and sends another request's answer instead of its own.
	OpaqueWrongRequest OpaqueFault = "foreign"
	// OpaqueStrayAnswer runs the request and sends another request's answer before its own.
	OpaqueStrayAnswer OpaqueFault = "extra"
	// OpaqueCrash crashes the server crashDelay after it has started to run the request. This breaks all its other requests
	// too.
	OpaqueCrash OpaqueFault = "crash"
	// OpaqueStatusZero runs the request and answers with status 000, and a body that looks like an answer.
	OpaqueStatusZero OpaqueFault = "status_000"
	// OpaqueBlankInName runs the request and answers with a blank in the name of the field that has the length.
	OpaqueBlankInName OpaqueFault = "blank_in_name"
	// OpaqueTwoFramings runs the request and sends an answer with both a length and chunks.
	OpaqueTwoFramings OpaqueFault = "two_framings"
	// OpaqueContinuesAnew runs the request. If that resumes a stream, the server begins the stream anew.
	OpaqueContinuesAnew OpaqueFault = "continues_anew"
	// OpaqueContinuesEarly does the same, but begins with the last event that the caller has already.
	OpaqueContinuesEarly OpaqueFault = "continues_early"
	// OpaqueContinuesLate does the same, but leaves out the next two events. It never leaves out the last event of the stream.
	OpaqueContinuesLate OpaqueFault = "continues_late"
)

// crashDelay is the time from the start of a request that crashes the server to the crash.
const crashDelay = 20 * time.Millisecond

// received returns the number of the event after which a server with the fault goes on, when a caller names the last event that it
// has of a stream.
func (f OpaqueFault) received(lastEvent string, events int) int {
	received, _ := strconv.Atoi(lastEvent)
	switch {
	case received == 0 || f == OpaqueContinuesAnew:
		return 0
	case f == OpaqueContinuesEarly:
		return received - 1
	case f == OpaqueContinuesLate:
		return max(received, min(received+2, events-1))
	}
	return received
}
