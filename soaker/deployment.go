package soaker

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/emulator"
)

const (
	callerHost = "soak.example"
	// routeTimeout is the longest time that a route lets a caller wait; a sound server's answer takes half of it at most.
	routeTimeout = 2500 * time.Millisecond
	// tokensPerEvent is what one event of a stream counts.
	tokensPerEvent = 3
	// bodyLimit bounds a caller's body.
	bodyLimit = 64 << 10
)

// route is a route that every configuration has.
type route struct {
	name, kind, pool string
	resumable        bool
	metered          bool
	anonymous        bool
	// servers bounds the servers that one request may run on.
	servers int
}

func (r route) stream() bool     { return r.kind == "streaming" }
func (r route) repeatable() bool { return r.kind == "idempotent" || r.resumable }

func (r route) json(prefix string) string {
	return fmt.Sprintf(`{"name":%q,"host":%q,"path_prefix":%q,"route_kind":%q,"service":%q,"max_attempts":%d,"target_latency_ms":600,"timeout_ms":%d,"target_tbt_ms":400,"resumable":%t,"anonymous":%t}`,
		r.name, callerHost, prefix, r.kind, r.pool, r.servers, routeTimeout.Milliseconds(), r.resumable, r.anonymous)
}

// routes are what callers ask for; the pool of "moved" changes with each version.
var routes = []route{
	{name: "draft", kind: "streaming", pool: "engine", metered: true, servers: 1},
	{name: "chat", kind: "streaming", pool: "engine", metered: true, resumable: true, servers: 3},
	{name: "look", kind: "idempotent", pool: "plain", anonymous: true, servers: 3},
	{name: "book", kind: "non_idempotent", pool: "plain", servers: 2},
	{name: "moved", kind: "idempotent", servers: 2},
}

// pools are the pools, one name for each server; versions move a route between the last two pools.
var pools = []string{"engine", "engine", "engine", "plain", "plain", "plain", "even", "even", "odd", "odd"}

// workspaces are those that pay, the first with a budget that is at its end within seconds, the second within a quarter of
// a minute, the last never.
var workspaces = []string{"thin", "middle", "wide"}

// version is one accepted configuration.
type version struct {
	number int64
	moved  string
	ack    time.Time
}

// operator writes configurations.
type operator struct {
	rows   *emulator.Rows
	random *rand.Rand

	mu       sync.Mutex
	versions []version
	fillers  int
	prepaid  map[string]int64
}

func newOperator(rows *emulator.Rows, random *rand.Rand) *operator {
	return &operator{rows: rows, random: random, prepaid: map[string]int64{"thin": 12_000, "middle": 80_000, "wide": 50_000_000}}
}

// write writes the next version: with so many more routes that nobody asks for, and so much more paid for workspaces.
func (o *operator) write(fillers int, paid int64, to ...string) (number int64, bytes int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	v := version{number: 1, moved: []string{"even", "odd"}[len(o.versions)%2]}
	if n := len(o.versions); n > 0 {
		v.number = o.versions[n-1].number + 1 + o.random.Int64N(3)
	}
	o.fillers += fillers
	for _, workspace := range to {
		o.prepaid[workspace] += paid
	}
	o.versions = append(o.versions, v)
	document := o.document(v)
	o.rows.Put(masticway.RowKey{Table: "op", Key: "config"}, []byte(document))
	o.versions[len(o.versions)-1].ack = time.Now()
	return v.number, len(document)
}

// versionPath is a path that this version and all later ones serve.
func versionPath(number int64) string { return fmt.Sprintf("/version-%d/", number) }

func (o *operator) document(newest version) string {
	var routeList, poolList, workspaceList []string
	for _, r := range routes {
		if r.pool == "" {
			r.pool = newest.moved
		}
		routeList = append(routeList, r.json("/"+r.name+"/"))
	}
	for _, v := range o.versions {
		r := route{name: fmt.Sprintf("v%d", v.number), kind: "idempotent", pool: "plain", anonymous: true, servers: 2}
		routeList = append(routeList, r.json(versionPath(v.number)))
	}
	for i := range o.fillers {
		r := route{name: fmt.Sprintf("filler-%d", i), kind: "idempotent", pool: "plain", servers: 2}
		routeList = append(routeList, r.json("/"+r.name+"/"))
	}
	for _, name := range slices.Compact(slices.Clone(pools)) {
		engine := ""
		if name == "engine" {
			engine = fmt.Sprintf(`,"engine":{"slots":32,"stride":%d}`, tokensPerEvent)
		}
		poolList = append(poolList, fmt.Sprintf(`{"name":%q,"max_conns":60%s}`, name, engine))
	}
	for _, name := range workspaces {
		workspaceList = append(workspaceList, fmt.Sprintf(`{"name":%q,"api_keys":[%q],"prepaid":%d}`, name, keyOf(name), o.prepaid[name]))
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s],"tenants":[%s],"limits":{"max_body_bytes":%d}}`, newest.number,
		strings.Join(routeList, ","), strings.Join(poolList, ","), strings.Join(workspaceList, ","), bodyLimit)
}

func keyOf(workspace string) string { return "key-" + workspace }

func (o *operator) paid(workspace string) int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.prepaid[workspace]
}

// newest returns the newest version that was accepted before a time; its number is zero when there is none.
func (o *operator) newest(before time.Time) (found version) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, v := range o.versions {
		if v.ack.Before(before) {
			found = v
		}
	}
	return found
}

// mayMoveTo tells that a version from this one on sends the moved route to a pool.
func (o *operator) mayMoveTo(pool string, since int64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.ContainsFunc(o.versions, func(v version) bool { return v.number >= since && v.moved == pool })
}
