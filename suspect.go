package masticway

import (
	"context"
	"strconv"
	"time"
)

// RequestDigest identifies a request by everything that its caller repeats in a retry: the caller, method, host, target and body.
type RequestDigest string

// ServerIncarnation identifies one incarnation of a server by the server's ID and start time. If the server reports no start
// time, all its incarnations have the same identifier.
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
	// Quarantined is set if the request ran in quarantine, that is, on a server where this router knew of no other suspect.
	// Another router may have run another suspect there and may still report it.
	Quarantined bool `json:"apart,omitempty" cbor:"2,keyasint,omitempty"`
	// Answered is set if the server had sent a part of the answer before it crashed.
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

// SuspectStatus is what a router knows about the suspicion of a request at one point in time.
type SuspectStatus struct {
	Suspicion Suspicion
	// Crashes are the server crashes during the request.
	Crashes []ServerCrash
	// Remaining is how much longer a request with SuspicionProven is not sent to servers. It is zero for other requests.
	Remaining time.Duration
	// Running is set if the request must not start another run in quarantine now. Either it is running in quarantine, or its
	// latest server crash is so recent that other routers may still report another suspect on the same server.
	Running bool
	// UnreportedServer is the server of another router's run of the request in quarantine, if that router has not reported the
	// result in time. Otherwise it is empty.
	UnreportedServer ServerIncarnation
}

// Examiner determines, together with all other routers, which requests crash the servers that run them.
type Examiner interface {
	// HasNoSuspects reports whether this router knows of no server crash during any request. Digests need not be computed then.
	HasNoSuspects() bool
	// Status returns the current status of a request.
	Status(d RequestDigest) SuspectStatus
	// Changed returns a channel that is closed when the status of any request may have changed.
	Changed() <-chan struct{}
	// QuarantineServers returns the servers on which suspects run in quarantine. The set serious contains those that run a
	// suspect during which more than one server has crashed.
	QuarantineServers() (all, serious map[ServerIncarnation]bool)
	// Claim reserves a run in quarantine for this router. It may block while it writes the claim to the store, and relies on this
	// router's information if the store does not answer. It returns false if the request must not run in quarantine now, for
	// example because another router has claimed it. The caller must end a claimed run with ReportCrash, Clear or Release.
	Claim(ctx context.Context, d RequestDigest, server ServerIncarnation) bool
	// ReportCrash records a server crash during a request. The path is for diagnostics only.
	ReportCrash(d RequestDigest, path string, crash ServerCrash)
	// Clear records that a server has served a request without crashing, so that the request is no longer a suspect.
	Clear(d RequestDigest)
	// Release records that this router's run of a request in quarantine is over and gave no evidence. The caller must check that
	// the run gave neither a server crash nor a complete answer.
	Release(d RequestDigest)
}
