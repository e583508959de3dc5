package accountant

import "time"

// outageKey identifies an open outage of the store by its router, the event with which it began, and the table if the event
// names one.
type outageKey struct{ router, beginEvent, table string }

// beginOf maps each event that ends an outage to the event that begins such an outage.
var beginOf = map[string]string{"store_direct": "store_turned_away", "store_regained": "store_lost"}

// outages holds the open outages of each router and sums up those that have ended. An outage is a time in which a router
// could not reach a table of the store (store_lost), or reached the store only through other routers (store_turned_away).
type outages struct {
	open map[outageKey]Line
	done rows
}

// add adds an event. If the event ends an outage, add returns the duration of the outage in milliseconds, and otherwise
// zero. The caller must add the events of each router in chronological order.
func (o outages) add(l Line) int64 {
	switch l.Event {
	case "store_turned_away", "store_lost":
		key := outageKey{l.Router, l.Event, l.Text("table")}
		if _, ok := o.open[key]; !ok {
			o.open[key] = l
		}
	case "store_direct", "store_regained":
		return o.end(outageKey{l.Router, beginOf[l.Event], l.Text("table")}, l.Time, "ended")
	case "started":
		o.endAll(l.Router, l.Time, "process_ended")
	}
	return 0
}

// end ends an outage and returns its duration in milliseconds. It returns zero if the outage is not open.
func (o outages) end(key outageKey, at time.Time, reason string) int64 {
	begin, ok := o.open[key]
	if !ok {
		return 0
	}
	delete(o.open, key)
	took := at.Sub(begin.Time).Milliseconds()
	o.done.add(Key{Name: key.router, Detail: key.beginEvent, Reason: key.table}, begin, took, reason)
	return took
}

// endAll ends all open outages of a router at a given time.
func (o outages) endAll(router string, at time.Time, reason string) {
	for key := range o.open {
		if key.router == router {
			o.end(key, at, reason)
		}
	}
}

// state returns how a router currently reaches the store: "direct", "through_others", or "lost:" with the name of a table
// that it cannot reach. If it cannot reach several tables, the alphabetically last one is named.
func (o outages) state(router string) string {
	state, lost := "direct", ""
	for key := range o.open {
		if key.router == router && key.beginEvent == "store_lost" {
			lost = max(lost, key.table)
		} else if key.router == router {
			state = "through_others"
		}
	}
	if lost != "" {
		return "lost:" + lost
	}
	return state
}
