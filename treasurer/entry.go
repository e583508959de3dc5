package treasurer

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
)

// The table of eras has one row, which says when the current era of the store began.
const (
	tableEras = "masticway_eras"
	eraPart   = "era"
	eraKey    = "era"
)

// eraJitter is the range of the random time after which a router reads the row of the era, because all routers notice a new era at
// the same time.
const eraJitter = 200 * time.Millisecond

// EraRecord is the row with the start of the store's current era. A row that names another era is from a copy.
type EraRecord struct {
	Era int64 `json:"era"`
	// BeganAt is the store's time when the first router noticed the era.
	BeganAt time.Duration `json:"began_ns"`
	// Continued is set once a router that ran in an earlier era has noticed this one. Such a router writes again what it knows of
	// the grants of others. While Continued is not set, nobody alive knows what was lost with the earlier era.
	Continued bool `json:"continued,omitempty"`
}

// NoteVersion records a version of the store that another component has seen, so that a new era is noticed at once.
func (t *Treasurer) NoteVersion(version int64) {
	t.mu.Lock()
	isCurrent := t.planner.noteVersion(version)
	t.mu.Unlock()
	if !isCurrent {
		t.wakeUp()
	}
}

// enterEra reads when the store's current era began, or writes that it begins now, and passes that to the planner. It tries until
// it succeeds or the context is done.
func (t *Treasurer) enterEra(ctx context.Context) {
	isStarting := t.Members() == 0
	if !isStarting {
		t.sleep(ctx, rand.N(eraJitter))
	}
	for ctx.Err() == nil {
		err := t.tryEnterEra(ctx)
		if err == nil {
			break
		}
		t.log.WithFields(logrus.Fields{"event": "era_failed", "error": err}).Debug("start of the store's era not read")
		t.sleep(ctx, callRetryInterval)
	}
	t.mu.Lock()
	t.enteringEra = false
	t.mu.Unlock()
	t.wakeUp()
	if !isStarting {
		t.tryCount(ctx)
	}
}

func (t *Treasurer) tryEnterEra(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := masticway.RowKey{Table: tableEras, Part: eraPart, Key: eraKey}
	row, reading, err := t.readRow(ctx, key)
	if err != nil {
		return err
	}
	record, err := decode[EraRecord](row)
	if err != nil {
		return err
	}
	era := masticway.StoreEra(reading.Version)
	t.mu.Lock()
	previous := t.planner.Era()
	t.mu.Unlock()
	next := record
	if record.Era != era {
		next = EraRecord{Era: era, BeganAt: reading.StoreTime}
	}
	next.Continued = next.Continued || previous < era
	if next != record {
		if err := t.writeEra(ctx, row, next); err != nil {
			return err
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	settleTime := eraSettleTime + time.Duration(t.members)*eraSettleTimePerRouter
	settledAt := now.Add(min(settleTime, next.BeganAt+settleTime-reading.StoreTime))
	t.planner.EnterEra(now, EraStart{Era: era, StoreTime: reading.StoreTime, SettledAt: settledAt})
	t.eraContinued, t.eraBeganAt = next.Continued, next.BeganAt
	if previous < era {
		t.enterPresenceEra(now, reading)
	}
	t.log.WithFields(logrus.Fields{
		"event": "era_entered", "era": era, "previous": previous, "continued": next.Continued, "settled_in_ms": settledAt.Sub(now).Milliseconds(),
	}).Info("grants of earlier eras of the store are written again")
	return nil
}

// writeEra replaces the row of the era. It fails if another router has replaced it.
func (t *Treasurer) writeEra(ctx context.Context, row masticway.StoredRow, next EraRecord) error {
	_, err := t.store.Write(ctx, masticway.RowWrite{
		Expected: []masticway.RowVersion{{RowKey: row.RowKey, Version: row.Version}},
		Puts:     []masticway.RowPut{{RowKey: row.RowKey, Value: encode(next)}},
	})
	return err
}

// awaitSettled waits until grants may grow. It returns false if the context is done first.
func (t *Treasurer) awaitSettled(ctx context.Context) bool {
	for ctx.Err() == nil {
		t.mu.Lock()
		settled := t.planner.isSettled(t.clock.Now())
		t.mu.Unlock()
		if settled {
			return true
		}
		t.sleep(ctx, tickInterval)
	}
	return false
}

// closeStrays closes grants of earlier incarnations of this instance that an earlier era of the store has lost track of.
func (t *Treasurer) closeStrays(ctx context.Context, strays []Stray) {
	for _, s := range strays {
		t.log.WithFields(logrus.Fields{"event": "grant_found_open", "incarnation": s.Incarnation, "workspace": s.Workspace}).Info("closing a grant that the store has lost track of")
		t.closeGrant(ctx, EndedIncarnation{Incarnation: s.Incarnation}, s.Workspace, presumeAll)
	}
}

// errEraChanged reports that a call was made for rows of another era of the store.
var errEraChanged = errors.New("the store has returned from a copy")
