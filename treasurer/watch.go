package treasurer

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
)

const (
	// maxWatchRate bounds the rate at which a router reads the watch of all accounts, in bytes a second averaged over
	// demandWindow. The watch returns every change of every workspace, so in a large fleet each router would read what all
	// others write. Above this rate a router only polls the parts that have its own workspaces.
	maxWatchRate = 60 << 10
	// maxInitialReads is the number of parts that all routers of a fleet together may read as they start; if there would be
	// more, a router reads only those with its own workspaces if it has any. It is what the smallest stores answer in two
	// seconds.
	maxInitialReads = 4000
	// partsInterval is how often each of these parts is read, or partsIntervalPerRouter times the number of routers if that
	// is longer. Meanwhile a holder learns of other routers' changes from the conflicts of its own. watchRetryInterval is how
	// long until the watch is tried again.
	partsInterval          = 4 * time.Second
	partsIntervalPerRouter = 30 * time.Millisecond
	watchRetryInterval     = 2 * time.Minute
)

// watchAccounts keeps the accounts up to date with other routers' changes, so that reserves shrink in time and returned
// tokens are found.
func (t *Treasurer) watchAccounts(ctx context.Context) {
	for ctx.Err() == nil {
		t.watchAllAccounts(ctx)
		t.log.WithFields(logrus.Fields{"event": "accounts_by_parts", "for_ms": watchRetryInterval.Milliseconds()}).Info("watch of all accounts exceeds its rate; polling own parts")
		t.pollOwnParts(ctx, t.clock.Now().Add(watchRetryInterval))
	}
}

// watchAllAccounts applies the changes of all accounts until the context is done or they exceed maxWatchRate.
func (t *Treasurer) watchAllAccounts(ctx context.Context) {
	since := int64(0)
	traffic := average{}
	for ctx.Err() == nil {
		var reading masticway.RowReading
		var err error
		if since == 0 {
			reading, err = t.readParts(ctx, t.initialParts())
		} else {
			reading, err = t.store.Watch(ctx, masticway.WatchRequest{Table: tableAccounts, Since: since, MaxWait: watchWait})
			traffic.add(t.clock.Now(), float64(reading.Bytes()))
		}
		if _, historyLost := errors.AsType[*masticway.HistoryLostError](err); historyLost {
			since = 0
		}
		if err == nil {
			since = max(since, reading.Version)
			t.applyChanges(reading.Rows)
		}
		if traffic.sum > maxWatchRate*demandWindow.Seconds() {
			return
		}
		t.sleep(ctx, watchInterval+time.Duration(t.Members())*watchIntervalPerRouter)
	}
}

// pollOwnParts reads the parts with this router's workspaces in turn, and returns after the first turn that ends at the given
// time or later, or once the context is done.
func (t *Treasurer) pollOwnParts(ctx context.Context, until time.Time) {
	for ctx.Err() == nil && t.clock.Now().Before(until) {
		parts := t.ownParts()
		interval := max(partsInterval, time.Duration(t.Members())*partsIntervalPerRouter)
		for _, part := range parts {
			// A failure is logged at the debug level, and the part is read again in the next turn.
			_ = t.runStoreCall(ctx, StoreCall{Part: part, sentAt: t.clock.Now()})
			t.sleep(ctx, interval/time.Duration(len(parts)))
		}
		if len(parts) == 0 {
			t.sleep(ctx, interval)
		}
	}
}

// initialParts lists the parts to read before the watch starts: all, unless the routers of a large fleet that start
// together would exceed maxInitialReads.
func (t *Treasurer) initialParts() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	all, own := t.planner.accountParts(), t.planner.ownParts()
	if len(own) == 0 || len(all)*t.members <= maxInitialReads {
		return all
	}
	return own
}

// ownParts lists the parts with workspaces of which this router has a grant or keeps a reserve.
func (t *Treasurer) ownParts() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.planner.ownParts()
}

// applyChanges passes changed rows to the planner, and seals the treasurer if one cannot be decoded.
func (t *Treasurer) applyChanges(rows []masticway.StoredRow) {
	t.mu.Lock()
	defer t.mu.Unlock()
	replies, err := t.planner.ApplyChanges(t.clock.Now(), rows)
	t.deliver(replies)
	if err != nil {
		t.seal(err)
	}
	t.wakeUp()
}

// readParts reads some parts of the accounts. The version to watch from is that of the first read, so that no change is
// missed.
func (t *Treasurer) readParts(ctx context.Context, parts []string) (masticway.RowReading, error) {
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

// logStatus logs the counters of store calls, verdicts, routers, loans and reports.
func (t *Treasurer) logStatus() {
	fields := logrus.Fields{"event": "money_status"}
	for _, name := range []string{
		metricStoreCalls, metricStoreFailures, metricConflicts, metricExhausted, metricUnreachable, metricRouters, metricBorrowed,
		metricLent, metricNotRepaid, metricUnanswered, metricLendShort, metricLendUncleared, metricReports, metricRecalled,
	} {
		fields[name] = t.metrics.Count(name)
	}
	t.log.WithFields(fields).Info("status of prepaid budgets")
}
