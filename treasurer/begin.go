package treasurer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
)

// takeOver replaces the checkpoint of the instance's previous incarnation, and tries until it succeeds. It returns false if
// the context is done first.
func (t *Treasurer) takeOver(ctx context.Context) bool {
	for ctx.Err() == nil {
		err := t.tryTakeOver(ctx)
		if err == nil {
			return true
		}
		t.log.WithFields(logrus.Fields{"event": "money_begin_failed", "incarnation": t.self, "error": err}).Debug("checkpoint not taken over")
		if !isRejected(err) {
			t.sleep(ctx, callRetryInterval)
			continue
		}
		t.mu.Lock()
		t.planner.NoteTakeOverRejected()
		t.deliver(t.planner.ServeQueues(t.clock.Now()))
		t.mu.Unlock()
		t.sleep(ctx, rejectedRetryInterval)
	}
	return false
}

// tryTakeOver reads the instance's checkpoint and replaces it by the first one of this incarnation. It tries once.
func (t *Treasurer) tryTakeOver(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	t.mu.Lock()
	instance := t.planner.settings.Incarnation.Instance()
	t.mu.Unlock()
	// The store reads its clock after the call is sent. So the time at which listening began, which is computed from that
	// clock, is never too early.
	listeningFor := t.clock.Now().Sub(t.listeningAt)
	rows, reading, err := ReadCheckpoint(ctx, t.store, instance, t.parts)
	if err != nil {
		return err
	}
	t.mu.Lock()
	write, err := t.planner.TakeOver(rows, masticway.StoreEra(reading.Version), reading.StoreTime, reading.StoreTime-listeningFor)
	t.mu.Unlock()
	if err != nil {
		return err
	}
	written, err := t.store.Write(ctx, write)
	if err != nil {
		return err
	}
	if masticway.StoreEra(written.Version) != masticway.StoreEra(reading.Version) {
		return errEraChanged
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.planner.CompleteTakeOver(t.clock.Now(), written.Version, written.StoreTime)
	t.log.WithFields(logrus.Fields{
		"event": "money_begun", "incarnation": t.self, "predecessors": len(t.planner.Predecessors()),
	}).Info("checkpoint taken over")
	return nil
}

// closePredecessors closes the grants of this instance's earlier incarnations. Once all are closed, it makes the next
// checkpoint omit these incarnations. It returns early if the context is done.
func (t *Treasurer) closePredecessors(ctx context.Context) {
	if !t.awaitSettled(ctx) {
		return
	}
	t.mu.Lock()
	ended := t.planner.Predecessors()
	t.mu.Unlock()
	if slices.ContainsFunc(ended, func(e EndedIncarnation) bool { return e.FromCopy }) {
		// Meanwhile another router may have continued the era, or the store may have returned again.
		t.enterEra(ctx)
		if !t.awaitSettled(ctx) {
			return
		}
	}
	var closing sync.WaitGroup
	for _, e := range ended {
		closing.Go(func() { t.closeGrants(ctx, e, t.presumeSpent(ctx, e)) })
	}
	closing.Wait()
	if ctx.Err() != nil || len(ended) == 0 {
		return
	}
	t.mu.Lock()
	t.planner.ForgetPredecessors()
	t.mu.Unlock()
}

// closeGrants closes the grants of an ended incarnation, given what it has spent by workspace.
func (t *Treasurer) closeGrants(ctx context.Context, ended EndedIncarnation, spent map[string]int64) {
	var closing sync.WaitGroup
	for workspace, amount := range spent {
		closing.Go(func() {
			t.closingSlots <- struct{}{}
			defer func() { <-t.closingSlots }()
			t.closeGrant(ctx, ended, workspace, amount)
		})
	}
	closing.Wait()
}

// closeGrant closes the grant that an ended incarnation has of a workspace. It tries again after each failure until the
// context is done. A conflict returns the current row, which is used for the next attempt. If the row has contendedGrants or
// more, it is read again instead, because other routers will have changed it by then.
func (t *Treasurer) closeGrant(ctx context.Context, ended EndedIncarnation, workspace string, spent int64) {
	key := accountKey(workspace, t.parts)
	row, known := masticway.StoredRow{RowKey: key}, false
	var reading masticway.RowReading
	waited := false
	for ctx.Err() == nil {
		var err error
		if !known {
			row, reading, err = t.readRow(ctx, key)
			known = err == nil
		}
		account := ReadAccount(row)
		grants := len(account.Grants)
		if _, open := account.Grants[ended.Incarnation]; known && !open && ended.MaxSpent == nil {
			return
		}
		if _, closed := account.Ended[ended.Incarnation]; known && closed {
			return
		}
		if known && grants >= contendedGrants && !waited {
			waited = true
			t.sleepForContention(ctx, grants)
			known = false
			continue
		}
		if known {
			isLost := spent < presumeAll && masticway.StoreEra(reading.Version) > ended.Era
			err = t.tryCloseGrant(ctx, row, ended, workspace, spent, isLost)
		}
		if err == nil {
			return
		}
		if conflict, ok := errors.AsType[*masticway.RowConflictError](err); ok && len(conflict.Rows) == 1 {
			row, reading.Version = conflict.Rows[0], conflict.Version
			t.sleepForContention(ctx, grants)
			// Many writers will have changed the row again by now.
			known = grants < contendedGrants
			continue
		}
		known = false
		t.sleep(ctx, callRetryInterval)
	}
}

// sleepForContention sleeps for a random time of at most closingInterval times the number of grants in a row. In the
// maximum, each router with a grant can write the row twice. Without the sleep, routers that close grants at the same time
// would exhaust the store's rate with conflicting writes.
func (t *Treasurer) sleepForContention(ctx context.Context, grants int) {
	if span := time.Duration(grants) * closingInterval; span > 0 {
		t.sleep(ctx, time.Duration(rand.Int64N(int64(span))))
	}
}

// readRow reads one row and returns it with the reading of its part. If the row does not exist, it returns one with version zero.
func (t *Treasurer) readRow(ctx context.Context, key masticway.RowKey) (masticway.StoredRow, masticway.RowReading, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reading, err := t.store.Read(ctx, key.Table, key.Part)
	for _, r := range reading.Rows {
		if r.Key == key.Key {
			return r, reading, err
		}
	}
	return masticway.StoredRow{RowKey: key}, reading, err
}

// tryCloseGrant writes the given row without the ended incarnation's grant. row must be the row as it was last read.
func (t *Treasurer) tryCloseGrant(ctx context.Context, row masticway.StoredRow, ended EndedIncarnation, workspace string, spent int64, isLost bool) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	t.mu.Lock()
	at := t.storeTime()
	t.mu.Unlock()
	write, grant, err := CloseGrant(row, ended.Incarnation, spent, at, isLost)
	if err != nil {
		return err
	}
	if _, err = t.store.Write(ctx, write); err != nil {
		return fmt.Errorf("closing the grant of %s: %w", ended.Incarnation, err)
	}
	t.mu.Lock()
	closed := ClosedGrant{Spent: min(spent, grant.Granted), At: at}
	if isLost {
		closed.Spent = spent
	}
	t.planner.NoteClosed(t.clock.Now(), ended.Incarnation, workspace, closed)
	t.mu.Unlock()
	t.log.WithFields(logrus.Fields{
		"event": "grant_closed", "incarnation": ended.Incarnation, "workspace": workspace, "granted": grant.Granted,
		"presumed": closed.Spent, "grant_lost": isLost, "taken": ended.Limits[workspace].Taken, "written": ended.MaxUnwitnessed[workspace],
		"silent_ms": ended.SinceBasis.Milliseconds(),
	}).Info("grant of an ended incarnation closed")
	return nil
}
