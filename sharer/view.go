package sharer

import (
	"cmp"
	"slices"
	"time"

	"github.com/masticway/masticway"
)

// maxDeleted is the maximum number of deletions that a view stores.
const maxDeleted = 2000

// Projection computes what is relevant to other routers in a row's value. A change of the row is relevant only if the result
// changes. Results must be comparable with ==.
type Projection func(key string, value []byte) any

// view is a router's copy of one part of a table. It holds each row as of the row's last relevant change.
type view struct {
	project Projection
	rows    map[masticway.RowKey]viewRow
	// deleted holds the latest deletions, oldest first, at most maxDeleted. Deletions at or before version floor are no longer
	// all in it. A router that asks for the changes since a version below floor must therefore read all rows instead.
	deleted []masticway.StoredRow
	floor   int64
	// version is the store's version that the view reflects, and readAt is when it was read. version is zero before the first
	// reading.
	version int64
	readAt  time.Time
	// calledAt is when the call of the newest reading began. The view has all changes from before it.
	calledAt time.Time
	// changed is closed at each relevant change.
	changed chan struct{}
}

type viewRow struct {
	row        masticway.StoredRow
	projection any
}

func newView(s Projection) *view {
	return &view{project: s, rows: map[masticway.RowKey]viewRow{}, changed: make(chan struct{})}
}

// replace applies a reading of all rows, unless the view has a newer version.
func (v *view) replace(now, began time.Time, reading masticway.RowReading) {
	if reading.Version < v.version {
		return
	}
	if v.version == 0 {
		// The deletions before the first reading are unknown.
		v.floor = reading.Version
	}
	present := map[masticway.RowKey]bool{}
	for _, row := range reading.Rows {
		present[row.RowKey] = true
	}
	rows := slices.Clone(reading.Rows)
	for key := range v.rows {
		if !present[key] {
			rows = append(rows, masticway.StoredRow{RowKey: key, Version: reading.Version, Deleted: true})
		}
	}
	v.update(now, began, masticway.RowReading{Rows: rows, Version: reading.Version})
}

// update applies a reading of the changes since the view's version, unless the view has a newer version.
func (v *view) update(now, began time.Time, reading masticway.RowReading) {
	if reading.Version < v.version {
		return
	}
	changed := false
	for _, row := range reading.Rows {
		changed = v.apply(row) || changed
	}
	v.version, v.readAt = reading.Version, now
	if began.After(v.calledAt) {
		v.calledAt = began
	}
	if changed {
		close(v.changed)
		v.changed = make(chan struct{})
	}
}

// apply applies one row and reports whether there was a relevant change.
func (v *view) apply(row masticway.StoredRow) bool {
	known, ok := v.rows[row.RowKey]
	if row.Deleted {
		if !ok || row.Version < known.row.Version {
			return false
		}
		delete(v.rows, row.RowKey)
		v.deleted = append(v.deleted, row)
		if len(v.deleted) > maxDeleted {
			v.floor = v.deleted[0].Version
			v.deleted = v.deleted[1:]
		}
		return true
	}
	projection := v.project(row.Key, row.Value)
	if ok && projection == known.projection {
		return false
	}
	v.rows[row.RowKey] = viewRow{row: row, projection: projection}
	return true
}

// all returns all rows, as of their last relevant changes.
func (v *view) all() masticway.RowReading {
	reading := masticway.RowReading{Version: v.version}
	for _, r := range v.rows {
		reading.Rows = append(reading.Rows, r.row)
	}
	slices.SortFunc(reading.Rows, func(x, y masticway.StoredRow) int { return cmp.Compare(x.Key, y.Key) })
	return reading
}

// changesSince returns the relevant changes since a version. It returns false if the deletions since then are no longer all
// known.
func (v *view) changesSince(version int64) (masticway.RowReading, bool) {
	if version < v.floor {
		return masticway.RowReading{}, false
	}
	reading := masticway.RowReading{Version: v.version}
	for _, row := range v.deleted {
		if row.Version > version {
			reading.Rows = append(reading.Rows, row)
		}
	}
	for _, r := range v.rows {
		if r.row.Version > version {
			reading.Rows = append(reading.Rows, r.row)
		}
	}
	slices.SortFunc(reading.Rows, func(x, y masticway.StoredRow) int { return cmp.Compare(x.Version, y.Version) })
	return reading, true
}
