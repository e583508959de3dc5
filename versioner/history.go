package versioner

import (
	"maps"
	"slices"
	"time"

	"github.com/masticway/masticway"
)

const (
	// maxReadingAge is how old the last readings of the servers and the configuration may be for a pool to be settled.
	maxReadingAge = 3 * time.Second
	// defaultStreamLifetime is how long a stream may last on a route without a timeout.
	defaultStreamLifetime = 30 * time.Second
	// resumptionSlack is added to the time for which callers may resume a stream. It allows for routers that are cut off from the store
	// and from all others: they go on using servers that have left, and cannot record what they begin there.
	resumptionSlack = 15 * time.Second
)

// History knows for each pool which software versions its servers had. It is not safe for concurrent use.
type History struct {
	// since is when the servers were first read in a row of readings without a gap of more than maxReadingAge, and readAt when they were
	// read last. Until the first reading both are zero.
	since, readAt time.Time
	// serversAsOf is when the call of the newest reading began. What a reading has is not older than its call, however late it arrives.
	serversAsOf time.Time
	// configurationAsOf is when the call of the newest reading of the configuration began.
	configurationAsOf time.Time
	pools             map[string]poolHistory
	// deployment is the newest configuration, and deployedAt when this router got its first one.
	deployment masticway.Deployment
	deployedAt time.Time
	// recorded is what the store has of the versions.
	recorded recordedPools
}

// poolHistory is what is known of a pool.
type poolHistory struct {
	// span is the time in which a stream may be resumed since it began, with resumptionSlack.
	span time.Duration
	// current holds the versions of the servers that may get new work, and lastSeen when a version ceased to be current.
	current  map[string]bool
	lastSeen map[string]time.Time
	// joinedAt holds when the versions became current, the last time if several.
	joinedAt map[string]time.Time
	// movedAt is when requests were moved from this pool to another one, or from another one to this pool, by a change of the
	// configuration, and movedBy the version of the configuration. They are zero if they never were.
	movedAt time.Time
	movedBy int64
}

// wasMoved reports whether this router has seen that requests were moved from or to the pool, so that a stream may be resumed in another
// pool than it began in.
func (p poolHistory) wasMoved(now time.Time) bool {
	return !p.movedAt.IsZero() && now.Sub(p.movedAt) <= p.span
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{pools: map[string]poolHistory{}} }

// Update applies a change of the configuration or the servers.
func (h *History) Update(now time.Time, d masticway.Deployment, servers map[string][]masticway.Server) {
	pools, moved := map[string]poolHistory{}, map[string]bool{}
	if h.deployedAt.IsZero() {
		h.deployedAt = now
	}
	if d.Version != h.deployment.Version {
		moved = movedPools(h.deployment, d)
	}
	h.deployment = d
	for pool, span := range resumptionSpans(d) {
		p := h.pools[pool]
		p.span = span
		if moved[pool] {
			p.movedAt, p.movedBy = now, d.Version
		}
		if p.lastSeen == nil {
			p.lastSeen, p.joinedAt = map[string]time.Time{}, map[string]time.Time{}
		}
		before := p.current
		for version := range before {
			p.lastSeen[version] = now
		}
		p.current = map[string]bool{}
		for _, s := range servers[pool] {
			if p.current[s.Version] = true; !before[s.Version] {
				p.joinedAt[s.Version] = now
			}
		}
		pools[pool] = p
	}
	h.pools = pools
}

// RecordReading records that the servers were read by a call that began at a time. A reading that comes too late after the one before
// begins the history anew: versions may have come and gone meanwhile.
func (h *History) RecordReading(now, began time.Time) {
	if h.readAt.IsZero() || now.Sub(h.readAt) > maxReadingAge {
		h.since = now
	}
	h.readAt = now
	if began.After(h.serversAsOf) {
		h.serversAsOf = began
	}
}

// RecordConfigurationReading records that the configuration was read by a call that began at a time.
func (h *History) RecordConfigurationReading(began time.Time) {
	if began.After(h.configurationAsOf) {
		h.configurationAsOf = began
	}
}

// isConfirmed reports whether the configuration and the servers were read by calls that began no earlier than a time.
func (h *History) isConfirmed(since time.Time) bool {
	return !h.serversAsOf.Before(since) && !h.configurationAsOf.Before(since)
}

// isCurrent reports whether the servers were read lately, by a call that began lately: a reading may arrive late, and has no change that
// came after its call.
func (h *History) isCurrent(now time.Time) bool {
	return !h.serversAsOf.IsZero() && now.Sub(h.serversAsOf) <= maxReadingAge
}

// KnownAt returns when every router has noticed that a version has joined a pool, or that requests were moved to it, or has ceased to
// take any pool for settled because it does not read the servers, or the configuration.
func (h *History) KnownAt(pool, version string) time.Time {
	p := h.pools[pool]
	changedAt := p.joinedAt[version]
	if p.movedAt.After(changedAt) {
		changedAt = p.movedAt
	}
	return changedAt.Add(maxReadingAge)
}

