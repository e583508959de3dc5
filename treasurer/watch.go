package treasurer

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
)

const (
	// feedMost is what the feed of all accounts may take of a router's link, in bytes a second: it has every change of every
	// workspace, so that in a large fleet each router would read what all others write. Above it a router reads only the parts
	// of the workspaces that it holds, one after the other.
	feedMost = 60 << 10
	// firstReads bounds the parts that all routers together read as they start: what the smallest stores answer in two seconds.
	firstReads = 4000
	// partsPause is how often each of these parts is read, partsPauseEach what each router adds to it, partsFor how long before
	// the feed is tried again. What others change meanwhile a holder learns from the conflicts of its own changes.
	partsPause     = 4 * time.Second
	partsPauseEach = 30 * time.Millisecond
	partsFor       = 2 * time.Minute
)

// follow learns what other routers do to the workspaces, so that reserves shrink in time and money comes back.
func (t *Treasurer) follow(ctx context.Context) {
	for ctx.Err() == nil {
		t.followFeed(ctx)
		t.log.WithFields(logrus.Fields{"event": "accounts_by_parts", "for_ms": partsFor.Milliseconds()}).Info("the feed of all accounts takes too much; own parts are read")
		t.readOwnParts(ctx, t.clock.Now().Add(partsFor))
	}
}

// followFeed follows the changes of all accounts until the context ends or they take too much.
func (t *Treasurer) followFeed(ctx context.Context) {
	since := int64(0)
	read := average{}
	for ctx.Err() == nil {
		var reading masticway.RowReading
		var err error
		if since == 0 {
			reading, err = t.readParts(ctx, t.firstParts())
		} else {
			reading, err = t.store.Watch(ctx, masticway.WatchRequest{Table: tableAccounts, Since: since, MaxWait: followWait})
			read.add(t.clock.Now(), float64(reading.Bytes()))
		}
		if _, lost := errors.AsType[*masticway.HistoryLostError](err); lost {
			since = 0
		}
		if err == nil {
			since = max(since, reading.Version)
			t.learn(reading.Rows)
		}
		if read.sum > feedMost*demandWindow.Seconds() {
			return
		}
		t.pause(ctx, followPause+time.Duration(t.Members())*followPauseEach)
	}
}

// readOwnParts reads the parts of the workspaces that this router holds, in turn, until some time.
func (t *Treasurer) readOwnParts(ctx context.Context, until time.Time) {
	for ctx.Err() == nil && t.clock.Now().Before(until) {
		parts := t.ownParts()
		pause := max(partsPause, time.Duration(t.Members())*partsPauseEach)
		for _, part := range parts {
			// A failure is logged, and the part read again in its turn.
			_ = t.step(ctx, Step{Part: part, sentAt: t.clock.Now()})
			t.pause(ctx, pause/time.Duration(len(parts)))
		}
		if len(parts) == 0 {
			t.pause(ctx, pause)
		}
	}
}

// firstParts lists the parts that are read before their changes are followed: all, unless the routers of a large fleet that start
// together would ask the store for too many.
func (t *Treasurer) firstParts() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	all, own := t.purse.parts(), t.purse.ownParts()
	if len(own) == 0 || len(all)*t.members <= firstReads {
		return all
	}
	return own
}

// ownParts lists the parts of the workspaces of which this router keeps money in hand.
func (t *Treasurer) ownParts() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.purse.ownParts()
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
		metricSteps, metricFailures, metricConflicts, metricExhausted, metricUnreachable, metricMembers, metricBorrowed,
		metricLent, metricNotRepaid, metricUnanswered, metricLendShort, metricLendLate, metricStated, metricRecalled,
	} {
		fields[name] = t.metrics.Count(name)
	}
	t.log.WithFields(fields).Info("money so far")
}
