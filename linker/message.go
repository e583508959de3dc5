package linker

import (
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/configurer"
	"github.com/masticway/masticway/keeper"
	"github.com/masticway/masticway/sealer"
)

// Version is the version of the protocol on links. Both ends must have the same version.
const Version = 1

// Message is one message on a link. Exactly one of its pointers is set.
type Message struct {
	// CallID is the number of a request that expects a reply, and otherwise zero.
	CallID uint64 `cbor:"1,keyasint,omitempty"`
	// ReplyTo is the number of the request that this message answers. It is zero if the message is not a reply.
	ReplyTo uint64 `cbor:"2,keyasint,omitempty"`

	Heartbeat      *Heartbeat          `cbor:"10,keyasint,omitempty"`
	Dispatch       *sealer.Dispatch    `cbor:"11,keyasint,omitempty"`
	Accepted       *sealer.Accepted    `cbor:"12,keyasint,omitempty"`
	Refused        *sealer.Refused     `cbor:"13,keyasint,omitempty"`
	Counted        *sealer.PromptCount `cbor:"14,keyasint,omitempty"`
	Frame          *sealer.Frame       `cbor:"15,keyasint,omitempty"`
	Final          *sealer.RunResult   `cbor:"16,keyasint,omitempty"`
	Attach         *sealer.Attach      `cbor:"17,keyasint,omitempty"`
	Query          *sealer.Query       `cbor:"18,keyasint,omitempty"`
	Find           *sealer.Find        `cbor:"19,keyasint,omitempty"`
	Status         *sealer.RunStatus   `cbor:"20,keyasint,omitempty"`
	Cancel         *sealer.Cancel      `cbor:"21,keyasint,omitempty"`
	Seal           *sealer.Seal        `cbor:"22,keyasint,omitempty"`
	Sealed         *sealer.SealReport  `cbor:"23,keyasint,omitempty"`
	Count          *Count              `cbor:"24,keyasint,omitempty"`
	CountReply     *CountReply         `cbor:"25,keyasint,omitempty"`
	Order          *masticway.Order    `cbor:"26,keyasint,omitempty"`
	OrderReply     *OrderReply         `cbor:"27,keyasint,omitempty"`
	Changes        *Changes            `cbor:"28,keyasint,omitempty"`
	ChangesRequest *ChangesRequest     `cbor:"29,keyasint,omitempty"`

	Hold             *keeper.HoldRequest       `cbor:"40,keyasint,omitempty"`
	HoldReply        *HoldReply                `cbor:"41,keyasint,omitempty"`
	Resize           *Resize                   `cbor:"42,keyasint,omitempty"`
	Settle           *Settle                   `cbor:"43,keyasint,omitempty"`
	Settled          *Settled                  `cbor:"44,keyasint,omitempty"`
	ReturnFree       *ReturnFree               `cbor:"45,keyasint,omitempty"`
	RecordSidecars   *RecordSidecars           `cbor:"46,keyasint,omitempty"`
	SidecarsRecorded *SidecarsRecorded         `cbor:"47,keyasint,omitempty"`
	ConfigRequest    *ConfigRequest            `cbor:"48,keyasint,omitempty"`
	Config           *configurer.Configuration `cbor:"49,keyasint,omitempty"`
	Explain          *Explain                  `cbor:"50,keyasint,omitempty"`
	Explained        *Explained                `cbor:"51,keyasint,omitempty"`
}

// Heartbeat is sent periodically by each end of a link. It shows that the sender is up, and carries state that the other end
// needs.
type Heartbeat struct {
	// Revision is the sender's configuration revision.
	Revision masticway.Revision `cbor:"1,keyasint"`
	// Draining is set if the sender is draining.
	Draining bool `cbor:"2,keyasint,omitempty"`
	// Staleness is the time since the sender's revision was last confirmed to be the newest.
	Staleness time.Duration `cbor:"6,keyasint,omitempty"`
	// Load is the load of a sidecar's upstream. It is nil if the load has not changed since the sidecar's previous
	// heartbeat, and if the sender is a router.
	Load *masticway.LoadReport `cbor:"3,keyasint,omitempty"`
	// OpenGrants lists the numbers of the sending router's open grants up to GrantsUpTo. Its other grants up to that number
	// are closed, so a sidecar drops their totals.
	OpenGrants []int64 `cbor:"4,keyasint,omitempty"`
	// GrantsUpTo is the highest grant number that OpenGrants covers. Grants with higher numbers may be open too.
	GrantsUpTo int64 `cbor:"5,keyasint,omitempty"`
}

