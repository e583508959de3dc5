package treasurer

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/retrier"
)

// These constants are policy: which routers count as running. The budgets' reserves and the retries are shared among the
// routers that count.
const (
	// presenceTTL plus the time since this router last counted is the maximum age of a presence for its router to count as
	// running. That time is added because all presences are old after an outage: routers that count only themselves would
	// each use the retries meant for all. presenceTTLIntervals times presenceInterval replaces presenceTTL if it is longer.
	presenceTTL          = 12 * time.Second
	presenceTTLIntervals = 4
)

// These constants bound how often presences are read and written.
const (
	// initialPresenceInterval is the mean interval between writes of a router's presence right after its start, when most
	// other routers may be starting too. It doubles with each attempt up to presenceInterval.
	initialPresenceInterval = 300 * time.Millisecond
	// basePresenceInterval is how often each router writes its presence in a small fleet. presenceIntervalPerRouter times
	// the number of routers is how often in a fleet for which that is longer. All presences are in one part of the store,
	// which takes 200 writes a second. In a large fleet the writes of presences use half of that, whatever the number of
	// routers.
	basePresenceInterval      = 3 * time.Second
	presenceIntervalPerRouter = 10 * time.Millisecond
	// configurationReportTime is how long after its start a router learns from presences which configuration the others have.
	configurationReportTime = 5 * time.Second
	// maxCountRate is the maximum mean rate at which a router reads all presences in order to count the routers, in bytes a
	// second.
	maxCountRate = 4 << 10
)

// presenceInterval returns the usual time between two writes of a router's presence, in a fleet with the given number of routers.
func presenceInterval(routers int) time.Duration {
	return max(basePresenceInterval, time.Duration(routers)*presenceIntervalPerRouter)
}

// maintainPresence keeps this router's presence and its count of the routers up to date until the context is done. It also
// logs the status.
func (t *Treasurer) maintainPresence(ctx context.Context) {
	interval := initialPresenceInterval
	for ctx.Err() == nil {
		t.logStatus()
		// The jitter keeps routers that the store refused at the same time from trying again at the same time.
		t.sleep(ctx, interval/2+rand.N(interval))
		if t.refreshPresence(ctx) {
			interval = min(2*interval, presenceInterval(t.Members()))
		} else {
			interval = min(2*interval, basePresenceInterval)
		}
	}
}

// refreshPresence writes this router's presence. If a count is due, it counts all routers first. It reports whether all of
// this succeeded.
func (t *Treasurer) refreshPresence(ctx context.Context) bool {
	if t.isCountDue() {
		return t.tryCount(ctx)
	}
	err := t.writePresence(ctx)
	if err != nil {
		t.log.WithFields(logrus.Fields{"event": "announce_failed", "error": err}).Debug("presence not written")
	}
	return err == nil
}

// isCountDue reports whether the routers must be counted again. The interval between counts grows with the size of all
// presences, so that reading them stays within maxCountRate.
func (t *Treasurer) isCountDue() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.countedAt.IsZero() || t.clock.Now().Sub(t.countedAt) >= t.countInterval()
}

// countInterval returns the least time between two counts. The caller must hold t.mu.
func (t *Treasurer) countInterval() time.Duration {
	return time.Duration(t.countedBytes) * time.Second / maxCountRate
}

// tryCount counts the routers and writes this router's presence. It reports whether both succeeded.
func (t *Treasurer) tryCount(ctx context.Context) bool {
	_, err := t.countRouters(ctx)
	if err != nil {
		t.log.WithFields(logrus.Fields{"event": "count_failed", "error": err}).Debug("routers not counted")
	}
	return err == nil
}

