package versioner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
)

// The table of pools has one part, that is, partition, and a row for each pool with resumable streams. A row is written only when the
// versions of the pool change.
const (
	poolTable = "masticway_versions"
	poolPart  = "versions"
)

const (
	// storeTimeout is the timeout of one call to the store, and readInterval the pause after a failed one.
	storeTimeout = time.Second
	readInterval = time.Second
	// writeDelay is how long a router waits for the pool's owner to write a change, and writeSpread the range of the random time that
	// is added.
	writeDelay  = 2 * time.Second
	writeSpread = 8 * time.Second
)

// PoolRecord is what the store has of the versions of a pool's servers.
type PoolRecord struct {
	// Versions holds, for each version, when its last server left, in milliseconds of the store's clock; zero means that it has
	// servers. Versions that left longer ago than a stream may be resumed are dropped.
	Versions map[string]int64 `json:"versions"`
	// Moved is when requests were last moved from or to the pool, in milliseconds of the store's clock, and MovedBy the version of the
	// configuration that moved them. They are zero if none were moved as long as a stream may be resumed.
	Moved   int64 `json:"moved,omitempty"`
	MovedBy int64 `json:"moved_by,omitempty"`
}

// storedPool is a pool's record in the store and the version of its row, which is zero if there is none.
type storedPool struct {
	record  PoolRecord
	version int64
}

// recordedPools is what the store had of the pools' versions when it was read.
type recordedPools struct {
	pools map[string]storedPool
	// readAt is when the table was read, and storeTime the store's clock then. readAt is zero if the table has not been read. era is
	// the era of the store that was read.
	readAt    time.Time
	storeTime time.Duration
	era       int64
}

// storeNow returns the time by the store's clock.
func (r recordedPools) storeNow(now time.Time) time.Duration { return r.storeTime + now.Sub(r.readAt) }

// storeTimeOf returns a time by the store's clock, as it is written in records.
func (r recordedPools) storeTimeOf(at time.Time) int64 {
	return max(1, (r.storeTime + at.Sub(r.readAt)).Milliseconds())
}

// isRecent reports whether a time of a record is set and lies within a time before now.
func (r recordedPools) isRecent(now time.Time, at int64, span time.Duration) bool {
	return at != 0 && r.storeNow(now)-time.Duration(at)*time.Millisecond <= span
}

// changed returns the record that a pool must have, or false if the stored one is up to date.
func (r recordedPools) changed(now time.Time, pool string, p poolHistory) (PoolRecord, bool) {
	old := r.pools[pool].record
	next, hasChanged := r.changedVersions(now, old, p)
	if r.isRecent(now, old.Moved, p.span) {
		next.Moved, next.MovedBy = old.Moved, old.MovedBy
	}
	if p.wasMoved(now) && p.movedBy > next.MovedBy {
		next.Moved, next.MovedBy, hasChanged = r.storeTimeOf(p.movedAt), p.movedBy, true
	}
	return next, hasChanged
}

// changedVersions returns a record with the versions that a pool must have in the store, or false if the old record has them. The store
// may have lost with an earlier era that versions left.
func (r recordedPools) changedVersions(now time.Time, old PoolRecord, p poolHistory) (next PoolRecord, hasChanged bool) {
	next.Versions = map[string]int64{}
	if len(p.current) == 0 || len(p.current) == 1 && p.current[""] {
		maps.Copy(next.Versions, old.Versions)
		return next, false
	}
	for version := range p.current {
		next.Versions[version] = 0
	}
	for version, left := range old.Versions {
		switch {
		case p.current[version]:
		case left == 0:
			next.Versions[version], hasChanged = r.storeTimeOf(now), true
		case r.isRecent(now, left, p.span):
			next.Versions[version] = left
		}
	}
	for version, at := range p.lastSeen {
		if _, known := old.Versions[version]; known || p.current[version] || now.Sub(at) > p.span || version == "" {
			continue
		}
		next.Versions[version], hasChanged = r.storeTimeOf(at), true
	}
	for version := range p.current {
		if left, known := old.Versions[version]; !known || left != 0 {
			hasChanged = true
		}
	}
	return next, hasChanged
}

// recentVersions returns the versions that a pool had, according to the store, within a time before now. It returns false if the store
// has no record of the pool.
func (r recordedPools) recentVersions(now time.Time, pool string, span time.Duration) (map[string]bool, bool) {
	stored, ok := r.pools[pool]
	if !ok || stored.version == 0 {
		return nil, false
	}
	recent := map[string]bool{}
	for version, left := range stored.record.Versions {
		if left == 0 || r.isRecent(now, left, span) {
			recent[version] = true
		}
	}
	return recent, true
}

// wasMoved reports whether requests were moved from or to a pool, according to the store, within a time before now.
func (r recordedPools) wasMoved(now time.Time, pool string, span time.Duration) bool {
	return !r.readAt.IsZero() && r.isRecent(now, r.pools[pool].record.Moved, span)
}

