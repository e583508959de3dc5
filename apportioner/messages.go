package apportioner

import (
	"context"
	"net/http"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/messenger"
)

// pathConnections is the path of the requests between routers.
const pathConnections = "/peer/connections"

// Request asks the owner or the backup of a pool for a lease of connections to each server of the pool. The lease replaces the one
// that the sender has from the same router.
type Request struct {
	Pool   string                `cbor:"1,keyasint"`
	Sender masticway.Incarnation `cbor:"2,keyasint"`
	// Use is the sender's use of its connections since its previous request.
	Used   int `cbor:"3,keyasint,omitempty"`
	Denied int `cbor:"4,keyasint,omitempty"`
	// Wanted is the number of connections that the sender needs now in addition to its base. Kept is the number that it has recently
	// needed. It gets more than Wanted only if no other router wants the difference. If both are zero, it gives its lease back.
	Wanted int `cbor:"5,keyasint,omitempty"`
	Kept   int `cbor:"6,keyasint,omitempty"`
	// Applied has the numbers of the leases that the sender uses, by the router that granted them. They confirm that the sender does
	// not use earlier ones any more.
	Applied map[masticway.Incarnation]uint64 `cbor:"7,keyasint,omitempty"`
	// Held is the number of connections in use in addition to the sender's base, which may exceed its leases: a connection above a
	// smaller or ended lease stays open until its request has ended.
	Held int `cbor:"8,keyasint,omitempty"`
}

// Reply is the reply to a request.
type Reply struct {
	// Granter is the replying router.
	Granter masticway.Incarnation `cbor:"1,keyasint"`
	// NotGranting is set if the replying router leases no connections of the pool: it is neither the owner nor the backup, it has
	// just become it, or it does not divide the pool by demand. The sender may keep the leases that it has. No other field but
	// Granter is then set.
	NotGranting bool `cbor:"2,keyasint,omitempty"`
	// Number is the number of the lease. The granting router increases it with each lease of the pool.
	Number uint64 `cbor:"3,keyasint,omitempty"`
	// Granted is the number of leased connections, out of a demand part of Part connections.
	Granted int `cbor:"4,keyasint,omitempty"`
	Part    int `cbor:"5,keyasint,omitempty"`
}

// Routers sends requests to other routers.
type Routers interface {
	// Ask sends a request for a lease to the router at an address.
	Ask(ctx context.Context, address string, req Request) (Reply, error)
}

// Client sends requests over connections between routers. It implements Routers.
type Client struct {
	messages *messenger.Client
}

// NewClient returns a client that uses a messenger client.
func NewClient(m *messenger.Client) *Client { return &Client{messages: m} }

// Ask sends a request for a lease to the router at an address. It fails as messenger.Call does.
func (c *Client) Ask(ctx context.Context, address string, req Request) (Reply, error) {
	return messenger.Call[Reply](ctx, c.messages, address, pathConnections, req)
}

// Serve registers the handler for the requests of other routers.
func (a *Apportioner) Serve(mux *http.ServeMux) {
	messenger.Handle(mux, pathConnections, func(_ context.Context, req Request) Reply { return a.Answer(req) })
}
