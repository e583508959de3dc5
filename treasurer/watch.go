package treasurer

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
)

const (
	// maxWatchRate is what the feed of all accounts may take of a router's link, in bytes a second: it has every change of every
	// workspace, so that in a large fleet each router would read what all others write. Above it a router reads only the parts
	// of the workspaces that it holds, one after the other.
	maxWatchRate = 60 << 10
	// maxInitialReads bounds the parts that all routers together read as they start: what the smallest stores answer in two seconds.
	maxInitialReads = 4000
	// partsInterval is how often each of these parts is read, partsIntervalPerRouter what each router adds to it, watchRetryInterval how long before
	// the feed is tried again. What others change meanwhile a holder learns from the conflicts of its own changes.
	partsInterval          = 4 * time.Second
	partsIntervalPerRouter = 30 * time.Millisecond
	watchRetryInterval     = 2 * time.Minute
)

// watchAccounts learns what other routers do to the workspaces, so that reserves shrink in time and money comes back.
func (t *Treasurer) watchAccounts(ctx context.Context) {
	for ctx.Err() == nil {
		t.watchAllAccounts(ctx)
		t.log.WithFields(logrus.Fields{"event": "accounts_by_parts", "for_ms": watchRetryInterval.Milliseconds()}).Info("the feed of all accounts takes too much; own parts are read")
		t.pollOwnParts(ctx, t.clock.Now().Add(watchRetryInterval))
	}
}

// watchAllAccounts follows the changes of all accounts until the context ends or they take too much.
func (t *Treasurer) watchAllAccounts(ctx context.Context) {
	since := int64(0)
	read := average{}
	for ctx.Err() == nil {
		var reading masticway.RowReading
		var err error
		if since == 0 {
			reading, err = t.readParts(ctx, t.initialParts())
		} else {
			reading, err = t.store.Watch(ctx, masticway.WatchRequest{Table: tableAccounts, Since: since, MaxWait: watchWait})
			read.add(t.clock.Now(), float64(reading.Bytes()))
		}
		if _, lost := errors.AsType[*masticway.HistoryLostError](err); lost {
			since = 0
		}
		if err == nil {
			since = max(since, reading.Version)
			t.applyChanges(reading.Rows)
		}
		if read.sum > maxWatchRate*demandWindow.Seconds() {
			return
		}
		t.sleep(ctx, watchInterval+time.Duration(t.Members())*watchIntervalPerRouter)
	}
}

// pollOwnParts reads the parts of the workspaces that this router holds, in turn, until some time.
func (t *Treasurer) pollOwnParts(ctx context.Context, until time.Time) {
	for ctx.Err() == nil && t.clock.Now().Before(until) {
		parts := t.ownParts()
		pause := max(partsInterval, time.Duration(t.Members())*partsIntervalPerRouter)
		for _, part := range parts {
			// A failure is logged, and the part read again in its turn.
			_ = t.runStep(ctx, Step{Part: part, sentAt: t.clock.Now()})
			t.sleep(ctx, pause/time.Duration(len(parts)))
		}
		if len(parts) == 0 {
			t.sleep(ctx, pause)
		}
	}
}

// initialParts lists the parts that are read before their changes are followed: all, unless the routers of a large fleet that start
// together would ask the store for too many.
func (t *Treasurer) initialParts() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	all, own := t.planner.accountParts(), t.planner.ownParts()
	if len(own) == 0 || len(all)*t.members <= maxInitialReads {
		return all
	}
	return own
}

// ownParts lists the parts of the workspaces of which this router keeps money in hand.
func (t *Treasurer) ownParts() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.planner.ownParts()
}

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

// readParts reads some parts of the accounts; the version to follow from is that of the first reading, so that nothing is missed.
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

// logStatus writes what the money cost and brought so far, in calls and tokens.
func (t *Treasurer) logStatus() {
	fields := logrus.Fields{"event": "money_status"}
	for _, name := range []string{
		metricStoreCalls, metricStoreFailures, metricConflicts, metricExhausted, metricUnreachable, metricRouters, metricBorrowed,
		metricLent, metricNotRepaid, metricUnanswered, metricLendShort, metricLendUncleared, metricReports, metricRecalled,
	} {
		fields[name] = t.metrics.Count(name)
	}
	t.log.WithFields(fields).Info("money so far")
}
