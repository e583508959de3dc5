package sender

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
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
	// Reused is set if the connection had served an earlier request. History is its history if the request was sent.
	Reused  bool
	History History
	Cause   error
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
		return nil, &Error{Sent: true, Reused: c.requests > 1, History: c.history, Cause: errOr(ctx.Err(), err)}
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
