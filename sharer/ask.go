package sharer

import (
	"context"
	"net/http"
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/messenger"
)

// pathTable is the path of the requests for shared tables.
const pathTable = "/peer/table"

// Request asks a reader for the rows of a table or their changes.
type Request struct {
	Table string `cbor:"1,keyasint"`
	Part  string `cbor:"2,keyasint,omitempty"`
	// Whole requests all rows. Otherwise the request is for the changes since the version Since. If there are none yet, the
	// reader waits for one, for at most the smaller of Wait and maxRequestWait.
	Whole bool          `cbor:"3,keyasint,omitempty"`
	Since int64         `cbor:"4,keyasint,omitempty"`
	Wait  time.Duration `cbor:"5,keyasint,omitempty"`
}

// Reply is a reader's reply.
type Reply struct {
	Status  Status               `cbor:"1,keyasint"`
	Reading masticway.RowReading `cbor:"2,keyasint"`
	// Age is the time since the reader last read from the store.
	Age time.Duration `cbor:"3,keyasint"`
	// Rate is the average traffic, in bytes per second, that watching the table in the store causes at the reader.
	Rate float64 `cbor:"4,keyasint"`
	// CallAge is the time since the call began by which the reader last read from the store. Readers of earlier builds do not tell it.
	CallAge time.Duration `cbor:"5,keyasint,omitempty"`
}

// agedReading returns the reading with its age.
func (r Reply) agedReading() masticway.RowReading {
	reading := r.Reading
	reading.Age = max(r.Age, r.CallAge)
	return reading
}

// Status is the result of a request to a reader.
type Status string

// The results of a request. StatusHistoryLost is returned if the reader no longer knows all changes since the requested version.
// StatusUnavailable is returned if the router does not share the table, does not watch it itself, or has not read from the store
// within maxReaderAge.
const (
	StatusOK          Status = "known"
	StatusHistoryLost Status = "lost"
	StatusUnavailable Status = "away"
)

// Readers sends requests to the readers of the zone.
type Readers interface {
	// Ask sends a request to the reader at an address, and waits for the reply.
	Ask(ctx context.Context, address string, req Request) (Reply, error)
}

// Client sends requests over connections between routers. It implements Readers.
type Client struct {
	messages *messenger.Client
}

// NewClient returns a client that uses a messenger client.
func NewClient(m *messenger.Client) *Client { return &Client{messages: m} }

// Ask sends a request to the reader at an address.
func (c *Client) Ask(ctx context.Context, address string, req Request) (Reply, error) {
	return messenger.Fetch[Reply](ctx, c.messages, address, pathTable, req.Wait+replyMargin, req)
}

// Serve registers the handler for the requests of other routers.
func (s *Store) Serve(mux *http.ServeMux) {
	messenger.Handle(mux, pathTable, s.HandleRequest)
}
