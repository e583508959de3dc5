package emulator

import (
	"context"
	"net"
	"sync"
	"time"
)

// Network carries the connections of processes that run in one test, with delays, cuts and freezes.
//
// A cut holds bytes back rather than dropping them, as a real network does
// until a connection times out, so that late messages arrive after it heals.
type Network struct {
	mu     sync.Mutex
	places map[string]string
	delay  func(from, to string) time.Duration
	cut    map[[2]string]bool
	change chan struct{}
}

// NewNetwork returns a network without faults; delay gives the one-way time between two zones.
func NewNetwork(delay func(from, to string) time.Duration) *Network {
	return &Network{places: map[string]string{}, delay: delay, cut: map[[2]string]bool{}, change: make(chan struct{})}
}

// RegisterAddress says which process listens on an address; faults name processes.
func (n *Network) RegisterAddress(address, process string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.places[address] = process
}

// Partition holds back everything between two processes, or between one and all when b is "*".
func (n *Network) Partition(a, b string) { n.set(a, b, true) }

// Heal ends a cut.
func (n *Network) Heal(a, b string) { n.set(a, b, false) }

func (n *Network) set(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if cut {
		n.cut[[2]string{a, b}] = true
	} else {
		delete(n.cut, [2]string{a, b})
	}
	close(n.change)
	n.change = make(chan struct{})
}

func (n *Network) state(a, b string) (cut bool, change chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	cut = n.cut[[2]string{a, b}] || n.cut[[2]string{b, a}] || n.cut[[2]string{a, "*"}] || n.cut[[2]string{b, "*"}]
	return cut, n.change
}

// Dialer returns a dial function for a process in a zone; zoneOf tells the zone of a process.
func (n *Network) Dialer(process, zone string, zoneOf func(process string) string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		n.mu.Lock()
		to := n.places[address]
		n.mu.Unlock()
		if err := n.open(ctx, process, to); err != nil {
			return nil, &net.OpError{Op: "dial", Net: network, Err: err}
		}
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newShaped(c, n, process, to, n.delay(zone, zoneOf(to))), nil
	}
}

// open waits until two processes are not cut.
func (n *Network) open(ctx context.Context, a, b string) error {
	for {
		cut, change := n.state(a, b)
		if !cut {
			return nil
		}
		select {
		case <-change:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

type packet struct {
	data []byte
	due  time.Time
}

// shaped delays and holds back the bytes of one connection, each way by itself.
type shaped struct {
	net.Conn
	network *Network
	a, b    string
	delay   time.Duration
	out     chan packet
	in      chan packet
	rest    []byte
	done    chan struct{}
	once    sync.Once
	readMu  sync.Mutex
	readEnd error

	deadlineMu sync.Mutex
	deadline   time.Time
	moved      chan struct{}
}

const shapedQueue = 1024

func newShaped(c net.Conn, n *Network, a, b string, delay time.Duration) *shaped {
	s := &shaped{
		Conn: c, network: n, a: a, b: b, delay: delay,
		out: make(chan packet, shapedQueue), in: make(chan packet, shapedQueue),
		done: make(chan struct{}), moved: make(chan struct{}),
	}
	go s.pumpOut()
	go s.pumpIn()
	return s
}

// pass waits for a packet's time and for cuts to end; it reports false once the connection is closed.
func (s *shaped) pass(p packet) bool {
	if wait := time.Until(p.due); wait > 0 {
		time.Sleep(wait)
	}
	for {
		cut, change := s.network.state(s.a, s.b)
		if !cut {
			return true
		}
		select {
		case <-change:
		case <-s.done:
			return false
		}
	}
}

func (s *shaped) pumpOut() {
	for {
		select {
		case <-s.done:
			return
		case p := <-s.out:
			if !s.pass(p) {
				return
			}
			if _, err := s.Conn.Write(p.data); err != nil {
				_ = s.Close()
				return
			}
		}
	}
}

func (s *shaped) pumpIn() {
	defer close(s.in)
	for {
		buffer := make([]byte, 32<<10)
		n, err := s.Conn.Read(buffer)
		if n > 0 {
			p := packet{data: buffer[:n], due: time.Now().Add(s.delay)}
			if !s.pass(p) {
				return
			}
			select {
			case s.in <- p:
			case <-s.done:
				return
			}
		}
		if err != nil {
			s.readEnd = err
			// A peer's end is not seen through a cut either.
			s.pass(packet{due: time.Now().Add(s.delay)})
			return
		}
	}
}

// Write queues bytes for the far end.
func (s *shaped) Write(b []byte) (int, error) {
	p := packet{data: append([]byte(nil), b...), due: time.Now().Add(s.delay)}
	select {
	case <-s.done:
		return 0, net.ErrClosed
	case s.out <- p:
		return len(b), nil
	}
}

type timeoutError struct{}

func (timeoutError) Error() string   { return "i/o timeout" }
func (timeoutError) Timeout() bool   { return true }
func (timeoutError) Temporary() bool { return true }

// Read returns bytes that have arrived.
func (s *shaped) Read(b []byte) (int, error) {
	s.readMu.Lock()
	defer s.readMu.Unlock()
	for len(s.rest) == 0 {
		timer, moved := s.timer()
		select {
		case p, ok := <-s.in:
			if !ok {
				if s.readEnd != nil {
					return 0, s.readEnd
				}
				return 0, net.ErrClosed
			}
			s.rest = p.data
		case <-s.done:
			return 0, net.ErrClosed
		case <-moved:
		case <-timer:
			return 0, timeoutError{}
		}
	}
	n := copy(b, s.rest)
	s.rest = s.rest[n:]
	return n, nil
}

func (s *shaped) timer() (<-chan time.Time, chan struct{}) {
	s.deadlineMu.Lock()
	defer s.deadlineMu.Unlock()
	if s.deadline.IsZero() {
		return nil, s.moved
	}
	return time.After(time.Until(s.deadline)), s.moved
}

// SetReadDeadline bounds the next reads.
func (s *shaped) SetReadDeadline(t time.Time) error {
	s.deadlineMu.Lock()
	defer s.deadlineMu.Unlock()
	s.deadline = t
	close(s.moved)
	s.moved = make(chan struct{})
	return nil
}

// SetDeadline bounds the next reads; writes only queue.
func (s *shaped) SetDeadline(t time.Time) error { return s.SetReadDeadline(t) }

// SetWriteDeadline has no effect, because writes only queue.
func (s *shaped) SetWriteDeadline(time.Time) error { return nil }

// Close ends the connection.
func (s *shaped) Close() error {
	s.once.Do(func() { close(s.done) })
	return s.Conn.Close()
}
