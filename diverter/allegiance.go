package diverter

import "time"

// followTime is how long a router follows a coordinator after each reply. It is a few times reportInterval, so that one lost
// message does not end it, and short enough for the backup to take over soon.
const followTime = 1200 * time.Millisecond

// allegiance is the coordinator that a router follows. A router follows at most one at any time. Only a coordinator that a majority
// of its zone's routers follow may consent to the diversion of another zone, so that a coordinator and a backup that cannot reach
// each other do not consent to different zones.
//
// The router follows a coordinator for followTime after it has received a reply. It tells the coordinator the time at which that
// reply was issued, on the coordinator's own clock. So the coordinator knows a time until which the router follows it, although
// messages take an unknown time.
type allegiance struct {
	address string
	until   time.Time
	// issued is Reply.Issued of the last reply of the coordinator.
	issued int64
}

// recordReply records a reply of the coordinator at an address, and reports whether the router now follows that coordinator.
func (a *allegiance) recordReply(now time.Time, address string, issued int64) bool {
	if address != a.address && now.Before(a.until) {
		return false
	}
	*a = allegiance{address: address, until: now.Add(followTime), issued: max(issued, a.issuedBy(address))}
	return true
}

func (a *allegiance) issuedBy(address string) int64 {
	if a.address != address {
		return 0
	}
	return a.issued
}

// echo returns the time to report to the coordinator at an address. It is zero if the router does not follow that coordinator.
func (a *allegiance) echo(now time.Time, address string) int64 {
	if !now.Before(a.until) {
		return 0
	}
	return a.issuedBy(address)
}
