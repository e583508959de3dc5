package linker

import (
	"fmt"
	"math"
	"net"
)

// maxHeadBytes bounds what is read of a peer until its answer to the request for a link is complete. That answer has a few lines.
const maxHeadBytes = 64 << 10

// HeadTooLargeError reports that a peer sent more bytes than Limit without completing its answer to the request for a link.
type HeadTooLargeError struct {
	Limit int64
}

// Error returns a message with the limit.
func (e *HeadTooLargeError) Error() string {
	return fmt.Sprintf("the head of the answer is larger than %d bytes", e.Limit)
}

// headConn is a connection that fails once a head is larger than its limit. The parser of heads has no limit of its own.
type headConn struct {
	net.Conn
	// left is how many bytes may still be read.
	left int64
}

// end removes the limit, since the head is complete. Messages have a limit of their own.
func (c *headConn) end() { c.left = math.MaxInt64 }

// Read reads from the connection.
func (c *headConn) Read(b []byte) (int, error) {
	if c.left <= 0 {
		return 0, &HeadTooLargeError{Limit: maxHeadBytes}
	}
	n, err := c.Conn.Read(b[:min(int64(len(b)), c.left)])
	c.left -= int64(n)
	return n, err
}
