package masticway

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// RowKey names one row of the row store; the rows of a part can change together.
type RowKey struct {
	Table string
	Part  string
	Key   string
}

// StoredRow is a row at one version; versions come from one counter for the whole store.
type StoredRow struct {
	RowKey
	Value   []byte
	Version int64
	// Deleted marks a row that is gone, in changes only.
	Deleted bool
}

// RowVersion demands that a row has a version when a write commits; zero stands for an absent row.
type RowVersion struct {
	RowKey
	Version int64
}

// RowPut is the new value of a row.
type RowPut struct {
	RowKey
	Value []byte
}

// RowWrite is a set of changes in one part that commits as one if every expectation holds.
type RowWrite struct {
	Expected []RowVersion
	Puts     []RowPut
	Deletes  []RowKey
}

// RowReading is what a read or a followed table returned.
type RowReading struct {
	Rows []StoredRow
	// Version is the store's newest version at the time of the reading.
	Version int64
	// StoreTime is the store's own steady clock.
	StoreTime time.Duration `cbor:"At"`
}

// Bytes returns the size of the rows' keys and values.
func (r RowReading) Bytes() int64 {
	n := 0
	for _, row := range r.Rows {
		n += len(row.Table) + len(row.Part) + len(row.Key) + len(row.Value)
	}
	return int64(n)
}

// WatchRequest asks for the changes of a table.
type WatchRequest struct {
	Table string
	// Since is the version after which changes are wanted.
	Since int64
	// MaxWait is how long the first change may take to come.
	MaxWait time.Duration
	// MaxBytes is how large the changes may be, as RowReading.Bytes counts; zero is any size.
	MaxBytes int64
}

// RowStore is the platform's store of rows; its calls fail with the errors named here.
type RowStore interface {
	// Read returns the rows of one part of a table in key order; it fails with UnavailableError.
	Read(ctx context.Context, table, part string) (RowReading, error)
	// Write commits a write and returns its version and the store's clock. It fails with RowConflictError when an
	// expectation does not hold, UnavailableError when nothing was done, and OutcomeUnknownError when the write may
	// have been made or may yet be made.
	Write(ctx context.Context, w RowWrite) (RowReading, error)
	// Watch returns the changes of a table, all versions of each row. It fails with HistoryLostError when they are not
	// kept or larger than asked for, and with UnavailableError.
	Watch(ctx context.Context, f WatchRequest) (RowReading, error)
}

// RowConflictError reports a write whose expectations did not hold, with the rows as they are.
type RowConflictError struct {
	Rows []StoredRow
}

// Error counts the rows.
func (e *RowConflictError) Error() string {
	return fmt.Sprintf("the expected rows have changed (%d given back)", len(e.Rows))
}

// HistoryLostError reports that a table cannot be followed from a version any more: its changes are no longer kept, or
// are larger than asked for. The table is to be read anew.
type HistoryLostError struct {
	Table string
	Since int64
	// TooLarge tells that the changes are kept, but larger than asked for.
	TooLarge bool
}

// Error names the table and the version.
func (e *HistoryLostError) Error() string {
	return fmt.Sprintf("changes of %s since version %d are not to be had", e.Table, e.Since)
}

// DeploymentDecoder reads what operators and servers keep in the row store.
type DeploymentDecoder interface {
	// ConfigurationKey names the row of the newest configuration.
	ConfigurationKey() RowKey
	// EvacuatedZone returns the zone whose servers are to get nothing new while a row of the configuration's table and part
	// exists; false for other rows.
	EvacuatedZone(key RowKey) (zone string, ok bool)
	// ServerTable names the table in which servers register, with their ids as keys.
	ServerTable() string
	// Configuration decodes the configuration's row.
	Configuration(value []byte) (Deployment, error)
	// Server decodes a server's row.
	Server(id string, value []byte) (Server, error)
}

// HeaderCodec is how callers and servers of a deployment write what concerns the fleet into headers.
type HeaderCodec interface {
	// ParseRequest reads the head of a caller's request.
	ParseRequest(h http.Header) (OpaqueRequest, error)
	// ServerHeaders returns the headers for a server, without those of one connection and those that are the fleet's to set.
	ServerHeaders(h http.Header, d Delivery) http.Header
	// ParseAnswer reads the head of a server's answer.
	ParseAnswer(status int, h http.Header) ServerAnswer
	// CallerHeaders returns the headers of a server's answer that the caller gets.
	CallerHeaders(h http.Header) http.Header
	// SetRefusal marks a refusal of the fleet's own for the caller's attempt; a positive wait tells when to come back.
	SetRefusal(h http.Header, id string, wait time.Duration)
}
