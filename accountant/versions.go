package accountant

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// inForce is one line about a configuration in force.
type inForce struct {
	router  string
	version int64
	at      time.Time
	// kind tells a router's first configuration since its start, and one after a later one, from the others.
	kind string
}

const (
	kindStarting = "at_start"
	kindReverted = "reverted"
	kindFollowed = "followed"
)

// versions keeps what was in force by router.
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

// list returns a row for each version.
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

// row sums up when routers had a version or a later one in force; the most time is from the first router that followed
// to the last. Missing are the routers that have not been counted yet.
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
