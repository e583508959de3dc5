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

// isExhausted reports whether the connection must not carry further requests: it cannot remember them, or it has carried one whose answer
// names no request.
func (c *conn) isExhausted() bool { return c.carried.isFull() || c.carried.has("") }

func (r *requestIDs) has(id string) bool {
	return slices.Contains(r.hashes, maphash.String(hashSeed, id))
}

// mayConfuse reports whether an answer to an earlier request on the connection may be taken for the answer to a request with the given
// ID. A server may send an answer again when the next request has arrived.
func (c *conn) mayConfuse(id string) bool { return id == "" && c.requests > 0 || c.carried.has(id) }

// begin records that a request is about to be sent on the connection.
func (c *conn) begin(r Request) {
	c.history = History{Local: c.local, Requests: c.requests, Rejections: c.rejections, Repeated: c.carried.has(r.ID)}
	c.requests++
	c.carried.add(r.ID)
	c.method = r.Method
}
