package masticway

import (
	"context"
	"strconv"
	"strings"
	"time"
)

// SuspectID identifies something that may crash the servers that run it: a request, or a part of prompts. A request is identified
// by everything that its caller repeats in a retry: the caller, method, host, target and body.
type SuspectID string

// partPrefix is the prefix of the IDs of parts of prompts.
const partPrefix = "part-"

// NewPartID returns the ID of a part of prompts with a digest of the part.
func NewPartID(digest string) SuspectID { return SuspectID(partPrefix + digest) }

// IsPart reports whether the ID identifies a part of prompts.
func (id SuspectID) IsPart() bool { return strings.HasPrefix(string(id), partPrefix) }

// SuspectPart is a part of a prompt that may crash servers. Name is for diagnostics only.
type SuspectPart struct {
	ID   SuspectID
	Name string
}

// Suspects identifies everything in a request that may crash the server that runs it.
type Suspects struct {
	Request SuspectID
	// Path is the path of the request, for diagnostics only.
	Path string
	// Parts are the parts of the prompt that other requests may share. The last part belongs to the request itself and is not
	// among them.
	Parts []SuspectPart
	// Workspace is the caller's workspace. It is empty on routes that need no key.
	Workspace string
	// Pool is the pool of the servers that may run the request.
	Pool string
}

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
	// The other fields are set for parts of prompts only. Round is higher than the rounds of the crashes under the part that the
	// router knew when it sent the request.
	Round int `json:"round,omitempty" cbor:"4,keyasint,omitempty"`
	// Workspace is the workspace of the request, and Pool the pool of the server.
	Workspace string `json:"workspace,omitempty" cbor:"5,keyasint,omitempty"`
	Pool      string `json:"pool,omitempty" cbor:"7,keyasint,omitempty"`
	// Refuted is set if a server of the pool has answered a request with the part since the crash, so that the part did not cause it.
	Refuted bool `json:"refuted,omitempty" cbor:"6,keyasint,omitempty"`
}

// Suspicion is the degree to which a request, or a part of its prompt, is suspected of crashing servers.
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
	// Suspect is what is suspected: the request itself or a part of its prompt.
	Suspect SuspectID
	// Crashes are the server crashes that are evidence against the suspect.
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

// Examiner determines, together with all other routers, which requests, and which parts of prompts, crash the servers that run them.
type Examiner interface {
	// HasNoSuspects reports whether this router knows of no server crash during any request. Suspects need not be computed then.
	HasNoSuspects() bool
	// Status returns the current status of a request: that of the request itself or of a part of its prompt, whichever restricts it
	// more.
	Status(s Suspects) SuspectStatus
	// Changed returns a channel that is closed when the status of any request may have changed.
	Changed() <-chan struct{}
	// QuarantineServers returns the servers on which suspects run in quarantine. The set serious contains those that run a
	// suspect during which more than one server has crashed.
	QuarantineServers() (all, serious map[ServerIncarnation]bool)
	// Claim reserves a run in quarantine for this router. It may block while it writes the claim to the store. If the store does
	// not answer, it relies on this router's information, but runs no request with a part that is proven to crash servers. It
	// returns false if the request must not run in quarantine now, for example because another router has claimed it. The caller
	// must end a claimed run with ReportCrash, with Clear and RecordAnswer, or with Release.
	Claim(ctx context.Context, s Suspects, server ServerIncarnation) bool
	// ReportCrash records a server crash during a request that was sent to the server at the given time.
	ReportCrash(s Suspects, crash ServerCrash, sentAt time.Time)
	// Clear records that a server has served a request without crashing, so that the request itself is no longer a suspect.
	Clear(s Suspects)
	// RecordAnswer records that a server began to answer a request at the given time and has not crashed since, so that no part of
	// its prompt caused a crash before.
	RecordAnswer(s Suspects, begunAt time.Time)
	// Release records that this router's run of a request in quarantine is over and gave no evidence. The caller must check that
	// the run gave neither a server crash nor a complete answer. isUnsent must be set if the request was not sent to the server.
	Release(s Suspects, isUnsent bool)
}
