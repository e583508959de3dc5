package sender

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/masticway/masticway/receiver"
)

const (
	// maxInlineBody is how many bytes of a body are written before the answer is read. The rest of a larger body is written
	// concurrently, because the write may block: the TCP windows of the links are small.
	maxInlineBody = 2 << 10
	// pieceBytes is how many bytes of a larger body are written at once.
	pieceBytes = 16 << 10
	// maxPrepareTime is the longest time from the check whether a request is to be sent until its head is ready. If that takes longer,
	// it is done again, at most maxPreparations times in all.
	maxPrepareTime, maxPreparations = 10 * time.Millisecond, 3
)

// Request is a request to one server.
type Request struct {
	// ID is the ID that the answer repeats. It is empty if the answer names no request; the connection then carries no other request.
	ID     string
	Method string
	// Target is the request target as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// MaxIdle is the longest time that a reused connection may have been idle; zero means no limit.
	MaxIdle time.Duration
	// ConnectTimeout is the timeout for establishing a connection.
	ConnectTimeout time.Duration
	// AckTimeout is how long sent bytes may stay unacknowledged by the server's kernel before the connection is considered
	// broken (see watchAcks). Zero selects the system's default, which is minutes.
	AckTimeout time.Duration
	// Prepare returns the header to send. It is called once there is a connection. If it is nil, Header is sent.
	Prepare func() http.Header
	// Check is called just before the request is written, and before each further piece of a large body. If it returns an error,
	// nothing more is written, and Send fails with that error as the cause. It may be nil.
	Check func() error
}

// Error reports that connecting failed, that a request got no answer, or that Answer.Next found no further one.
type Error struct {
	// Sent is set if the server may have received the request.
	Sent bool
	// Reused is set if the connection had served an earlier request.
	Reused bool
	Cause  error
}

// Error describes whether connecting failed, or sending the request or reading the answer, and why.
func (e *Error) Error() string {
	if !e.Sent {
		return fmt.Sprintf("connecting: %v", e.Cause)
	}
	return fmt.Sprintf("sending (kept connection %t): %v", e.Reused, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// ConnectionLimitError reports that all connections that this router may have to a server are in use.
type ConnectionLimitError struct {
	Address string
	Open    int
}

// Error describes the limit and the server's address.
func (e *ConnectionLimitError) Error() string {
	return fmt.Sprintf("%d connections to %s are in use", e.Open, e.Address)
}

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
	if errors.Is(err, io.EOF) {
		a.complete = true
	}
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

// Sender holds the connections to all servers.
type Sender struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)
	now  func() time.Time

	// reportsAcks is set once the kernel has told when a connection got its last acknowledgement.
	reportsAcks atomic.Bool

	mu    sync.Mutex
	pools map[string]*connPool
	dials int64
}

// conn is a connection; it serves one request at a time.
type conn struct {
	sender  *Sender
	address string
	net     net.Conn
	reader  *bufio.Reader
	// head limits what reader reads for the head of an answer.
	head *receiver.HeadConn
	// writeDone delivers the result of writing a large body concurrently; it is nil if there is none. requests is the number of
	// requests sent on the connection.
	writeDone chan error
	// failure is the error for which this process reset the connection while it waited for the server.
	failure  atomic.Pointer[error]
	requests int
	// rejections is the number of answers that were discarded as rejections. carried holds the IDs of the requests, and history is the
	// connection's state before the current one. local is the address of this side.
	local       string
	rejections  int
	carried     requestIDs
	history     History
	idleSince   time.Time
	idleTimeout time.Duration
	// ackTimeout is the acknowledgement timeout that is set on the socket.
	ackTimeout time.Duration
	// stop cancels the function that closes the connection when the current request's context ends. It returns false if that
	// function has already been started. method is the method of the current request.
	stop   func() bool
	method string
	// willClose is set if the server announced that it closes the connection.
	willClose bool
	// tainted is set if anything unexpected happened on the connection.
	tainted bool
}

// New returns a Sender that connects with dial and reads the time from now.
func New(dial func(ctx context.Context, network, address string) (net.Conn, error), now func() time.Time) *Sender {
	return &Sender{dial: dial, now: now, pools: map[string]*connPool{}}
}

// Dials returns the number of attempts to open a connection since New, including failed ones.
func (s *Sender) Dials() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dials
}

