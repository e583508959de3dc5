package treasurer

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/masticway/masticway"
)

const (
	// maxLimitsBytes bounds the spend limits that one checkpoint writes, in bytes. The store takes 1 MB in one write, in base64 and
	// with what is written of predecessors.
	maxLimitsBytes = 600_000
	// maxWriteBytes bounds the values of one write, maxWriteRows its rows, of which the store takes 100, and maxLimitRows those with
	// spend limits.
	maxWriteBytes = 700_000
	maxWriteRows  = 90
	maxLimitRows  = 64
	// limitOverhead is the most that a spend limit takes beside the workspace's name, and limitRowOverhead what its row does.
	limitOverhead    = 50
	limitRowOverhead = 16
)

// limitRow is a row with spend limits of one checkpoint.
type limitRow struct {
	Limits []namedLimit `cbor:"1,keyasint"`
}

// namedLimit is the spend limit of a workspace.
type namedLimit struct {
	_              struct{} `cbor:",toarray"`
	Workspace      string
	Taken          int64
	Burst          int64
	Rate           int64
	MaxUnwitnessed int64
	MaxEarly       int64
}

// maxLimitBytes returns the most bytes that the spend limit of a workspace takes.
func maxLimitBytes(workspace string) int { return len(workspace) + limitOverhead }

// encodeLimits returns the values of the rows with spend limits. None is larger than maxBytes, whatever the amounts.
func encodeLimits(limits map[string]SpendLimit, maxBytes int) [][]byte {
	var values [][]byte
	var next limitRow
	room := maxBytes - limitRowOverhead
	flush := func() {
		if len(next.Limits) > 0 {
			values = append(values, encodeLimitRow(next))
		}
		next, room = limitRow{}, maxBytes-limitRowOverhead
	}
	for _, workspace := range slices.Sorted(maps.Keys(limits)) {
		l := limits[workspace]
		if room < maxLimitBytes(workspace) {
			flush()
		}
		room -= maxLimitBytes(workspace)
		next.Limits = append(next.Limits, namedLimit{
			Workspace: workspace, Taken: l.Taken, Burst: l.Burst, Rate: l.Rate, MaxUnwitnessed: l.MaxUnwitnessed, MaxEarly: l.MaxEarly,
		})
	}
	flush()
	return values
}

func encodeLimitRow(row limitRow) []byte {
	data, err := cbor.Marshal(row)
	if err != nil {
		// The rows consist of numbers and strings, which can always be encoded.
		panic(fmt.Sprintf("encoding spend limits: %v", err))
	}
	return data
}

// limitKey returns the key of a row with spend limits of an incarnation.
func limitKey(i masticway.Incarnation, part string, number int) masticway.RowKey {
	return masticway.RowKey{Table: tableLimits, Part: part, Key: string(i) + "/" + strconv.Itoa(number)}
}

// endedKey returns the key of the row of an ended incarnation.
func endedKey(i masticway.Incarnation, part string) masticway.RowKey {
	return masticway.RowKey{Table: tableEnded, Part: part, Key: string(i)}
}

// limitPuts returns the puts of an incarnation's rows with spend limits: the given values, and empty rows up to the given number.
func limitPuts(i masticway.Incarnation, part string, values [][]byte, rows int) []masticway.RowPut {
	var puts []masticway.RowPut
	for number := range max(rows, len(values)) {
		value := encodeLimitRow(limitRow{})
		if number < len(values) {
			value = values[number]
		}
		puts = append(puts, masticway.RowPut{RowKey: limitKey(i, part, number), Value: value})
	}
	return puts
}

// encodeOwnRow returns the value of the checkpoint's own row.
func (c Checkpoint) encodeOwnRow() []byte {
	c.HasRows, c.Limits, c.Ended = true, nil, nil
	return encode(c)
}

// rows returns the puts of an ended incarnation's rows. If its amounts follow from its spend limits, its own row has none.
func (e EndedIncarnation) rows(part string, maxBytes int) []masticway.RowPut {
	var puts []masticway.RowPut
	row := e
	if e.LimitRows > 0 {
		puts = limitPuts(e.Incarnation, part, encodeLimits(e.Limits, maxBytes), e.LimitRows)
		row.Limits, row.MaxSpent, row.MaxUnwitnessed = nil, nil, nil
	}
	return append(puts, masticway.RowPut{RowKey: endedKey(e.Incarnation, part), Value: encode(row)})
}

// CheckpointRows are the rows of an instance's checkpoint, as they were when its own row was read or later. As a write expects the
// version of its own row, all of them are of the same moment if a write that expects it is made.
type CheckpointRows struct {
	Checkpoint masticway.StoredRow
	Limits     []masticway.StoredRow
	Ended      []masticway.StoredRow
}

// ReadCheckpoint reads the rows of an instance's checkpoint from a store whose tables have so many parts. It also returns the reading
// with its own row, which has version zero if it does not exist.
func ReadCheckpoint(ctx context.Context, store masticway.RowStore, instance string, parts int) (CheckpointRows, masticway.RowReading, error) {
	part := PartOf(instance, parts)
	rows := CheckpointRows{Checkpoint: masticway.StoredRow{RowKey: masticway.RowKey{Table: tableCheckpoints, Part: part, Key: instance}}}
	first, err := store.Read(ctx, tableCheckpoints, part)
	if err != nil {
		return rows, first, err
	}
	for _, r := range first.Rows {
		if r.Key == instance {
			rows.Checkpoint = r
		}
	}
	if rows.Checkpoint.Version == 0 {
		return rows, first, nil
	}
	for table, kept := range map[string]*[]masticway.StoredRow{tableLimits: &rows.Limits, tableEnded: &rows.Ended} {
		reading, err := store.Read(ctx, table, part)
		if err != nil {
			return rows, first, err
		}
		*kept = slices.DeleteFunc(reading.Rows, func(r masticway.StoredRow) bool { return incarnationOf(r).Instance() != instance })
	}
	return rows, first, nil
}

