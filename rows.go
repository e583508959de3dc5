package masticway

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// RowKey identifies a row of the row store. Part is the name of a partition of the table; rows of one part can be changed
// atomically together.
type RowKey struct {
	Table string
	Part  string
	Key   string
}

// StoredRow is a row at one version. Versions come from one counter for the whole store, which goes back whenever the store returns
// from a copy of an earlier state (see NewStoreVersion).
type StoredRow struct {
	RowKey
	Value   []byte
	Version int64
	// Deleted is set if the row has been deleted. It is only set in the results of RowStore.Watch.
	Deleted bool
}

// RowVersion requires that a row has the given version when a write commits. Version zero means that the row is absent.
type RowVersion struct {
	RowKey
	Version int64
}

// RowPut is the new value of a row.
type RowPut struct {
	RowKey
	Value []byte
}

// RowWrite is a set of changes in one part of a table that commits atomically if every expected version matches.
type RowWrite struct {
	Expected []RowVersion
	Puts     []RowPut
	Deletes  []RowKey
}

// storeVersionBits is the number of low bits of a version that count the store's transactions. That is enough for 35 years of a
// thousand transactions a second.
const storeVersionBits = 40

// NewStoreVersion returns the version with a number of an era of the store. Versions are ordered by their eras, and within an era
// by their numbers: after the store has returned from a copy of an earlier state, it gives out the same numbers again in the next
// era.
func NewStoreVersion(era, number int64) int64 { return era<<storeVersionBits | number }

// StoreEra returns the era of a version.
func StoreEra(version int64) int64 { return version >> storeVersionBits }

// StoreNumber returns the number that the store gave to a version in its era.
func StoreNumber(version int64) int64 { return version & (1<<storeVersionBits - 1) }

// RowReading is the result of a read, a write or a watch.
type RowReading struct {
	Rows []StoredRow
	// Version is the newest version of the store when it answered. After a write, it is the version of the write. After a read of
	// several pages, it is the version at the first page, so that a watch from this version misses no change.
	Version int64
	// StoreTime is the reading of the store's monotonic clock when it answered.
	StoreTime time.Duration `cbor:"At"`
	// Age is how long before the call began the store may have answered, if the reading came through another router.
	Age time.Duration `cbor:"-"`
}

// Bytes returns the total size of the tables, parts, keys and values of the rows.
func (r RowReading) Bytes() int64 {
	n := 0
	for _, row := range r.Rows {
		n += len(row.Table) + len(row.Part) + len(row.Key) + len(row.Value)
	}
	return int64(n)
}

// WatchRequest is a request for the changes of all parts of a table.
type WatchRequest struct {
	Table string
	// Since is the version after which changes are requested.
	Since int64
	// MaxWait is the maximum time to wait for the first change.
	MaxWait time.Duration
	// MaxBytes limits the size of the changes as computed by RowReading.Bytes; zero means no limit. A store may also return
	// somewhat larger changes.
	MaxBytes int64
}

// RowStore is the platform's row store. Its methods fail with the errors listed for them. Write may also fail with other errors,
// after which its outcome is unknown.
type RowStore interface {
	// Read returns the rows of one part of a table in key order. It fails with UnavailableError.
	Read(ctx context.Context, table, part string) (RowReading, error)
	// Write commits a write and returns its version and the store's time. It fails with RowConflictError if an expected version
	// does not match, and with UnavailableError if nothing was written; the latter is joined with WriteRejectedError if the write is
	// not to be repeated as it is. It fails with OutcomeUnknownError if the write may have
	// been made or may still be made. An expected version of an earlier era never matches.
	Write(ctx context.Context, w RowWrite) (RowReading, error)
	// Watch returns the changes of a table after version f.Since, with all versions of each row. If there are none yet, it waits
	// for the first one, and returns no rows after f.MaxWait. It fails with HistoryLostError if the changes are no longer stored,
	// exceed f.MaxBytes or were lost with an earlier era, and with UnavailableError if the store cannot be read.
	Watch(ctx context.Context, f WatchRequest) (RowReading, error)
}