// newRecordedPools returns a reading of the table.
func newRecordedPools(now time.Time, reading masticway.RowReading) (recordedPools, error) {
	r := recordedPools{pools: map[string]storedPool{}, readAt: now, storeTime: reading.StoreTime, era: masticway.StoreEra(reading.Version)}
	for _, row := range reading.Rows {
		if err := r.apply(row); err != nil {
			return r, err
		}
	}
	return r, nil
}

func (r recordedPools) apply(row masticway.StoredRow) error {
	stored := storedPool{version: row.Version}
	if row.Deleted {
		stored.version = 0
	} else if err := json.Unmarshal(row.Value, &stored.record); err != nil {
		return fmt.Errorf("decoding the versions of pool %s: %w", row.Key, err)
	}
	r.pools[row.Key] = stored
	return nil
}

// NoteVersion records a version of the store that another component has seen. The records of an earlier era are read again, since the
// store may have lost some of them.
func (v *Versioner) NoteVersion(version int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if era := masticway.StoreEra(version); era > v.era {
		v.era = era
		v.history.forgetRecord(era)
	}
}

// synchronizePools reads the table once for each row of readings of the servers, so that a router that has just started knows the
// versions of streams that began before, and writes the changes that this router must write now.
func (v *Versioner) synchronizePools(ctx context.Context) {
	v.mu.Lock()
	now := v.Clock.Now()
	mustRead := v.history.needsRecord() && !now.Before(v.nextReadAt)
	v.mu.Unlock()
	if mustRead {
		v.readPools(ctx)
	}
	for _, pool := range v.duePools() {
		v.writePool(ctx, pool)
	}
	v.writeLedger(ctx)
}

// readPools reads the table. The result counts from before the call, because rows may change while it lasts.
func (v *Versioner) readPools(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	now := v.Clock.Now()
	reading, err := v.Store.Read(ctx, poolTable, poolPart)
	recorded, decodeErr := newRecordedPools(now, reading)
	err = errors.Join(err, decodeErr)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.nextReadAt = v.Clock.Now().Add(readInterval)
	if err == nil && recorded.era >= v.era {
		v.history.recorded = recorded
	}
	v.Log.WithFields(logrus.Fields{"event": "pool_versions_read", "pools": len(recorded.pools), "error": err}).Info("read the software versions of the pools")
}

// duePools returns the pools whose records this router must write now: at once if it owns the pool, otherwise some time after it first
// saw the change.
func (v *Versioner) duePools() (due []string) {
	now := v.Clock.Now()
	v.mu.Lock()
	changed := v.history.changedPools(now)
	maps.DeleteFunc(v.writePoolAt, func(pool string, _ time.Time) bool { _, ok := changed[pool]; return !ok })
	var added []string
	for pool := range changed {
		at, known := v.writePoolAt[pool]
		switch {
		case !known:
			added = append(added, pool)
		case !now.Before(at):
			due = append(due, pool)
		}
	}
	v.mu.Unlock()
	// Others are asked without the lock, because they may report to this component under a lock of their own.
	isOwner := map[string]bool{}
	for _, pool := range added {
		first := v.Members.RankedAddresses(pool, 1)
		isOwner[pool] = len(first) > 0 && first[0] == v.Address
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, pool := range added {
		v.writePoolAt[pool] = now
		if !isOwner[pool] {
			v.writePoolAt[pool] = now.Add(writeDelay + time.Duration(v.random()*float64(writeSpread)))
			continue
		}
		due = append(due, pool)
	}
	return due
}

// writePool writes the record of a pool if the store's one, which another router may have changed, is not up to date.
func (v *Versioner) writePool(ctx context.Context, pool string) {
	v.readPools(ctx)
	v.mu.Lock()
	record, ok := v.history.changedPools(v.Clock.Now())[pool]
	version := v.history.recorded.pools[pool].version
	v.writePoolAt[pool] = v.Clock.Now().Add(readInterval)
	v.mu.Unlock()
	if !ok {
		return
	}
	value, err := json.Marshal(record)
	if err != nil {
		// A record contains only strings and numbers, which can always be encoded.
		panic(fmt.Sprintf("encoding the versions of a pool: %v", err))
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key := masticway.RowKey{Table: poolTable, Part: poolPart, Key: pool}
	reading, err := v.Store.Write(ctx, masticway.RowWrite{
		Expected: []masticway.RowVersion{{RowKey: key, Version: version}}, Puts: []masticway.RowPut{{RowKey: key, Value: value}},
	})
	v.Log.WithFields(logrus.Fields{"event": "pool_versions_written", "pool": pool, "versions": record.Versions, "error": err}).Info("wrote the software versions of a pool")
	if err != nil {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.history.recorded.pools[pool] = storedPool{record: record, version: reading.Version}
}
