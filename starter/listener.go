package starter

import (
	"errors"
	"fmt"
	"net"
	"sync"

	"github.com/sirupsen/logrus"
)

// pausableListener is a listener that can be paused. While it is paused, its port is closed: a connection is refused at once,
// before the caller has sent any byte of a request, so the caller can use another router.
type pausableListener struct {
	log *logrus.Logger

	mu sync.Mutex
	// listener is nil while the pausableListener is paused or closed.
	listener net.Listener
	address  net.Addr
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
	return p.pause()
}

// Pause closes the port, so that new connections are refused until Resume is called. Connections that have been accepted stay
// open.
func (p *pausableListener) Pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
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
