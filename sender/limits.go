package sender

// LimitConnections closes the idle connections to the servers at the given addresses that exceed the limits, the longest idle first.
// From then on, a connection that becomes idle while more than the limit are open is closed too. The limits of earlier calls end for
// all addresses that are not given. Connections in use stay open.
func (s *Sender) LimitConnections(limits map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, p := range s.pools {
		p.limit = limits[address]
		if surplus := min(p.open-p.limit, len(p.idle)); p.limit > 0 && surplus > 0 {
			p.closeIdle(0, surplus)
		}
	}
}

// TakeUse returns the greatest number of connections to an address that were in use at the same time since the last call, and the
// number of calls of Send that failed with ConnectionLimitError. Connections that are being established are in use.
func (s *Sender) TakeUse(address string) (peak, denied int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.pools[address]
	if !ok {
		return 0, 0
	}
	peak, denied = p.peak, p.denied
	p.peak, p.denied = p.open-len(p.idle), 0
	return peak, denied
}

// recordDenied counts a call of Send that fails with ConnectionLimitError.
func (s *Sender) recordDenied(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool(address).denied++
}

// recordPeak updates peak after a connection has come into use. The caller must hold the sender's lock.
func (p *connPool) recordPeak() { p.peak = max(p.peak, p.open-len(p.idle)) }
