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
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// readBuffer holds an answer's head and usual body.
	readBuffer = 4 << 10
	// inlineBody is the largest body that is written before the answer is read; the links' windows are small.
	inlineBody = 2 << 10
	// defaultIdle is how long a connection is kept when its server does not say.
	defaultIdle = 4 * time.Second
	// idleMargin is the part of a server's idle time after which its connections are not used again.
	idleMargin = 0.7
	// sweepAbove is the number of idle connections above which old ones are looked for.
	sweepAbove = 4
)

// Request is one request to one server.
type Request struct {
	Method string
	// Target is the request target as the caller wrote it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Fresh asks for a connection that has been idle for at most so long, or a new one; zero allows any.
	Fresh time.Duration
	// Connect bounds the making of a connection.
	Connect time.Duration
	// Acknowledged is how long the server's kernel may leave bytes without an acknowledgement before the connection
	// counts as broken; zero leaves it to the system, which takes minutes.
	Acknowledged time.Duration
}

// Error reports a request that got no answer.
type Error struct {
	// Sent tells that the server may have got the request.
	Sent bool
	// Reused tells that the connection had served a request before.
	Reused bool
	Cause  error
}

// Error tells what was tried and what came of it.
func (e *Error) Error() string {
	if !e.Sent {
		return fmt.Sprintf("connecting: %v", e.Cause)
	}
	return fmt.Sprintf("sending (kept connection %t): %v", e.Reused, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// FullError reports that this router's share of a server's connections is in use.
type FullError struct {
	Address string
	Open    int
}

// Error names the server.
func (e *FullError) Error() string {
	return fmt.Sprintf("%d connections to %s are in use", e.Open, e.Address)
}

// Answer is a server's answer; Close must be called.
type Answer struct {
	Status int
	Header http.Header
	// Framed tells that the answer says itself where it ends.
	Framed bool
	body   io.ReadCloser
	conn   *conn
	whole  bool
	closed bool
}

// Read reads the body; io.EOF means that all of it was there.
func (a *Answer) Read(b []byte) (int, error) {
	n, err := a.body.Read(b)
	if errors.Is(err, io.EOF) {
		a.whole = true
	}
	return n, err
}

// KeepIdle tells how long the server keeps the connection when it is idle.
func (a *Answer) KeepIdle(d time.Duration) { a.conn.keepIdle = d }

// Close ends the answer; its connection is kept only if everything on it was in order.
func (a *Answer) Close() {
	if a.closed {
		return
	}
	a.closed = true
	a.conn.release(a.whole && a.Framed)
}

// Next drops this answer and reads the next one on the same connection: an answer to another request, sent twice,
// may stand where the own one is expected.
func (a *Answer) Next() (*Answer, error) {
	a.conn.odd = true
	if _, err := io.Copy(io.Discard, a); err != nil || !a.Framed {
		return nil, &Error{Sent: true, Reused: a.conn.used > 1, Cause: fmt.Errorf("skipping an answer to another request: %w", errOr(err, io.ErrUnexpectedEOF))}
	}
	next, err := a.conn.readAnswer()
	if err != nil {
		return nil, &Error{Sent: true, Reused: a.conn.used > 1, Cause: err}
	}
	return next, nil
}

func errOr(err, other error) error {
	if err != nil {
		return err
	}
	return other
}

// Sender keeps the connections to all servers.
type Sender struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)
	now  func() time.Time

	mu      sync.Mutex
	servers map[string]*peer
	made    int64
}

// peer is one server's connections.
type peer struct {
	idle []*conn
	open int
}

// conn is one connection; it serves one request at a time.
type conn struct {
	sender   *Sender
	address  string
	net      net.Conn
	reader   *bufio.Reader
	writing  chan error
	used     int
	idleAt   time.Time
	keepIdle time.Duration
	// acknowledged is the limit that is set on the connection.
	acknowledged time.Duration
	stop         func() bool
	method       string
	// closes tells that the server will close the connection, odd that something on it was not as it should be.
	closes bool
	odd    bool
}

// New returns a sender that makes connections with dial and reads the time from now.
func New(dial func(ctx context.Context, network, address string) (net.Conn, error), now func() time.Time) *Sender {
	return &Sender{dial: dial, now: now, servers: map[string]*peer{}}
}

// Made returns how many connections have been made.
func (s *Sender) Made() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.made
}

// Send sends a request and returns the head of the answer. At most limit connections to the server are open. It
// fails with Error or FullError; when the context ends, the connection is closed.
func (s *Sender) Send(ctx context.Context, address string, limit int, r Request) (*Answer, error) {
	c, err := s.take(ctx, address, limit, r)
	if err != nil {
		return nil, err
	}
	c.used++
	c.method = r.Method
	c.stop = context.AfterFunc(ctx, func() { _ = c.net.Close() })
	c.demandAcknowledgement(r.Acknowledged)
	if err := c.write(r); err != nil {
		c.release(false)
		return nil, &Error{Sent: true, Reused: c.used > 1, Cause: errOr(ctx.Err(), err)}
	}
	a, err := c.readAnswer()
	if err != nil {
		c.release(false)
		return nil, &Error{Sent: true, Reused: c.used > 1, Cause: errOr(ctx.Err(), err)}
	}
	return a, nil
}

