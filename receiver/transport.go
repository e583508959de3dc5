package receiver

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// maxInformational is the most informational answers before one that are skipped.
const maxInformational = 8

// maxRecorded is how much of an answer is recorded until its head has been read, and a little more.
const maxRecorded = maxHeadBytes + pieceBytes

// writeGrace is how long the end of an answer without framing waits to learn that its request was written. The transport tells it just after.
const writeGrace = 100 * time.Millisecond

// Transport is a transport that takes only valid answers. It fails with InvalidAnswerError for others, and reading a body fails with it
// if the body ends with its connection before the request was written: the end may be a reset of which only the writer has learned.
type Transport struct {
	base *http.Transport
}

// NewTransport returns a Transport over t, whose DialContext must be set. t must not be used otherwise.
func NewTransport(t *http.Transport) *Transport {
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &recordingConn{Conn: c}, nil
	}
	return &Transport{base: t}
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// RoundTrip sends a request and returns the answer.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	written := make(chan error, 1)
	var conn atomic.Pointer[recordingConn]
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			if c, ok := i.Conn.(*recordingConn); ok {
				c.begin()
				conn.Store(c)
			}
		},
		WroteRequest: func(i httptrace.WroteRequestInfo) {
			select {
			case written <- i.Err:
			default:
				// The transport tries again on another connection.
				<-written
				written <- i.Err
			}
		},
	})
	response, err := t.base.RoundTrip(r.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := checkResponse(response, conn.Load()); err != nil {
		response.Body.Close()
		return nil, err
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 && r.Body != nil && r.Body != http.NoBody {
		response.Body = &unframedBody{ReadCloser: response.Body, written: written}
	}
	return response, nil
}

// checkResponse checks the head of an answer, and those of the informational ones before it.
func checkResponse(response *http.Response, c *recordingConn) error {
	if _, err := CheckStatus(response.StatusCode); err != nil {
		return err
	}
	if c == nil {
		return nil
	}
	heads := c.end()
	for range maxInformational + 1 {
		from := heads.from
		if err := heads.CheckNext(); err != nil {
			return err
		}
		if isFinal, err := CheckStatus(statusOf(heads.raw[from:])); isFinal || err != nil {
			return err
		}
	}
	return invalid("over %d informational answers", maxInformational)
}

// statusOf returns the status in a status line that has been checked.
func statusOf(line []byte) int {
	digits := line[len("HTTP/1.1 "):]
	return int(digits[0]-'0')*100 + int(digits[1]-'0')*10 + int(digits[2]-'0')
}

// unframedBody is a body that ends with its connection, of an answer to a request with a body.
type unframedBody struct {
	io.ReadCloser
	written chan error
}

// Read reads the body.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if writeErr := AwaitWritten(b.written); writeErr != nil {
		return n, writeErr
	}
	return n, err
}

// AwaitWritten returns nil if a request has been written, according to the result that written delivers, and otherwise an
// InvalidAnswerError for an answer that has ended with its connection.
func AwaitWritten(written chan error) error {
	select {
	case err := <-written:
		written <- err
		if err != nil {
			return invalid("it ended with its connection, and its request was not written: %v", err)
		}
		return nil
	case <-time.After(writeGrace):
		return invalid("it ended with its connection before its request was written")
	}
}

// recordingConn records the heads of answers.
type recordingConn struct {
	net.Conn
	heads atomic.Pointer[lockedHeads]
}

// begin begins to record, before a request is written.
func (c *recordingConn) begin() { c.heads.Store(&lockedHeads{}) }

// end ends the recording once the head of the answer has been read.
func (c *recordingConn) end() *Heads {
	h := c.heads.Swap(nil)
	if h == nil {
		return &Heads{}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	heads := h.Heads
	return &heads
}

// Read reads from the connection.
func (c *recordingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if h := c.heads.Load(); h != nil && n > 0 {
		h.mu.Lock()
		if len(h.raw) < maxRecorded {
			h.add(b[:n])
		}
		h.mu.Unlock()
	}
	return n, err
}
