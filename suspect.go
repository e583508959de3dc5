package masticway

import (
	"context"
	"strconv"
	"time"
)

// RequestDigest identifies a request by all that its caller sends again with it: who it is, method, host, target and body.
type RequestDigest string

// ServerIncarnation names one life of one server: two lives of one id are told apart by when they began.
type ServerIncarnation string

// Incarnation names the server's life.
func (s Server) Incarnation() ServerIncarnation {
	if s.StartedAt.IsZero() {
		return ServerIncarnation(s.ID)
	}
	return ServerIncarnation(s.ID + "@" + strconv.FormatInt(s.StartedAt.UnixMilli(), 10))
}

// ServerCrash is the end of a server under a request that it had not finished.
type ServerCrash struct {
	Server ServerIncarnation `json:"server" cbor:"1,keyasint"`
	// Quarantined tells that the request was the only suspect there.
	Quarantined bool `json:"apart,omitempty" cbor:"2,keyasint,omitempty"`
	// Answered tells that the server had given a part of the answer.
	Answered bool `json:"answered,omitempty" cbor:"3,keyasint,omitempty"`
}

// Suspicion is how far a request is taken for the cause of servers' ends.
type Suspicion string

// The degrees of suspicion.
const (
	// SuspicionNone is for requests that run as any other.
	SuspicionNone Suspicion = "none"
	// SuspicionQuarantined is for requests that run one at a time, at a server where no other suspect runs.
	SuspicionQuarantined Suspicion = "apart"
	// SuspicionProven is for requests that are not sent to servers.
	SuspicionProven Suspicion = "proven"
)

// SuspectStatus is what is believed of a request at one moment.
type SuspectStatus struct {
	Suspicion Suspicion
	// Crashes are the servers that ended under it.
	Crashes []ServerCrash
	// Remaining is how much longer a proven suspicion keeps it from servers.
	Remaining time.Duration
	// Running tells that it runs apart somewhere now.
	Running bool
	// UnreportedServer is the server of a run apart of which its router has not told how it ended, for too long.
	UnreportedServer ServerIncarnation
}

// Examiner finds out which requests end the servers that run them, together with all other routers.
type Examiner interface {
	// HasNoSuspects tells that there is no suspect, so that no digest is needed.
	HasNoSuspects() bool
	// Status returns what is believed of a request.
	Status(d RequestDigest) SuspectStatus
	// Changed returns a channel that is closed at the next change of a belief.
	Changed() <-chan struct{}
	// QuarantineServers names the servers at which suspects run apart; serious ones have had more than one server end under them.
	QuarantineServers() (all, serious map[ServerIncarnation]bool)
	// Claim makes a run apart this router's, and returns false when the request is not to run so now. It ends with Ended,
	// Cleared or Released.
	Claim(ctx context.Context, d RequestDigest, server ServerIncarnation) bool
	// ReportCrash notes the end of a server under a request; the path is for operators to read.
	ReportCrash(d RequestDigest, path string, end ServerCrash)
	// Clear notes that a server served a suspect well.
	Clear(d RequestDigest)
	// Release ends a run apart that told nothing.
	Release(d RequestDigest)
}