// countRouters counts the routers with recent presences, including this one, passes the count and the peers to the planner,
// and writes this router's presence. A router without an address counts but is no peer. If only the write fails, the count
// is valid although there is an error.
func (t *Treasurer) countRouters(ctx context.Context) (int, error) {
	reading, err := t.store.Read(ctx, tableRouters, routersPart)
	if err != nil {
		return 0, err
	}
	era, beganAt, ok := t.currentEra(reading.Version)
	if !ok {
		return 0, errEraChanged
	}
	ownVersion := int64(0)
	var own *retrier.Presence
	var others []retrier.Presence
	var peers []Peer
	ttl := max(presenceTTL, presenceTTLIntervals*presenceInterval(len(reading.Rows))) + t.sinceLastCount()
	n := 1
	present, newest := map[string]bool{}, int64(0)
	for _, r := range reading.Rows {
		p, err := decode[Presence](r)
		if r.Key == t.self.Instance() {
			ownVersion = r.Version
			own = t.ownPresence(p, err, era)
			continue
		}
		present[r.Key] = true
		newest = max(newest, p.Configuration)
		if p.Era != era {
			// The row is from a copy. Its router is running if it writes the row again.
			p.StoreTime = beganAt
		}
		if err != nil {
			t.log.WithFields(logrus.Fields{"event": "presence_unreadable", "instance_of": r.Key, "error": err}).Warn("router not counted")
			// It may use a share of the retries.
			others = append(others, retrier.Presence{WrittenAt: reading.StoreTime})
			continue
		}
		others = append(others, retrier.Presence{WrittenAt: p.StoreTime, JoinedAt: p.JoinTime})
		if reading.StoreTime-p.StoreTime >= ttl {
			continue
		}
		n++
		if p.Address != "" {
			peers = append(peers, Peer{Witness: Witness{Incarnation: p.Incarnation, Address: p.Address}, Zone: p.Zone, Processors: p.Processors})
		}
	}
	for _, peer := range t.unsettledPeers() {
		if !present[peer.Incarnation.Instance()] {
			n++
			others = append(others, retrier.Presence{WrittenAt: reading.StoreTime})
			peers = append(peers, peer)
		}
	}
	slices.SortFunc(peers, func(x, y Peer) int { return cmp.Compare(x.Incarnation, y.Incarnation) })
	t.setCount(n, peers, reading, ownVersion, own, others)
	t.reportConfiguration(newest)
	return n, t.writePresence(ctx)
}

// OnPeerConfiguration sets a function that is called, while this router starts after a return of the store, with the newest version of
// the configuration that other routers have. It must be called before Run.
func (t *Treasurer) OnPeerConfiguration(report func(version int64)) { t.onPeerConfiguration = report }

// reportConfiguration reports the newest configuration of other routers if this router has started lately.
func (t *Treasurer) reportConfiguration(version int64) {
	t.mu.Lock()
	starts := t.planner.Era() > 0 && t.clock.Now().Sub(t.listeningAt) < configurationReportTime
	t.mu.Unlock()
	if starts && version > 0 {
		t.onPeerConfiguration(version)
	}
}

// currentEra returns the era of the store and when it began, by the store's clock. It returns false if the given version of the
// store is of another era.
func (t *Treasurer) currentEra(version int64) (era int64, beganAt time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sealed {
		return masticway.StoreEra(version), t.eraBeganAt, true
	}
	if !t.planner.noteVersion(version) {
		return 0, 0, false
	}
	return t.planner.Era(), t.eraBeganAt, true
}

// ownPresence returns this instance's presence according to its row in an era of the store, nil if there is none. What a row of an
// earlier era says is replaced by what this router has written last.
func (t *Treasurer) ownPresence(p Presence, err error, era int64) *retrier.Presence {
	if err == nil && p.Era == era {
		return &retrier.Presence{WrittenAt: p.StoreTime, JoinedAt: p.JoinTime}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.share.Presence()
}

// unsettledPeers returns the known peers while presences that were lost with an earlier era of the store may still be written
// again, and none after that.
func (t *Treasurer) unsettledPeers() []Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.planner.isSettled(t.clock.Now()) {
		return nil
	}
	return slices.Clone(t.peers)
}

