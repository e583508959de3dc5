package sender

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/masticway/masticway/receiver"
)

const (
	// readBufferSize is the size in bytes of a connection's read buffer. It fits the head and body of a typical answer.
	readBufferSize = 4 << 10
	// defaultIdleTimeout is how long an idle connection is kept if its server does not announce a timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleFraction is the part of a server's idle timeout after which a connection is no longer reused.
	idleFraction = 0.7
	// maxEndTime is how long a server may take to close a connection that this router has closed before another one takes its place.
	maxEndTime = 50 * time.Millisecond
	// maxTimeoutDelay is how late the timeout of a connection attempt may be noticed by a process that runs.
	maxTimeoutDelay = 30 * time.Millisecond
	// sweepThreshold is a number of idle connections to a server. If there are more, acquireIdle also checks the one that has
	// been idle for longest, and closes it if it has expired.
	sweepThreshold = 4
)

// connPool holds the idle connections to one server. open is the number of all its connections, including those in use and those
// being established. limit is that of the last call of LimitConnections; zero means none. peak is the greatest number of
// connections in use and denied the number of refused requests since the last call of TakeUse.
type connPool struct {
	idle         []*conn
	open         int
	limit        int
	peak, denied int
}

// acquire returns a usable idle connection or, if there is none, a new one, which may take the place of another one (see acquireIdle). It
// fails with ConnectionLimitError if a new one is needed, limit or more connections are open and none can be replaced.
func (s *Sender) acquire(ctx context.Context, address string, limit int, r Request) (*conn, error) {
	for {
		c, open := s.acquireIdle(address, limit, r)
		isFull := limit > 0 && open >= limit
		switch {
		case c == nil && isFull:
			s.recordDenied(address)
			return nil, &ConnectionLimitError{Address: address, Open: open}
		case c == nil:
			return s.connect(ctx, address, r.ConnectTimeout, nil)
		case c.mayConfuse(r) && isFull:
			return s.connect(ctx, address, r.ConnectTimeout, c)
		case !c.mayConfuse(r) && c.hasNoInput():
			return c, nil
		}
		c.discard()
	}
}

// acquireIdle removes the idle connection that was used last and may carry the request (see conn.mayConfuse), and returns it. If there is
// none, it removes and returns one that the caller must close, and may replace. It returns nil if there is none of these either, or if they
// have expired (see conn.maxIdle) or been idle for longer than the request's MaxIdle. It also closes expired connections, and returns the
// number of open ones, the returned one included.
func (s *Sender) acquireIdle(address string, limit int, r Request) (*conn, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pool(address)
	now := s.now()
	if len(p.idle) > sweepThreshold && now.Sub(p.idle[0].idleSince) > p.idle[0].maxIdle() {
		p.closeIdle(0, 1)
	}
	useless := -1
	for i, c := range slices.Backward(p.idle) {
		age := now.Sub(c.idleSince)
		if age > c.maxIdle() {
			// The connections before it have been idle for longer.
			p.closeIdle(0, i+1)
			// The index has moved. It stays negative if there is none.
			useless -= i + 1
			break
		}
		if r.MaxIdle > 0 && age > r.MaxIdle {
			break
		}
		if !c.mayConfuse(r) {
			return p.takeIdle(i), p.open
		}
		// Below the limit too, or a request that comes again and again leaves a connection each time.
		if limit > 0 && p.open >= limit || c.isExhausted() || c.carried.has(r.ID) {
			useless = i
		}
	}
	if useless < 0 {
		return nil, p.open
	}
	return p.takeIdle(useless), p.open
}

// takeIdle removes the idle connection with an index from the idle ones and returns it.
func (p *connPool) takeIdle(i int) *conn {
	c := p.idle[i]
	p.idle = slices.Delete(p.idle, i, i+1)
	p.recordPeak()
	return c
}

// closeIdle closes the idle connections with indexes from i to j-1.
func (p *connPool) closeIdle(i, j int) {
	p.closeConns(p.idle[i:j])
	p.idle = slices.Delete(p.idle, i, j)
}

