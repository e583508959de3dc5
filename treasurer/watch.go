package treasurer

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
)

// follow learns what other routers do to the workspaces, so that reserves shrink in time and money comes back.
func (t *Treasurer) follow(ctx context.Context) {
	since := int64(0)
	for ctx.Err() == nil {
		var reading masticway.RowReading
		var err error
		if since == 0 {
			reading, err = t.readAccounts(ctx)
		} else {
			reading, err = t.store.Follow(ctx, masticway.Following{Table: tableAccounts, Since: since, Wait: followWait})
		}
		if _, lost := errors.AsType[*masticway.HistoryLostError](err); lost {
			since = 0
		}
		if err == nil {
			since = max(since, reading.Version)
			t.learn(reading.Rows)
		}
		t.pause(ctx, followPause+time.Duration(t.Members())*followPauseEach)
	}
}

func (t *Treasurer) learn(rows []masticway.StoredRow) {
	t.mu.Lock()
	defer t.mu.Unlock()
	replies, err := t.purse.Learn(t.clock.Now(), rows)
	t.answer(replies)
	if err != nil {
		t.fault(err)
	}
	t.stir()
}

// readAccounts reads the parts of all known workspaces; the version to follow from is that of the first reading, so that
// nothing is missed.
func (t *Treasurer) readAccounts(ctx context.Context) (masticway.RowReading, error) {
	t.mu.Lock()
	parts := t.purse.parts()
	t.mu.Unlock()
	var all masticway.RowReading
	for i, part := range parts {
		reading, err := t.store.Read(ctx, tableAccounts, part)
		if err != nil {
			return all, err
		}
		all.Rows = append(all.Rows, reading.Rows...)
		if i == 0 {
			all.Version = reading.Version
		}
	}
	return all, nil
}

// logStatus writes what the money cost and brought so far, in calls and tokens.
func (t *Treasurer) logStatus() {
	fields := logrus.Fields{"event": "money_status"}
	for _, name := range []string{
		metricSteps, metricFailures, metricConflicts, metricExhausted, metricUnreachable, metricMembers, metricBorrowed,
		metricLent, metricNotRepaid, metricUnanswered, metricLendShort, metricLendLate, metricStated, metricRecalled,
	} {
		fields[name] = t.metrics.Count(name)
	}
	t.log.WithFields(fields).Info("money so far")
}
