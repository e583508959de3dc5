package treasurer

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
)

const (
	// maxWatchRate is the maximum rate at which a router reads the watch of all accounts, in bytes a second averaged over
	// demandWindow. The watch returns every change of every workspace, so in a large fleet each router would read what all
	// others write. A router that exceeds the rate polls only the parts with its own workspaces for watchRetryInterval.
	maxWatchRate = 60 << 10
	// maxInitialReads is the maximum number of reads of parts that all routers of a fleet together make if they start at the
	// same time. If reading all parts would exceed it, a router reads only the parts with its own workspaces, if it has any.
	// The smallest stores answer this number of reads in two seconds.
	maxInitialReads = 4000
	// partsInterval is how often a router that polls reads each part with its own workspaces. partsIntervalPerRouter times
	// the number of routers replaces it if that is longer. Between polls a holder learns of other routers' changes from the
	// conflicts of its own writes. watchRetryInterval is how long a router polls until it tries the watch again.
	partsInterval          = 4 * time.Second
	partsIntervalPerRouter = 30 * time.Millisecond
	watchRetryInterval     = 2 * time.Minute
)

// watchAccounts passes other routers' changes of the accounts to the planner, until the context is done. From them the
// planner learns that less of a budget is left, or that tokens were returned.
func (t *Treasurer) watchAccounts(ctx context.Context) {
	for ctx.Err() == nil {
		t.watchAllAccounts(ctx)
		t.log.WithFields(logrus.Fields{"event": "accounts_by_parts", "for_ms": watchRetryInterval.Milliseconds()}).Info("watch of all accounts exceeds its rate; polling own parts")
		t.pollOwnParts(ctx, t.clock.Now().Add(watchRetryInterval))
	}
}

// watchAllAccounts watches the changes of all accounts and applies them. It returns once the context is done or the watch
// exceeds maxWatchRate.
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
			t.applyChanges(reading)
		}
		if traffic.sum > maxWatchRate*demandWindow.Seconds() {
			return
		}
		t.sleep(ctx, watchInterval+time.Duration(t.Members())*watchIntervalPerRouter)
	}
}

// pollOwnParts reads the parts with this router's workspaces one after the other, and then begins again with the first. It
// returns once it has read all of them and the time until has come, or once the context is done.
func (t *Treasurer) pollOwnParts(ctx context.Context, until time.Time) {
	for ctx.Err() == nil && t.clock.Now().Before(until) {
		parts := t.ownParts()
		interval := max(partsInterval, time.Duration(t.Members())*partsIntervalPerRouter)
		for _, part := range parts {
			// runStoreCall logs a failure at the debug level. The part is read again in the next turn.
			_ = t.runStoreCall(ctx, t.readCall(part))
			t.sleep(ctx, interval/time.Duration(len(parts)))
		}
		if len(parts) == 0 {
			t.sleep(ctx, interval)
		}
	}
}

// readCall returns a call that reads a part.
func (t *Treasurer) readCall(part string) StoreCall {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.planner.ReadCall(t.clock.Now(), part)
}

// initialParts lists the parts to read before the watch starts: all that have workspaces. If all routers together would
// exceed maxInitialReads, it is only the parts with this router's own workspaces, if there are any.
func (t *Treasurer) initialParts() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	all, own := t.planner.accountParts(), t.planner.ownParts()
	if len(own) == 0 || len(all)*t.members <= maxInitialReads {
		return all
	}
	return own
}

// ownParts lists the parts with this router's own workspaces: those of which it has a grant or keeps a reserve.
func (t *Treasurer) ownParts() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.planner.ownParts()
}

// applyChanges passes changed rows to the planner. It seals the treasurer if a row cannot be decoded.
func (t *Treasurer) applyChanges(reading masticway.RowReading) {
	t.mu.Lock()
	defer t.mu.Unlock()
	replies, err := t.planner.ApplyChanges(t.clock.Now(), reading)
	t.deliver(replies)
	if err != nil {
		t.seal(err)
	}
	t.wakeUp()
}

// readParts reads the given parts of the accounts one after the other. It returns the version of the first read. The watch starts
// from that version, so that it misses no change made during the later reads.
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
		if masticway.StoreEra(reading.Version) != masticway.StoreEra(all.Version) {
			return all, errEraChanged
		}
	}
	return all, nil
}

// logStatus logs the counters of store calls, verdicts, routers, loans and reports, and how many routers divide the fixed retries.
func (t *Treasurer) logStatus() {
	fields := logrus.Fields{"event": "money_status"}
	for _, name := range []string{
		metricStoreCalls, metricStoreFailures, metricConflicts, metricExhausted, metricUnreachable, metricRouters, metricBorrowed,
		metricLent, metricNotRepaid, metricUnanswered, metricLendShort, metricLendUncleared, metricReports, metricRecalled,
	} {
		fields[name] = t.metrics.Count(name)
	}
	fields["retry_sharers"] = t.RetrySharers()
	t.log.WithFields(fields).Info("status of prepaid budgets")
}
