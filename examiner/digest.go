package examiner

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"slices"

	"github.com/masticway/masticway"
)

// digestBytes is the length of a digest in bytes. It is long enough that finding a request with the digest of a given other one
// is infeasible.
const digestBytes = 16

// DigestInput holds the content of a request from which its digest is computed.
type DigestInput struct {
	// Workspace is the caller's workspace. It is empty on routes that need no key.
	Workspace string
	Method    string
	Host      string
	// Target is the path and query as sent by the caller.
	Target string
	Body   []byte
}

// Digest returns the request's digest. It does not depend on headers other than Host, such as those with the request's ID and
// time limit, and of the caller's key only the workspace counts. So all attempts at the same request have the same digest.
func Digest(s DigestInput) masticway.SuspectID {
	sum := sha256.New()
	for _, field := range []string{s.Workspace, s.Method, s.Host, s.Target} {
		add(sum, []byte(field))
	}
	add(sum, s.Body)
	return masticway.SuspectID(hex.EncodeToString(sum.Sum(nil)[:digestBytes]))
}

// maxParts is the maximum number of parts of one prompt that may be suspects. All further parts are one suspect together, which
// the prompts of a workspace share.
const maxParts = 32

// Parts returns the parts of a prompt that may be suspects: all but the last, which belongs to the request itself.
func Parts(workspace string, prompt []masticway.PromptPart) []masticway.SuspectPart {
	var parts []masticway.SuspectPart
	for i, part := range prompt[:max(0, len(prompt)-1)] {
		if i == maxParts {
			return append(parts, newSuspectPart("further parts", workspace))
		}
		suspect := newSuspectPart("part", part.ID)
		suspect.Name = part.ID[:min(len(part.ID), maxPartName)]
		if !slices.Contains(parts, suspect) {
			parts = append(parts, suspect)
		}
	}
	return parts
}

// maxPartName is the maximum length of a part's name, in bytes.
const maxPartName = 32

func newSuspectPart(kind, name string) masticway.SuspectPart {
	sum := sha256.New()
	add(sum, []byte(kind))
	add(sum, []byte(name))
	return masticway.SuspectPart{ID: masticway.NewPartID(hex.EncodeToString(sum.Sum(nil)[:digestBytes])), Name: kind}
}

// add adds a field, preceded by its length so that different fields never yield the same input.
func add(sum hash.Hash, field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	// Writing to a hash never returns an error.
	_, _ = sum.Write(length[:])
	_, _ = sum.Write(field)
}
