package masticway

import (
	"context"
	"strconv"
	"time"
)

// RequestDigest identifies a request by all that its caller sends again with it: who it is, method, host, target and body.
type RequestDigest string

// ServerLife names one life of one server: two lives of one id are told apart by when they began.
type ServerLife string

// Life names the server's life.
func (s Server) Life() ServerLife {
	if s.Born.IsZero() {
		return ServerLife(s.ID)
	}
	return ServerLife(s.ID + "@" + strconv.FormatInt(s.Born.UnixMilli(), 10))
}

// ServerEnd is the end of a server under a request that it had not finished.
type ServerEnd struct {
	Server ServerLife `json:"server" cbor:"1,keyasint"`
	// Apart tells that the request was the only suspect there.
	Apart bool `json:"apart,omitempty" cbor:"2,keyasint,omitempty"`
	// Answered tells that the server had given a part of the answer.
	Answered bool `json:"answered,omitempty" cbor:"3,keyasint,omitempty"`
}

// Suspicion is how far a request is taken for the cause of servers' ends.
type Suspicion string

// The degrees of suspicion.
const (
	// SuspicionNone is for requests that run as any other.
	SuspicionNone Suspicion = "none"
	// SuspicionApart is for requests that run one at a time, at a server where no other suspect runs.
	SuspicionApart Suspicion = "apart"
	// SuspicionProven is for requests that are not sent to servers.
	SuspicionProven Suspicion = "proven"
)

// Standing is what is believed of a request at one moment.
type Standing struct {
	Suspicion Suspicion
	// Ends are the servers that ended under it.
	Ends []ServerEnd
	// For is how much longer a proven suspicion keeps it from servers.
	For time.Duration
	// Running tells that it runs apart somewhere now.
	Running bool
	// Unreported is the server of a run apart of which its router has not told how it ended, for too long.
	Unreported ServerLife
}

// Examiner finds out which requests end the servers that run them, together with all other routers.
type Examiner interface {
	// Quiet tells that there is no suspect, so that no digest is needed.
	Quiet() bool
	// Standing returns what is believed of a request.
	Standing(d RequestDigest) Standing
	// Changed returns a channel that is closed at the next change of a belief.
	Changed() <-chan struct{}
	// Occupied names the servers at which suspects run apart; serious ones have had more than one server end under them.
	Occupied() (all, serious map[ServerLife]bool)
	// Claim makes a run apart this router's, and returns false when the request is not to run so now. It ends with Ended,
	// Cleared or Released.
	Claim(ctx context.Context, d RequestDigest, server ServerLife) bool
	// Ended notes the end of a server under a request; the path is for operators to read.
	Ended(d RequestDigest, path string, end ServerEnd)
	// Cleared notes that a server served a suspect well.
	Cleared(d RequestDigest)
	// Released ends a run apart that told nothing.
	Released(d RequestDigest)
}