// incarnationOf returns the incarnation that a row with spend limits or of an ended incarnation is about.
func incarnationOf(row masticway.StoredRow) masticway.Incarnation {
	if row.Table == tableEnded {
		return masticway.Incarnation(row.Key)
	}
	return masticway.Incarnation(row.Key[:max(0, strings.LastIndex(row.Key, "/"))])
}

// hasEnded reports whether there is a row of an ended incarnation.
func (r CheckpointRows) hasEnded(i masticway.Incarnation) bool {
	return slices.ContainsFunc(r.Ended, func(row masticway.StoredRow) bool { return incarnationOf(row) == i })
}

// decode returns the checkpoint in the rows, and the keys of rows that are not of it: those of incarnations whose grants are closed, or
// that a checkpoint of an earlier build, which does not know these rows, has replaced. The grants of the latter count as strays.
func (r CheckpointRows) decode() (Checkpoint, []masticway.RowKey, error) {
	c, err := decode[Checkpoint](r.Checkpoint)
	if err != nil {
		return c, nil, err
	}
	for i := range c.Ended {
		c.Ended[i].Generation = c.Generation
		c.Ended[i].repair()
	}
	limits, err := r.decodeLimits()
	if err != nil {
		return c, nil, err
	}
	current := map[masticway.Incarnation]bool{}
	if c.HasRows {
		c.Limits = limits[c.Incarnation]
		current[c.Incarnation] = true
		for _, row := range r.Ended {
			e, err := decode[EndedIncarnation](row)
			if err != nil {
				return c, nil, err
			}
			if e.Generation < c.ClosedBefore {
				continue
			}
			if e.LimitRows > 0 {
				e.Limits = limits[e.Incarnation]
				e = e.withBounds()
			}
			current[e.Incarnation] = true
			c.Ended = append(c.Ended, e)
		}
		slices.SortStableFunc(c.Ended, func(x, y EndedIncarnation) int { return cmp.Compare(x.Generation, y.Generation) })
	}
	var obsolete []masticway.RowKey
	for _, row := range slices.Concat(r.Limits, r.Ended) {
		if !current[incarnationOf(row)] {
			obsolete = append(obsolete, row.RowKey)
		}
	}
	return c, obsolete, nil
}

// repair bounds the amounts of an entry of an earlier build.
func (e *EndedIncarnation) repair() {
	for _, amounts := range []map[string]int64{e.MaxSpent, e.MaxUnwitnessed} {
		for workspace, n := range amounts {
			amounts[workspace] = repairedSpend(n)
		}
	}
	e.Limits = boundedLimits(e.Limits)
}

// decodeLimits returns the spend limits in the rows by incarnation.
func (r CheckpointRows) decodeLimits() (map[masticway.Incarnation]map[string]SpendLimit, error) {
	all := map[masticway.Incarnation]map[string]SpendLimit{}
	for _, row := range r.Limits {
		var decoded limitRow
		if err := cbor.Unmarshal(row.Value, &decoded); err != nil {
			return nil, fmt.Errorf("decoding row %s/%s/%s: %w", row.Table, row.Part, row.Key, err)
		}
		i := incarnationOf(row)
		if all[i] == nil {
			all[i] = map[string]SpendLimit{}
		}
		for _, l := range decoded.Limits {
			all[i][l.Workspace] = SpendLimit{Taken: l.Taken, Burst: l.Burst, Rate: l.Rate, MaxUnwitnessed: l.MaxUnwitnessed, MaxEarly: l.MaxEarly}
		}
	}
	return all, nil
}

// predecessorRows returns the rows of the predecessors whose grants may still be open.
func (p *Planner) predecessorRows() []masticway.RowPut {
	var rows []masticway.RowPut
	for _, e := range p.checkpoint.Ended {
		rows = append(rows, e.rows(p.checkpointKey().Part, p.settings.maxRowBytes())...)
	}
	return rows
}

// addPredecessorRows adds to the write of a checkpoint what it has room for of the rows of predecessors that must be written again or
// deleted.
func (p *Planner) addPredecessorRows(write *masticway.RowWrite) {
	size := 0
	for _, put := range write.Puts {
		size += len(put.Value)
	}
	for _, put := range p.lostRows {
		size += len(put.Value)
		if len(write.Puts) >= maxWriteRows || size > maxWriteBytes {
			return
		}
		write.Puts = append(write.Puts, put)
	}
	write.Deletes = slices.Clone(p.obsoleteRows[:min(len(p.obsoleteRows), max(0, maxWriteRows-len(write.Puts)))])
}

// noteWritten records which rows of predecessors a checkpoint that the store has made has written and deleted.
func (p *Planner) noteWritten(write *masticway.RowWrite) {
	p.lostRows = slices.DeleteFunc(p.lostRows, func(lost masticway.RowPut) bool {
		return slices.ContainsFunc(write.Puts, func(put masticway.RowPut) bool { return put.RowKey == lost.RowKey })
	})
	p.obsoleteRows = slices.DeleteFunc(p.obsoleteRows, func(key masticway.RowKey) bool { return slices.Contains(write.Deletes, key) })
}
