package sharer

import (
	"cmp"
	"slices"
	"time"

	"github.com/masticway/masticway"
)

// maxDeleted bounds the deleted rows that a view remembers.
const maxDeleted = 2000

// Substance is what of a row's value other routers have to hear of; values that compare equal are the same to them.
type Substance func(key string, value []byte) any

// view is one part of a table as a router knows it, with the versions at which rows last changed in substance.
type view struct {
	project Substance
	rows    map[masticway.RowKey]viewRow
	// deleted are rows that are gone, oldest first; who knows of less than the version floor has to read all.
	deleted []masticway.StoredRow
	floor   int64
	// version is the store's version up to which the view is right, at a time; it is zero before anything was read.
	version int64
	readAt  time.Time
	// changed is closed with each change of substance.
	changed chan struct{}
}

type viewRow struct {
	row        masticway.StoredRow
	projection any
}

func newView(s Substance) *view {
	return &view{project: s, rows: map[masticway.RowKey]viewRow{}, changed: make(chan struct{})}
}

// replace takes a reading of all rows.
func (v *view) replace(now time.Time, reading masticway.RowReading) {
	if reading.Version < v.version {
		return
	}
	if v.version == 0 {
		// What was deleted before is not known.
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
	v.update(now, masticway.RowReading{Rows: rows, Version: reading.Version})
}

// update takes changes since the version that was reached.
func (v *view) update(now time.Time, reading masticway.RowReading) {
	if reading.Version < v.version {
		return
	}
	changed := false
	for _, row := range reading.Rows {
		changed = v.apply(row) || changed
	}
	v.version, v.readAt = reading.Version, now
	if changed {
		close(v.changed)
		v.changed = make(chan struct{})
	}
}

// apply takes one row; false when nothing changed in substance.
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

// all returns every row.
func (v *view) all() masticway.RowReading {
	reading := masticway.RowReading{Version: v.version}
	for _, r := range v.rows {
		reading.Rows = append(reading.Rows, r.row)
	}
	slices.SortFunc(reading.Rows, func(x, y masticway.StoredRow) int { return cmp.Compare(x.Key, y.Key) })
	return reading
}

// changesSince returns what has changed in substance since a version; false when that is not known any more.
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
