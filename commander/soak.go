package commander

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/masticway/masticway/soaker"
)

// splitList splits a comma-separated list. It returns nil for an empty string.
func splitList(list string) []string {
	if list == "" {
		return nil
	}
	return strings.Split(list, ",")
}

func soakCommand() *command {
	seed, seconds, routers, out, kinds := 1, 30, 3, "out", ""
	return &command{
		name: "soak", description: "run gateways as processes on loopback under random faults, and verify every guarantee from outside",
		example: "masticway soak --seed 7 --seconds 60 --routers 4 --out out",
		flags: func(s *flaggy.Subcommand) {
			s.Int(&seed, "", "seed", "seed of the random faults and requests")
			s.Int(&seconds, "", "seconds", "how long faults are injected, in seconds")
			s.Int(&routers, "", "routers", "number of routers")
			s.String(&kinds, "", "kinds", "comma-separated kinds of faults to inject; by default all usual ones")
			s.String(&out, "", "out", "directory for settings and logs")
		},
		run: func(ctx context.Context, e env) error {
			if seed < 0 || seconds < 1 || routers < 1 || routers > soaker.MaxRouters {
				return &usageError{reason: fmt.Sprintf("--seed is 0 or more, --seconds 1 or more, --routers 1 to %d", soaker.MaxRouters)}
			}
			for _, kind := range splitList(kinds) {
				if !slices.Contains(soaker.Kinds(), kind) {
					return &usageError{reason: fmt.Sprintf("--kinds has %q, which is none of %s", kind, strings.Join(soaker.Kinds(), ", "))}
				}
			}
			program, err := os.Executable()
			if err != nil {
				return err
			}
			directory := filepath.Join(out, fmt.Sprintf("soak-%d", seed))
			report, err := soaker.Soak{
				Seed: uint64(seed), Duration: time.Duration(seconds) * time.Second, Routers: routers, Program: program, Directory: directory,
				Kinds: splitList(kinds),
			}.Run(ctx)
			if err != nil {
				return err
			}
			fmt.Fprintf(e.out, "seed %d: %d requests, %d served, %d resumed, %d streams checked over several tries, %d left, %d waited for a stopped router (%d answered, %d served), %d versions, %d faults\n", seed, report.Requests, report.Served, report.Resumed, report.Continued, report.Left, report.Waited, report.WaitedAnswered, report.WaitedServed, report.Versions, report.Faults)
			for _, v := range report.Violations {
				fmt.Fprintf(e.out, "  %s: %s\n", v.Promise, v.Text)
				err = &checkError{failures: []string{fmt.Sprintf("%d violation(s), see %s", len(report.Violations), directory)}}
			}
			return err
		},
	}
}
