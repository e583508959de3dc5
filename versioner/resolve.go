package versioner

// Reply is what a router knows of the version of a stream.
type Reply struct {
	// Version is the version that was recorded for the stream, if Recorded is set.
	Version  string `cbor:"1,keyasint,omitempty"`
	Recorded bool   `cbor:"2,keyasint,omitempty"`
	// Settled is the version on which the stream's pool is settled (see History.Settled), if IsSettled is set.
	Settled   string `cbor:"3,keyasint,omitempty"`
	IsSettled bool   `cbor:"4,keyasint,omitempty"`
	// IsMixed is set if the router knows that the pool has had several versions lately, or that the stream may have begun in another
	// pool, because the configuration has moved requests.
	IsMixed bool `cbor:"5,keyasint,omitempty"`
}

// Source tells by what the version of a stream is known.
type Source string

// The sources of a version.
const (
	// SourceRecorded means that a router had recorded the version.
	SourceRecorded Source = "recorded"
	// SourceSettled means that the pool is settled on the version.
	SourceSettled Source = "settled"
	// SourceStored means that the store has the version.
	SourceStored Source = "stored"
	// SourceNone means that the version is unknown, and SourceConflict that routers know different ones.
	SourceNone     Source = "none"
	SourceConflict Source = "conflict"
)

// resolve returns the version of a stream by the replies of this router and others, and by what it is known. The version is unknown if
// the source is SourceNone or SourceConflict.
func resolve(replies []Reply) (string, Source) {
	var recorded, settled []string
	isMixed := false
	for _, r := range replies {
		if r.Recorded {
			recorded = append(recorded, r.Version)
		}
		if r.IsSettled {
			settled = append(settled, r.Settled)
		}
		isMixed = isMixed || r.IsMixed
	}
	switch {
	case len(recorded) > 0:
		return agreed(recorded, SourceRecorded)
	// A router that has not seen a change yet, or started after it, takes the pool for settled.
	case len(settled) > 0 && !isMixed:
		return agreed(settled, SourceSettled)
	}
	return "", SourceNone
}

// agreed returns the version if all are the same.
func agreed(versions []string, s Source) (string, Source) {
	for _, v := range versions {
		if v != versions[0] {
			return "", SourceConflict
		}
	}
	return versions[0], s
}
