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

// The policy of counting: which routers share the money and the retries.
const (
	// presenceTTL is how old the presence of a router may be that counts, beyond the time for which this router has not
	// counted itself: after an outage all are old, and routers that took themselves for alone would each use the retries
	// that are meant for all. Where presences are written less often, it is presenceTTLIntervals of their pauses.
	presenceTTL          = 12 * time.Second
	presenceTTLIntervals = 4
)

// The mechanics of counting: the pace of its calls.
const (
	// initialCountInterval is the pause before routers are counted again after a start, when most of them may be starting too; it
	// doubles up to countInterval.
	initialCountInterval = 300 * time.Millisecond
	// countInterval is how often each router writes its presence in a small fleet, announceIntervalPerRouter what each router adds to it in a
	// large one: all presences are in one part of the store, which takes 200 writes a second, so that half of that is used
	// however many routers there are.
	countInterval             = 3 * time.Second
	announceIntervalPerRouter = 10 * time.Millisecond
	// maxCountRate bounds what reading all presences takes of a router's link, in bytes a second.
	maxCountRate = 4 << 10
)

// announceInterval is how often each of so many routers writes its presence.
func announceInterval(routers int) time.Duration {
	return max(countInterval, time.Duration(routers)*announceIntervalPerRouter)
}

// maintainPresence keeps the number of routers, and tells them of this one.
func (t *Treasurer) maintainPresence(ctx context.Context) {
	pause := initialCountInterval
	for ctx.Err() == nil {
		t.logStatus()
		// Routers that were refused together do not come back together.
		t.sleep(ctx, pause/2+rand.N(pause))
		if t.refreshPresence(ctx) {
			pause = min(2*pause, announceInterval(t.Members()))
		} else {
			pause = min(2*pause, countInterval)
		}
	}
}

// refreshPresence writes this router's presence, and counts all first when that is due; false when it could not.
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

// isCountDue tells that the presences of all are to be read again: the more there are, the less often.
func (t *Treasurer) isCountDue() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	pause := time.Duration(t.countedBytes) * time.Second / maxCountRate
	return t.countedAt.IsZero() || t.clock.Now().Sub(t.countedAt) >= pause
}

// tryCount counts the routers and tells of this one; false when either failed.
func (t *Treasurer) tryCount(ctx context.Context) bool {
	_, err := t.countRouters(ctx)
	if err != nil {
		t.log.WithFields(logrus.Fields{"event": "count_failed", "error": err}).Debug("routers not counted")
	}
	return err == nil
}

// countRouters counts the routers whose presences are young, this one included, tells the purse of them, and writes the own
// presence. What was counted holds whether or not that write succeeds.
func (t *Treasurer) countRouters(ctx context.Context) (int, error) {
	reading, err := t.store.Read(ctx, tableRouters, routersPart)
	if err != nil {
		return 0, err
	}
	own := int64(0)
	var peers []Peer
	alive := max(presenceTTL, presenceTTLIntervals*announceInterval(len(reading.Rows))) + t.sinceLastCount()
	n := 1
	for _, r := range reading.Rows {
		if r.Key == t.self.Instance() {
			own = r.Version
			continue
		}
		p, err := decode[Presence](r)
		if err != nil {
			t.log.WithFields(logrus.Fields{"event": "presence_unreadable", "instance_of": r.Key, "error": err}).Warn("router not counted")
			continue
		}
		if reading.StoreTime-p.At >= alive {
			continue
		}
		n++
		if p.Address != "" {
			peers = append(peers, Peer{Witness: Witness{Incarnation: p.Incarnation, Address: p.Address}, Zone: p.Zone, Processors: p.Processors})
		}
	}
	slices.SortFunc(peers, func(x, y Peer) int { return cmp.Compare(x.Incarnation, y.Incarnation) })
	t.setCount(n, peers, reading, own)
	return n, t.writePresence(ctx)
}

// setCount takes a count.
func (t *Treasurer) setCount(n int, peers []Peer, reading masticway.RowReading, own int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers, t.members = peers, n
	t.countedAt, t.countedBytes = t.clock.Now(), reading.Bytes()
	t.presence = presenceRow{version: own, storeTime: reading.StoreTime, readAt: t.countedAt}
	t.planner.SetPeers(n, peers)
	t.metrics.Gauge(metricRouters, int64(n))
}

// sinceLastCount is for how long this router has not counted the others, zero before it has for the first time.
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
	// storeTime is the store's clock when this router's clock showed since; the store's may be a little further.
	storeTime time.Duration
	readAt    time.Time
}

// writePresence writes this router's presence.
func (t *Treasurer) writePresence(ctx context.Context) error {
	t.mu.Lock()
	known := t.presence
	t.mu.Unlock()
	key := masticway.RowKey{Table: tableRouters, Part: routersPart, Key: t.self.Instance()}
	at := known.storeTime + t.clock.Now().Sub(known.readAt)
	made, err := t.store.Write(ctx, masticway.RowWrite{
		Expected: []masticway.RowVersion{{RowKey: key, Version: known.version}},
		Puts:     []masticway.RowPut{{RowKey: key, Value: encode(Presence{Incarnation: t.self, Address: t.address, Zone: t.zone, Processors: t.processors, At: at})}},
	})
	if conflict, ok := errors.AsType[*masticway.RowConflictError](err); ok {
		// A write without an answer was made after all, or a predecessor's row was not read; the next write expects what is there.
		t.setPresenceVersion(versionOf(conflict.Rows, key))
		return nil
	}
	if err == nil {
		t.setPresenceVersion(made.Version)
	}
	return err
}

func (t *Treasurer) setPresenceVersion(version int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.presence.version = version
}

// versionOf returns the version of a row among those that came with a conflict, zero when it is not there.
func versionOf(rows []masticway.StoredRow, key masticway.RowKey) int64 {
	for _, r := range rows {
		if r.RowKey == key && !r.Deleted {
			return r.Version
		}
	}
	return 0
}
