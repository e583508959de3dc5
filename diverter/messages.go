package diverter

import (
	"context"
	"net/http"
	"time"

	"github.com/masticway/masticway/messenger"
)

// Paths of the messages between routers.
const (
	pathLoad   = "/peer/zone-load"
	pathDivert = "/peer/zone-divert"
)

// Report is what a router reports to the coordinator of its zone.
type Report struct {
	Instance string `cbor:"1,keyasint"`
	Zone     string `cbor:"2,keyasint"`
	// Overloaded is set if the router is overloaded (see package rotator). Unanswered is its number of requests without the first
	// part of an answer.
	Overloaded bool `cbor:"3,keyasint,omitempty"`
	Unanswered int  `cbor:"4,keyasint,omitempty"`
	// Requests is the number of requests per second that reach the router, including those that it refuses. Refused is the number
	// that it refuses for overload, and RefusedConnections the estimated number of connections that its paused listener refuses.
	Requests           float64 `cbor:"5,keyasint,omitempty"`
	Refused            float64 `cbor:"6,keyasint,omitempty"`
	RefusedConnections float64 `cbor:"7,keyasint,omitempty"`
	// Decision is the newest decision that the router knows, and Consents are the consents of its zone that it knows. They let a
	// coordinator that has started or taken over continue where its predecessor stopped.
	Decision Decision  `cbor:"8,keyasint,omitempty"`
	Consents []Consent `cbor:"9,keyasint,omitempty"`
	// Echo is Reply.Issued of the last reply of the receiver if the router follows the receiver, or else zero (see allegiance).
	Echo int64 `cbor:"10,keyasint,omitempty"`
	// Unready is set if the load balancer should not send new callers to the router for a reason of its own: it drains, has no
	// configuration, or is out of rotation alone.
	Unready bool `cbor:"11,keyasint,omitempty"`
}

// Reply is the coordinator's answer to a Report.
type Reply struct {
	// Known is set if the receiver takes part in the diversion of zones and is in the zone of the sender.
	Known bool `cbor:"1,keyasint,omitempty"`
	// Decision is the newest decision about the zone, and Consents are the consents that the zone has given.
	Decision Decision  `cbor:"2,keyasint,omitempty"`
	Consents []Consent `cbor:"3,keyasint,omitempty"`
	// Issued is the time of the reply on the coordinator's clock, in nanoseconds.
	Issued int64 `cbor:"4,keyasint,omitempty"`
}

// Purpose is the purpose of a DivertRequest.
type Purpose int

// The purposes: to learn the load of another zone, to ask for its consent, to tell it that the diversion to which it has consented
// continues, and to give its consent back.
const (
	PurposeQuery Purpose = iota
	PurposeAsk
	PurposeHold
	PurposeRelease
)

// DivertRequest is a message of a zone's coordinator to a coordinator of another zone.
type DivertRequest struct {
	Purpose Purpose `cbor:"1,keyasint,omitempty"`
	// Zone is the zone of the sender, and Proposer the instance of the sender.
	Zone     string `cbor:"2,keyasint"`
	Proposer string `cbor:"3,keyasint"`
	// Span is how much longer the diversion lasts. It is zero unless the purpose is PurposeAsk or PurposeHold.
	Span time.Duration `cbor:"4,keyasint,omitempty"`
	// Number is the number of the sender's proposal. It increases with each of them, also over restarts. It is zero if the purpose is PurposeQuery. A consent that is given
	// back is one to this proposal or to an earlier one of the sender.
	Number int64 `cbor:"5,keyasint,omitempty"`
}

// Vote is a coordinator's answer to PurposeAsk. A coordinator abstains if it does not coordinate its zone at the moment, or if
// no router of the zone is ready.
type Vote int

// The votes.
const (
	VoteAbstain Vote = iota
	VoteConsent
	VoteRefuse
)

// DivertReply is the answer to a DivertRequest.
type DivertReply struct {
	Vote Vote `cbor:"1,keyasint,omitempty"`
	// Reason says why the vote is not VoteConsent.
	Reason string `cbor:"2,keyasint,omitempty"`
	// Load is the load of the receiver's zone. LoadKnown is false if too few routers report to the receiver.
	Load      ZoneLoad `cbor:"3,keyasint,omitempty"`
	LoadKnown bool     `cbor:"4,keyasint,omitempty"`
}

// Messages sends messages to other routers.
type Messages interface {
	// Report sends a report to the router at an address in the same zone.
	Report(ctx context.Context, address string, r Report) (Reply, error)
	// Divert sends a message to the router at an address in another zone.
	Divert(ctx context.Context, address string, req DivertRequest) (DivertReply, error)
}

// Client sends messages over connections between routers. It implements Messages.
type Client struct {
	messages *messenger.Client
}

// NewClient returns a client that uses a messenger client. That must be one for slow links, because the links of the routers of a
// zone to be diverted are saturated.
func NewClient(m *messenger.Client) *Client { return &Client{messages: m} }

// Report sends a report to the router at an address.
func (c *Client) Report(ctx context.Context, address string, r Report) (Reply, error) {
	return messenger.Call[Reply](ctx, c.messages, address, pathLoad, r)
}

// Divert sends a message to the router at an address.
func (c *Client) Divert(ctx context.Context, address string, req DivertRequest) (DivertReply, error) {
	return messenger.Call[DivertReply](ctx, c.messages, address, pathDivert, req)
}

// Serve registers the handlers for the messages of other routers.
func (d *Diverter) Serve(mux *http.ServeMux) {
	messenger.Handle(mux, pathLoad, func(_ context.Context, r Report) Reply { return d.AcceptReport(r) })
	messenger.Handle(mux, pathDivert, func(_ context.Context, req DivertRequest) DivertReply { return d.AnswerDivert(req) })
}
