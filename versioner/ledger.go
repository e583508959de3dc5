package versioner

import (
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxLedgerStreams is the maximum number of streams in a router's row, the latest ones. A row of them fits into 64 KB.
const maxLedgerStreams = 4000

// streamHash identifies a stream in a LedgerRecord.
type streamHash uint64

func hashOf(s Stream) streamHash { return streamHash(xxhash.Sum64String(s.Pool + "\x00" + s.Attempt)) }

// LedgerRecord is what the store has of the streams that a router began in pools with servers of several versions. The version at which
// a stream was begun never changes, so that old records are not wrong.
type LedgerRecord struct {
	// At is when the record was written, in milliseconds of the store's clock.
	At int64 `json:"at"`
	// Streams holds the hashes of the streams for each version, eight bytes each, in base64.
	Streams map[string]string `json:"streams"`
}

// newLedgerRecord returns a record of streams at a time of the store's clock.
func newLedgerRecord(storeTime time.Duration, streams map[string][]streamHash) LedgerRecord {
	r := LedgerRecord{At: storeTime.Milliseconds(), Streams: map[string]string{}}
	for version, hashes := range streams {
		b := make([]byte, 0, 8*len(hashes))
		for _, h := range hashes {
			b = binary.BigEndian.AppendUint64(b, uint64(h))
		}
		r.Streams[version] = base64.StdEncoding.EncodeToString(b)
	}
	return r
}

// versions returns the versions of the record's streams.
func (r LedgerRecord) versions() (map[streamHash]string, error) {
	all := map[streamHash]string{}
	for version, text := range r.Streams {
		b, err := base64.StdEncoding.DecodeString(text)
		if err != nil || len(b)%8 != 0 {
			return nil, fmt.Errorf("the streams of version %s are not a list of hashes", version)
		}
		for ; len(b) > 0; b = b[8:] {
			all[streamHash(binary.BigEndian.Uint64(b))] = version
		}
	}
	return all, nil
}

// ledgerEntry is a stream that this router, or its predecessor at the same address, has begun.
type ledgerEntry struct {
	hash    streamHash
	pool    string
	version string
	at      time.Time
}

// Ledger holds the streams that this router has begun, for its row in the store, and those of all routers' rows as they were read last.
// Streams are kept for noteLifetime. It is not safe for concurrent use.
type Ledger struct {
	// begun holds this router's streams in their order, the latest maxLedgerStreams of them, and written is when the last of those
	// that are in the store began.
	begun   []ledgerEntry
	written time.Time
	// read holds the streams of all rows. readAt is when they were read and storeTime the store's clock then; readAt is zero until then.
	read      map[streamHash]string
	readAt    time.Time
	storeTime time.Duration
}

// Add adds a stream that this router has begun.
func (l *Ledger) Add(now time.Time, r Record) {
	l.prune(now)
	l.begun = append(l.begun, ledgerEntry{hash: hashOf(r.Stream), pool: r.Stream.Pool, version: r.Version, at: now})
	l.begun = l.begun[max(0, len(l.begun)-maxLedgerStreams):]
}

// Recall records the rows of all routers as they were read at a time, which was storeTime by the store's clock. The first time, it takes
// over the streams of the router's own row, which its predecessor has begun.
func (l *Ledger) Recall(now time.Time, storeTime time.Duration, all, own map[streamHash]string) {
	if l.readAt.IsZero() {
		var earlier []ledgerEntry
		for h, version := range own {
			earlier = append(earlier, ledgerEntry{hash: h, version: version, at: now})
		}
		l.begun = append(earlier, l.begun...)
		l.begun = l.begun[max(0, len(l.begun)-maxLedgerStreams):]
	}
	l.read, l.readAt, l.storeTime = all, now, storeTime
}

// storeNow returns the time by the store's clock.
func (l *Ledger) storeNow(now time.Time) time.Duration { return l.storeTime + now.Sub(l.readAt) }

// Unwritten returns the streams for this router's row, by version, if it has begun any since the row was written in pools for which
// isUnsettled returns true. It returns false if the row need not be written.
func (l *Ledger) Unwritten(now time.Time, isUnsettled func(pool string) bool) (map[string][]streamHash, bool) {
	l.prune(now)
	// The streams of the predecessor have no pool.
	isNew := func(e ledgerEntry) bool { return e.pool != "" && e.at.After(l.written) && isUnsettled(e.pool) }
	if !slices.ContainsFunc(l.begun, isNew) {
		return nil, false
	}
	streams := map[string][]streamHash{}
	for _, e := range l.begun {
		if e.pool == "" || isUnsettled(e.pool) {
			streams[e.version] = append(streams[e.version], e.hash)
		}
	}
	return streams, true
}

// RecordWritten records that the row has the streams that had begun by a time.
func (l *Ledger) RecordWritten(at time.Time) { l.written = at }

// Find returns the version of a stream according to the rows that were read last.
func (l *Ledger) Find(s Stream) (version string, ok bool) {
	version, ok = l.read[hashOf(s)]
	return version, ok
}

// prune removes the streams that are too old.
func (l *Ledger) prune(now time.Time) {
	for len(l.begun) > 0 && now.Sub(l.begun[0].at) >= noteLifetime {
		l.begun = l.begun[1:]
	}
}