// StoreProber finds out whether the row store answers on new connections.
type StoreProber interface {
	// Probe makes a small read of a table on a connection of its own and returns the store's version. It has no timeout but its
	// context, except for connecting. It fails with UnavailableError.
	Probe(ctx context.Context, table string) (version int64, err error)
	// CloseIdleConnections closes connections that no call uses, so that the next calls open new ones.
	CloseIdleConnections()
}

// WriteRejectedError reports that the store does not take a write as it is, so that it must not be repeated unchanged. Nothing was
// written.
type WriteRejectedError struct {
	// Row is the largest row of the write, and Bytes the size of its value.
	Row   RowKey
	Bytes int
	// WriteBytes is the size of all values of the write, and Rows the number of its rows.
	WriteBytes int
	Rows       int
	Reason     string
}

// Error returns the reason, and the largest row with its size.
func (e *WriteRejectedError) Error() string {
	return fmt.Sprintf("write of %d rows with %d bytes rejected: %s (largest row %s/%s/%s with %d bytes)", e.Rows, e.WriteBytes, e.Reason, e.Row.Table, e.Row.Part, e.Row.Key, e.Bytes)
}

// RowConflictError reports that an expected version of a write did not match. Rows holds the current versions of the expected
// rows that exist.
type RowConflictError struct {
	Rows []StoredRow
	// Version is the newest version of the store when it answered.
	Version int64
}

// Error returns a message with the number of rows.
func (e *RowConflictError) Error() string {
	return fmt.Sprintf("the expected rows have changed (%d current rows returned)", len(e.Rows))
}

// HistoryLostError reports that a table cannot be watched from a version, because its changes are no longer stored or exceed
// the requested maximum size. The table must be read again.
type HistoryLostError struct {
	Table string
	Since int64
	// TooLarge is set if the changes are stored but exceed the requested maximum size.
	TooLarge bool
	// Era is the newest era of the store that is known.
	Era int64
}

// IsEraEnded reports whether the changes were lost because the store has returned from a copy since the version.
func (e *HistoryLostError) IsEraEnded() bool { return StoreEra(e.Since) != e.Era }

// Error returns a message with the table and the version.
func (e *HistoryLostError) Error() string {
	return fmt.Sprintf("changes of %s since version %d are not available", e.Table, e.Since)
}

// DeploymentDecoder decodes the rows that operators and servers write to the row store.
type DeploymentDecoder interface {
	// ConfigurationKey returns the key of the row with the newest configuration.
	ConfigurationKey() RowKey
	// EvacuatedZone returns the availability zone that a key names, or false if the key names none. An operator evacuates a zone
	// by writing a row with such a key. While the row exists in the configuration's table and part, the servers of the zone must
	// get no new requests.
	EvacuatedZone(key RowKey) (zone string, ok bool)
	// ServerTable returns the name of the table in which servers register, with their IDs as keys.
	ServerTable() string
	// Configuration decodes the row of the configuration.
	Configuration(value []byte) (Deployment, error)
	// Server decodes the row of a server.
	Server(id string, value []byte) (Server, error)
}

// HeaderCodec reads and writes the headers that the fleet exchanges with the callers and servers of a deployment.
type HeaderCodec interface {
	// ParseRequest parses the headers of a caller's request.
	ParseRequest(h http.Header) (OpaqueRequest, error)
	// ServerHeaders returns the headers to send to a server: the caller's without connection headers and headers reserved for the
	// fleet, and those of the delivery.
	ServerHeaders(h http.Header, d Delivery) http.Header
	// ParseAnswer parses the status and headers of a server's answer.
	ParseAnswer(status int, h http.Header) ServerAnswer
	// ReservationCall returns the call that reserves capacity at an engine for a request with a number of tokens, for a time.
	ReservationCall(tokens int, lifetime time.Duration) ServerCall
	// ParseReservation parses the answer to a ReservationCall. It returns false if nothing was reserved.
	ParseReservation(status int, body []byte) (reservation string, ok bool)
	// CallerHeaders returns the headers of a server's answer that are forwarded to the caller.
	CallerHeaders(h http.Header) http.Header
	// SetRefusal sets the headers of an answer in which the fleet refuses a request. id is the ID of the request that the caller
	// sent. If wait is positive, the headers ask the caller to retry after that time.
	SetRefusal(h http.Header, id string, wait time.Duration)
}
