package sharer

import (
	"context"
	"net/http"
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/messenger"
)

// pathTable is the path of the calls about shared tables.
const pathTable = "/peer/table"

// Request asks a reader for a table.
type Request struct {
	Table string `cbor:"1,keyasint"`
	Part  string `cbor:"2,keyasint,omitempty"`
	// Whole asks for all rows, else for the changes since a version, for which the reader waits at most so long.
	Whole bool          `cbor:"3,keyasint,omitempty"`
	Since int64         `cbor:"4,keyasint,omitempty"`
	Wait  time.Duration `cbor:"5,keyasint,omitempty"`
}

// Reply is a reader's answer.
type Reply struct {
	Status  Status               `cbor:"1,keyasint"`
	Reading masticway.RowReading `cbor:"2,keyasint"`
	// Age is how long ago the reader had heard from the store.
	Age time.Duration `cbor:"3,keyasint"`
	// Rate is what following the table costs the reader, in bytes a second.
	Rate float64 `cbor:"4,keyasint"`
}

// Status says whether a reader can answer.
type Status string

// The verdicts: lost means that the changes since the version are not known any more, away that this router does not follow the
// table, or has not heard from the store.
const (
	StatusKnown       Status = "known"
	StatusHistoryLost Status = "lost"
	StatusUnavailable Status = "away"
)

// Readers are the other routers that follow tables for their zone.
type Readers interface {
	Ask(ctx context.Context, address string, req Request) (Reply, error)
}

// Client asks over connections between routers; it implements Readers.
type Client struct {
	messages *messenger.Client
}

// NewClient returns a client that sends its calls with another.
func NewClient(m *messenger.Client) *Client { return &Client{messages: m} }

// Ask asks the reader at an address.
func (c *Client) Ask(ctx context.Context, address string, req Request) (Reply, error) {
	return messenger.Fetch[Reply](ctx, c.messages, address, pathTable, req.Wait+replyMargin, req)
}

// Serve answers other routers.
func (s *Store) Serve(mux *http.ServeMux) {
	messenger.Handle(mux, pathTable, s.HandleRequest)
}
