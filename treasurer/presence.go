package treasurer

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
)

// The policy of counting: which routers share the money and the retries.
const (
	// aliveFor is how old the presence of a router may be that counts, beyond the time for which this router has not
	// counted itself: after an outage all are old, and routers that took themselves for alone would each use the retries
	// that are meant for all.
	aliveFor = 12 * time.Second
)

// The mechanics of counting: the pace of its calls.
const (
	// countFirst is the pause before routers are counted again after a start, when most of them may be starting too; it
	// doubles up to countPause, at which each writes its presence and reads that of all: two calls in that time.
	countFirst = 300 * time.Millisecond
	countPause = 3 * time.Second
)

// count keeps the number of routers, and tells them of this one.
func (t *Treasurer) count(ctx context.Context) {
	pause := countFirst
	for ctx.Err() == nil {
		t.logStatus()
		t.pause(ctx, pause)
		if t.recount(ctx) {
			pause = min(countPause, 2*pause)
		}
	}
}

// recount counts the routers and tells the purse of them; it returns false when the store did not answer.
func (t *Treasurer) recount(ctx context.Context) bool {
	n, err := t.countOnce(ctx)
	if err != nil {
		t.log.WithFields(logrus.Fields{"event": "count_failed", "error": err}).Debug("routers not counted")
		return false
	}
	t.mu.Lock()
	t.members = n
	t.purse.Count(t.members, t.peers)
	t.mu.Unlock()
	t.metrics.Gauge(metricMembers, int64(n))
	return true
}

// countOnce writes this router's presence and counts those that are young, itself included.
func (t *Treasurer) countOnce(ctx context.Context) (int, error) {
	reading, err := t.store.Read(ctx, tableRouters, partRouters)
	if err != nil {
		return 0, err
	}
	key := masticway.RowKey{Table: tableRouters, Part: partRouters, Key: t.self.Instance()}
	own := masticway.StoredRow{RowKey: key}
	var peers []Peer
	silence := t.uncounted()
	n := 1
	for _, r := range reading.Rows {
		if r.Key == key.Key {
			own = r
			continue
		}
		p, err := decode[Presence](r)
		if err != nil {
			t.log.WithFields(logrus.Fields{"event": "presence_unreadable", "instance_of": r.Key, "error": err}).Warn("router not counted")
			continue
		}
		if reading.At-p.At >= aliveFor+silence {
			continue
		}
		n++
		if p.Address != "" {
			peers = append(peers, Peer{Witness: Witness{Incarnation: p.Incarnation, Address: p.Address}, Zone: p.Zone, Processors: p.Processors})
		}
	}
	slices.SortFunc(peers, func(x, y Peer) int { return cmp.Compare(x.Incarnation, y.Incarnation) })
	t.mu.Lock()
	t.peers = peers
	t.countedAt = t.clock.Now()
	t.mu.Unlock()
	return n, t.announce(ctx, own, reading.At)
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

// announce writes this router's presence over a row.
func (t *Treasurer) announce(ctx context.Context, row masticway.StoredRow, now time.Duration) error {
	_, err := t.store.Write(ctx, masticway.RowWrite{
		Expected: []masticway.RowVersion{{RowKey: row.RowKey, Version: row.Version}},
		Puts:     []masticway.RowPut{{RowKey: row.RowKey, Value: encode(Presence{Incarnation: t.self, Address: t.address, Zone: t.zone, Processors: t.processors, At: now})}},
	})
	if _, ok := errors.AsType[*masticway.RowConflictError](err); ok {
		// A write without an answer was made after all, or a successor has come; the next reading tells.
		return nil
	}
	return err
}
