package sender

import (
	"fmt"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/masticway/masticway/inspector"
)

// UnacknowledgedError reports that a server's machine has not acknowledged what was sent to it. It has no power, or a network path has
// failed.
type UnacknowledgedError struct {
	// SinceAck is the time since the machine last acknowledged anything.
	SinceAck time.Duration
}

// Error describes for how long nothing was acknowledged.
func (e *UnacknowledgedError) Error() string {
	return fmt.Sprintf("nothing was acknowledged for %d ms", e.SinceAck.Milliseconds())
}

// ackWatch resets a connection if sent bytes stay unacknowledged for longer than a timeout. A kernel acknowledges them even if its server
// process is busy. The kernel's own timeout (see setAckTimeout) is only used as long as it is not known that the kernel tells when it got
// acknowledgements: it neither tells the server, which works on, nor spares a server that reads slowly.
type ackWatch struct {
	conn    *conn
	timeout time.Duration
	// began is when the watch began, after the request or its first part was written.
	began time.Time

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// watchAcks watches a connection until stop is called. It does nothing if the timeout is zero.
func watchAcks(c *conn, timeout time.Duration) *ackWatch {
	w := &ackWatch{conn: c, timeout: timeout, began: time.Now()}
	if timeout > 0 {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.timer = time.AfterFunc(timeout/2, w.check)
	}
	return w
}

// check resets the connection or sets the timer for the next check.
func (w *ackWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	i, ok := inspector.InspectSending(w.conn.net)
	if w.stopped || !ok || i.SinceAck == 0 && !w.conn.sender.reportsAcks.Load() {
		return
	}
	w.conn.sender.reportsAcks.Store(true)
	w.conn.setAckTimeout(0)
	next := w.timeout / 2
	if i.IsUnacknowledged {
		// The last acknowledgement may have been that of an earlier request.
		waited := min(i.SinceAck, time.Since(w.began))
		if waited >= w.timeout {
			w.conn.fail(&UnacknowledgedError{SinceAck: waited})
			return
		}
		next = min(next, w.timeout-waited)
	}
	w.timer.Reset(next)
}

// stop ends the watch. The connection is not reset afterwards.
func (w *ackWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// setAckTimeout sets how long sent bytes may stay unacknowledged or, because the server does not read, unsent until the kernel drops the
// connection. The kernel tells the server nothing then.
func (c *conn) setAckTimeout(timeout time.Duration) {
	tcp, ok := c.net.(*net.TCPConn)
	if !ok || timeout == c.ackTimeout {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	c.ackTimeout = timeout
	// If the option cannot be set, only the request's own deadline applies.
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
}