// enterPresenceEra makes the times of the router's presence and count those of a new era, of whose clock there is a reading. The
// caller must hold t.mu.
func (t *Treasurer) enterPresenceEra(now time.Time, reading masticway.RowReading) {
	if !t.countedAt.IsZero() {
		t.share = t.share.WithClockShift(reading.StoreTime - t.storeTime())
	}
	t.presence = presenceRow{storeVersion: reading.Version, storeTime: reading.StoreTime, readAt: now}
}

// setCount records a count and passes it to the planner.
func (t *Treasurer) setCount(n int, peers []Peer, reading masticway.RowReading, ownVersion int64, own *retrier.Presence, others []retrier.Presence) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers, t.members = peers, n
	t.countedAt, t.countedBytes = t.clock.Now(), reading.Bytes()
	t.presence = presenceRow{version: ownVersion, storeVersion: reading.Version, storeTime: reading.StoreTime, readAt: t.countedAt}
	t.share = t.share.WithCount(reading.StoreTime, own, others, t.countInterval()+presenceInterval(n)*3/2)
	t.planner.SetPeers(n, peers)
	t.metrics.Gauge(metricRouters, int64(n))
}

// sinceLastCount returns the time since the routers were last counted, zero if they never were.
func (t *Treasurer) sinceLastCount() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.countedAt.IsZero() {
		return 0
	}
	return t.clock.Now().Sub(t.countedAt)
}

// presenceRow is what is known of the row of this router's own presence.
type presenceRow struct {
	version int64
	// storeVersion is a version of the store in the era of which storeTime is.
	storeVersion int64
	// storeTime is the store's clock at about the time readAt of this router's clock, or slightly before it.
	storeTime time.Duration
	readAt    time.Time
}

// writePresence writes this router's presence. After a conflict it returns nil although it has written nothing: the next
// call expects the right version.
func (t *Treasurer) writePresence(ctx context.Context) error {
	t.mu.Lock()
	row, next, configuration := t.presence, t.share.NextPresence(t.storeTime()), t.configuration
	t.mu.Unlock()
	era := masticway.StoreEra(row.storeVersion)
	key := masticway.RowKey{Table: tableRouters, Part: routersPart, Key: t.self.Instance()}
	written, err := t.store.Write(ctx, masticway.RowWrite{
		Expected: []masticway.RowVersion{{RowKey: key, Version: row.version}},
		Puts:     []masticway.RowPut{{RowKey: key, Value: encode(Presence{Incarnation: t.self, Address: t.address, Zone: t.zone, Processors: t.processors, StoreTime: next.WrittenAt, Era: era, Configuration: configuration, JoinTime: next.JoinedAt})}},
	})
	if conflict, ok := errors.AsType[*masticway.RowConflictError](err); ok {
		// Either an earlier write of unknown outcome was made, or the row was not seen at the last count. The next write
		// expects the version that the store has.
		t.setPresenceVersion(versionOf(conflict.Rows, key))
		return nil
	}
	if err == nil {
		t.setPresenceVersion(written.Version)
		t.mu.Lock()
		t.share = t.share.WithPresence(next)
		t.mu.Unlock()
	}
	return err
}

// storeTime returns the router's estimate of the store's time, which is not ahead of it. The caller must hold t.mu.
func (t *Treasurer) storeTime() time.Duration {
	return t.presence.storeTime + t.clock.Now().Sub(t.presence.readAt)
}

// RetrySharers returns the number of routers that divide the fixed retries, or zero if this router must not use any now.
func (t *Treasurer) RetrySharers() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.share.Routers(t.storeTime())
}

func (t *Treasurer) setPresenceVersion(version int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.presence.version = version
}

// versionOf returns the version of the row with the given key among rows that a conflict returned. It returns zero if the
// row is missing or deleted.
func versionOf(rows []masticway.StoredRow, key masticway.RowKey) int64 {
	for _, r := range rows {
		if r.RowKey == key && !r.Deleted {
			return r.Version
		}
	}
	return 0
}
