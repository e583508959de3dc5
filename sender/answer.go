package sender

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/masticway/masticway/receiver"
)

// Framing is how an answer delimits its body.
type Framing string

// The framings of answers. An answer with FramingConnection lasts until its connection ends.
const (
	FramingLength     Framing = "length"
	FramingChunks     Framing = "chunks"
	FramingConnection Framing = "connection"
)

// framingOf returns the framing of an answer.
func framingOf(r *http.Response) Framing {
	switch {
	case r.ContentLength >= 0 || r.Body == http.NoBody:
		return FramingLength
	case len(r.TransferEncoding) > 0:
		return FramingChunks
	}
	return FramingConnection
}

// Answer is a server's answer. The caller must call Close.
type Answer struct {
	Status  int
	Header  http.Header
	Framing Framing
	// History is what the connection had carried before the request.
	History  History
	body     io.ReadCloser
	conn     *conn
	complete bool
	closed   bool
}

// IsFramed reports whether the answer delimits its body by itself, so that its end is not known by that of the connection alone.
func (a *Answer) IsFramed() bool { return a.Framing != FramingConnection }

// Read reads the body. It returns io.EOF only at the end of a complete body, or at the end of the connection if the body is not
// framed.
func (a *Answer) Read(b []byte) (int, error) {
	n, err := a.body.Read(b)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if !a.IsFramed() && a.conn.writeDone != nil {
		// The kernel tells a reset once: if the writer has got it, the reader finds an end like any other.
		if writeErr := receiver.AwaitWritten(a.conn.writeDone); writeErr != nil {
			return n, writeErr
		}
	}
	a.complete = true
	return n, err
}

// SetIdleTimeout sets how long the server keeps the connection open while it is idle. Zero selects defaultIdleTimeout.
func (a *Answer) SetIdleTimeout(d time.Duration) { a.conn.idleTimeout = d }

// Close ends the answer. The connection is kept for reuse only if the whole answer was read and nothing unexpected happened on
// it. Further calls have no effect.
func (a *Answer) Close() {
	if a.closed {
		return
	}
	a.closed = true
	a.conn.release(a.complete, a.IsFramed())
}

// Next discards the answer, reads the next one on the connection and returns it. It is for faulty servers that send an answer
// twice, so that the copy precedes the answer to the next request. The connection is not reused afterwards. If Next succeeds, the
// caller must close the new answer and not the old one; otherwise it must close the old one.
func (a *Answer) Next() (*Answer, error) {
	a.conn.tainted = true
	if err := a.skip(maxSkippedBytes); err != nil || !a.IsFramed() {
		return nil, &Error{Sent: true, Reused: a.conn.requests > 1, Cause: fmt.Errorf("skipping an answer to another request: %w", errOr(err, io.ErrUnexpectedEOF))}
	}
	next, err := a.conn.readAnswer()
	if err != nil {
		// Only the discarded answer is complete. The server may still work on the request.
		a.complete = false
		return nil, &Error{Sent: true, Reused: a.conn.requests > 1, Cause: err}
	}
	return next, nil
}

// errOr returns err, or other if err is nil.
func errOr(err, other error) error {
	if err != nil {
		return err
	}
	return other
}
