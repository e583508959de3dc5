package receiver

import (
	"fmt"
	"math"
	"net"
)

// maxHeadBytes bounds the head of an answer in bytes, together with the informational answers before it.
const maxHeadBytes = 64 << 10

// HeadTooLargeError reports that the other side of a connection sent more bytes than Limit without completing the head of an answer.
type HeadTooLargeError struct {
	Limit int64
}

// Error returns a message with the limit.
func (e *HeadTooLargeError) Error() string {
	return fmt.Sprintf("the head of the answer is larger than %d bytes", e.Limit)
}

// HeadConn is a connection that fails with HeadTooLargeError once the head of an answer is larger than 64 KB. A parser of heads has no
// limit of its own. It is not safe for concurrent reads.
type HeadConn struct {
	net.Conn
	// left is how many bytes may still be read. heads records what is read for a head.
	left  int64
	heads Heads
}

// NewHeadConn returns a HeadConn that reads from c. It begins with a head.
func NewHeadConn(c net.Conn) *HeadConn { return &HeadConn{Conn: c, left: maxHeadBytes} }

// BeginHead starts to limit and record what is read, for a head. buffered is what was read of it before.
func (c *HeadConn) BeginHead(buffered []byte) *Heads {
	c.left = maxHeadBytes
	c.heads = Heads{raw: append(c.heads.raw[:0], buffered...)}
	return &c.heads
}

// EndHead removes the limit, since the head is complete. What follows is limited by who reads it.
func (c *HeadConn) EndHead() {
	c.left, c.heads = math.MaxInt64, Heads{raw: c.heads.raw[:0]}
	if cap(c.heads.raw) > pieceBytes {
		c.heads.raw = nil
	}
}

// Read reads from the connection.
func (c *HeadConn) Read(b []byte) (int, error) {
	if c.left <= 0 {
		return 0, &HeadTooLargeError{Limit: maxHeadBytes}
	}
	n, err := c.Conn.Read(b[:min(int64(len(b)), c.left)])
	if c.left < math.MaxInt64 {
		c.heads.add(b[:n])
		c.left -= int64(n)
	}
	return n, err
}
