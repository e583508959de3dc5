package emulator

import "strings"

// OddRegistrations are values that another writer leaves in the table of servers. None is a registration that a router may use.
var OddRegistrations = []string{
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
