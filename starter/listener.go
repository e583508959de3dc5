package starter

import (
	"errors"
	"fmt"
	"net"
	"sync"

	"github.com/sirupsen/logrus"
)

// pausableListener is a listener that can be paused. While it is paused, a connection is refused at once, before a byte of a
// request has come, and its caller goes to another router.
type pausableListener struct {
	log *logrus.Logger

	mu sync.Mutex
	// listener is nil while it is paused.
	listener net.Listener
	address  net.Addr
	// changed is closed with each change.
	changed chan struct{}
	closed  bool
}

var _ net.Listener = (*pausableListener)(nil)

func newPausableListener(l net.Listener, log *logrus.Logger) *pausableListener {
	return &pausableListener{log: log, listener: l, address: l.Addr(), changed: make(chan struct{})}
}

// Accept returns the next connection, once it takes connections.
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
			// It was paused, or closed for good.
			continue
		}
		return conn, err
	}
}

func (p *pausableListener) state() (l net.Listener, changed chan struct{}, closed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listener, p.changed, p.closed
}

// Addr returns the address, also while it is paused.
func (p *pausableListener) Addr() net.Addr { return p.address }

// Close ends it for good.
func (p *pausableListener) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	return p.pause()
}

// Pause refuses connections from now on.
func (p *pausableListener) Pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.pause(); err != nil {
		p.log.WithFields(logrus.Fields{"event": "listener", "error": err}).Error("the listener cannot be closed")
	}
}

// pause closes the listener; the caller holds the lock.
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

// Resume takes connections again; it returns false when the address cannot be had now.
func (p *pausableListener) Resume() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.listener != nil {
		return true
	}
	l, err := Listen(p.address.String())
	if err != nil {
		p.log.WithFields(logrus.Fields{"event": "listener", "error": err}).Error("the listener cannot be opened again")
		return false
	}
	p.listener = l
	p.notify()
	return true
}

// notify wakes those that wait for a change; the caller holds the lock.
func (p *pausableListener) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}
