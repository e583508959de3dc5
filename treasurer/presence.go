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
	// aliveFor is how old the presence of a router may be that counts, beyond the time for which this router has not
	// counted itself: after an outage all are old, and routers that took themselves for alone would each use the retries
	// that are meant for all. Where presences are written less often, it is alivePauses of their pauses.
	aliveFor    = 12 * time.Second
	alivePauses = 4
)

// The mechanics of counting: the pace of its calls.
const (
	// countFirst is the pause before routers are counted again after a start, when most of them may be starting too; it
	// doubles up to countPause.
	countFirst = 300 * time.Millisecond
	// countPause is how often each router writes its presence in a small fleet, announceEach what each router adds to it in a
	// large one: all presences are in one part of the store, which takes 200 writes a second, so that half of that is used
	// however many routers there are.
	countPause   = 3 * time.Second
	announceEach = 10 * time.Millisecond
	// countRate bounds what reading all presences takes of a router's link, in bytes a second.
	countRate = 4 << 10
)

// announcePause is how often each of so many routers writes its presence.
func announcePause(routers int) time.Duration {
	return max(countPause, time.Duration(routers)*announceEach)
}

// count keeps the number of routers, and tells them of this one.
func (t *Treasurer) count(ctx context.Context) {
	pause := countFirst
	for ctx.Err() == nil {
		t.logStatus()
		// Routers that were refused together do not come back together.
		t.pause(ctx, pause/2+rand.N(pause))
		if t.tell(ctx) {
			pause = min(2*pause, announcePause(t.Members()))
		} else {
			pause = min(2*pause, countPause)
		}
	}
}

// tell writes this router's presence, and counts all first when that is due; false when it could not.
func (t *Treasurer) tell(ctx context.Context) bool {
	if t.countDue() {
		return t.recount(ctx)
	}
	err := t.announce(ctx)
	if err != nil {
		t.log.WithFields(logrus.Fields{"event": "announce_failed", "error": err}).Debug("presence not written")
	}
	return err == nil
}

// countDue tells that the presences of all are to be read again: the more there are, the less often.
func (t *Treasurer) countDue() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	pause := time.Duration(t.countedBytes) * time.Second / countRate
	return t.countedAt.IsZero() || t.clock.Now().Sub(t.countedAt) >= pause
}

// recount counts the routers and tells of this one; false when either failed.
func (t *Treasurer) recount(ctx context.Context) bool {
	_, err := t.countOnce(ctx)
	if err != nil {
		t.log.WithFields(logrus.Fields{"event": "count_failed", "error": err}).Debug("routers not counted")
	}
	return err == nil
}

// countOnce counts the routers whose presences are young, this one included, tells the purse of them, and writes the own
// presence. What was counted holds whether or not that write succeeds.
func (t *Treasurer) countOnce(ctx context.Context) (int, error) {
	reading, err := t.store.Read(ctx, tableRouters, partRouters)
	if err != nil {
		return 0, err
	}
	own := int64(0)
	var peers []Peer
	alive := max(aliveFor, alivePauses*announcePause(len(reading.Rows))) + t.uncounted()
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
	t.counted(n, peers, reading, own)
	return n, t.announce(ctx)
}

// counted takes a count.
func (t *Treasurer) counted(n int, peers []Peer, reading masticway.RowReading, own int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers, t.members = peers, n
	t.countedAt, t.countedBytes = t.clock.Now(), reading.Bytes()
	t.presence = presenceRow{version: own, at: reading.StoreTime, since: t.countedAt}
	t.purse.Count(n, peers)
	t.metrics.Gauge(metricMembers, int64(n))
}

// uncounted is for how long this router has not counted the others, zero before it has for the first time.
func (t *Treasurer) uncounted() time.Duration {
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
	// at is the store's clock when this router's clock showed since; the store's may be a little further.
	at    time.Duration
	since time.Time
}

// announce writes this router's presence.
func (t *Treasurer) announce(ctx context.Context) error {
	t.mu.Lock()
	known := t.presence
	t.mu.Unlock()
	key := masticway.RowKey{Table: tableRouters, Part: partRouters, Key: t.self.Instance()}
	at := known.at + t.clock.Now().Sub(known.since)
	made, err := t.store.Write(ctx, masticway.RowWrite{
		Expected: []masticway.RowVersion{{RowKey: key, Version: known.version}},
		Puts:     []masticway.RowPut{{RowKey: key, Value: encode(Presence{Incarnation: t.self, Address: t.address, Zone: t.zone, Processors: t.processors, At: at})}},
	})
	if conflict, ok := errors.AsType[*masticway.RowConflictError](err); ok {
		// A write without an answer was made after all, or a predecessor's row was not read; the next write expects what is there.
		t.setPresence(versionOf(conflict.Rows, key))
		return nil
	}
	if err == nil {
		t.setPresence(made.Version)
	}
	return err
}

func (t *Treasurer) setPresence(version int64) {
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
