package soaker

import (
	"fmt"
	"strings"
	"time"

	"github.com/masticway/masticway/emulator"
)

const (
	drainBound, servesOn = 2 * time.Second, 1500 * time.Millisecond // for work after a server's leaving was accepted (as the users' deployments have it); how much longer it serves
	silentAfter          = 2 * time.Second                          // the row of a crashed server goes, after three heartbeats of less than a second
)

// route is a route that every configuration has; answers to metered requests are streams, which cost prepaid tokens.
type route struct {
	name, pool                     string
	metered, repeatable, anonymous bool
}

// routes are what callers ask for.
var routes = []route{
	{name: "draft", pool: "engine", metered: true},
	{name: "chat", pool: "engine", metered: true, repeatable: true},
	{name: "look", pool: "plain", repeatable: true, anonymous: true},
	{name: "book", pool: "plain"},
}

// pools are the pools, one name for each server.
var pools = []string{"engine", "engine", "engine", "engine", "plain", "plain", "plain", "plain"}

// workspaces are those that pay: the first has a budget that is at its end within seconds, the last one that never is.
var workspaces = []string{"thin", "middle", "wide"}

// version is one accepted configuration, as the template has it.
type version struct {
	emulator.Deployment // its paths are of all versions up to this one, and of routes that nobody asks for
	ack                 time.Time
}

// versionPath is a path that this version and all later ones serve.
func versionPath(number int64) string { return fmt.Sprintf("version-%d", number) }

// configure writes the next version: with so many more routes that nobody asks for, and so much more paid for workspaces.
func (s *run) configure(more, paid int, to ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := version{Deployment: emulator.Deployment{Number: 1, Prepaid: s.prepaid}}
	if n := len(s.versions); n > 0 {
		v.Number, v.Paths = s.versions[n-1].Number+int64(1+n%3), s.versions[n-1].Paths
	}
	v.Paths = append(v.Paths, versionPath(v.Number))
	for range min(more, routesMost-len(v.Paths)) {
		v.Paths = append(v.Paths, fmt.Sprintf("unused-%d", len(v.Paths)))
	}
	for _, workspace := range to {
		s.prepaid[workspace] += int64(paid)
	}
	size, err := v.Put(s.rows)
	if err != nil {
		panic(err)
	}
	v.ack = time.Now()
	s.versions = append(s.versions, v)
	s.note("version %d accepted, %d bytes, %d routes more, %d paid to %v", v.Number, size, more, paid, to)
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

// startServer starts the next life of the server in a slot.
func (s *run) startServer(slot int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lives++
	server, err := emulator.StartOpaqueServer(fmt.Sprintf("%s-%d", pools[slot], s.lives), s.ledger)
	if err != nil {
		panic(err)
	}
	server.SetStream(s.events, s.pause)
	server.EnableEcho(s.work)
	server.CrashOn(deadlyMark, s.crashedBy(slot))
	s.servers[slot] = server
	s.all = append(s.all, server)
	s.register(server, false)
}

func (s *run) register(server *emulator.OpaqueServer, leaving bool) {
	server.Register(s.rows, poolOf(server.ID), zoneName, leaving)
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
