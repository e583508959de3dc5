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
	// Call is set on a question, and Reply on its answer.
	Call  uint64 `cbor:"1,keyasint,omitempty"`
	Reply uint64 `cbor:"2,keyasint,omitempty"`

	Beat     *Beat               `cbor:"10,keyasint,omitempty"`
	Dispatch *sealer.Dispatch    `cbor:"11,keyasint,omitempty"`
	Accepted *sealer.Accepted    `cbor:"12,keyasint,omitempty"`
	Refused  *sealer.Refused     `cbor:"13,keyasint,omitempty"`
	Counted  *sealer.PromptCount `cbor:"14,keyasint,omitempty"`
	Frame    *sealer.Frame       `cbor:"15,keyasint,omitempty"`
	Final    *sealer.RunResult   `cbor:"16,keyasint,omitempty"`
	Attach   *sealer.Attach      `cbor:"17,keyasint,omitempty"`
	Query    *sealer.Query       `cbor:"18,keyasint,omitempty"`
	Find     *sealer.Find        `cbor:"19,keyasint,omitempty"`
	Status   *sealer.RunStatus   `cbor:"20,keyasint,omitempty"`
	Cancel   *sealer.Cancel      `cbor:"21,keyasint,omitempty"`
	Seal     *sealer.Seal        `cbor:"22,keyasint,omitempty"`
	Sealed   *sealer.SealReport  `cbor:"23,keyasint,omitempty"`
	Count    *Count              `cbor:"24,keyasint,omitempty"`
	CountIs  *CountIs            `cbor:"25,keyasint,omitempty"`
	Order    *masticway.Order    `cbor:"26,keyasint,omitempty"`
	OrderIs  *OrderIs            `cbor:"27,keyasint,omitempty"`
	Changes  *Changes            `cbor:"28,keyasint,omitempty"`
	Want     *Want               `cbor:"29,keyasint,omitempty"`

	Hold       *keeper.HoldRequest       `cbor:"40,keyasint,omitempty"`
	HoldIs     *HoldIs                   `cbor:"41,keyasint,omitempty"`
	Resize     *Resize                   `cbor:"42,keyasint,omitempty"`
	Settle     *Settle                   `cbor:"43,keyasint,omitempty"`
	Settled    *Settled                  `cbor:"44,keyasint,omitempty"`
	GiveBack   *GiveBack                 `cbor:"45,keyasint,omitempty"`
	Reach      *Reach                    `cbor:"46,keyasint,omitempty"`
	Reached    *Reached                  `cbor:"47,keyasint,omitempty"`
	WantConfig *WantConfig               `cbor:"48,keyasint,omitempty"`
	Config     *configurer.Configuration `cbor:"49,keyasint,omitempty"`
	Explain    *Explain                  `cbor:"50,keyasint,omitempty"`
	Explained  *Explained                `cbor:"51,keyasint,omitempty"`
}

// Beat is the heartbeat of either end, with what the other needs to know.
type Beat struct {
	Revision masticway.Revision `cbor:"1,keyasint"`
	Leaving  bool               `cbor:"2,keyasint,omitempty"`
	// Unseen is how long ago the sender last knew the newest accepted revision for certain.
	Unseen time.Duration         `cbor:"6,keyasint,omitempty"`
	Load   *masticway.LoadReport `cbor:"3,keyasint,omitempty"`
	// Open and Upto tell a sidecar which of the router's grants still matter.
	Open []int64 `cbor:"4,keyasint,omitempty"`
	Upto int64   `cbor:"5,keyasint,omitempty"`
}

// Count asks a sidecar for a prompt's true token count.
type Count struct {
	Prompt []byte `cbor:"1,keyasint"`
}

// CountIs answers Count; a negative number means that the upstream did not say.
type CountIs struct {
	Tokens int `cbor:"1,keyasint"`
}

// OrderIs answers an order to an upstream.
type OrderIs struct {
	Done   bool   `cbor:"1,keyasint"`
	Reason string `cbor:"2,keyasint,omitempty"`
}

// Changes passes configuration changes on.
type Changes struct {
	List []masticway.Change `cbor:"1,keyasint"`
	// Upto is the sender's revision; the list may lack older changes that it no longer keeps.
	Upto masticway.Revision `cbor:"2,keyasint,omitempty"`
}

// Want asks a peer whose heartbeat named a newer revision for the changes after one.
type Want struct {
	After masticway.Revision `cbor:"1,keyasint"`
}

// HoldIs answers a hold request.
type HoldIs struct {
	Verdict keeper.HoldResult  `cbor:"1,keyasint"`
	Grant   masticway.GrantKey `cbor:"2,keyasint"`
	Amount  masticway.Amount   `cbor:"3,keyasint"`
	// Sure tells that the keeper would remember an earlier request with the same identity.
	Sure   bool          `cbor:"4,keyasint"`
	Waited time.Duration `cbor:"5,keyasint"`
	// Open tells of a duplicate that the first request is still under way.
	Open bool `cbor:"8,keyasint,omitempty"`
	// Limit and Retry name a contract limit that refuses the request.
	Limit string        `cbor:"6,keyasint,omitempty"`
	Retry time.Duration `cbor:"7,keyasint,omitempty"`
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

// GiveBack asks a peer to return idle money of a budget.
type GiveBack struct {
	Budget string `cbor:"1,keyasint"`
}

// Reach tells a keeper which sidecars its money will be used at.
type Reach struct {
	Sidecars []masticway.Incarnation `cbor:"1,keyasint"`
}

// Reached acknowledges that the keeper's durable set holds the sidecars.
type Reached struct{}

// WantConfig asks a peer for its whole configuration.
type WantConfig struct{}

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
