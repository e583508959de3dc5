package estimator

import (
	"embed"
	"encoding/json"
	"fmt"
	"strings"
)

//go:embed slopes.json
var files embed.FS

// measuredText is the hand-written first part of the page. It is about the fleet on the users' platform.
//
//go:embed measured.md
var measuredText string

// Slope is one measured quantity, usually the cost of one more unit of a load.
type Slope struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	// Sizes says at which sizes, for example numbers of links, the quantity was measured.
	Sizes string `json:"sizes"`
	// Command is the command that measures the quantity.
	Command string `json:"command"`
}

// Slopes maps the names of the measured quantities to their values.
type Slopes map[string]float64

// ReadSlopes returns the measured slopes.
func ReadSlopes() ([]Slope, error) {
	data, err := files.ReadFile("slopes.json")
	if err != nil {
		return nil, fmt.Errorf("reading slopes: %w", err)
	}
	var list []Slope
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, fmt.Errorf("decoding slopes: %w", err)
	}
	return list, nil
}

// IndexByName returns the slopes' values by name.
func IndexByName(list []Slope) Slopes {
	s := Slopes{}
	for _, l := range list {
		s[l.Name] = l.Value
	}
	return s
}

// The fleet for which the page is computed. Counts are for the whole fleet, and rates are those at its peak. Changes are those of
// the configuration. Failures and replacements are those of instances.
const (
	routers            = 350.0
	sidecars           = 2100.0
	regions            = 2.0
	models             = 11.0
	requestsPerSecond  = 1600.0
	tokensPerSecond    = 770_000.0
	budgets            = 310_000.0
	workspaces         = 6500.0
	changesPerDay      = 7200.0
	failuresPerDay     = 29.0
	replacementsPerDay = 270.0
	secondsPerDay      = 86_400.0
)

// Settings of the fleet for which the page is computed. Some of them differ from the defaults.
const (
	// heartbeatScale converts slopes measured with a heartbeat every 500 ms to the heartbeat every 1.5 s of this fleet.
	heartbeatScale = 1.0 / 3
	// linksPerPool is the number of sidecars of one pool to which a router links.
	linksPerPool = 12.0
	// leaseInterval is the time between two writes of a router's lease row in the table, in seconds. horizon is the period of
	// forecast demand that one draw of money from a budget covers, in seconds; no formula uses it.
	leaseInterval = 15.0
	horizon       = 60.0
	// pollsPerSecond is how many times per second a router reads the newest revision of the configuration, and how many times per
	// second it reads the instance list.
	pollsPerSecond = 2.0
	// challengesPerSecond is how many times per second a router reads its challenge row, in which other routers ask it to renew
	// its lease.
	challengesPerSecond = 1.0
)

// Limits of the platform's table, and of what one router or sidecar may use for control. Control is everything except relaying
// answers.
const (
	// maxControlCores is a share of one processor core. maxMemoryMB is the memory of the whole process, in units of bytesPerMB
	// bytes.
	maxControlCores          = 0.042
	maxMemoryMB              = 32.0
	maxControlBytesPerSecond = 8192.0
	maxTableWritesPerSecond  = 300.0
	maxTableReadsPerSecond   = 2000.0
	bytesPerMB               = 1 << 20
)

// Line is one sum of the page: how much of a resource the fleet's load needs at one process of a role, or at the table. Value and
// Limit are in Unit. A Limit of zero means no limit. Formula and Mechanism are texts of the page.
type Line struct {
	Role      string
	Quantity  string
	Formula   string
	Value     float64
	Limit     float64
	Unit      string
	Mechanism string
	// Remedy is what would make the sum fit its limit.
	Remedy string
}

// FitsLimit reports whether the sum is within its limit. A line without a limit always is.
func (l Line) FitsLimit() bool { return l.Limit == 0 || l.Value <= l.Limit }

