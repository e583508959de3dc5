package soaker

import (
	"fmt"
	"strings"
	"time"

	"github.com/masticway/masticway"
)

// oddRowInterval is the time between two odd rows of one fault, and oddRowTime how long a server's row stays overwritten.
const oddRowInterval, oddRowTime = 40 * time.Millisecond, 120 * time.Millisecond

// oddRows are values that another writer leaves in the table of servers. None is a registration that a router may use.
var oddRows = []string{
	strings.Repeat(`{"service":`, 20_000),
	`{"service":"plain","address":"127.0.0.1:99999","state":"ready"}`,
	`{"service":"plain","address":"127.0.0.1:-1","state":"ready"}`,
	`{"service":"plain","address":":0","state":"ready"}`,
	`{"service":"plain","address":"127.0.0.1:1","state":"ready","slots":99999999999999999999999}`,
	`{"service":"plain","address":"127.0.0.1:1","state":"ready","born":99999999999999}`,
	`{"service":"plain","address":"127.0.0.1:1","state":"ready","born":9223372036854775807}`,
	`{"service":"plain","address":"127.0.0.1:1","state":"ready","cold_left_ms":9223372036854775807}`,
	`{"service":"plain","address":"127.0.0.1:1","state":"asleep","version":"` + strings.Repeat("v", 60<<10) + `"}`,
	"\x00\xff\n", "", "[]", "null", "1e999",
}

// writeOddRows overwrites the row of one server with an odd one, and writes others beside the rows of the servers until the fault
// ends. The server writes its row anew soon after.
func (s *soakRun) writeOddRows(e faultEvent) {
	s.beginDisturbance(e.kind, "store", 0)()
	s.overwriteRow(e, []byte(oddRows[e.target/len(pools)%len(oddRows)]))
	for n, end := e.target, time.Now().Add(e.duration); time.Now().Before(end); n++ {
		key := masticway.RowKey{Table: "servers", Key: fmt.Sprintf("odd-%d", n%len(oddRows))}
		s.rows.Put(key, []byte(oddRows[n%len(oddRows)]))
		time.Sleep(oddRowInterval)
		s.rows.Delete(key)
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
