package versioner

import (
	"context"
	"net/http"

	"github.com/masticway/masticway/messenger"
)

// Paths of the requests between routers.
const (
	pathRecord = "/peer/stream-version"
	pathFind   = "/peer/stream-version-of"
)

// Routers sends requests to other routers.
type Routers interface {
	// Record records versions at the router at an address.
	Record(ctx context.Context, address string, records []Record) error
	// Find asks the router at an address for the version of a stream.
	Find(ctx context.Context, address string, s Stream) (Reply, error)
}

// Client sends requests over connections between routers. It implements Routers.
type Client struct {
	messages *messenger.Client
}

// NewClient returns a client that uses a messenger client.
func NewClient(m *messenger.Client) *Client { return &Client{messages: m} }

// Record records versions at the router at an address.
func (c *Client) Record(ctx context.Context, address string, records []Record) error {
	_, err := messenger.Call[struct{}](ctx, c.messages, address, pathRecord, records)
	return err
}

// Find asks the router at an address for the version of a stream.
func (c *Client) Find(ctx context.Context, address string, s Stream) (Reply, error) {
	return messenger.Call[Reply](ctx, c.messages, address, pathFind, s)
}

// Serve registers the handlers for the requests of other routers.
func (v *Versioner) Serve(mux *http.ServeMux) {
	messenger.Handle(mux, pathRecord, func(_ context.Context, records []Record) struct{} {
		v.keep(records)
		return struct{}{}
	})
	messenger.Handle(mux, pathFind, func(_ context.Context, s Stream) Reply { return v.reply(s) })
}
