package emulator

import (
	"io"
	"net"
	"sync"
	"time"
)

// chunkBytes is what a link carries for one connection before it turns to the next, 8 KB.
const chunkBytes = 8 << 10

// Link is the network interface of one machine: what arrives on all of its connections shares one rate.
type Link struct {
	bytesPerSecond int64

	mu            sync.Mutex
	nextFree      time.Time
	receivedBytes int64
	listeners     []net.Listener
	conns         map[net.Conn]bool
	closed        bool
	wg            sync.WaitGroup
}

// NewLink returns a link that lets in so many bytes a second.
func NewLink(rate int64) *Link { return &Link{bytesPerSecond: rate, conns: map[net.Conn]bool{}} }

// To opens an address behind which a target (host and port) is reached through the link; it fails with the listener's error.
func (l *Link) To(target string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	l.mu.Lock()
	l.listeners = append(l.listeners, listener)
	l.mu.Unlock()
	l.wg.Go(func() { l.accept(listener, target) })
	return listener.Addr().String(), nil
}

// Carried returns how many bytes the link has let in.
func (l *Link) Carried() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.receivedBytes
}

// Close ends the link and everything on it.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	for _, listener := range l.listeners {
		listener.Close()
	}
	for c := range l.conns {
		c.Close()
	}
	l.mu.Unlock()
	l.wg.Wait()
}

func (l *Link) accept(listener net.Listener, target string) {
	for {
		caller, err := listener.Accept()
		if err != nil {
			return
		}
		upstream, err := net.Dial("tcp", target)
		if err != nil {
			caller.Close()
			continue
		}
		if !l.track(caller, upstream) {
			return
		}
		l.wg.Go(func() {
			// Whichever side ends first ends both; the reason is of no use to either.
			_, _ = io.Copy(upstream, caller)
			l.closeConns(caller, upstream)
		})
		l.wg.Go(func() {
			l.copyLimited(caller, upstream)
			l.closeConns(caller, upstream)
		})
	}
}

func (l *Link) track(conns ...net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		if l.closed {
			c.Close()
			continue
		}
		l.conns[c] = true
	}
	return !l.closed
}

func (l *Link) closeConns(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		c.Close()
		delete(l.conns, c)
	}
}

// copyLimited moves what arrives, a piece at a time, each when the link is free for it.
func (l *Link) copyLimited(caller io.Writer, upstream io.Reader) {
	chunk := make([]byte, chunkBytes)
	for {
		n, err := upstream.Read(chunk)
		if n > 0 {
			time.Sleep(time.Until(l.reserve(n)))
			if _, err := caller.Write(chunk[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// reserve returns when the link will have let so many bytes in.
func (l *Link) reserve(n int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.nextFree.Before(now) {
		l.nextFree = now
	}
	l.nextFree = l.nextFree.Add(time.Duration(int64(n) * int64(time.Second) / l.bytesPerSecond))
	l.receivedBytes += int64(n)
	return l.nextFree
}
