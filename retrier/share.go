package retrier

import "time"

const (
	// minShareLifetime is the least time for which a router relies on its count of the routers.
	minShareLifetime = 15 * time.Second
	// shareClockMargin allows for the time that a presence takes to be written, and for errors of the routers' estimates of the
	// store's time.
	shareClockMargin = 3 * time.Second
)

// Presence is what routers know of another one by the row that it writes to the store now and then. Times are the store's.
type Presence struct {
	WrittenAt time.Duration
	// JoinedAt is the time since which the instance has been present without a gap, over all of its incarnations.
	JoinedAt time.Duration
}

// Share decides among how many routers the fixed retries are divided. The shares that routers use at any time add up to one at most,
// also when routers start, end or lose the store:
//
//   - A router uses a share only while its last count of the routers and its own presence are recent.
//   - It counts every router that may use a share, or may have granted retries that have not left every window yet.
//   - A router that joins uses no share until all others have counted it, and the retries that they made before have left every window.
//
// All times are the store's, as estimated by the router. The zero value knows no other routers.
type Share struct {
	// Window is the length of the windows within which retries are bounded.
	Window time.Duration
	// lifetime is how long a count and a presence are relied on.
	lifetime time.Duration
	// routers is the number of routers at the last count, which was made at countedAt. It is zero before the first count.
	routers   int
	countedAt time.Duration
	// own is the last presence that this instance has written. isPresent is set if there is one.
	own       Presence
	isPresent bool
}

// WithCount returns the share after a count at a time. own is the presence of this router's instance, nil if it has none, and others
// are the presences of all other instances. interval is the longest usual time until the next count.
func (s Share) WithCount(now time.Duration, own *Presence, others []Presence, interval time.Duration) Share {
	s.lifetime = max(minShareLifetime, 2*interval)
	s.routers, s.countedAt = 1, now
	for _, p := range others {
		if now-p.WrittenAt <= s.delay() {
			s.routers++
		}
	}
	if s.isPresent = own != nil; s.isPresent {
		s.own = *own
	}
	return s
}

// NextPresence returns the presence to write at a time.
func (s Share) NextPresence(now time.Duration) Presence {
	if s.isPresent && now-s.own.WrittenAt <= s.lifetime {
		return Presence{WrittenAt: now, JoinedAt: s.own.JoinedAt}
	}
	return Presence{WrittenAt: now, JoinedAt: now}
}

// WithPresence returns the share after a presence has been written.
func (s Share) WithPresence(p Presence) Share {
	s.own, s.isPresent = p, true
	return s
}

// WithClockShift returns the share after the store's clock has been found to be ahead of its estimate by an offset, because the store
// has returned from a copy.
func (s Share) WithClockShift(offset time.Duration) Share {
	s.countedAt += offset
	s.own.WrittenAt += offset
	s.own.JoinedAt += offset
	return s
}

// Presence returns the last presence that this instance has written, nil if there is none.
func (s Share) Presence() *Presence {
	if !s.isPresent {
		return nil
	}
	return &s.own
}

// Routers returns the number of routers that divide the fixed retries at a time, or zero if this router must not use any.
func (s Share) Routers(now time.Duration) int {
	if s.routers == 0 || !s.isPresent || now-s.countedAt > s.lifetime || now-s.own.WrittenAt > s.lifetime {
		return 0
	}
	if now-s.own.JoinedAt <= s.delay() {
		return 0
	}
	return s.routers
}

// delay returns the time after which all routers take note that one has joined or ended, and the retries that they granted before have
// left every window.
func (s Share) delay() time.Duration {
	return s.lifetime + shareClockMargin + fixedBuckets*s.Window/bucketsPerWindow
}
