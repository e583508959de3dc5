package examiner

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"

	"github.com/masticway/masticway"
)

// digestBytes is the length of a digest. It is long enough that nobody can construct a request with the digest of another one.
const digestBytes = 16

// Source holds the parts of a request that its digest is computed from.
type Source struct {
	// Workspace is the caller's workspace. It is empty on routes that need no key.
	Workspace string
	Method    string
	Host      string
	// Target is the path and query as sent by the caller.
	Target string
	Body   []byte
}

// Digest returns the request's digest. It is the same for all of a caller's attempts at the same request, whatever their IDs,
// keys and time limits.
func Digest(s Source) masticway.RequestDigest {
	sum := sha256.New()
	for _, field := range []string{s.Workspace, s.Method, s.Host, s.Target} {
		add(sum, []byte(field))
	}
	add(sum, s.Body)
	return masticway.RequestDigest(hex.EncodeToString(sum.Sum(nil)[:digestBytes]))
}

// add adds a field, preceded by its length so that different fields never yield the same input.
func add(sum hash.Hash, field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	// Writing to a hash never returns an error.
	_, _ = sum.Write(length[:])
	_, _ = sum.Write(field)
}
