package soaker

import (
	"fmt"
	"strings"
	"time"

	"github.com/masticway/masticway/emulator"
)

const (
	// maxDrainDelay is the time after which a draining server must get no new requests, as in the users' deployments. It
	// counts from when the store accepted that the server drains, or from when a router received an answer that announces
	// it. extraServingTime is how much longer the server serves.
	maxDrainDelay, extraServingTime = 2 * time.Second, 1500 * time.Millisecond
	// silenceTimeout is the time after which the row of a crashed server is removed. In this time three heartbeats would
	// have come, which are less than a second apart.
	silenceTimeout = 2 * time.Second
)

// route is a route that every configuration has. Answers to metered requests are streams and cost prepaid tokens.
type route struct {
	name, pool                     string
	metered, repeatable, anonymous bool
}

// routes are the routes that callers request.
var routes = []route{
	{name: "draft", pool: "engine", metered: true},
	{name: "chat", pool: "engine", metered: true, repeatable: true},
	{name: "look", pool: "plain", repeatable: true, anonymous: true},
	{name: "book", pool: "plain"},
}

// plainRoute is the index of the route of plain services that any caller may use.
const plainRoute = 2

// pools holds the name of the pool of each server slot. In each slot one server runs at a time; after a crash or drain,
// another server takes the slot.
var pools = []string{"engine", "engine", "engine", "engine", "plain", "plain", "plain", "plain"}

// workspaces are the callers' workspaces. The budget of the first is used up within seconds, and that of the last never.
var workspaces = []string{"thin", "middle", "wide"}

// version is an accepted version of the configuration.
type version struct {
	emulator.Deployment // its paths are those of all versions up to this one, and of routes that no caller requests
	acceptedAt          time.Time
}

// versionPath returns the path that a version adds. That version and all later ones serve it.
func versionPath(number int64) string { return fmt.Sprintf("version-%d", number) }

// configure writes the next version of the configuration and pays the number paid of tokens to each workspace in to. The
// version has more further routes that no caller requests, but never more than maxRoutes paths in total.
func (s *soakRun) configure(more, paid int, to ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := version{Deployment: emulator.Deployment{Number: 1, Prepaid: s.prepaid, Keys: s.keys}}
	if s.SharesLoad {
		v.PlainConnections = sharedPlainConnections
	}
	if n := len(s.versions); n > 0 {
		v.Number, v.Paths = s.versions[n-1].Number+int64(1+n%3), s.versions[n-1].Paths
	}
	v.Paths = append(v.Paths, versionPath(v.Number))
	for range min(more, maxRoutes-len(v.Paths)) {
		v.Paths = append(v.Paths, fmt.Sprintf("unused-%d", len(v.Paths)))
	}
	for _, workspace := range to {
		s.prepaid[workspace] += int64(paid)
	}
	for workspace, tokens := range s.prepaid {
		s.maxPrepaid[workspace] = max(s.maxPrepaid[workspace], tokens)
	}
	size, err := v.Put(s.rows)
	if err != nil {
		panic(err)
	}
	v.acceptedAt = time.Now()
	s.versions = append(s.versions, v)
	s.logf("version %d accepted, %d bytes, %d routes added, %d tokens paid to %d workspaces: %v", v.Number, size, more, paid, len(to), to[:min(len(to), 5)])
}

// newestVersion returns the newest version that was accepted before a time. If there is none, it returns a version with
// number zero.
func (s *soakRun) newestVersion(before time.Time) (found version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.versions {
		if v.acceptedAt.Before(before) {
			found = v
		}
	}
	return found
}

// startServer starts a new server in a slot and registers it as ready. It does not stop the server that the slot had.
func (s *soakRun) startServer(slot int) {
	if err := s.startServerAt("127.0.0.1:0", slot); err != nil {
		panic(err)
	}
}

// startServerAt does the same at an address.
func (s *soakRun) startServerAt(address string, slot int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnations++
	server, err := emulator.StartOpaqueServerAt(address, fmt.Sprintf("%s-%d", pools[slot], s.incarnations), s.ledger)
	if err != nil {
		return err
	}
	server.SendLateCopies(s.lateCopies[pools[slot]])
	server.Version = s.recordServer(server.ID, slot)
	server.SetStream(s.events, s.pause)
	server.EnableEcho(s.work)
	server.SetCloseNotice(closeNotices[slot%len(closeNotices)])
	server.OnArrival(s.onArrival)
	server.CrashOn(deadlyMark, s.crashHandler(slot))
	server.CrashOnParts(s.crashHandler(slot), deadlyParts...)
	if s.SharesLoad && pools[slot] == "plain" {
		server.RecordExcesses(sharedPlainConnections + connectionSlack*s.Routers)
	}
	s.servers[slot] = server
	s.all = append(s.all, server)
	s.zones[server.ID] = s.zone(slot)
	s.register(server, false)
	return nil
}

// register writes a server's row, as ready or as draining.
func (s *soakRun) register(server *emulator.OpaqueServer, draining bool) {
	server.Register(s.rows, poolOf(server.ID), s.zones[server.ID], draining)
}

// poolOf returns the pool of a server from its id.
func poolOf(id string) string { return id[:strings.IndexByte(id, '-')] }

// currentServers returns the current servers of a pool's slots. The caller must hold the lock.
func (s *soakRun) currentServers(pool string) (servers []*emulator.OpaqueServer) {
	for i, server := range s.servers {
		if pools[i] == pool {
			servers = append(servers, server)
		}
	}
	return servers
}

// targetServer returns the current server of the slot that a fault affects, and the slot.
func (s *soakRun) targetServer(e faultEvent) (server *emulator.OpaqueServer, slot int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	slot = e.target % len(pools)
	return s.servers[slot], slot
}
