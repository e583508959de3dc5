package throttler

import (
	"context"
	"net/http"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/messenger"
)

// Paths of the requests between routers.
const (
	pathLimit  = "/peer/limit"
	pathLimits = "/peer/limits"
)

// Observations holds a router's newest observation for each server that has a limit.
type Observations map[masticway.ServerIncarnation]Observation

// Routers sends requests to other routers.
type Routers interface {
	// Ask sends a permit request to the router at an address.
	Ask(ctx context.Context, address string, req PermitRequest) (PermitReply, error)
	// Observations fetches the observations of the router at an address.
	Observations(ctx context.Context, address string) (Observations, error)
}

// Client sends requests over connections between routers. It implements Routers.
type Client struct {
	messages *messenger.Client
}

// NewClient returns a client that uses a messenger client.
func NewClient(m *messenger.Client) *Client { return &Client{messages: m} }

// Ask sends a permit request to the router at an address.
func (c *Client) Ask(ctx context.Context, address string, req PermitRequest) (PermitReply, error) {
	return messenger.Call[PermitReply](ctx, c.messages, address, pathLimit, req)
}

// Observations fetches the observations of the router at an address.
func (c *Client) Observations(ctx context.Context, address string) (Observations, error) {
	return messenger.Call[Observations](ctx, c.messages, address, pathLimits, struct{}{})
}

// Serve registers the handlers for the requests of other routers.
func (t *Throttler) Serve(mux *http.ServeMux) {
	messenger.Handle(mux, pathLimit, t.Answer)
	messenger.Handle(mux, pathLimits, func(context.Context, struct{}) Observations { return t.Observations() })
}
