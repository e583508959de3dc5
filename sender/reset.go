package sender

import "net"

// reset ends a connection whose request is given up. A reset reaches the server at once and cannot be mistaken: the usual end of a
// connection queues behind the rest of a body, which the server would then run, and may be taken for that of the sending side only.
func (c *conn) reset() {
	if tcp, ok := c.net.(*net.TCPConn); ok {
		// If the option cannot be set, the connection is closed in the usual way.
		_ = tcp.SetLinger(0)
	}
	_ = c.net.Close()
}

// fail resets the connection because of an error, which Send returns.
func (c *conn) fail(err error) {
	c.failure.Store(&err)
	c.reset()
}
