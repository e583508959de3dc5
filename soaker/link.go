package soaker

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// chunkBytes is what a link reads at once: a few packets, so that a slow link passes bytes on evenly.
	chunkBytes = 16 << 10
	// cutPause separates two looks at whether a cut has ended.
	cutPause = 5 * time.Millisecond
)

// condition is what is wrong with a link; the zero value is a good one.
type condition struct {
	// cut holds all bytes back until the link is whole again, delay each chunk of them.
	cut   bool
	delay time.Duration
	// rate bounds the bytes a second in each direction; zero is no bound.
	rate float64
}

// link is a TCP proxy between a loopback listener and one target.
type link struct {
	net.Listener
	target string
	base   condition

	mu    sync.Mutex
	now   condition
	conns map[*net.TCPConn]bool
	// free is when each direction has sent what it was given.
	free [2]time.Time
}

func newLink(target string, base condition) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{Listener: listener, target: target, base: base, now: base, conns: map[*net.TCPConn]bool{}}
	go l.accept()
	return l, nil
}

// apply puts the link into a condition for a time; a later one takes its place.
func (l *link) apply(c condition, d time.Duration) {
	l.set(c)
	time.Sleep(d)
	l.set(l.base)
}

func (l *link) set(c condition) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.now = c
}

// reset ends all connections as a broken machine would.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		abort(c)
	}
}

// abort resets a connection.
func abort(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

func (l *link) accept() {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go l.connect(c.(*net.TCPConn))
	}
}

func (l *link) connect(near *net.TCPConn) {
	conn, err := net.Dial("tcp", l.target)
	if err != nil {
		abort(near)
		return
	}
	far := conn.(*net.TCPConn)
	l.mu.Lock()
	l.conns[near], l.conns[far] = true, true
	l.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { l.forward(0, far, near) })
	wg.Go(func() { l.forward(1, near, far) })
	wg.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range []*net.TCPConn{near, far} {
		_ = c.Close()
		delete(l.conns, c)
	}
}

// forward passes one direction on until it ends, and then the kind of its end.
func (l *link) forward(direction int, to, from *net.TCPConn) {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buffer)
		l.hold(direction, n)
		if _, failed := to.Write(buffer[:n]); failed != nil {
			abort(from)
			return
		}
		if errors.Is(err, io.EOF) {
			_ = to.CloseWrite()
			return
		}
		if err != nil {
			abort(to)
			return
		}
	}
}

// hold returns when the link lets so many bytes through.
func (l *link) hold(direction, bytes int) {
	due := time.Now()
	l.mu.Lock()
	for l.now.cut {
		l.mu.Unlock()
		time.Sleep(cutPause)
		l.mu.Lock()
	}
	if l.now.rate > 0 {
		if l.free[direction].After(due) {
			due = l.free[direction]
		}
		due = due.Add(time.Duration(float64(bytes) / l.now.rate * float64(time.Second)))
		l.free[direction] = due
	}
	due = due.Add(l.now.delay)
	l.mu.Unlock()
	time.Sleep(time.Until(due))
}
