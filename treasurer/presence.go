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
)

// These constants are policy: which routers count as running, among which budgets and retries are shared.
const (
	// presenceTTL plus the time since this router last counted is the maximum age of a presence that counts. After an outage
	// all presences are old, and routers that believed to be the only ones would each use the retries meant for all. Where
	// presences are written less often, presenceTTLIntervals times their interval replaces presenceTTL.
	presenceTTL          = 12 * time.Second
	presenceTTLIntervals = 4
)

// These constants bound how often presences are read and written.
const (
	// initialPresenceInterval is the interval between writes of a router's presence after its start, when most routers may be
	// starting too; it doubles up to presenceInterval.
	initialPresenceInterval = 300 * time.Millisecond
	// basePresenceInterval is how often each router writes its presence in a small fleet, presenceIntervalPerRouter what each
	// router contributes to the interval in a large one. All presences are in one part of the store, which takes 200 writes a
	// second; with this interval they use half of that for any number of routers.
	basePresenceInterval      = 3 * time.Second
	presenceIntervalPerRouter = 10 * time.Millisecond
	// maxCountRate bounds the mean rate at which a router reads all presences, in bytes a second.
	maxCountRate = 4 << 10
)

// presenceInterval returns how often each of the given number of routers writes its presence.
func presenceInterval(routers int) time.Duration {
	return max(basePresenceInterval, time.Duration(routers)*presenceIntervalPerRouter)
}

// maintainPresence keeps this router's presence and the count of routers up to date until the context is done.
func (t *Treasurer) maintainPresence(ctx context.Context) {
	interval := initialPresenceInterval
	for ctx.Err() == nil {
		t.logStatus()
		// The jitter keeps routers that were refused at the same time from retrying at the same time.
		t.sleep(ctx, interval/2+rand.N(interval))
		if t.refreshPresence(ctx) {
			interval = min(2*interval, presenceInterval(t.Members()))
		} else {
			interval = min(2*interval, basePresenceInterval)
		}
	}
}

// refreshPresence writes this router's presence, and counts all routers first if that is due. It reports whether it
// succeeded.
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

// isCountDue reports whether all presences must be read again; the larger they are, the less often that is.
func (t *Treasurer) isCountDue() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	interval := time.Duration(t.countedBytes) * time.Second / maxCountRate
	return t.countedAt.IsZero() || t.clock.Now().Sub(t.countedAt) >= interval
}

// tryCount counts the routers and writes this one's presence. It reports whether both succeeded.
func (t *Treasurer) tryCount(ctx context.Context) bool {
	_, err := t.countRouters(ctx)
	if err != nil {
		t.log.WithFields(logrus.Fields{"event": "count_failed", "error": err}).Debug("routers not counted")
	}
	return err == nil
}

// countRouters counts the routers whose presences are recent, including this one, passes them to the planner, and writes this
// router's presence. Routers without an address count but are no peers. The count is valid even if the write fails.
func (t *Treasurer) countRouters(ctx context.Context) (int, error) {
	reading, err := t.store.Read(ctx, tableRouters, routersPart)
	if err != nil {
		return 0, err
	}
	ownVersion := int64(0)
	var peers []Peer
	ttl := max(presenceTTL, presenceTTLIntervals*presenceInterval(len(reading.Rows))) + t.sinceLastCount()
	n := 1
	for _, r := range reading.Rows {
		if r.Key == t.self.Instance() {
			ownVersion = r.Version
			continue
		}
		p, err := decode[Presence](r)
		if err != nil {
			t.log.WithFields(logrus.Fields{"event": "presence_unreadable", "instance_of": r.Key, "error": err}).Warn("router not counted")
			continue
		}
		if reading.StoreTime-p.StoreTime >= ttl {
			continue
		}
		n++
		if p.Address != "" {
			peers = append(peers, Peer{Witness: Witness{Incarnation: p.Incarnation, Address: p.Address}, Zone: p.Zone, Processors: p.Processors})
		}
	}
	slices.SortFunc(peers, func(x, y Peer) int { return cmp.Compare(x.Incarnation, y.Incarnation) })
	t.setCount(n, peers, reading, ownVersion)
	return n, t.writePresence(ctx)
}

// setCount records a count and passes it to the planner.
func (t *Treasurer) setCount(n int, peers []Peer, reading masticway.RowReading, ownVersion int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers, t.members = peers, n
	t.countedAt, t.countedBytes = t.clock.Now(), reading.Bytes()
	t.presence = presenceRow{version: ownVersion, storeTime: reading.StoreTime, readAt: t.countedAt}
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

// presenceRow is what is known of this router's own row.
type presenceRow struct {
	version int64
	// storeTime was the store's clock when this router's clock was readAt, or slightly before.
	storeTime time.Duration
	readAt    time.Time
}

// writePresence writes this router's presence. It returns nil after a conflict too, although the presence is then written
// only by the next call.
func (t *Treasurer) writePresence(ctx context.Context) error {
	t.mu.Lock()
	row := t.presence
	t.mu.Unlock()
	key := masticway.RowKey{Table: tableRouters, Part: routersPart, Key: t.self.Instance()}
	storeTime := row.storeTime + t.clock.Now().Sub(row.readAt)
	written, err := t.store.Write(ctx, masticway.RowWrite{
		Expected: []masticway.RowVersion{{RowKey: key, Version: row.version}},
		Puts:     []masticway.RowPut{{RowKey: key, Value: encode(Presence{Incarnation: t.self, Address: t.address, Zone: t.zone, Processors: t.processors, StoreTime: storeTime})}},
	})
	if conflict, ok := errors.AsType[*masticway.RowConflictError](err); ok {
		// Either an earlier write of unknown outcome was made, or a predecessor's row was not read. The next write expects
		// the version that is there.
		t.setPresenceVersion(versionOf(conflict.Rows, key))
		return nil
	}
	if err == nil {
		t.setPresenceVersion(written.Version)
	}
	return err
}

func (t *Treasurer) setPresenceVersion(version int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.presence.version = version
}

// versionOf returns the version of a row among those returned with a conflict, zero if it is not among them.
func versionOf(rows []masticway.StoredRow, key masticway.RowKey) int64 {
	for _, r := range rows {
		if r.RowKey == key && !r.Deleted {
			return r.Version
		}
	}
	return 0
}
