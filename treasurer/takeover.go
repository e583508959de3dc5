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

// takeOver takes over the instance's checkpoint; it returns false if the context was done first.
func (t *Treasurer) takeOver(ctx context.Context) bool {
	for ctx.Err() == nil {
		err := t.tryTakeOver(ctx)
		if err == nil {
			return true
		}
		t.log.WithFields(logrus.Fields{"event": "money_begin_failed", "incarnation": t.self, "error": err}).Debug("checkpoint not taken over")
		t.sleep(ctx, callRetryInterval)
	}
	return false
}

// tryTakeOver reads the instance's checkpoint and replaces it by the first one of this incarnation.
func (t *Treasurer) tryTakeOver(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	t.mu.Lock()
	key := t.planner.checkpointKey()
	t.mu.Unlock()
	// The store's clock is read after the call is sent, so the start of listening that is computed from it is never too
	// early.
	listeningFor := t.clock.Now().Sub(t.listeningAt)
	row, at, err := t.readRow(ctx, key)
	if err != nil {
		return err
	}
	t.mu.Lock()
	write, err := t.planner.TakeOver(row, at, at-listeningFor)
	t.mu.Unlock()
	if err != nil {
		return err
	}
	written, err := t.store.Write(ctx, write)
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.planner.CompleteTakeOver(t.clock.Now(), written.Version, written.StoreTime)
	t.log.WithFields(logrus.Fields{
		"event": "money_begun", "incarnation": t.self, "predecessors": len(t.planner.Predecessors()),
	}).Info("checkpoint taken over")
	return nil
}

// closePredecessors closes the grants of this instance's earlier incarnations. Once all are closed, the next checkpoint omits
// these incarnations.
func (t *Treasurer) closePredecessors(ctx context.Context) {
	t.mu.Lock()
	ended := t.planner.Predecessors()
	t.mu.Unlock()
	var closing sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentClosings)
	for _, e := range ended {
		for workspace, spent := range t.presumeSpent(ctx, e) {
			closing.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
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

// closeGrant closes one grant, trying again after each failure until the context is done. A conflict with a change by another
// router returns the row, so unless there are too many such changes it need not be read again.
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
			// With many writers the row will have changed again by now.
			known = grants < contendedGrants
			continue
		}
		known = false
		t.sleep(ctx, callRetryInterval)
	}
}

// sleepForContention sleeps for a random part of the time in which the holders of that many grants of a row can each write it
// twice. Where all of them close grants at once, conflicting writes would exhaust the store's rate.
func (t *Treasurer) sleepForContention(ctx context.Context, grants int) {
	if span := time.Duration(grants) * closingInterval; span > 0 {
		t.sleep(ctx, time.Duration(rand.Int64N(int64(span))))
	}
}

// readRow reads one row, with version zero if it does not exist, and the store's clock.
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

// tryCloseGrant closes one grant in a row that was read.
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
