package examiner

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"

	"github.com/masticway/masticway"
)

// digestBytes is the length of a digest: nobody can make a request that is taken for another one.
const digestBytes = 16

// Source is what a digest is made of.
type Source struct {
	// Workspace is who asks; it is empty on routes that need no key.
	Workspace string
	Method    string
	Host      string
	// Target is the path and query as the caller wrote them.
	Target string
	Body   []byte
}

// Digest returns the request's digest: the same for all attempts of a caller at the same thing, whatever their ids, keys and
// time limits.
func Digest(s Source) masticway.RequestDigest {
	sum := sha256.New()
	for _, field := range []string{s.Workspace, s.Method, s.Host, s.Target} {
		add(sum, []byte(field))
	}
	add(sum, s.Body)
	return masticway.RequestDigest(hex.EncodeToString(sum.Sum(nil)[:digestBytes]))
}

// add adds a field with its length, so that two fields are never taken for one.
func add(sum hash.Hash, field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	// Writing to a hash never fails.
	_, _ = sum.Write(length[:])
	_, _ = sum.Write(field)
}
