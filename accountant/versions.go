package accountant

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// inForce is one event: a configuration version came into force at a router.
type inForce struct {
	router  string
	version int64
	at      time.Time
	// kind is kindStarting for a router's first version since its start, kindReverted for a version that is older than the
	// router's previous one, and kindFollowed otherwise.
	kind string
}

const (
	kindStarting = "at_start"
	kindReverted = "reverted"
	kindFollowed = "followed"
)

// versions holds the configuration versions that were in force at each router.
type versions struct {
	lines   []inForce
	current map[string]int64
}

func (v *versions) add(l Line) {
	switch l.Event {
	case "started":
		delete(v.current, l.Router)
	case "configuration_in_force":
		version, kind := l.Number("version"), kindFollowed
		if last, ok := v.current[l.Router]; !ok {
			kind = kindStarting
		} else if version < last {
			kind = kindReverted
		}
		v.current[l.Router] = version
		v.lines = append(v.lines, inForce{router: l.Router, version: version, at: l.Time, kind: kind})
	}
}

// list returns one row for each version, in ascending order.
func (v *versions) list() []Row {
	known, numbers := map[string]bool{}, map[int64]bool{}
	for _, l := range v.lines {
		known[l.router], numbers[l.version] = true, true
	}
	slices.SortStableFunc(v.lines, func(a, b inForce) int { return a.at.Compare(b.at) })
	var all []Row
	for _, number := range slices.Sorted(maps.Keys(numbers)) {
		all = append(all, v.row(number, maps.Clone(known)))
	}
	return all
}

// row returns the row of one version. It counts the routers at which this version or a later one came into force. MaxMS is
// the time from the first of them to the last, without those that started with it.
//
// missing must hold all routers. row removes from it those that it counts.
func (v *versions) row(number int64, missing map[string]bool) Row {
	row, followed := Row{Kinds: Counts{}}, ""
	for _, l := range v.lines {
		if l.version == number && l.kind == kindReverted {
			row.Kinds[kindReverted]++
		}
		if l.version < number || !missing[l.router] {
			continue
		}
		delete(missing, l.router)
		row.Count++
		if l.kind == kindStarting {
			row.Kinds[kindStarting]++
			continue
		}
		row.First, row.Last = extendSpan(row.First, row.Last, l.at)
		followed = " last=" + l.router
	}
	row.MaxMS = row.Last.Sub(row.First).Milliseconds()
	row.Name = fmt.Sprint(number)
	row.Detail = fmt.Sprintf("missing=%s%s", strings.Join(slices.Sorted(maps.Keys(missing)), ","), followed)
	return row
}
