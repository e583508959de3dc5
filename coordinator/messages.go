package coordinator

import (
	"context"
	"net/http"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/messenger"
)

// Paths of the messages between routers.
const (
	pathEngines = "/peer/engines"
	pathSpeeds  = "/peer/engine-speeds"
)

// Message carries reports on the runs of one router to the owner of a group of engines, and at most one query.
type Message struct {
	Sender masticway.Incarnation `cbor:"1,keyasint,omitempty"`
	Pool   string                `cbor:"2,keyasint,omitempty"`
	Group  int                   `cbor:"3,keyasint,omitempty"`
	// ClassVersion is the version of the lists of slow and fast engines that the sender has. It is zero if both are empty.
	ClassVersion uint64                   `cbor:"4,keyasint,omitempty"`
	Reports      []masticway.EngineReport `cbor:"5,keyasint,omitempty"`
	// Resync is set if the reports are the complete list of the sender's open runs.
	Resync bool `cbor:"6,keyasint,omitempty"`
	// Run is the run for which the receiver is to choose an engine, or nil. Excluded are the IDs of engines that must not be
	// chosen, and Penalties are additional costs of engines in milliseconds, by server ID.
	Run       *masticway.EngineRun `cbor:"7,keyasint,omitempty"`
	Excluded  []string             `cbor:"8,keyasint,omitempty"`
	Penalties map[string]float64   `cbor:"9,keyasint,omitempty"`
}

// Reply is the reply to a Message.
type Reply struct {
	// NotOwner is set if the receiver does not serve the group. It has then ignored the message.
	NotOwner bool `cbor:"1,keyasint,omitempty"`
	// Ready is set if the receiver knows the load of the group. Otherwise it makes no choice.
	Ready bool `cbor:"2,keyasint,omitempty"`
	// NeedsResync is set if the receiver does not know the open runs of the sender.
	NeedsResync bool                    `cbor:"3,keyasint,omitempty"`
	Choice      *masticway.EngineChoice `cbor:"4,keyasint,omitempty"`
	// ClassVersion is the version of the receiver's lists of slow and fast engines. Slow and Fast are these lists, as server IDs,
	// if the sender has another version. All three are valid if Ready is set.
	ClassVersion uint64   `cbor:"5,keyasint,omitempty"`
	Slow         []string `cbor:"6,keyasint,omitempty"`
	Fast         []string `cbor:"7,keyasint,omitempty"`
}

// Speeds carries the speeds of engines that the owner of a group has learned to the group's backup.
type Speeds struct {
	Pool   string                                                `cbor:"1,keyasint,omitempty"`
	Group  int                                                   `cbor:"2,keyasint,omitempty"`
	Speeds map[masticway.ServerIncarnation]masticway.EngineSpeed `cbor:"3,keyasint,omitempty"`
}

// Routers sends messages to other routers.
type Routers interface {
	// Send sends a message to the router at an address. The context limits the time until the reply.
	Send(ctx context.Context, address string, m Message) (Reply, error)
	// SendSpeeds sends learned speeds to the router at an address.
	SendSpeeds(ctx context.Context, address string, s Speeds) error
}

// Client sends messages over connections between routers. It implements Routers.
type Client struct {
	messages *messenger.Client
}

// NewClient returns a client that uses a messenger client. Its calls should not be observed to detect the overload of the router,
// because queries end after a time that is short for other calls.
func NewClient(m *messenger.Client) *Client { return &Client{messages: m} }

// Send sends a message to the router at an address.
func (c *Client) Send(ctx context.Context, address string, m Message) (Reply, error) {
	return messenger.Call[Reply](ctx, c.messages, address, pathEngines, m)
}

// SendSpeeds sends learned speeds to the router at an address.
func (c *Client) SendSpeeds(ctx context.Context, address string, s Speeds) error {
	_, err := messenger.Call[struct{}](ctx, c.messages, address, pathSpeeds, s)
	return err
}

// Serve registers the handlers for the messages of other routers.
func (c *Coordinator) Serve(mux *http.ServeMux) {
	messenger.Handle(mux, pathEngines, func(_ context.Context, m Message) Reply { return c.Answer(m) })
	messenger.Handle(mux, pathSpeeds, func(_ context.Context, s Speeds) struct{} {
		c.AdoptSpeeds(s)
		return struct{}{}
	})
}
