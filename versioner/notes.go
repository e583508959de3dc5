package versioner

import "time"

const (
	// noteLifetime is how long the version of a stream is kept after it was recorded last. It exceeds the time that a caller takes for
	// all of its attempts.
	noteLifetime = time.Minute
	// maxNotes bounds the memory that notes take. At a hundred notes a second, fewer are kept at a time.
	maxNotes = 20_000
)

// Stream identifies a stream by its pool and the ID of the caller's attempt that brought its first event.
type Stream struct {
	Pool    string `cbor:"1,keyasint"`
	Attempt string `cbor:"2,keyasint"`
}

// Record is the version at which a stream was begun.
type Record struct {
	Stream  Stream `cbor:"1,keyasint"`
	Version string `cbor:"2,keyasint"`
}

// noteEnd is when a note ends, unless the stream is recorded again.
type noteEnd struct {
	stream Stream
	at     time.Time
}

// Notes keeps the versions of streams for noteLifetime, and of the latest ones only if there are more than maxNotes. It is not safe
// for concurrent use.
type Notes struct {
	versions map[Stream]string
	// ends holds the ends of the notes in their order. A stream that was recorded again has several, and counts has how many.
	ends   []noteEnd
	counts map[Stream]int
	// unsent holds, by pool, the streams that were begun here and have not been recorded at other routers, and acknowledged those that
	// another router has recorded.
	unsent       map[string]map[string]bool
	acknowledged map[Stream]bool
}

// NewNotes returns empty notes.
func NewNotes() *Notes {
	return &Notes{versions: map[Stream]string{}, counts: map[Stream]int{}, unsent: map[string]map[string]bool{}, acknowledged: map[Stream]bool{}}
}

// Record keeps the version of a stream. If the stream has another version already, that one stays.
func (n *Notes) Record(now time.Time, r Record) {
	n.prune(now)
	if _, ok := n.versions[r.Stream]; !ok {
		n.versions[r.Stream] = r.Version
	}
	n.counts[r.Stream]++
	n.ends = append(n.ends, noteEnd{stream: r.Stream, at: now.Add(noteLifetime)})
}

// RecordUnsent is like Record, and remembers that other routers have not got the version.
func (n *Notes) RecordUnsent(now time.Time, r Record) {
	n.Record(now, r)
	n.MarkUnsent(r.Stream)
}

// MarkUnsent remembers that other routers have not got the version of a stream, if it is kept.
func (n *Notes) MarkUnsent(s Stream) {
	if _, ok := n.versions[s]; !ok {
		return
	}
	if n.unsent[s.Pool] == nil {
		n.unsent[s.Pool] = map[string]bool{}
	}
	n.unsent[s.Pool][s.Attempt] = true
}

// Acknowledge remembers that another router has got the version of a stream, if it is kept.
func (n *Notes) Acknowledge(s Stream) {
	if _, ok := n.versions[s]; ok {
		n.acknowledged[s] = true
	}
}

// IsAcknowledged reports whether another router has got the version of a stream.
func (n *Notes) IsAcknowledged(s Stream) bool { return n.acknowledged[s] }

// Pools returns the pools that have unsent versions.
func (n *Notes) Pools() (pools []string) {
	for pool := range n.unsent {
		pools = append(pools, pool)
	}
	return pools
}

// TakeUnsent returns the unsent versions of a pool's streams, which are no longer unsent afterwards.
func (n *Notes) TakeUnsent(now time.Time, pool string) (records []Record) {
	n.prune(now)
	for attempt := range n.unsent[pool] {
		s := Stream{Pool: pool, Attempt: attempt}
		records = append(records, Record{Stream: s, Version: n.versions[s]})
	}
	delete(n.unsent, pool)
	return records
}

// Find returns the version of a stream, or false if it is not known.
func (n *Notes) Find(now time.Time, s Stream) (version string, ok bool) {
	n.prune(now)
	version, ok = n.versions[s]
	return version, ok
}

// prune removes the notes that have ended and the oldest of too many.
func (n *Notes) prune(now time.Time) {
	for len(n.ends) > 0 && (len(n.ends) >= maxNotes || !now.Before(n.ends[0].at)) {
		s := n.ends[0].stream
		n.ends = n.ends[1:]
		if n.counts[s]--; n.counts[s] > 0 {
			continue
		}
		delete(n.counts, s)
		delete(n.versions, s)
		delete(n.acknowledged, s)
		if unsent := n.unsent[s.Pool]; unsent != nil {
			delete(unsent, s.Attempt)
			if len(unsent) == 0 {
				delete(n.unsent, s.Pool)
			}
		}
	}
}
