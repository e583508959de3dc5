package throttler

import (
	"context"
	"net/http"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/messenger"
)

// Paths of the calls.
const (
	pathLimit  = "/peer/limit"
	pathLimits = "/peer/limits"
)

// Observations are the newest observations on limits, by server.
type Observations map[masticway.ServerIncarnation]Observation

// Routers are the other routers, which own limits or are told of them.
type Routers interface {
	// Ask puts a question to the router at an address.
	Ask(ctx context.Context, address string, req PermitRequest) (PermitReply, error)
	// Observations asks the router at an address for all limits that it knows.
	Observations(ctx context.Context, address string) (Observations, error)
}

// Client asks over connections between routers; it implements Routers.
type Client struct {
	messages *messenger.Client
}

// NewClient returns a client that sends its calls with another.
func NewClient(m *messenger.Client) *Client { return &Client{messages: m} }

// Ask puts a question to the router at an address.
func (c *Client) Ask(ctx context.Context, address string, req PermitRequest) (PermitReply, error) {
	return messenger.Call[PermitReply](ctx, c.messages, address, pathLimit, req)
}

// Observations asks the router at an address for all limits that it knows.
func (c *Client) Observations(ctx context.Context, address string) (Observations, error) {
	return messenger.Call[Observations](ctx, c.messages, address, pathLimits, struct{}{})
}

// Serve answers other routers.
func (t *Throttler) Serve(mux *http.ServeMux) {
	messenger.Handle(mux, pathLimit, t.Answer)
	messenger.Handle(mux, pathLimits, func(context.Context, struct{}) Observations { return t.Observations() })
}