// take returns a kept connection that is in order, or a new one.
func (s *Sender) take(ctx context.Context, address string, limit int, r Request) (*conn, error) {
	for {
		c, open := s.takeIdle(address, r.Fresh)
		if c == nil {
			if limit > 0 && open >= limit {
				return nil, &FullError{Address: address, Open: open}
			}
			return s.connect(ctx, address, r.Connect)
		}
		if c.quiet() {
			return c, nil
		}
		c.discard()
	}
}

func (s *Sender) takeIdle(address string, fresh time.Duration) (*conn, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.peer(address)
	if len(p.idle) == 0 {
		return nil, p.open
	}
	now := s.now()
	if len(p.idle) > sweepAbove && now.Sub(p.idle[0].idleAt) > p.idle[0].usableFor() {
		p.drop(p.idle[:1])
		p.idle = p.idle[1:]
	}
	c := p.idle[len(p.idle)-1]
	age := now.Sub(c.idleAt)
	if age > c.usableFor() {
		// The others have been idle for longer.
		p.drop(p.idle)
		p.idle = nil
		return nil, p.open
	}
	if fresh > 0 && age > fresh {
		return nil, p.open
	}
	p.idle = p.idle[:len(p.idle)-1]
	return c, p.open
}

func (p *peer) drop(conns []*conn) {
	for _, c := range conns {
		_ = c.net.Close()
		p.open--
	}
}

func (s *Sender) peer(address string) *peer {
	p, ok := s.servers[address]
	if !ok {
		p = &peer{}
		s.servers[address] = p
	}
	return p
}

func (s *Sender) connect(ctx context.Context, address string, timeout time.Duration) (*conn, error) {
	s.mu.Lock()
	s.peer(address).open++
	s.made++
	s.mu.Unlock()
	dialing, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	n, err := s.dial(dialing, "tcp", address)
	if err != nil {
		s.mu.Lock()
		s.peer(address).open--
		s.mu.Unlock()
		return nil, &Error{Cause: err}
	}
	return &conn{sender: s, address: address, net: n, reader: bufio.NewReaderSize(n, readBuffer)}, nil
}

// Forget closes the idle connections to servers that are not among the given addresses.
func (s *Sender) Forget(keep map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, p := range s.servers {
		if keep[address] {
			continue
		}
		p.drop(p.idle)
		p.idle = nil
		if p.open == 0 {
			delete(s.servers, address)
		}
	}
}

func (c *conn) usableFor() time.Duration {
	keep := c.keepIdle
	if keep == 0 {
		keep = defaultIdle
	}
	return time.Duration(float64(keep) * idleMargin)
}

// quiet tells that nothing has come on an idle connection, neither its end nor bytes that belong to no request.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.net.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && quiet
}

// demandAcknowledgement sets how long sent bytes may stay unacknowledged. A kernel acknowledges them however busy its
// server is, so this tells a machine without power, or a connection that has gone silent, from a server that works.
func (c *conn) demandAcknowledgement(within time.Duration) {
	tcp, ok := c.net.(*net.TCPConn)
	if !ok || within == c.acknowledged {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	c.acknowledged = within
	// Without it the request's own time limits hold.
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(within.Milliseconds()))
	})
}

// write sends the request; a long body goes on beside the reading of the answer.
func (c *conn) write(r Request) error {
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
	if len(r.Body) <= inlineBody {
		_, err := c.net.Write(append(head, r.Body...))
		return err
	}
	c.writing = make(chan error, 1)
	go func() {
		buffers := net.Buffers{head, r.Body}
		_, err := buffers.WriteTo(c.net)
		c.writing <- err
	}()
	return nil
}

// readAnswer reads the head of the next answer, past any informational ones.
func (c *conn) readAnswer() (*Answer, error) {
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: c.method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
		c.closes = response.Close
		return &Answer{Status: response.StatusCode, Header: response.Header, Framed: framed, body: response.Body, conn: c}, nil
	}
}

// release puts a connection back, or closes it.
func (c *conn) release(inOrder bool) {
	stopped := c.stop()
	if c.writing != nil {
		select {
		case err := <-c.writing:
			inOrder = inOrder && err == nil
		default:
			// The server answered before it had read the body; what it reads next must not be another request.
			inOrder = false
		}
		c.writing = nil
	}
	if !inOrder || !stopped || c.closes || c.odd || c.reader.Buffered() > 0 {
		c.discard()
		return
	}
	c.sender.mu.Lock()
	defer c.sender.mu.Unlock()
	c.idleAt = c.sender.now()
	p := c.sender.peer(c.address)
	p.idle = append(p.idle, c)
}

func (c *conn) discard() {
	_ = c.net.Close()
	c.sender.mu.Lock()
	defer c.sender.mu.Unlock()
	c.sender.peer(c.address).open--
}