func (p *connPool) closeConns(conns []*conn) {
	for _, c := range conns {
		_ = c.net.Close()
		p.open--
	}
}

func (s *Sender) pool(address string) *connPool {
	p, ok := s.pools[address]
	if !ok {
		p = &connPool{}
		s.pools[address] = p
	}
	return p
}

// connect opens a connection. If it replaces another one, it ends that one first and takes over its place among the open ones.
func (s *Sender) connect(ctx context.Context, address string, timeout time.Duration, replaced *conn) (*conn, error) {
	if replaced != nil {
		replaced.end()
	}
	s.mu.Lock()
	p := s.pool(address)
	if replaced == nil {
		p.open++
		p.recordPeak()
	}
	s.dials++
	s.mu.Unlock()
	n, err := s.dialInTime(ctx, address, timeout)
	if err != nil {
		s.mu.Lock()
		s.pool(address).open--
		s.mu.Unlock()
		return nil, &Error{Cause: err}
	}
	head := receiver.NewHeadConn(n)
	return &conn{sender: s, address: address, local: n.LocalAddr().String(), net: n, head: head, reader: bufio.NewReaderSize(head, readBufferSize)}, nil
}

// dialInTime connects to a server within a timeout. If the timeout is noticed late, this process had to wait for a processor and the
// server may have accepted the connection in time, so dialInTime connects once more.
func (s *Sender) dialInTime(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	dial := func() (net.Conn, bool, error) {
		began := s.now()
		dialCtx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		n, err := s.dial(dialCtx, "tcp", address)
		return n, s.now().Sub(began) > timeout+maxTimeoutDelay, err
	}
	n, late, err := dial()
	if err != nil && late && ctx.Err() == nil {
		n, _, err = dial()
	}
	return n, err
}

// Retain closes the idle connections to all servers except those at the addresses in keep. Connections in use stay open.
func (s *Sender) Retain(keep map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, p := range s.pools {
		if keep[address] {
			continue
		}
		p.closeConns(p.idle)
		p.idle = nil
		if p.open == 0 {
			delete(s.pools, address)
		}
	}
}

// maxIdle returns how long the connection may be idle before it is no longer reused.
func (c *conn) maxIdle() time.Duration {
	keep := c.idleTimeout
	if keep == 0 {
		keep = defaultIdleTimeout
	}
	return time.Duration(float64(keep) * idleFraction)
}

// hasNoInput reports whether nothing has arrived on an idle connection. Unexpected bytes and the end of the connection both count
// as input. hasNoInput can check only TCP connections. For others it returns true unless bytes are buffered.
func (c *conn) hasNoInput() bool {
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
	noInput := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noInput = errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && noInput
}

// keep adds the connection to the pool's idle ones, or closes it if more connections than the limit are open.
func (c *conn) keep() {
	c.sender.mu.Lock()
	defer c.sender.mu.Unlock()
	c.idleSince = c.sender.now()
	p := c.sender.pool(c.address)
	if p.limit > 0 && p.open > p.limit {
		p.closeConns([]*conn{c})
		return
	}
	p.idle = append(p.idle, c)
}

// end closes a connection on which nothing is under way, and waits a while until the server has closed it too. A server that has not yet
// noticed the end may reset a connection that takes its place, because it has too many.
func (c *conn) end() {
	defer c.net.Close()
	tcp, ok := c.net.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil || tcp.SetReadDeadline(time.Now().Add(maxEndTime)) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, tcp, maxDiscardedBytes)
}

// discard closes a connection that is not in the pool's idle list.
func (c *conn) discard() {
	_ = c.net.Close()
	c.forget()
}

// forget no longer counts a connection that is not in the pool's idle list as open.
func (c *conn) forget() {
	c.sender.mu.Lock()
	defer c.sender.mu.Unlock()
	c.sender.pool(c.address).open--
}
