package forwarder

import "github.com/masticway/masticway"

// TakeConnectionUse returns the use of this router's connections to the servers of the given pools since its last call. Servers that
// may get no new work do not count.
func (f *Forwarder) TakeConnectionUse(pools []string) map[string]masticway.ConnectionUse {
	servers, uses := f.snapshot().Servers, map[string]masticway.ConnectionUse{}
	for _, pool := range pools {
		var u masticway.ConnectionUse
		for _, s := range servers[pool] {
			peak, denied := f.sender.TakeUse(s.Address)
			u.Peak, u.Denied = max(u.Peak, peak), max(u.Denied, denied)
		}
		uses[pool] = u
	}
	return uses
}

// LimitConnections applies the limits, by pool, to the connections to each server of these pools: idle connections above a limit are
// closed, now and when they become idle. For all other servers this lifts the limits of earlier calls.
func (f *Forwarder) LimitConnections(limits map[string]int) {
	servers, byAddress := f.snapshot().Servers, map[string]int{}
	for pool, limit := range limits {
		for _, s := range servers[pool] {
			byAddress[s.Address] = limit
		}
	}
	f.sender.LimitConnections(byAddress)
}
