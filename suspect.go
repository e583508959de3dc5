package masticway

import (
	"context"
	"strconv"
	"time"
)

// RequestDigest identifies a request by everything that its caller repeats in a retry: the caller, method, host, target and body.
type RequestDigest string

// ServerIncarnation identifies one incarnation of a server. Incarnations with the same ID differ by their start times.
type ServerIncarnation string

// Incarnation returns the identifier of the server's incarnation.
func (s Server) Incarnation() ServerIncarnation {
	if s.StartedAt.IsZero() {
		return ServerIncarnation(s.ID)
	}
	return ServerIncarnation(s.ID + "@" + strconv.FormatInt(s.StartedAt.UnixMilli(), 10))
}

// ServerCrash records that a server ended while it ran a request.
type ServerCrash struct {
	Server ServerIncarnation `json:"server" cbor:"1,keyasint"`
	// Quarantined is set if the request was the only suspect on the server.
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
	// SuspicionProven is for requests that are not sent to servers.
	SuspicionProven Suspicion = "proven"
)

// SuspectStatus is the status of a request at one point in time.
type SuspectStatus struct {
	Suspicion Suspicion
	// Crashes are the server crashes during the request.
	Crashes []ServerCrash
	// Remaining is how much longer the request is not sent to servers because of a proven suspicion.
	Remaining time.Duration
	// Running is set if the request is running in quarantine, or if its latest evidence is too recent for a decision: other routers
	// may still report another suspect on the same server.
	Running bool
	// UnreportedServer is the server of a run in quarantine whose router has not reported its result in time.
	UnreportedServer ServerIncarnation
}

// Examiner determines, together with all other routers, which requests crash the servers that run them.
type Examiner interface {
	// HasNoSuspects reports whether there are no suspects, so that digests need not be computed.
	HasNoSuspects() bool
	// Status returns the current status of a request.
	Status(d RequestDigest) SuspectStatus
	// Changed returns a channel that is closed when the status of any request changes.
	Changed() <-chan struct{}
	// QuarantineServers returns the servers on which suspects run in quarantine. The set serious contains those whose suspect has
	// crashed more than one server.
	QuarantineServers() (all, serious map[ServerIncarnation]bool)
	// Claim reserves a run in quarantine for this router. It returns false if the request must not run in quarantine now. The
	// caller must end a claimed run with ReportCrash, Clear or Release.
	Claim(ctx context.Context, d RequestDigest, server ServerIncarnation) bool
	// ReportCrash records a server crash during a request. The path is for diagnostics only.
	ReportCrash(d RequestDigest, path string, crash ServerCrash)
	// Clear records that a server has served a suspect without crashing.
	Clear(d RequestDigest)
	// Release ends a run in quarantine that gave no evidence.
	Release(d RequestDigest)
}
