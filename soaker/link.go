package soaker

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// chunkBytes is what a link reads at once: a few packets, so that a slow link passes bytes on evenly.
	chunkBytes = 16 << 10
	// cutPollInterval separates two looks at whether a cut has ended.
	cutPollInterval = 5 * time.Millisecond
)

// condition is what is wrong with a link: a cut holds all bytes back, delay each chunk of them, and rate bounds the bytes
// a second in each direction unless it is zero.
type condition struct {
	cut   bool
	delay time.Duration
	rate  float64
}

// proxy is a TCP proxy between a loopback listener and one target.
type proxy struct {
	net.Listener
	target  string
	usual   condition
	current atomic.Pointer[condition]

	mu     sync.Mutex
	conns  []*net.TCPConn
	freeAt [2]time.Time // when each direction has sent what it was given
}

func newProxy(target string, c condition) *proxy {
	l := &proxy{Listener: listen(), target: target, usual: c}
	l.current.Store(&c)
	go l.accept()
	return l
}

// listen opens a loopback port; that there is none stops everything, as in httptest.
func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return l
}

// reset ends all connections as a broken machine would.
func (l *proxy) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

func (l *proxy) accept() {
	for {
		near, err := l.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", l.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		go l.relay(near.(*net.TCPConn), far.(*net.TCPConn))
	}
}

// relay passes bytes both ways until both have ended.
func (l *proxy) relay(near, far *net.TCPConn) {
	l.mu.Lock()
	l.conns = append(l.conns, near, far)
	l.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { l.forward(0, far, near) })
	wg.Go(func() { l.forward(1, near, far) })
	wg.Wait()
	_, _ = near.Close(), far.Close()
}

// forward passes one direction on; however one end has ended, the other one sees that no more comes.
func (l *proxy) forward(direction int, to, from *net.TCPConn) {
	defer to.CloseWrite()
	buffer := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buffer)
		time.Sleep(time.Until(l.waitTurn(direction, n)))
		if _, failed := to.Write(buffer[:n]); err != nil || failed != nil {
			return
		}
	}
}

// waitTurn waits for the end of a cut and returns when so many bytes of a direction may pass.
func (l *proxy) waitTurn(direction, n int) time.Time {
	c := l.current.Load()
	for ; c.cut; c = l.current.Load() {
		time.Sleep(cutPollInterval)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	due := time.Now()
	if c.rate > 0 {
		if l.freeAt[direction].After(due) {
			due = l.freeAt[direction]
		}
		due = due.Add(time.Duration(float64(n) / c.rate * float64(time.Second)))
		l.freeAt[direction] = due
	}
	return due.Add(c.delay)
}