// Settled returns the only version that the servers of a pool have had for as long as a stream may be resumed. It returns false if
// there were several, or if this router does not read the servers now. If it has not read them for so long, it relies on the store's
// record for the time before, and returns false if there is none. It need not read the servers for a pool whose servers all report no
// version. A pool is not settled while a stream may be resumed that began before requests were moved from or to it, nor while this
// router does not know whether they were, as it does not if it has not read the configuration lately.
func (h *History) Settled(now time.Time, pool string) (version string, ok bool) {
	if h.isMoved(now, pool) || !h.knowsMoves(now, pool) || now.Sub(h.configurationAsOf) > maxReadingAge {
		return "", false
	}
	return h.onlyVersion(now, pool)
}

// isMoved reports whether requests were moved from or to a pool, according to this router or the store's record.
func (h *History) isMoved(now time.Time, pool string) bool {
	p := h.pools[pool]
	return p.wasMoved(now) || h.recorded.wasMoved(now, pool, p.span)
}

// knowsMoves reports whether this router has had a configuration, or has read the store's record, for as long as a stream may be
// resumed in a pool.
func (h *History) knowsMoves(now time.Time, pool string) bool {
	if h.deployedAt.IsZero() {
		return false
	}
	return now.Sub(h.deployedAt) >= h.pools[pool].span || !h.recorded.readAt.Before(h.deployedAt)
}

// isMixed reports whether this router knows that a stream may have begun in another pool, or that the pool has had servers of several
// versions for a part of the time in which a stream may be resumed. It may know this while it does not read the servers.
func (h *History) isMixed(now time.Time, pool string) bool {
	p := h.pools[pool]
	versions := map[string]bool{}
	if !h.readAt.IsZero() && now.Sub(h.readAt) <= p.span {
		maps.Copy(versions, p.current)
	}
	for version, at := range p.lastSeen {
		if now.Sub(at) <= p.span {
			versions[version] = true
		}
	}
	return len(versions) > 1 || h.isMoved(now, pool)
}

// onlyVersion is Settled for a pool from or to which no requests were moved.
func (h *History) onlyVersion(now time.Time, pool string) (version string, ok bool) {
	p := h.pools[pool]
	versions := maps.Clone(p.current)
	for version, at := range p.lastSeen {
		if now.Sub(at) <= p.span {
			versions[version] = true
		}
	}
	isKnown := now.Sub(h.since) >= p.span
	if !isKnown && h.isRecordCurrent() {
		var recent map[string]bool
		recent, isKnown = h.recorded.recentVersions(now, pool, p.span)
		maps.Copy(versions, recent)
	}
	if len(versions) != 1 {
		return "", false
	}
	for version = range versions {
	}
	return version, version == "" || h.isCurrent(now) && isKnown
}

// isRecordCurrent reports whether the store's record was read since the servers are read without a gap. Later changes are seen here.
func (h *History) isRecordCurrent() bool {
	return !h.recorded.readAt.IsZero() && !h.since.IsZero() && !h.recorded.readAt.Before(h.since)
}

// forgetRecord forgets what was read of the store's record in eras before the given one.
func (h *History) forgetRecord(era int64) {
	if h.recorded.era < era {
		h.recorded.readAt = time.Time{}
	}
}

// needsRecord reports whether the store's record must be read.
func (h *History) needsRecord() bool {
	return !h.since.IsZero() && len(h.pools) > 0 && !h.isRecordCurrent()
}

// changedPools returns the records that pools must have in the store, if they have other ones.
func (h *History) changedPools(now time.Time) map[string]PoolRecord {
	changed := map[string]PoolRecord{}
	if !h.isRecordCurrent() || !h.isCurrent(now) {
		return changed
	}
	for pool, p := range h.pools {
		if record, ok := h.recorded.changed(now, pool, p); ok {
			changed[pool] = record
		}
	}
	return changed
}

// movedPools returns the pools from or to which a change of the configuration moves requests.
func movedPools(before, after masticway.Deployment) map[string]bool {
	type path struct{ host, prefix string }
	shares := map[path][]masticway.TrafficShare{}
	for _, r := range before.Routes {
		shares[path{r.Host, r.Prefix}] = r.Shares
	}
	changed := map[path]bool{}
	for _, r := range after.Routes {
		p := path{r.Host, r.Prefix}
		if old, ok := shares[p]; !ok || !slices.Equal(old, r.Shares) {
			changed[p] = true
		}
		delete(shares, p)
	}
	for p := range shares {
		changed[p] = true
	}
	moved := map[string]bool{}
	for p := range changed {
		// Where one of them has no such route, it has one with a shorter prefix, or no stream was begun or is resumed.
		old, wasRouted := before.Route(p.host, p.prefix)
		now, isRouted := after.Route(p.host, p.prefix)
		if wasRouted && isRouted && !slices.Equal(old.Shares, now.Shares) {
			for _, s := range slices.Concat(old.Shares, now.Shares) {
				moved[s.Pool] = true
			}
		}
	}
	return moved
}

// resumptionSpans returns, for each pool to which routes with resumable streams lead, the time in which callers may resume a stream
// since it began.
func resumptionSpans(d masticway.Deployment) map[string]time.Duration {
	spans := map[string]time.Duration{}
	for _, r := range d.Routes {
		if r.RetryPolicy != masticway.RetryByResuming {
			continue
		}
		lifetime := r.Timeout
		if lifetime <= 0 {
			lifetime = defaultStreamLifetime
		}
		for _, s := range r.Shares {
			// The caller may have resumed the stream before, and its last attempt began within the route's timeout after that.
			spans[s.Pool] = max(spans[s.Pool], 2*lifetime+resumptionSlack)
		}
	}
	return spans
}
