package accountant

// unreadCounts are the fields of the event load that count connections from which a router has read no request, cumulatively since
// its process started.
var unreadCounts = []string{"refused_connections", "unread_connections"}

// unread sums up by router and time the connections from which routers have read no request. No workspace is known of them.
type unread struct {
	byTime rows
	last   map[string]Counts
}

// add adds an event to the row of a key.
func (u unread) add(key Key, l Line) {
	switch l.Event {
	case "started":
		delete(u.last, l.Router)
	case "load":
		row, counts := u.byTime.at(key), Counts{}
		for _, name := range unreadCounts {
			counts[name] = l.Number(name)
			grown := max(0, counts[name]-u.last[l.Router][name])
			row.Kinds[name] += grown
			row.Count += grown
		}
		row.Routers[l.Router]++
		row.First, row.Last = extendSpan(row.First, row.Last, l.Time)
		u.last[l.Router] = counts
	}
}
