package masticway

import (
	"context"
	"strconv"
	"time"
)

// RequestDigest identifies a request by everything that its caller repeats in a retry: the caller, method, host, target and body.
type RequestDigest string

// ServerIncarnation identifies one incarnation of a server. Incarnations with the same ID differ by their start times. They
// cannot be distinguished if the server reports none.
type ServerIncarnation string

// Incarnation returns the identifier of the server's incarnation.
func (s Server) Incarnation() ServerIncarnation {
	if s.StartedAt.IsZero() {
		return ServerIncarnation(s.ID)
	}
	return ServerIncarnation(s.ID + "@" + strconv.FormatInt(s.StartedAt.UnixMilli(), 10))
}

// ServerCrash records that a server crashed while it ran a request.
type ServerCrash struct {
	Server ServerIncarnation `json:"server" cbor:"1,keyasint"`
	// Quarantined is set if the request ran in quarantine. Another router may still report another suspect on the server.
	Quarantined bool `json:"apart,omitempty" cbor:"2,keyasint,omitempty"`
	// Answered is set if the server had sent a part of the answer.
	Answered bool `json:"answered,omitempty" cbor:"3,keyasint,omitempty"`
}

// Suspicion is the degree to which a request is suspected of crashing servers.
type Suspicion string

// The degrees of suspicion.
const (
	// SuspicionNone is for requests that run without restrictions.
	SuspicionNone Suspicion = "none"
	// SuspicionQuarantined is for requests that run one at a time, on a server where no other suspect runs.
	SuspicionQuarantined Suspicion = "apart"
	// SuspicionProven is for requests that have been found to crash servers and are not sent to any.
	SuspicionProven Suspicion = "proven"
)

// SuspectStatus is the status of a request at one point in time.
type SuspectStatus struct {
	Suspicion Suspicion
	// Crashes are the server crashes during the request.
	Crashes []ServerCrash
	// Remaining is how much longer the request is not sent to servers because of a proven suspicion.
	Remaining time.Duration
	// Running is set if the request is running in quarantine, or if its latest evidence is too recent for a decision: other
	// routers may still report another suspect on the same server.
	Running bool
	// UnreportedServer is the server of a run in quarantine whose result has not been reported in time; otherwise it is empty.
	UnreportedServer ServerIncarnation
}

// Examiner determines, together with all other routers, which requests crash the servers that run them.
type Examiner interface {
	// HasNoSuspects reports whether there are no suspects, so that digests need not be computed.
	HasNoSuspects() bool
	// Status returns the current status of a request.
	Status(d RequestDigest) SuspectStatus
	// Changed returns a channel that is closed when the status of any request may have changed.
	Changed() <-chan struct{}
	// QuarantineServers returns the servers on which suspects run in quarantine. The set serious contains those whose suspect has
	// crashed more than one server.
	QuarantineServers() (all, serious map[ServerIncarnation]bool)
	// Claim reserves a run in quarantine for this router. It may block while it writes the claim to the store, and relies on this
	// router's information if the store does not answer. It returns false if the request must not run in quarantine now, for
	// example because another router has claimed it. The caller must end a claimed run with ReportCrash, Clear or Release.
	Claim(ctx context.Context, d RequestDigest, server ServerIncarnation) bool
	// ReportCrash records a server crash during a request. The path is for diagnostics only.
	ReportCrash(d RequestDigest, path string, crash ServerCrash)
	// Clear records that a server has served a suspect without crashing, so that it is no longer a suspect.
	Clear(d RequestDigest)
	// Release ends a run in quarantine that gave no evidence.
	Release(d RequestDigest)
}
