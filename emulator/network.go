package emulator

import (
	"context"
	"net"
	"sync"
	"time"
)

// Network emulates the network between processes that run in one test, with delays and partitions.
//
// A partition holds bytes back instead of dropping them, as a real network does until a connection times out, so that delayed
// messages arrive after the partition heals.
type Network struct {
	mu sync.Mutex
	// processes maps a listening address to its process.
	processes  map[string]string
	delay      func(from, to string) time.Duration
	partitions map[[2]string]bool
	// changed is closed and replaced whenever partitions change.
	changed chan struct{}
}

// NewNetwork returns a network without partitions. delay returns the one-way delay between two zones.
func NewNetwork(delay func(from, to string) time.Duration) *Network {
	return &Network{processes: map[string]string{}, delay: delay, partitions: map[[2]string]bool{}, changed: make(chan struct{})}
}

// RegisterAddress records which process listens on an address. Dialers need this, because delays and partitions are defined
// between processes.
func (n *Network) RegisterAddress(address, process string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.processes[address] = process
}

// Partition cuts the connections between two processes, or between a and all others if b is "*".
func (n *Network) Partition(a, b string) { n.setPartition(a, b, true) }

// Heal ends a partition. Its arguments must be those that Partition was called with.
func (n *Network) Heal(a, b string) { n.setPartition(a, b, false) }

func (n *Network) setPartition(a, b string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if partitioned {
		n.partitions[[2]string{a, b}] = true
	} else {
		delete(n.partitions, [2]string{a, b})
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

// partition reports whether two processes are partitioned, and returns a channel that is closed when any partition changes.
func (n *Network) partition(a, b string) (partitioned bool, changed chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	partitioned = n.partitions[[2]string{a, b}] || n.partitions[[2]string{b, a}] || n.partitions[[2]string{a, "*"}] || n.partitions[[2]string{b, "*"}]
	return partitioned, n.changed
}

// Dialer returns a dial function for a process in a zone. zoneOf returns the zone of a process. Dialing waits while the two
// processes are partitioned. The bytes of the connection are delayed, but the connection is opened without delay.
func (n *Network) Dialer(process, zone string, zoneOf func(process string) string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		n.mu.Lock()
		to := n.processes[address]
		n.mu.Unlock()
		if err := n.awaitHealed(ctx, process, to); err != nil {
			return nil, &net.OpError{Op: "dial", Net: network, Err: err}
		}
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newShapedConn(c, n, process, to, n.delay(zone, zoneOf(to))), nil
	}
}

// awaitHealed waits until two processes are not partitioned. It returns the error of ctx if ctx is done first.
func (n *Network) awaitHealed(ctx context.Context, a, b string) error {
	for {
		partitioned, changed := n.partition(a, b)
		if !partitioned {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// packet holds bytes and the earliest time at which they may be delivered.
type packet struct {
	data []byte
	due  time.Time
}

// shapedConn delays the bytes of one connection and holds them back during partitions, in each direction independently.
type shapedConn struct {
	net.Conn
	network *Network
	a, b    string
	delay   time.Duration
	out     chan packet
	in      chan packet
	unread  []byte // what Read has not returned yet of the current packet
	done    chan struct{}
	once    sync.Once
	readMu  sync.Mutex
	readErr error

	deadlineMu      sync.Mutex
	deadline        time.Time
	deadlineChanged chan struct{}
}

// shapedQueueLen is the number of packets that a connection queues in each direction.
const shapedQueueLen = 1024

func newShapedConn(c net.Conn, n *Network, a, b string, delay time.Duration) *shapedConn {
	s := &shapedConn{
		Conn: c, network: n, a: a, b: b, delay: delay,
		out: make(chan packet, shapedQueueLen), in: make(chan packet, shapedQueueLen),
		done: make(chan struct{}), deadlineChanged: make(chan struct{}),
	}
	go s.pumpOut()
	go s.pumpIn()
	return s
}

// awaitDelivery waits until a packet is due and no partition holds it back. It returns false if the connection is closed
// during a partition.
func (s *shapedConn) awaitDelivery(p packet) bool {
	if wait := time.Until(p.due); wait > 0 {
		time.Sleep(wait)
	}
	for {
		partitioned, changed := s.network.partition(s.a, s.b)
		if !partitioned {
			return true
		}
		select {
		case <-changed:
		case <-s.done:
			return false
		}
	}
}

// pumpOut writes queued packets to the connection when they are due.
func (s *shapedConn) pumpOut() {
	for {
		select {
		case <-s.done:
			return
		case p := <-s.out:
			if !s.awaitDelivery(p) {
				return
			}
			if _, err := s.Conn.Write(p.data); err != nil {
				_ = s.Close()
				return
			}
		}
	}
}

// pumpIn reads packets from the connection and queues them when they are due.
func (s *shapedConn) pumpIn() {
	defer close(s.in)
	for {
		buffer := make([]byte, 32<<10)
		n, err := s.Conn.Read(buffer)
		if n > 0 {
			p := packet{data: buffer[:n], due: time.Now().Add(s.delay)}
			if !s.awaitDelivery(p) {
				return
			}
			select {
			case s.in <- p:
			case <-s.done:
				return
			}
		}
		if err != nil {
			s.readErr = err
			// During a partition, the end of the connection must not be visible either.
			s.awaitDelivery(packet{due: time.Now().Add(s.delay)})
			return
		}
	}
}

// Write queues bytes for the peer. It blocks while the queue is full.
func (s *shapedConn) Write(b []byte) (int, error) {
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

// Read waits for bytes from the peer, the read deadline or the end of the connection.
func (s *shapedConn) Read(b []byte) (int, error) {
	s.readMu.Lock()
	defer s.readMu.Unlock()
	for len(s.unread) == 0 {
		timer, deadlineChanged := s.deadlineTimer()
		select {
		case p, ok := <-s.in:
			if !ok {
				if s.readErr != nil {
					return 0, s.readErr
				}
				return 0, net.ErrClosed
			}
			s.unread = p.data
		case <-s.done:
			return 0, net.ErrClosed
		case <-deadlineChanged:
		case <-timer:
			return 0, timeoutError{}
		}
	}
	n := copy(b, s.unread)
	s.unread = s.unread[n:]
	return n, nil
}

// deadlineTimer returns two channels. The first receives a value at the read deadline, and is nil if there is no deadline.
// The second is closed when the deadline changes.
func (s *shapedConn) deadlineTimer() (<-chan time.Time, chan struct{}) {
	s.deadlineMu.Lock()
	defer s.deadlineMu.Unlock()
	if s.deadline.IsZero() {
		return nil, s.deadlineChanged
	}
	return time.After(time.Until(s.deadline)), s.deadlineChanged
}

// SetReadDeadline sets the deadline for current and future reads.
func (s *shapedConn) SetReadDeadline(t time.Time) error {
	s.deadlineMu.Lock()
	defer s.deadlineMu.Unlock()
	s.deadline = t
	close(s.deadlineChanged)
	s.deadlineChanged = make(chan struct{})
	return nil
}

// SetDeadline sets only the read deadline, because writes only queue.
func (s *shapedConn) SetDeadline(t time.Time) error { return s.SetReadDeadline(t) }

// SetWriteDeadline has no effect, because writes only queue.
func (s *shapedConn) SetWriteDeadline(time.Time) error { return nil }

// Close closes the connection. Bytes that are still queued may be lost.
func (s *shapedConn) Close() error {
	s.once.Do(func() { close(s.done) })
	return s.Conn.Close()
}