// Count asks a sidecar for the exact token count of a prompt.
type Count struct {
	Prompt []byte `cbor:"1,keyasint"`
}

// CountReply answers Count. Tokens is negative if the upstream did not return a count.
type CountReply struct {
	Tokens int `cbor:"1,keyasint"`
}

// OrderReply answers an order to an upstream. Reason is set if the order has not been carried out.
type OrderReply struct {
	Done   bool   `cbor:"1,keyasint"`
	Reason string `cbor:"2,keyasint,omitempty"`
}

// Changes carries configuration changes to a peer with an older revision.
type Changes struct {
	// List may lack older changes that the sender no longer keeps.
	List []masticway.Change `cbor:"1,keyasint"`
	// Revision is the sender's revision, to which the receiver advances even if List is incomplete. If it is zero, the
	// receiver only applies List.
	Revision masticway.Revision `cbor:"2,keyasint,omitempty"`
}

// ChangesRequest asks a peer for the configuration changes after a revision. It is sent after the peer's heartbeat has shown
// a newer revision.
type ChangesRequest struct {
	After masticway.Revision `cbor:"1,keyasint"`
}

// HoldReply answers a hold request.
type HoldReply struct {
	Result keeper.HoldResult  `cbor:"1,keyasint"`
	Grant  masticway.GrantKey `cbor:"2,keyasint"`
	Amount masticway.Amount   `cbor:"3,keyasint"`
	// DetectsDuplicates is set if the answering router recognizes every earlier request with the request's identity. For that it
	// must be the budget's keeper, the router that keeps its grants, and must have run for long enough.
	DetectsDuplicates bool `cbor:"4,keyasint"`
	// Waited is how long the request waited for money.
	Waited time.Duration `cbor:"5,keyasint"`
	// FirstInProgress is set if Result is keeper.ResultDuplicate and the earlier request is still in progress.
	FirstInProgress bool `cbor:"8,keyasint,omitempty"`
	// Limit names the limit of the contract that refused the request. If it is set, Result is empty.
	Limit string `cbor:"6,keyasint,omitempty"`
	// RetryAfter is the time after which the request may be retried. It is set if Limit is.
	RetryAfter time.Duration `cbor:"7,keyasint,omitempty"`
}

// Resize reduces a hold.
type Resize struct {
	Hold   masticway.HoldID `cbor:"1,keyasint"`
	Amount masticway.Amount `cbor:"2,keyasint"`
}

// Settle ends a hold and reports its charges. If there are no charges, nothing ran for the hold.
type Settle struct {
	Hold    masticway.HoldID `cbor:"1,keyasint"`
	Charges []keeper.Charge  `cbor:"3,keyasint"`
}

// Settled acknowledges a settlement.
type Settled struct{}

// ReturnFree asks a peer to return free money of a budget: money in its grant that is neither spent nor held. See
// keeper.Keeper.ReturnFree.
type ReturnFree struct {
	Budget string `cbor:"1,keyasint"`
}

// RecordSidecars asks a peer to add sidecars to its links row, so that runs at them can be paid from its grants.
type RecordSidecars struct {
	Sidecars []masticway.Incarnation `cbor:"1,keyasint"`
}

// SidecarsRecorded confirms RecordSidecars: the sidecars are in the links row of the router that sends it.
type SidecarsRecorded struct{}

// ConfigRequest asks a peer for its whole configuration.
type ConfigRequest struct{}

// Explain asks a peer for the trace of a request.
type Explain struct {
	Request string `cbor:"1,keyasint"`
}

// Explained answers Explain with a trace in JSON, which is empty if the peer has none.
type Explained struct {
	Trace []byte `cbor:"1,keyasint"`
}

// hello, welcome and proof are the messages of the handshake, in this order.
type hello struct {
	Version int            `cbor:"1,keyasint"`
	Peer    masticway.Peer `cbor:"2,keyasint"`
	Nonce   []byte         `cbor:"3,keyasint"`
}

type welcome struct {
	Version int            `cbor:"1,keyasint"`
	Peer    masticway.Peer `cbor:"2,keyasint"`
	Nonce   []byte         `cbor:"3,keyasint"`
	MAC     []byte         `cbor:"4,keyasint"`
}

type proof struct {
	MAC []byte `cbor:"1,keyasint"`
}