// Compute returns all lines of the page for the given slopes, in the page's order.
func Compute(s Slopes) []Line {
	links := models * linksPerPool
	peers := routers/regions - 1
	perRouter := requestsPerSecond / routers
	tokensPerRouter := tokensPerSecond / routers
	linksPerSidecar := routers * links / sidecars
	budgetsPerRouter := budgets / (routers / regions)
	changesPerSecond := changesPerDay / secondsPerDay
	listChangesPerSecond := (failuresPerDay + replacementsPerDay) / secondsPerDay
	decisionMicros := s["hold_settle_us"] + s["choose_us_per_candidate"]*linksPerPool + s["queue_us"]
	return []Line{
		{
			Role: "router", Quantity: "processor for control", Unit: "of a core", Limit: maxControlCores,
			Formula: "idle + links x link + peers x peer + requests x decisions + changes x workspaces x apply + budgets x tidy",
			Value: s["router_idle_core"] + links*s["link_core"]*heartbeatScale + peers*s["peer_core"]*heartbeatScale +
				perRouter*decisionMicros/1e6 + changesPerSecond*workspaces*s["apply_us_per_workspace"]/1e6 + budgetsPerRouter*s["tidy_us_per_budget"]/1e6,
			Mechanism: "part of the sidecars by rendezvous hash; heartbeats that say only what changed; pull of changes",
			Remedy:    "keepers in groups of routers, so that peers are a group and not the region",
		},
		{
			Role: "router", Quantity: "processor for relaying", Unit: "of a core",
			Formula:   "requests x request + tokens x token",
			Value:     perRouter*s["request_ms"]/1e3 + tokensPerRouter*s["token_us"]/1e6,
			Mechanism: "grows with traffic; more routers share it",
		},
		{
			Role: "router", Quantity: "memory", Unit: "MB", Limit: maxMemoryMB,
			Formula: "idle + links x link + 2 x peers x link + workspaces x workspace + budgets x budget",
			Value: s["router_idle_mb"] + (links+2*peers)*s["link_mb"] +
				workspaces*s["workspace_bytes"]/bytesPerMB + budgetsPerRouter*s["budget_bytes"]/bytesPerMB,
			Mechanism: "all contracts, own budgets only; traces, answers and queues bounded",
			Remedy:    "one link for a pair of routers, and a smaller program",
		},
		{
			Role: "router", Quantity: "control bytes", Unit: "bytes/s", Limit: maxControlBytesPerSecond,
			Formula: "links x link + peers x peer + polls x poll + challenge + list changes x list + changes x change x (own sidecars + 1)",
			Value: links*s["link_bytes"]*heartbeatScale + peers*s["peer_bytes"]*heartbeatScale + (2*pollsPerSecond+challengesPerSecond)*s["poll_bytes"] +
				listChangesPerSecond*(routers+sidecars)*s["instance_bytes"] + changesPerSecond*s["change_bytes"]*(sidecars/routers+1),
			Mechanism: "heartbeat 1.5 s at that size; instance list by version; lease rows read by two routers of a region",
			Remedy:    "a longer heartbeat",
		},
		{
			Role: "sidecar", Quantity: "processor for control", Unit: "of a core", Limit: maxControlCores,
			Formula:   "idle + links x link",
			Value:     s["sidecar_idle_core"] + linksPerSidecar*s["link_core"]*heartbeatScale,
			Mechanism: "links only from the routers whose part it is in",
			Remedy:    "fewer links_per_pool",
		},
		{
			Role: "sidecar", Quantity: "memory", Unit: "MB", Limit: maxMemoryMB,
			Formula:   "idle + links x link + answers kept",
			Value:     s["sidecar_idle_mb"] + linksPerSidecar*s["link_mb"] + 8,
			Mechanism: "answers kept are bounded at 8 MB by keep_bytes",
			Remedy:    "a smaller keep_bytes",
		},
		{
			Role: "sidecar", Quantity: "control bytes", Unit: "bytes/s", Limit: maxControlBytesPerSecond,
			Formula:   "links x link + changes x change",
			Value:     linksPerSidecar*s["link_bytes"]*heartbeatScale + changesPerSecond*s["change_bytes"],
			Mechanism: "load reported only when it changed; changes asked for once",
			Remedy:    "a longer heartbeat",
		},
		{
			Role: "table", Quantity: "writes, steady", Unit: "/s", Limit: maxTableWritesPerSecond,
			Formula:   "routers / heartbeat + requests x budget writes + changes x (1 + routers applying) + links rows",
			Value:     routers/leaseInterval + requestsPerSecond*s["budget_writes_per_request"] + changesPerSecond*(1+routers) + listChangesPerSecond*(routers+linksPerSidecar),
			Mechanism: "a draw covers 60 s of forecast; lease rows every 15 s; no write on the path of an ordinary request",
			Remedy:    "lease rows carry the applied revision with a delay at that size, or a longer horizon",
		},
		{
			Role: "table", Quantity: "reads, steady", Unit: "/s", Limit: maxTableReadsPerSecond,
			Formula:   "routers x (polls + challenge) + draws",
			Value:     routers*(pollsPerSecond+challengesPerSecond) + requestsPerSecond*s["budget_writes_per_request"],
			Mechanism: "one small row for each poll",
			Remedy:    "a longer poll",
		},
		{
			Role: "table", Quantity: "writes, claims of non-repeatable requests at 5% of all", Unit: "/s", Limit: maxTableWritesPerSecond,
			Formula:   "0.05 x requests x 2",
			Value:     0.05 * requestsPerSecond * 2,
			Mechanism: "one row before, one after",
			Remedy:    "a cap in contracts on keyed non-repeatable requests",
		},
	}
}

// Page returns the capacity page as Markdown.
func Page() (string, error) {
	list, err := ReadSlopes()
	if err != nil {
		return "", err
	}
	var b strings.Builder
	b.WriteString(measuredText)
	b.WriteString(intro)
	b.WriteString("\n## Slopes\n\n| slope | value | unit | sizes | command |\n|---|---|---|---|---|\n")
	for _, s := range list {
		fmt.Fprintf(&b, "| %s | %g | %s | %s | `%s` |\n", s.Name, s.Value, s.Unit, s.Sizes, s.Command)
	}
	b.WriteString("\n## Sums\n\n| role | what | sum | limit | unit | fits | formula | mechanism |\n|---|---|---|---|---|---|---|---|\n")
	for _, l := range Compute(IndexByName(list)) {
		limit, fits := "-", "yes"
		if l.Limit > 0 {
			limit = fmt.Sprintf("%g", l.Limit)
		}
		if !l.FitsLimit() {
			fits = "**no**: " + l.Remedy
		}
		fmt.Fprintf(&b, "| %s | %s | %.4g | %s | %s | %s | %s | %s |\n", l.Role, l.Quantity, l.Value, limit, l.Unit, fits, l.Formula, l.Mechanism)
	}
	b.WriteString(badDay)
	return b.String(), nil
}