// Send sends a request, waits for the head of the answer and returns the answer. The caller must close the answer. Send opens a
// new connection only if it finds fewer than limit connections to the server open; zero means no limit. Concurrent calls may
// exceed the limit, because they check it before they open connections. Send fails with Error or ConnectionLimitError. If the
// context ends before the answer is closed, the connection is closed.
func (s *Sender) Send(ctx context.Context, address string, limit int, r Request) (*Answer, error) {
	c, err := s.acquire(ctx, address, limit, r)
	if err != nil {
		return nil, err
	}
	if s.reportsAcks.Load() {
		c.setAckTimeout(0)
	} else {
		c.setAckTimeout(r.AckTimeout)
	}
	head, err := s.prepare(r)
	if err != nil {
		c.keep()
		return nil, &Error{Cause: err}
	}
	c.begin(r)
	c.stop = context.AfterFunc(ctx, c.reset)
	err = c.write(head, r)
	watch := watchAcks(c, r.AckTimeout)
	defer watch.stop()
	var a *Answer
	if err == nil {
		a, err = c.readAnswer()
	}
	if err != nil {
		if failure := c.failure.Load(); failure != nil {
			err = *failure
		}
		c.release(false, false)
		return nil, &Error{Sent: true, Reused: c.requests > 1, Cause: errOr(ctx.Err(), err)}
	}
	return a, nil
}

// prepare checks that the request is to be sent and returns its head. It starts again if that took long: this process had to wait for
// a processor, so that neither the check nor the header is up to date.
func (s *Sender) prepare(r Request) ([]byte, error) {
	for tries := 1; ; tries++ {
		began := s.now()
		if err := r.check(); err != nil {
			return nil, err
		}
		if r.Prepare != nil {
			r.Header = r.Prepare()
		}
		head := r.head()
		if s.now().Sub(began) < maxPrepareTime || tries == maxPreparations {
			return head, nil
		}
	}
}

// check calls Check, if there is one.
func (r Request) check() error {
	if r.Check == nil {
		return nil
	}
	return r.Check()
}

// head returns the head of the request as it is written.
func (r Request) head() []byte {
	head := make([]byte, 0, 1024)
	head = append(head, r.Method...)
	head = append(head, ' ')
	head = append(head, r.Target...)
	head = append(head, " HTTP/1.1\r\nHost: "...)
	head = append(head, r.Host...)
	head = append(head, "\r\n"...)
	for name, values := range r.Header {
		for _, v := range values {
			head = append(head, name...)
			head = append(head, ": "...)
			head = append(head, v...)
			head = append(head, "\r\n"...)
		}
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		head = append(head, "Content-Length: "...)
		head = strconv.AppendInt(head, int64(len(r.Body)), 10)
		head = append(head, "\r\n"...)
	}
	head = append(head, "\r\n"...)
	return head
}

// write sends the request. It writes the head and up to maxInlineBody bytes of the body at once, and the rest of a larger body in a
// goroutine, so that the answer can be read meanwhile.
func (c *conn) write(head []byte, r Request) error {
	n := min(maxInlineBody, len(r.Body))
	if _, err := c.net.Write(append(head, r.Body[:n]...)); err != nil || n == len(r.Body) {
		return err
	}
	done := make(chan error, 1)
	c.writeDone = done
	go func() { done <- c.writeRest(r, r.Body[n:]) }()
	return nil
}

// writeRest writes the rest of a body. It resets the connection if the request is not wanted any more: writing may take long, or the
// process may have waited for a processor.
func (c *conn) writeRest(r Request, rest []byte) error {
	for len(rest) > 0 {
		if err := r.check(); err != nil {
			c.fail(err)
			return err
		}
		n := min(pieceBytes, len(rest))
		if _, err := c.net.Write(rest[:n]); err != nil {
			return err
		}
		rest = rest[n:]
	}
	return nil
}

// readAnswer reads the head of the next answer and skips informational ones. It fails with receiver.HeadTooLargeError if they are too large.
func (c *conn) readAnswer() (*Answer, error) {
	c.head.BeginHead()
	defer c.head.EndHead()
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: c.method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		c.willClose = response.Close
		return &Answer{Status: response.StatusCode, Header: response.Header, Framing: framingOf(response), History: c.history, body: response.Body, conn: c}, nil
	}
}

// release ends a request, whose answer may be complete and framed. It returns the connection to the pool if its state allows its
// reuse. Otherwise it closes the connection, or resets it if the server may still work on the request or wait for the rest of its body.
func (c *conn) release(complete, framed bool) {
	stopped := c.stop()
	if c.writeDone != nil {
		select {
		case err := <-c.writeDone:
			complete = complete && err == nil
		default:
			// The server answered before it read the whole body. It would read the rest of the body as the next request.
			complete = false
		}
		c.writeDone = nil
	}
	switch {
	case !complete:
		c.reset()
		c.forget()
	case !framed || !stopped || c.willClose || c.tainted || c.reader.Buffered() > 0:
		c.discard()
	default:
		c.keep()
	}
}
