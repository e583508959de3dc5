package treasurer_test

import (
	"flag"
	"os"
	"testing"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// Runs are repeatable by default; set the flag to search longer.
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261202")
		_ = flag.Set("rapid.nofailfile", "true")
		// A hold takes about ten steps of a test from its request to its delivery.
		_ = flag.Set("rapid.steps", "400")
	}
	os.Exit(m.Run())
}
