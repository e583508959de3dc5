package diverter

import (
	"time"
)

const (
	// overloadedShare is the minimum share of a zone's requests that must arrive at overloaded routers for the zone to be
	// overloaded, and refusedShare the share of its requests and connections above which refusals make it overloaded.
	overloadedShare = 0.25
	refusedShare    = 0.05
	// minPressedRouters is the minimum number of a zone's routers that must be overloaded, refuse for overload or not be ready for
	// the zone to be overloaded, if it has so many. A single overloaded router leaves the rotation by itself (see package rotator). If the whole
	// zone were diverted, the few callers that overload it would overload one router after the other in the other zones.
	minPressedRouters = 2
	// retriedShare is the assumed share of the refused requests that callers send again to another router of the zone, where they
	// are counted again. A caller tries a second router, but not a third.
	retriedShare = 0.5
	// reportTTL is the maximum age of a report that counts. Reports over a saturated link may take a second.
	reportTTL = 2500 * time.Millisecond
)

// ZoneLoad is the load of a zone.
type ZoneLoad struct {
	// Requests is the estimated number of requests per second of the zone's callers. Routers is the number of routers that report
	// and are ready, and Unready the number of those that report and are not.
	Requests float64 `cbor:"1,keyasint,omitempty"`
	Routers  int     `cbor:"2,keyasint,omitempty"`
	// Overloaded is set if at least minPressedRouters are overloaded, refuse or are not ready and, besides, at least overloadedShare of the
	// requests arrive at overloaded routers or more than refusedShare of the requests and connections are refused for overload.
	Overloaded bool `cbor:"3,keyasint,omitempty"`
	// Unanswered is the number of requests without the first part of an answer.
	Unanswered int `cbor:"4,keyasint,omitempty"`
	Unready    int `cbor:"5,keyasint,omitempty"`
}

// perRouter returns the requests per second for each router.
func (l ZoneLoad) perRouter() float64 {
	if l.Routers == 0 {
		return 0
	}
	return l.Requests / float64(l.Routers)
}

// ownLoad is the load of a zone as its coordinator knows it. Too few reports must not make it propose a diversion: the backup gets
// reports mainly from the busiest routers.
type ownLoad struct {
	ZoneLoad
	// perRouter is the number of requests per second for each known router of the zone, if those that do not report get none.
	// Routers that are not ready count here: an overloaded router that leaves the rotation must not make the zone look as if it
	// had more callers.
	perRouter float64
	// total is the number of requests per second of the zone, if the routers that do not report get as many as the others.
	total float64
}

func newOwnLoad(l ZoneLoad, members int) ownLoad {
	reported := l.Routers + l.Unready
	known := max(1, members, reported)
	return ownLoad{ZoneLoad: l, perRouter: l.Requests / float64(known), total: l.Requests / float64(max(1, reported)) * float64(known)}
}

// reports holds the newest report of each router of a zone, by instance.
type reports map[string]receivedReport

type receivedReport struct {
	Report
	at time.Time
}

// load returns the load of the zone. It returns false unless a majority of the given routers of the zone have reported. Reports of
// other routers count as well: a router that has just started may not yet be a known member. Routers that are not ready count only
// for the majority, and with the requests of the callers that are still connected to them.
func (r reports) load(now time.Time, members map[string]bool) (ZoneLoad, bool) {
	var l ZoneLoad
	var requests, overloaded, refused, refusedConnections float64
	known, pressed := 0, 0
	for instance, o := range r {
		if now.Sub(o.at) >= reportTTL {
			delete(r, instance)
			continue
		}
		if o.Unready {
			l.Unready++
		} else {
			l.Routers++
		}
		l.Requests += o.Requests - retriedShare*o.Refused
		l.Unanswered += o.Unanswered
		refused += o.Refused
		refusedConnections += o.RefusedConnections
		requests += o.Requests
		if o.Overloaded {
			overloaded += o.Requests
		}
		if o.Overloaded || o.Unready || o.Refused+o.RefusedConnections > 0 {
			pressed++
		}
		if members[instance] {
			known++
		}
	}
	// The routers that do not report are assumed to get as many requests as the others, and not to be overloaded.
	requests *= max(1, float64(len(members))/float64(max(1, l.Routers+l.Unready)))
	l.Overloaded = pressed >= min(minPressedRouters, l.Routers+l.Unready) &&
		(requests > 0 && overloaded >= overloadedShare*requests || refused+refusedConnections > refusedShare*(requests+refusedConnections))
	return l, 2*known > len(members)
}

// hasMajority reports whether a majority of the given routers follow the coordinator with these reports (see allegiance).
func (r reports) hasMajority(now time.Time, members map[string]bool) bool {
	followers := 0
	for instance, o := range r {
		if o.Echo != 0 && members[instance] && now.UnixNano() < o.Echo+int64(followTime) {
			followers++
		}
	}
	return 2*followers > len(members)
}
