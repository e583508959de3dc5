package accountant

import "time"

// outageKey names what can be out at a router.
type outageKey struct{ router, beginEvent, table string }

// beginOf tells which event ends which.
var beginOf = map[string]string{"store_direct": "store_turned_away", "store_regained": "store_lost"}

// outages keeps what is out at each router, and sums up what was.
type outages struct {
	open map[outageKey]Line
	done rows
}

// add takes an event in a router's order, and returns how long the outage lasted that it ends, zero otherwise.
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

// end sums an outage up.
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

func (o outages) endAll(router string, at time.Time, reason string) {
	for key := range o.open {
		if key.router == router {
			o.end(key, at, reason)
		}
	}
}

// state tells what a router has of the store now: direct calls, calls through others, or tables that it cannot read.
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
