package inspector

import (
	"context"
	"errors"
	"net"
	"os"
	"time"
)

// settleTime is how long CheckServing waits for the kernel of a server that is ending: it closes the listener and the connections one
// after the other, and resets what it had accepted in between.
const settleTime = 10 * time.Millisecond

// CheckServing returns nil if the server at an address accepts a connection and does not end it at once, and otherwise the error of the
// last attempt to connect. It tells an answer that ended with its connection from one whose server was killed.
func CheckServing(ctx context.Context, dial func(ctx context.Context, network, address string) (net.Conn, error), address string) error {
	c, err := dial(ctx, "tcp", address)
	if err == nil && isClosedWithin(c, settleTime) {
		// The server is ending, or it has too many connections.
		_ = c.Close()
		c, err = dial(ctx, "tcp", address)
	}
	if err != nil {
		return err
	}
	_ = c.Close()
	return nil
}

// isClosedWithin reports whether the other side ends a connection within a time. A process that had to wait for a processor may find the
// time over before it has read; the kernel still knows.
func isClosedWithin(c net.Conn, d time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(d))
	_, err := c.Read(make([]byte, 1))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		i, ok := Inspect(c)
		return ok && i.PeerClosed
	}
	return err != nil
}
