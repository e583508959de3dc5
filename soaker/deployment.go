package soaker

import (
	"bytes"
	_ "embed" // for the configuration's template
	"fmt"
	"slices"
	"strings"
	"text/template"
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/emulator"
)

//go:embed deployment.json.tmpl
var templateText string

var configuration = template.Must(template.New("configuration").Parse(templateText))

// What the configuration's template says, as far as callers need it.
const (
	callerHost     = "soak.example"
	routeTimeout   = 6 * time.Second
	tokensPerEvent = 3
	keyPrefix      = "key-"
)

const (
	// drainBound is how long after its leaving was accepted a server may still get requests (drain_ms of the sheets), and
	// servesOn how much longer it serves.
	drainBound, servesOn = 2 * time.Second, 1500 * time.Millisecond
	// silentAfter is when the row of a crashed server goes: three heartbeats, less than a second apart.
	silentAfter = 2 * time.Second
)

// route is a route that every configuration has; answers to metered requests are streams, which cost prepaid tokens.
type route struct {
	name, pool                     string
	metered, repeatable, anonymous bool
}

// routes are what callers ask for; the pool of "moved" changes with each version.
var routes = []route{
	{name: "draft", pool: "engine", metered: true},
	{name: "chat", pool: "engine", metered: true, repeatable: true},
	{name: "look", pool: "plain", repeatable: true, anonymous: true},
	{name: "book", pool: "plain"},
	{name: "moved", repeatable: true},
}

// pools are the pools, one name for each server; versions move a route between the last two pools.
var pools = []string{"engine", "engine", "engine", "plain", "plain", "plain", "even", "even", "odd", "odd"}

// workspaces are those that pay: the first has a budget that is at its end within seconds, the last one that never is.
var workspaces = []string{"thin", "middle", "wide"}

// version is one accepted configuration, as the template has it.
type version struct {
	Number int64
	Moved  string
	// Paths are those of all versions up to this one, and of routes that nobody asks for.
	Paths   []string
	Prepaid map[string]int64
	ack     time.Time
}

// versionPath is a path that this version and all later ones serve.
func versionPath(number int64) string { return fmt.Sprintf("version-%d", number) }

// configure writes the next version: with so many more routes that nobody asks for, and so much more paid for workspaces.
func (s *run) configure(more, paid int, to ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := version{Number: 1, Moved: []string{"even", "odd"}[len(s.versions)%2], Prepaid: s.prepaid}
	if n := len(s.versions); n > 0 {
		v.Number, v.Paths = s.versions[n-1].Number+int64(1+n%3), s.versions[n-1].Paths
	}
	v.Paths = append(v.Paths, versionPath(v.Number))
	for range more {
		v.Paths = append(v.Paths, fmt.Sprintf("unused-%d", len(v.Paths)))
	}
	for _, workspace := range to {
		s.prepaid[workspace] += int64(paid)
	}
	var document bytes.Buffer
	if err := configuration.Execute(&document, v); err != nil {
		panic(err)
	}
	s.rows.Put(masticway.RowKey{Table: "op", Key: "config"}, document.Bytes())
	v.ack = time.Now()
	s.versions = append(s.versions, v)
	s.note("version %d accepted, %d bytes, %d routes more, %d paid to %v", v.Number, document.Len(), more, paid, to)
}

// newest returns the newest version that was accepted before a time; its number is zero when there is none.
func (s *run) newest(before time.Time) (found version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.versions {
		if v.ack.Before(before) {
			found = v
		}
	}
	return found
}

// mayMoveTo tells that a version from this one on sends the moved route to a pool.
func (s *run) mayMoveTo(pool string, since int64) bool {
	return slices.ContainsFunc(s.versions, func(v version) bool { return v.Number >= since && v.Moved == pool })
}

// startServer starts the next life of the server in a slot.
func (s *run) startServer(slot int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lives++
	server, err := emulator.StartOpaqueServer(fmt.Sprintf("%s-%d", pools[slot], s.lives), s.ledger)
	if err != nil {
		panic(err)
	}
	server.Stream(s.events, s.pause)
	server.Echo(s.work)
	s.servers[slot] = server
	s.register(server, "ready")
}

func (s *run) register(server *emulator.OpaqueServer, state string) {
	s.rows.Put(serverKey(server), fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"slots":32,"state":%q}`, poolOf(server.ID), server.Address(), zoneName, state))
}

func serverKey(s *emulator.OpaqueServer) masticway.RowKey {
	return masticway.RowKey{Table: "servers", Key: s.ID}
}

// poolOf returns the pool of a server's id.
func poolOf(id string) string { return id[:strings.IndexByte(id, '-')] }

// serverOf returns the server that a fault meets, and its slot.
func (s *run) serverOf(e event) (server *emulator.OpaqueServer, slot int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	slot = e.target % len(pools)
	return s.servers[slot], slot
}
