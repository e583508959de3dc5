package treasurer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
)

// takeOver takes over the instance's book; it returns false when the context ended first.
func (t *Treasurer) takeOver(ctx context.Context) bool {
	for ctx.Err() == nil {
		err := t.tryTakeOver(ctx)
		if err == nil {
			return true
		}
		t.log.WithFields(logrus.Fields{"event": "money_begin_failed", "incarnation": t.self, "error": err}).Debug("book not taken over")
		t.sleep(ctx, callRetryInterval)
	}
	return false
}

func (t *Treasurer) tryTakeOver(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	t.mu.Lock()
	key := t.planner.checkpointKey()
	t.mu.Unlock()
	// The store's clock is read after the call is sent, so this is never earlier than the true time.
	age := t.clock.Now().Sub(t.listeningAt)
	row, at, err := t.readRow(ctx, key)
	if err != nil {
		return err
	}
	t.mu.Lock()
	write, err := t.planner.TakeOver(row, at, at-age)
	t.mu.Unlock()
	if err != nil {
		return err
	}
	made, err := t.store.Write(ctx, write)
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.planner.CompleteTakeOver(t.clock.Now(), made.Version, made.StoreTime)
	t.log.WithFields(logrus.Fields{
		"event": "money_begun", "incarnation": t.self, "predecessors": len(t.planner.Predecessors()),
	}).Info("book taken over")
	return nil
}

// closePredecessors ends the grants of this instance's earlier incarnations.
func (t *Treasurer) closePredecessors(ctx context.Context) {
	t.mu.Lock()
	ended := t.planner.Predecessors()
	t.mu.Unlock()
	var closing sync.WaitGroup
	places := make(chan struct{}, maxConcurrentClosings)
	for _, e := range ended {
		for workspace, spent := range t.presumeSpent(ctx, e) {
			closing.Go(func() {
				places <- struct{}{}
				defer func() { <-places }()
				t.closeGrant(ctx, e, workspace, spent)
			})
		}
	}
	closing.Wait()
	if ctx.Err() != nil || len(ended) == 0 {
		return
	}
	t.mu.Lock()
	t.planner.ForgetPredecessors()
	t.mu.Unlock()
}

// closeGrant closes one grant, however often other routers change the row meanwhile.
func (t *Treasurer) closeGrant(ctx context.Context, ended EndedIncarnation, workspace string, spent int64) {
	key := accountKey(workspace, t.parts)
	row, known := masticway.StoredRow{RowKey: key}, false
	waited := false
	for ctx.Err() == nil {
		var err error
		if !known {
			row, _, err = t.readRow(ctx, key)
			known = err == nil
		}
		grants := len(ReadAccount(row).Grants)
		if known && grants >= contendedGrants && !waited {
			waited = true
			t.sleepForContention(ctx, grants)
			known = false
			continue
		}
		if known {
			err = t.tryCloseGrant(ctx, row, ended, workspace, spent)
		}
		if err == nil {
			return
		}
		if conflict, ok := errors.AsType[*masticway.RowConflictError](err); ok && len(conflict.Rows) == 1 {
			row = conflict.Rows[0]
			t.sleepForContention(ctx, grants)
			// The row has changed again by the time that others need for theirs.
			known = grants < contendedGrants
			continue
		}
		known = false
		t.sleep(ctx, callRetryInterval)
	}
}

// sleepForContention waits for a random part of the time that the holders of so many grants of a row need for one write each
// to it: where all of them close grants at once, writes that meet would use up the store's rate.
func (t *Treasurer) sleepForContention(ctx context.Context, grants int) {
	if longest := time.Duration(grants) * closingInterval; longest > 0 {
		t.sleep(ctx, time.Duration(rand.Int64N(int64(longest))))
	}
}

// readRow reads one row, with version zero when there is none, and the store's clock.
func (t *Treasurer) readRow(ctx context.Context, key masticway.RowKey) (masticway.StoredRow, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reading, err := t.store.Read(ctx, key.Table, key.Part)
	for _, r := range reading.Rows {
		if r.Key == key.Key {
			return r, reading.StoreTime, err
		}
	}
	return masticway.StoredRow{RowKey: key}, reading.StoreTime, err
}

func (t *Treasurer) tryCloseGrant(ctx context.Context, row masticway.StoredRow, ended EndedIncarnation, workspace string, spent int64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	write, grant, err := CloseGrant(row, ended.Incarnation, spent)
	if err != nil {
		return err
	}
	if _, err = t.store.Write(ctx, write); err != nil {
		return fmt.Errorf("closing the grant of %s: %w", ended.Incarnation, err)
	}
	t.log.WithFields(logrus.Fields{
		"event": "grant_closed", "incarnation": ended.Incarnation, "workspace": workspace, "granted": grant.Granted,
		"presumed": min(spent, grant.Granted), "taken": ended.Taken[workspace], "written": ended.MaxUnwitnessed[workspace],
		"silent_ms": ended.SinceBasis.Milliseconds(),
	}).Info("grant of an ended incarnation closed")
	return nil
}
