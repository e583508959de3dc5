package sender

import (
	"hash/maphash"
	"slices"
)

// maxRequestIDs is the number of IDs of requests that a connection remembers.
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

// requestIDs holds the hashes of the last maxRequestIDs IDs of requests.
type requestIDs struct{ hashes []uint64 }

func (r *requestIDs) add(id string) {
	if len(r.hashes) == maxRequestIDs {
		r.hashes = slices.Delete(r.hashes, 0, maxRequestIDs/2)
	}
	r.hashes = append(r.hashes, maphash.String(hashSeed, id))
}

func (r *requestIDs) has(id string) bool {
	return slices.Contains(r.hashes, maphash.String(hashSeed, id))
}

// begin records that a request is about to be sent on the connection.
func (c *conn) begin(r Request) {
	c.history = History{Local: c.local, Requests: c.requests, Rejections: c.rejections, Repeated: c.carried.has(r.ID)}
	c.requests++
	c.carried.add(r.ID)
	c.method = r.Method
}
