package emulator

import (
	"io"
	"net"
	"sync"
	"time"
)

// linkPiece is what a link carries for one connection before it turns to the next, 8 KB.
const linkPiece = 8 << 10

// BandwidthProxy is the network interface of one machine: what arrives on all of its connections shares one rate.
type BandwidthProxy struct {
	rate int64

	mu        sync.Mutex
	free      time.Time
	carried   int64
	listeners []net.Listener
	conns     map[net.Conn]bool
	closed    bool
	wg        sync.WaitGroup
}

// NewBandwidthProxy returns a link that lets in so many bytes a second.
func NewBandwidthProxy(rate int64) *BandwidthProxy {
	return &BandwidthProxy{rate: rate, conns: map[net.Conn]bool{}}
}

// AddTarget opens an address behind which a target (host and port) is reached through the link; it fails with the listener's error.
func (l *BandwidthProxy) AddTarget(target string) (string, error) {
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

// ReceivedBytes returns how many bytes the link has let in.
func (l *BandwidthProxy) ReceivedBytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.carried
}

// Close ends the link and everything on it.
func (l *BandwidthProxy) Close() {
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

func (l *BandwidthProxy) accept(listener net.Listener, target string) {
	for {
		near, err := listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", target)
		if err != nil {
			near.Close()
			continue
		}
		if !l.keep(near, far) {
			return
		}
		l.wg.Go(func() {
			// Whichever side ends first ends both; the reason is of no use to either.
			_, _ = io.Copy(far, near)
			l.drop(near, far)
		})
		l.wg.Go(func() {
			l.carry(near, far)
			l.drop(near, far)
		})
	}
}

func (l *BandwidthProxy) keep(conns ...net.Conn) bool {
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

func (l *BandwidthProxy) drop(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		c.Close()
		delete(l.conns, c)
	}
}

// carry moves what arrives, a piece at a time, each when the link is free for it.
func (l *BandwidthProxy) carry(near io.Writer, far io.Reader) {
	piece := make([]byte, linkPiece)
	for {
		n, err := far.Read(piece)
		if n > 0 {
			time.Sleep(time.Until(l.reserve(n)))
			if _, err := near.Write(piece[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// reserve returns when the link will have let so many bytes in.
func (l *BandwidthProxy) reserve(n int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(int64(n) * int64(time.Second) / l.rate))
	l.carried += int64(n)
	return l.free
}
