package emulator

import (
	"io"
	"net"
	"sync"
	"time"
)

// chunkBytes is the maximum number of bytes that one connection receives before others get their turn.
const chunkBytes = 8 << 10

// BandwidthProxy is a TCP proxy that emulates the network interface of one machine: the bytes that arrive on all of its
// connections share one bandwidth limit. Bytes that leave the machine are not limited.
type BandwidthProxy struct {
	bytesPerSecond int64

	mu            sync.Mutex
	nextFree      time.Time // when all bytes for which bandwidth has been reserved will have arrived
	receivedBytes int64
	listeners     []net.Listener
	conns         map[net.Conn]bool
	closed        bool
	wg            sync.WaitGroup
}

// NewBandwidthProxy returns a proxy without targets. The machine that it emulates receives at most rate bytes per second.
func NewBandwidthProxy(rate int64) *BandwidthProxy {
	return &BandwidthProxy{bytesPerSecond: rate, conns: map[net.Conn]bool{}}
}

// AddTarget opens a loopback address that forwards to target (host and port), and returns the address. It fails if it cannot
// listen.
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

// ReceivedBytes returns the number of bytes received from all targets, including those that have not been passed on yet
// because they wait for bandwidth.
func (l *BandwidthProxy) ReceivedBytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.receivedBytes
}

// Close closes all listeners and connections and waits for their goroutines.
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
			// Whichever side ends first closes both connections. Neither side needs the error.
			_, _ = io.Copy(upstream, caller)
			l.closeConns(caller, upstream)
		})
		l.wg.Go(func() {
			l.copyLimited(caller, upstream)
			l.closeConns(caller, upstream)
		})
	}
}

// track records connections, so that Close closes them. If the proxy is already closed, it closes them and returns false.
func (l *BandwidthProxy) track(conns ...net.Conn) bool {
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

func (l *BandwidthProxy) closeConns(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		c.Close()
		delete(l.conns, c)
	}
}

// copyLimited copies from upstream to caller in chunks and delays each one to keep the bandwidth limit.
func (l *BandwidthProxy) copyLimited(caller io.Writer, upstream io.Reader) {
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

// reserve reserves bandwidth for n bytes and returns the time at which the last of them has arrived.
func (l *BandwidthProxy) reserve(n int) time.Time {
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
