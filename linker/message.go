package linker

import (
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/configurer"
	"github.com/masticway/masticway/keeper"
	"github.com/masticway/masticway/sealer"
)

// Version is the version of the link messages; both ends must have the same.
const Version = 1

// Message is one message on a link; exactly one of its bodies is set.
type Message struct {
	// CallID is set on a question, and Reply on its answer.
	CallID  uint64 `cbor:"1,keyasint,omitempty"`
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
	ReturnIdle       *ReturnIdle               `cbor:"45,keyasint,omitempty"`
	RecordSidecars   *RecordSidecars           `cbor:"46,keyasint,omitempty"`
	SidecarsRecorded *SidecarsRecorded         `cbor:"47,keyasint,omitempty"`
	ConfigRequest    *ConfigRequest            `cbor:"48,keyasint,omitempty"`
	Config           *configurer.Configuration `cbor:"49,keyasint,omitempty"`
	Explain          *Explain                  `cbor:"50,keyasint,omitempty"`
	Explained        *Explained                `cbor:"51,keyasint,omitempty"`
}

// Heartbeat is the heartbeat of either end, with what the other needs to know.
type Heartbeat struct {
	Revision masticway.Revision `cbor:"1,keyasint"`
	Leaving  bool               `cbor:"2,keyasint,omitempty"`
	// Staleness is how long ago the sender last knew the newest accepted revision for certain.
	Staleness time.Duration         `cbor:"6,keyasint,omitempty"`
	Load      *masticway.LoadReport `cbor:"3,keyasint,omitempty"`
	// OpenGrants and Upto tell a sidecar which of the router's grants still matter.
	OpenGrants []int64 `cbor:"4,keyasint,omitempty"`
	GrantsUpTo int64   `cbor:"5,keyasint,omitempty"`
}

// Count asks a sidecar for a prompt's true token count.
type Count struct {
	Prompt []byte `cbor:"1,keyasint"`
}

// CountReply answers Count; a negative number means that the upstream did not say.
type CountReply struct {
	Tokens int `cbor:"1,keyasint"`
}

// OrderReply answers an order to an upstream.
type OrderReply struct {
	Done   bool   `cbor:"1,keyasint"`
	Reason string `cbor:"2,keyasint,omitempty"`
}

// Changes passes configuration changes on.
type Changes struct {
	List []masticway.Change `cbor:"1,keyasint"`
	// Revision is the sender's revision; the list may lack older changes that it no longer keeps.
	Revision masticway.Revision `cbor:"2,keyasint,omitempty"`
}

// ChangesRequest asks a peer whose heartbeat named a newer revision for the changes after one.
type ChangesRequest struct {
	After masticway.Revision `cbor:"1,keyasint"`
}

// HoldReply answers a hold request.
type HoldReply struct {
	Verdict keeper.HoldResult  `cbor:"1,keyasint"`
	Grant   masticway.GrantKey `cbor:"2,keyasint"`
	Amount  masticway.Amount   `cbor:"3,keyasint"`
	// DetectsDuplicates tells that the keeper would remember an earlier request with the same identity.
	DetectsDuplicates bool          `cbor:"4,keyasint"`
	Waited            time.Duration `cbor:"5,keyasint"`
	// FirstInProgress tells of a duplicate that the first request is still under way.
	FirstInProgress bool `cbor:"8,keyasint,omitempty"`
	// Limit and Retry name a contract limit that refuses the request.
	Limit      string        `cbor:"6,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"7,keyasint,omitempty"`
}

// Resize shrinks a hold.
type Resize struct {
	Hold   masticway.HoldID `cbor:"1,keyasint"`
	Amount masticway.Amount `cbor:"2,keyasint"`
}

// Settle reports what became of a hold.
type Settle struct {
	Hold    masticway.HoldID `cbor:"1,keyasint"`
	Charges []keeper.Charge  `cbor:"3,keyasint"`
}

// Settled acknowledges a settlement.
type Settled struct{}

// ReturnIdle asks a peer to return idle money of a budget.
type ReturnIdle struct {
	Budget string `cbor:"1,keyasint"`
}

// RecordSidecars tells a keeper which sidecars its money will be used at.
type RecordSidecars struct {
	Sidecars []masticway.Incarnation `cbor:"1,keyasint"`
}

// SidecarsRecorded acknowledges that the keeper's durable set holds the sidecars.
type SidecarsRecorded struct{}

// ConfigRequest asks a peer for its whole configuration.
type ConfigRequest struct{}

// Explain asks a peer for the trace of a request.
type Explain struct {
	Request string `cbor:"1,keyasint"`
}

// Explained answers Explain with a JSON trace, or nothing.
type Explained struct {
	Trace []byte `cbor:"1,keyasint"`
}

// hello, welcome and proof are the handshake.
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
