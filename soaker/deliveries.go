package soaker

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"
)

// callerConn identifies a connection of a caller by the addresses of its ends, because several may have the same local address.
type callerConn struct {
	local, remote string
}

// newCallerConn returns the connection between two addresses.
func newCallerConn(local, remote net.Addr) callerConn {
	return callerConn{local.String(), remote.String()}
}

// deliveries records when bytes of callers were passed to the kernels of routers. A router can't count the time that callers and
// proxies of the soak need until then.
type deliveries struct {
	mu  sync.Mutex
	all map[callerConn][]time.Time
}

// record records that bytes from a caller's connection are passed to a router now.
func (d *deliveries) record(c callerConn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.all == nil {
		d.all = map[callerConn][]time.Time{}
	}
	d.all[c] = append(d.all[c], time.Now())
}

// firstSince returns when the first bytes from a caller's connection since a time were passed to a router, and false if none were.
func (d *deliveries) firstSince(c callerConn, since time.Time) (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	times := d.all[c]
	i := slices.IndexFunc(times, func(t time.Time) bool { return !t.Before(since) })
	if i < 0 {
		return time.Time{}, false
	}
	return times[i], true
}

// deliveringConn is a caller's connection to a router without a proxy.
type deliveringConn struct {
	net.Conn
	deliveries *deliveries
}

// Write implements net.Conn.
func (c deliveringConn) Write(b []byte) (int, error) {
	c.deliveries.record(newCallerConn(c.LocalAddr(), c.RemoteAddr()))
	return c.Conn.Write(b)
}

// dial opens a caller's connection to an address, which records its deliveries if no proxy does.
func (s *soakRun) dial(ctx context.Context, d *net.Dialer, network, address string) (net.Conn, error) {
	c, err := d.DialContext(ctx, network, address)
	isDirect := slices.ContainsFunc(s.processes, func(p *process) bool { return p.settings.CallerAddress == address })
	if err != nil || !isDirect {
		return c, err
	}
	return deliveringConn{Conn: c, deliveries: &s.deliveries}, nil
}

// deliveredAt returns when the first bytes of a request were passed to its router, or when the request was sent if that is not known.
func (s *soakRun) deliveredAt(q *request) time.Time {
	if at, ok := s.deliveries.firstSince(q.conn, q.sentAt); ok {
		return at
	}
	return q.sentAt
}
