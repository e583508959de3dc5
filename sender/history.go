package sender

import (
	"hash/maphash"
	"slices"
)

// maxRequestIDs is the number of requests after which a connection is not reused, which bounds what it has to remember.
const maxRequestIDs = 1024

// History describes a connection at the time at which a request is sent on it.
type History struct {
	// Local is the address of this router's side, which tells the connections to a server apart.
	Local string
	// Requests is the number of earlier requests, and Rejections that of their answers that were discarded as rejections.
	Requests, Rejections int
	// Repeated is set if a request with the same ID was sent on the connection before.
	Repeated bool
}

// hashSeed is the seed of the hashes in requestIDs.
var hashSeed = maphash.MakeSeed()

// requestIDs holds the hashes of the IDs of requests. Requests whose hashes are the same by chance are taken for one.
type requestIDs struct{ hashes []uint64 }

func (r *requestIDs) add(id string) { r.hashes = append(r.hashes, maphash.String(hashSeed, id)) }

// isFull reports whether there are maxRequestIDs IDs.
func (r *requestIDs) isFull() bool { return len(r.hashes) >= maxRequestIDs }

func (r *requestIDs) has(id string) bool {
	return slices.Contains(r.hashes, maphash.String(hashSeed, id))
}
