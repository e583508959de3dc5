package rotator

import "time"

const (
	// useSamples is the number of checks over which the use of the link is averaged.
	useSamples = 2
	// fullShare is the share of the link's capacity from which callers' requests fill it. The rest is needed for packets without
	// them and for the router's own calls.
	fullShare = 0.9
	// minFullWait is how long requests must wait for their answers, on average, for a full link to be an overload, and
	// minFullUnanswered how many there must be. A few large requests may fill the link without delaying others.
	minFullWait       = 200 * time.Millisecond
	minFullUnanswered = 20
)

// linkUse measures what callers' requests use of the router's link. A request passes the link twice in each direction: its body
// comes from the caller and goes to a server, its answer comes from the server and goes to the caller. So the bytes that are read
// from callers and those that are written to them together are what each direction carries.
type linkUse struct {
	// rate is the capacity of the link in bytes per second in each direction; zero means unknown.
	rate float64
	// samples holds the numbers of bytes between the last checks, and total the number of bytes at the last one.
	samples [useSamples]int64
	checks  int
	total   int64
}

// update records a check. total is the total number of bytes so far.
func (u *linkUse) update(total int64) {
	u.samples[u.checks%useSamples] = total - u.total
	u.checks++
	u.total = total
}

// bytesPerSecond returns the rate of bytes during the last checks.
func (u *linkUse) bytesPerSecond() float64 {
	sum := int64(0)
	for _, n := range u.samples {
		sum += n
	}
	return float64(sum) / (useSamples * checkInterval.Seconds())
}

// share returns the share of the link's capacity that was used during the last checks, or zero if the capacity is unknown.
func (u *linkUse) share() float64 {
	if u.rate == 0 {
		return 0
	}
	return u.bytesPerSecond() / u.rate
}

// fullRate returns the number of requests per second that fills the link. It returns zero if requests do not fill it, if they are
// few, or if they are answered soon. carried is the number of requests that are read per second, and unanswered the number of those without an
// answer.
func (u *linkUse) fullRate(carried float64, unanswered int) float64 {
	if u.share() < fullShare || unanswered < minFullUnanswered || float64(unanswered) < carried*minFullWait.Seconds() {
		return 0
	}
	return carried
}
