// Package rotator takes a router out of the load balancer's rotation while more
// traffic arrives over its network link than it can handle, and puts it back.
//
// A load balancer that selects routers by a hash of the caller may send most of
// an availability zone's traffic to one router while the others are idle. The
// router makes calls of its own, for budgets, registrations and connections to
// servers. They share the link with the requests of its callers, so a saturated
// link delays all of these calls. Load measures this delay: by how much the
// shortest recent call of each kind exceeds the kind's baseline. A slow store,
// an unavailable server or a lossy link delays one kind of call, or some calls
// of each kind. Only a saturated link or a router without CPU time delays every
// call of several kinds. If the capacity of the link is known, linkUse shows sooner
// that callers' requests fill it.
//
// An overloaded router asks some routers of its availability zone, the voters, for
// a lease. Each voter grants a limited number of leases for a limited time. A
// router that has leases from a majority of the voters may leave the rotation: it
// reports that it is not ready, and its answers close their connections, so that
// callers reconnect to other routers. It reports that for a short time already while
// it asks, because a load balancer needs two failed probes. The voters need no store, which an
// overloaded router reaches late, or not at all in a network partition. Because
// any two majorities share a voter, at least half of the zone's routers always
// stay in rotation; below that, a load balancer would send traffic to all of them
// again. A winner gives the leases that it does not need back, because other
// routers need them. A router that becomes overloaded again soon after its return stays out
// for longer the next time.
//
// A request takes capacity of the link even if it is then refused. So while a
// router is overloaded, connLimiter pauses the listener for short times, such that
// connections are accepted at the rate at which the router can carry their
// requests. A load balancer may send the other callers to other routers. Rotator
// also limits the number of requests without an answer. Load, connLimiter,
// admission, grantedLeases and absence make the decisions. They use neither a
// clock nor the network: Rotator passes them the time, and exchanges messages with
// the other routers.
package rotator
