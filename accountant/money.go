package accountant

// counterNames are the counters in the event money_status that are evaluated. Their increases are summed up by router.
var counterNames = []string{
	"money_store_calls", "money_store_failures", "money_conflicts", "money_exhausted", "money_unreachable", "money_borrowed",
	"money_lent", "money_not_repaid", "money_asks_unanswered", "money_statements", "money_recalled",
}

// money sums up what the lines say about prepaid tokens.
type money struct {
	// workspaces counts the refusals for lack of money of each workspace and sums up its closed grants.
	workspaces rows
	// routers counts the starts of each router and sums up its counters.
	routers rows
	// last holds the latest counters of each router's process.
	last map[string]Counts
}

// addRefusal adds the end of a request that was refused for lack of money. k is the key of its cause (causeOf).
func (m money) addRefusal(l Line, k Key) {
	kinds := m.workspaces.add(Key{Name: l.Text("workspace")}, l, l.Number("ms"), k.Outcome+"/"+k.Reason).Kinds
	kinds["prepaid_most"] = max(kinds["prepaid_most"], l.Number("prepaid"))
	kinds["left_most"] = max(kinds["left_most"], l.Number("left"))
}

// add adds an event. It ignores events that do not concern money.
func (m money) add(l Line) {
	workspace, router := Key{Name: l.Text("workspace")}, Key{Name: l.Router}
	switch l.Event {
	case "grant_closed":
		kinds := m.workspaces.at(workspace).Kinds
		kinds["grants_closed"]++
		kinds["granted"] += l.Number("granted")
		kinds["presumed"] += l.Number("presumed")
		if l.Text("written") != "" {
			kinds["presumed_ahead"] += max(0, min(l.Number("presumed"), l.Number("written"))-l.Number("taken"))
			kinds["presumed_silent"] += max(0, l.Number("presumed")-l.Number("written"))
		}
	case "not_repaid":
		m.workspaces.at(workspace).Kinds["not_repaid"] += l.Number("amount")
	case "predecessor_recalled":
		kinds := m.routers.at(router).Kinds
		kinds["presumed"] += l.Number("presumed")
		kinds["spared"] += l.Number("spared")
	case "started":
		m.routers.add(router, l, 0)
		delete(m.last, l.Router)
	case "money_status":
		m.addCounters(l, m.routers.at(router).Kinds)
	}
}

// addCounters adds the increases of the counters since the router's previous event money_status. A counter that has decreased
// belongs to a new process, which started at zero.
func (m money) addCounters(l Line, kinds Counts) {
	now := Counts{}
	for _, name := range counterNames {
		now[name] = l.Number(name)
		kinds[name] += now[name]
		if before := m.last[l.Router][name]; before <= now[name] {
			kinds[name] -= before
		}
	}
	m.last[l.Router] = now
}
