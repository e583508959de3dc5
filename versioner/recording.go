package versioner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Record records the version at which an attempt of a caller began a stream, and reports whether the stream may go to the caller. It
// returns once another router has the version, or, if none acknowledges it within recordTimeout, once no other router can take the pool
// for settled on a version that came before, or false if the context ends first. While the pool is settled on the version, it is kept
// here only.
func (v *Versioner) Record(ctx context.Context, pool, attempt, version string) bool {
	r := Record{Stream: Stream{Pool: pool, Attempt: attempt}, Version: version}
	if v.recordSettled(r) {
		return true
	}
	keepers := v.keepers(attempt, keeperCount)
	if len(keepers) == 0 {
		return true
	}
	if v.deliver(ctx, keepers, r) {
		v.Metrics.Add(metricRecorded, 1)
		return true
	}
	began := v.Clock.Now()
	ok := v.awaitKnown(ctx, r)
	v.reportUnrecorded(r, len(keepers), v.Clock.Now().Sub(began), ok)
	return ok
}

// deliver sends a version to its keepers and reports whether one of them acknowledged it within recordTimeout. The others have
// deliveryTimeout. What none of them acknowledges by then is sent again by flush.
func (v *Versioner) deliver(ctx context.Context, keepers []string, r Record) bool {
	kept := make(chan bool, len(keepers))
	background, cancel := context.WithTimeout(context.WithoutCancel(ctx), deliveryTimeout)
	var deliveries sync.WaitGroup
	for _, address := range keepers {
		v.Metrics.Add(metricMessages, 1)
		deliveries.Go(func() {
			ok := v.Routers.Record(background, address, []Record{r}) == nil
			if ok {
				v.acknowledge([]Record{r})
			}
			kept <- ok
		})
	}
	go func() {
		deliveries.Wait()
		cancel()
		v.keepUnsent([]Record{r})
	}()
	timeout := v.Clock.After(recordTimeout)
	for range keepers {
		select {
		case ok := <-kept:
			if ok {
				return true
			}
		case <-timeout:
			return false
		}
	}
	return false
}

// awaitKnown waits until another router has acknowledged a version or none can take the pool for settled on an earlier one. It returns
// false if the context ends first.
func (v *Versioner) awaitKnown(ctx context.Context, r Record) bool {
	for {
		v.mu.Lock()
		isKnown := v.notes.IsAcknowledged(r.Stream) || !v.Clock.Now().Before(v.history.KnownAt(r.Stream.Pool, r.Version))
		v.mu.Unlock()
		if isKnown {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-v.Clock.After(confirmInterval):
		}
	}
}

// recordSettled keeps a version here and reports whether it need not be sent to other routers now, because the pool is settled on it.
func (v *Versioner) recordSettled(r Record) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.Clock.Now()
	v.ledger.Add(now, r)
	if settled, ok := v.history.Settled(now, r.Stream.Pool); ok && settled == r.Version {
		v.notes.RecordUnsent(now, r)
		return true
	}
	v.notes.Record(now, r)
	return false
}

// flush sends the unsent versions of the pools that are not settled to their keepers. What none of them acknowledges stays unsent.
func (v *Versioner) flush(ctx context.Context) {
	records := v.dueRecords()
	if len(records) == 0 {
		return
	}
	batches := map[string][]Record{}
	for _, r := range records {
		for _, address := range v.keepers(r.Stream.Attempt, keeperCount) {
			batches[address] = append(batches[address], r)
		}
	}
	v.Log.WithFields(logrus.Fields{"event": "streams_recorded_late", "streams": len(records), "keepers": len(batches)}).Info("a pool is not settled on one software version")
	ctx, cancel := context.WithTimeout(ctx, deliveryTimeout)
	defer cancel()
	var deliveries sync.WaitGroup
	for address, batch := range batches {
		deliveries.Go(func() {
			for part := range slices.Chunk(batch, maxBatch) {
				v.Metrics.Add(metricMessages, 1)
				if v.Routers.Record(ctx, address, part) == nil {
					v.acknowledge(part)
				}
			}
		})
	}
	deliveries.Wait()
	v.keepUnsent(records)
}

// dueRecords returns the unsent versions of the pools that are not settled, if there are other routers. They are no longer unsent.
func (v *Versioner) dueRecords() (records []Record) {
	v.mu.Lock()
	now := v.Clock.Now()
	pools := slices.DeleteFunc(v.notes.Pools(), func(pool string) bool {
		_, ok := v.history.Settled(now, pool)
		return ok
	})
	v.mu.Unlock()
	if len(pools) == 0 || len(v.keepers(pools[0], 1)) == 0 {
		return nil
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, pool := range pools {
		records = append(records, v.notes.TakeUnsent(now, pool)...)
	}
	return records
}

// acknowledge records that a keeper has versions.
func (v *Versioner) acknowledge(records []Record) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, r := range records {
		v.notes.Acknowledge(r.Stream)
	}
}

// keepUnsent has flush send those versions again that no keeper has acknowledged.
func (v *Versioner) keepUnsent(records []Record) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, r := range records {
		if !v.notes.IsAcknowledged(r.Stream) {
			v.notes.MarkUnsent(r.Stream)
		}
	}
}

// reportUnrecorded logs that no keeper acknowledged a version in time. isGiven is set if the stream goes to its caller, whose first event
// was held back for a time.
func (v *Versioner) reportUnrecorded(r Record, keepers int, held time.Duration, isGiven bool) {
	v.Metrics.Add(metricUnrecorded, 1)
	v.Log.WithFields(logrus.Fields{
		"event": "stream_unrecorded", "attempt": r.Stream.Attempt, "pool": r.Stream.Pool, "version": r.Version, "keepers": keepers,
		"held_ms": held.Milliseconds(), "given": isGiven,
	}).Info("no other router has acknowledged the version of a stream in time")
}
