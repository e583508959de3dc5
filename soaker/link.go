package soaker

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// chunkBytes is the largest number of bytes that a proxy forwards at once. It is small, so that a slow proxy forwards
	// evenly.
	chunkBytes = 16 << 10
	// cutPollInterval is the time between two checks whether a cut has ended.
	cutPollInterval = 5 * time.Millisecond
)

// The directions in which a proxy forwards.
const (
	toTarget = iota
	fromTarget
)

// condition is how a proxy impairs its traffic. cut holds back all bytes, and delay delays each chunk. rate limits the bytes
// per second in each direction, of all connections together; zero means no limit.
type condition struct {
	cut   bool
	delay time.Duration
	rate  float64
}

// proxy is a TCP proxy between a loopback listener and one target.
type proxy struct {
	net.Listener
	target  string
	usual   condition // the condition while no fault impairs the proxy
	current atomic.Pointer[condition]
	// silences is how often silence was called.
	silences atomic.Int64
	// deliveries records what is forwarded to the target. It is nil if that is not recorded.
	deliveries *deliveries

	mu     sync.Mutex
	conns  []*net.TCPConn // both ends of all connections, including closed ones
	freeAt [2]time.Time   // when the rate allows each direction its next bytes
}

// newProxy starts a proxy to a target. It records deliveries in d unless d is nil.
func newProxy(target string, c condition, d *deliveries) *proxy {
	p := &proxy{Listener: listen(), target: target, usual: c, deliveries: d}
	p.current.Store(&c)
	go p.accept()
	return p
}

// listen listens on a free loopback port. It panics if there is none, as httptest does.
func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return l
}

// reset ends all connections with a TCP reset at both ends.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		resetConn(c)
	}
}

// resetConn ends a connection with a TCP reset.
func resetConn(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// silence makes all open connections silent for good: what either end sends is lost, though it is acknowledged. New connections
// work.
func (p *proxy) silence() { p.silences.Add(1) }

func (p *proxy) accept() {
	for {
		near, err := p.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		go p.relay(near.(*net.TCPConn), far.(*net.TCPConn))
	}
}

// relay forwards bytes in both directions. When both directions have ended, it closes both connections.
func (p *proxy) relay(near, far *net.TCPConn) {
	p.mu.Lock()
	p.conns = append(p.conns, near, far)
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.forward(toTarget, far, near) })
	wg.Go(func() { p.forward(fromTarget, near, far) })
	wg.Wait()
	_, _ = near.Close(), far.Close()
}

// forward forwards bytes in one direction until reading or writing fails. It then closes the write side of to, or resets to if from was
// reset: the other end may conclude from a reset that something was not read.
func (p *proxy) forward(direction int, to, from *net.TCPConn) {
	defer to.CloseWrite()
	buffer := make([]byte, chunkBytes)
	silences := p.silences.Load()
	for {
		n, err := from.Read(buffer)
		if errors.Is(err, syscall.ECONNRESET) {
			resetConn(to)
			return
		}
		if err == nil && p.silences.Load() != silences {
			continue
		}
		time.Sleep(time.Until(p.waitTurn(direction, n)))
		if direction == toTarget && n > 0 && p.deliveries != nil {
			p.deliveries.record(newCallerConn(from.RemoteAddr(), from.LocalAddr()))
		}
		if _, failed := to.Write(buffer[:n]); err != nil || failed != nil {
			return
		}
	}
}

// waitTurn waits for the end of a cut and returns the time at which n bytes of a direction may be forwarded.
func (p *proxy) waitTurn(direction, n int) time.Time {
	c := p.current.Load()
	for ; c.cut; c = p.current.Load() {
		time.Sleep(cutPollInterval)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	due := time.Now()
	if c.rate > 0 {
		if p.freeAt[direction].After(due) {
			due = p.freeAt[direction]
		}
		due = due.Add(time.Duration(float64(n) / c.rate * float64(time.Second)))
		p.freeAt[direction] = due
	}
	return due.Add(c.delay)
}
