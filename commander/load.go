package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/integrii/flaggy"

	"github.com/masticway/masticway/loader"
	"github.com/masticway/masticway/logger"
)

// checkError reports that a load run or a soak violated a promise or that a load run missed an expectation.
type checkError struct {
	failures []string
}

func (e *checkError) Error() string {
	return fmt.Sprintf("%d failure(s): %v", len(e.failures), e.failures)
}

// loadFlags are the flags of the load command.
type loadFlags struct {
	scenario string // file
	out      string // directory for the report; if it is empty, none is written
	seeds    int    // the number of runs
	router   string // router settings as JSON; if it is empty, those of the scenario apply
	level    string // log level
}

func loadCommand() *command {
	f := &loadFlags{seeds: 1, level: "error"}
	return &command{
		name: "load", description: "run load against a fleet on loopback and verify every guarantee from outside",
		example: "masticway load --scenario examples/tailoring.json --out out",
		flags: func(s *flaggy.Subcommand) {
			s.String(&f.scenario, "", "scenario", "scenario file")
			s.String(&f.out, "", "out", "directory for the JSON report")
			s.Int(&f.seeds, "", "seeds", "number of runs, each with the next seed")
			s.String(&f.router, "", "router-settings", "router settings as JSON, which replace the scenario's")
			s.String(&f.level, "", "log-level", "minimum level of the fleet's log events")
		},
		run:         func(ctx context.Context, e env) error { return runLoad(ctx, e, *f) },
		subcommands: []*command{compareCommand(), driveCommand()},
	}
}

func compareCommand() *command {
	var a, b string
	return &command{
		name: "compare", description: "compare two report files", example: "masticway load compare before.json after.json",
		flags: func(s *flaggy.Subcommand) {
			s.AddPositionalValue(&a, "a", 1, true, "report before")
			s.AddPositionalValue(&b, "b", 2, true, "report after")
		},
		run: func(_ context.Context, e env) error {
			before, err := loader.ReadRuns(a)
			if err != nil {
				return err
			}
			after, err := loader.ReadRuns(b)
			if err != nil {
				return err
			}
			loader.Compare(e.out, before, after)
			return nil
		},
	}
}

// runLoad runs a scenario once for each seed, prints the reports and writes them to a file. It returns a checkError if a
// report has failures.
func runLoad(ctx context.Context, e env, f loadFlags) error {
	if f.scenario == "" || f.seeds < 1 {
		return &usageError{reason: "--scenario names a file, and --seeds is at least 1"}
	}
	data, err := os.ReadFile(f.scenario)
	if err != nil {
		return fmt.Errorf("reading the scenario: %w", err)
	}
	s, err := loader.Parse(data)
	if err != nil {
		return fmt.Errorf("%s: %w", f.scenario, err)
	}
	if f.router != "" {
		s.Router = json.RawMessage(f.router)
	}
	log, err := logger.New(f.level, e.err)
	if err != nil {
		return &usageError{reason: err.Error()}
	}
	var runs loader.Runs
	var failures []string
	for range f.seeds {
		report, err := loader.Runner{Scenario: s, Progress: e.err, Log: log}.Run(ctx)
		if err != nil {
			return err
		}
		report.Print(e.out)
		runs.Runs = append(runs.Runs, report)
		failures = append(failures, report.Failures...)
		s.Seed++
	}
	if err := writeRuns(f.out, s.Name, runs); err != nil {
		return err
	}
	if len(failures) > 0 {
		return &checkError{failures: failures}
	}
	return nil
}

// writeRuns writes reports to NAME.json in a directory, which it creates if needed. It does nothing if directory is empty.
func writeRuns(directory, name string, runs loader.Runs) error {
	if directory == "" {
		return nil
	}
	data, err := json.MarshalIndent(runs, "", "  ")
	if err != nil {
		return fmt.Errorf("encoding reports: %w", err)
	}
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return fmt.Errorf("making %s: %w", directory, err)
	}
	return os.WriteFile(filepath.Join(directory, name+".json"), data, 0o644)
}
