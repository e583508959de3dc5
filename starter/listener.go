package starter

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/sirupsen/logrus"
)

// pausableListener is a listener that can be paused. While it is paused, its port is closed: a connection is refused at once,
// before the caller has sent any byte of a request, so the caller can use another router.
type pausableListener struct {
	log *logrus.Logger

	mu sync.Mutex
	// listener is nil while the pausableListener is paused or closed. established holds the connections that were established but
	// not accepted when it was paused.
	listener    net.Listener
	established []net.Conn
	address     net.Addr
	// changed is closed and replaced whenever listener or closed changes.
	changed chan struct{}
	closed  bool
}

var _ net.Listener = (*pausableListener)(nil)

func newPausableListener(l net.Listener, log *logrus.Logger) *pausableListener {
	return &pausableListener{log: log, listener: l, address: l.Addr(), changed: make(chan struct{})}
}

// Accept waits for the next connection and returns it. While the listener is paused, it waits until it is resumed or closed.
func (p *pausableListener) Accept() (net.Conn, error) {
	for {
		l, changed, closed := p.state()
		if closed {
			return nil, net.ErrClosed
		}
		if conn := p.takeEstablished(); conn != nil {
			return conn, nil
		}
		if l == nil {
			<-changed
			continue
		}
		conn, err := l.Accept()
		if err != nil && errors.Is(err, net.ErrClosed) {
			// The listener was paused or closed.
			continue
		}
		return conn, err
	}
}

// takeEstablished returns a connection that was established before a pause, or nil if there is none.
func (p *pausableListener) takeEstablished() net.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.established) == 0 {
		return nil
	}
	conn := p.established[0]
	p.established = p.established[1:]
	return conn
}

// state returns the fields listener, changed and closed.
func (p *pausableListener) state() (l net.Listener, changed chan struct{}, closed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listener, p.changed, p.closed
}

// Addr returns the address, also while the listener is paused.
func (p *pausableListener) Addr() net.Addr { return p.address }

// Close closes the listener. It can't be resumed afterwards.
func (p *pausableListener) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.established {
		_ = c.Close()
	}
	p.established = nil
	return p.pause()
}

// Pause closes the port, so that new connections are refused until Resume is called. Connections that have been established stay
// open: the caller may have sent a request on them.
func (p *pausableListener) Pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		p.established = append(p.established, acceptEstablished(p.listener)...)
	}
	if err := p.pause(); err != nil {
		p.log.WithFields(logrus.Fields{"event": "listener", "error": err}).Error("failed to close the listener")
	}
}

// pause closes the port. The caller must hold p.mu.
func (p *pausableListener) pause() error {
	l := p.listener
	p.listener = nil
	p.notify()
	if l == nil {
		return nil
	}
	if err := l.Close(); err != nil {
		return fmt.Errorf("closing the listener at %s: %w", p.address, err)
	}
	return nil
}

// Resume accepts connections again. It returns false if the port can't be opened now. It does nothing and returns true if the
// listener isn't paused or has been closed.
func (p *pausableListener) Resume() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.listener != nil {
		return true
	}
	l, err := Listen(p.address.String())
	if err != nil {
		p.log.WithFields(logrus.Fields{"event": "listener", "error": err}).Error("failed to reopen the listener")
		return false
	}
	p.listener = l
	p.notify()
	return true
}

// notify wakes the goroutines that wait for a change. The caller must hold p.mu.
func (p *pausableListener) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// maxEstablished is the maximum number of connections that acceptEstablished accepts.
const maxEstablished = 512

// acceptEstablished accepts the connections that wait in the kernel, without waiting for further ones. The kernel would reset them
// when the listener is closed. It returns none if the listener is not a TCP listener.
func acceptEstablished(l net.Listener) []net.Conn {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil
	}
	var conns []net.Conn
	// An error means that the listener is closed already.
	_ = raw.Control(func(listener uintptr) {
		for range maxEstablished {
			fd, _, err := syscall.Accept4(int(listener), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			if err == syscall.EINTR || err == syscall.ECONNABORTED {
				continue
			}
			if err != nil {
				return
			}
			file := os.NewFile(uintptr(fd), "caller")
			if conn, err := net.FileConn(file); err == nil {
				conns = append(conns, conn)
			}
			_ = file.Close()
		}
	})
	return conns
}
