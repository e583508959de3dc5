package soaker

import (
	"fmt"
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/emulator"
)

// oddRowInterval is the time between two odd rows of one fault, and oddRowTime how long a server's row stays overwritten.
const oddRowInterval, oddRowTime = 40 * time.Millisecond, 120 * time.Millisecond

// ownTables are the tables of the routers' own rows, with a part of each that all routers read.
var ownTables = []masticway.RowKey{
	{Table: "masticway_routers", Part: "routers"}, {Table: "masticway_eras", Part: "era"}, {Table: "masticway_versions", Part: "versions"},
	{Table: "masticway_versions", Part: "streams"}, {Table: "masticway_suspects", Part: "suspects"},
}

// writeOddRows overwrites the row of one server with an odd one, and writes others beside the rows of the servers and of the routers
// until the fault ends. The server writes its row anew soon after.
func (s *soakRun) writeOddRows(e faultEvent) {
	s.beginDisturbance(e.kind, "store", 0)()
	odd := func(n int) []byte { return []byte(emulator.OddRegistrations[n%len(emulator.OddRegistrations)]) }
	s.overwriteRow(e, odd(e.target/len(pools)))
	for n, end := e.target, time.Now().Add(e.duration); time.Now().Before(end); n++ {
		keys := append([]masticway.RowKey{{Table: "servers"}}, ownTables...)
		for i := range keys {
			keys[i].Key = fmt.Sprintf("odd-%d", n)
			s.rows.Put(keys[i], odd(n))
		}
		time.Sleep(oddRowInterval)
		for _, k := range keys {
			s.rows.Delete(k)
		}
	}
}

// overwriteRow overwrites the row of the server that a fault affects, and restores it unless the server has been replaced.
func (s *soakRun) overwriteRow(e faultEvent, value []byte) {
	server, slot := s.targetServer(e)
	whileCurrent := func(do func()) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.servers[slot] == server {
			do()
		}
	}
	whileCurrent(func() { server.Overwrite(s.rows, value) })
	time.Sleep(oddRowTime)
	whileCurrent(func() { s.register(server, false) })
}
