package sender

import (
	"fmt"
	"io"
	"math"
	"net"
	"time"
)

const (
	// maxHeadBytes bounds the head of an answer in bytes, together with the informational answers before it.
	maxHeadBytes = 64 << 10
	// maxDiscardedBytes and maxDiscardTime bound what is read of an answer that is of no use, so that its connection can be reused.
	maxDiscardedBytes = 64 << 10
	maxDiscardTime    = 50 * time.Millisecond
	// maxSkippedBytes bounds the body of an answer to another request, which is read to get at the next answer.
	maxSkippedBytes = 8 << 20
)

// HeadTooLargeError reports that a server sent more bytes than Limit without completing the head of an answer.
type HeadTooLargeError struct {
	Limit int64
}

// Error returns a message with the limit.
func (e *HeadTooLargeError) Error() string {
	return fmt.Sprintf("the head of the answer is larger than %d bytes", e.Limit)
}

// headReader reads from a connection and fails once a head is larger than its limit. A parser of heads has no limit of its own.
type headReader struct {
	net.Conn
	// left is how many bytes may still be read.
	left int64
}

// begin starts to limit what is read, for a head.
func (r *headReader) begin() { r.left = maxHeadBytes }

// end removes the limit, since the head is complete. Bodies are limited by who reads them, and the lines of chunks and trailers by
// the size of the read buffer.
func (r *headReader) end() { r.left = math.MaxInt64 }

// Read reads from the connection.
func (r *headReader) Read(b []byte) (int, error) {
	if r.left <= 0 {
		return 0, &HeadTooLargeError{Limit: maxHeadBytes}
	}
	n, err := r.Conn.Read(b[:min(int64(len(b)), r.left)])
	r.left -= int64(n)
	return n, err
}

// Discard reads an answer that is of no use to its end, so that its connection can be reused. It gives up, so that the connection is
// closed, if the answer does not end soon.
func (a *Answer) Discard() error {
	if err := a.conn.net.SetReadDeadline(time.Now().Add(maxDiscardTime)); err != nil {
		return err
	}
	if err := a.skip(maxDiscardedBytes); err != nil {
		return err
	}
	return a.conn.net.SetReadDeadline(time.Time{})
}

// skip reads the answer to its end. It fails if the answer has limit bytes or more.
func (a *Answer) skip(limit int64) error {
	_, err := io.CopyN(io.Discard, a, limit)
	switch {
	case err == nil:
		return fmt.Errorf("the answer is larger than %d bytes", limit)
	case a.complete:
		return nil
	}
	return err
}
