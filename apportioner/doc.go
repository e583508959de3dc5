// Package apportioner divides the connections to small plain services among the
// routers by their demand.
//
// A pool's configuration limits the connections to one server from all routers
// together. With many routers, an equal share is a few connections, and a router
// with many callers refuses requests while other routers leave their shares
// unused. Therefore three quarters of the limit are divided equally (see Base),
// and one quarter, the demand part (see DemandPart), by demand.
//
// The owner of a pool, the router with the highest rendezvous weight, leases
// connections of the demand part to routers that need more than their base: at
// most three quarters of it in total. The router with the next lower weight is
// the backup. It leases at most one quarter of the demand part, to routers that
// get no reply from the owner. So the owner and the backup together never lease
// more than the demand part, whichever routers cannot reach each other.
//
// A lease ends after leaseTTL by the clock of the router that uses it, counted
// from the time of its request. The granting router counts it for longer (see
// grantTTL). A renewal replaces the previous lease. If it is smaller, the
// granting router counts the greater of the two until the other router confirms
// with its next request that it uses the smaller one. A router that has just
// become owner or backup grants nothing for silenceTime, by when the leases of
// its predecessor have ended.
//
// A lease is a fraction of the demand part. If the number of routers or the
// limit changes, it is a lease of the same fraction of the new demand part.
//
// The division never exceeds the limit while all routers have the same view of
// the membership. A router that counts fewer members than there are uses a
// greater base, as it uses a greater equal share without this package. Each
// further pair of routers that consider themselves owner and backup may lease
// another demand part, which is at most a quarter of the limit. This lasts until
// the views agree again and for silenceTime after that.
//
// Leases and Grants make the decisions. They use neither a clock nor the
// network: Apportioner passes them the time, and exchanges messages with the
// other routers.
package apportioner
