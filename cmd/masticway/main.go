// Command masticway runs the routers and sidecars of the fleet, the commands for its operators, and the load and soak tests.
package main

import (
	"os"

	"github.com/masticway/masticway/commander"
)

func main() {
	os.Exit(commander.Main(os.Args[1:], os.Stdout, os.Stderr))
}
