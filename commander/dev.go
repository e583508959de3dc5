package commander

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/integrii/flaggy"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/authenticator"
	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/logger"
	"github.com/masticway/masticway/starter"
)

const (
	// devReadyTimeout limits the wait of the dev command until all routers are ready.
	devReadyTimeout = 20 * time.Second
	// devPrepaid is the initial amount of each sample budget, in tokens of weight one.
	devPrepaid = 1_000_000
)

// sampleCatalog returns a catalog with the models and services that the sample contracts use.
func sampleCatalog() masticway.Catalog {
	return masticway.Catalog{
		Models: []masticway.Model{
			{Name: "draft", PromptWeight: 1000, CompletionWeight: 3000},
			{Name: "assistant", PromptWeight: 500, CompletionWeight: 1500},
		},
		Services: []masticway.Service{{Name: "stock", Price: 10_000}, {Name: "booking", Price: 10_000}},
	}
}

// sampleContracts returns contracts modeled on the first two users.
func sampleContracts() []masticway.Contract {
	return []masticway.Contract{
		{
			Workspace: "tailoring", Budget: "tailoring", Priority: 5, Class: masticway.ClassInteractive,
			Models: []masticway.ModelTerms{{Name: "draft", MinOutput: 32, MaxOutput: 2048}},
			Services: []masticway.ServiceTerms{{
				Name: "stock", NonRepeatable: []masticway.CallPattern{{Method: "POST", Path: "/reservations"}},
			}},
			HoldWait: masticway.Duration(time.Second),
		},
		{
			Workspace: "bronceo", Budget: "bronceo", Priority: 3, Class: masticway.ClassInteractive,
			Models: []masticway.ModelTerms{{Name: "assistant", MinOutput: 16, MaxOutput: 512}},
			Services: []masticway.ServiceTerms{{
				Name: "booking", NonRepeatable: []masticway.CallPattern{{Method: "POST", Path: "/sessions"}, {Method: "DELETE", Path: "/sessions/*"}},
			}},
			Horizon: masticway.Duration(5 * time.Second),
		},
	}
}

// devSpec returns the specification of the fleet that dev runs.
func devSpec() starter.FleetSpec {
	engine := emulator.EngineSettings{
		Capacity: 8, PrefillTime: 100 * time.Microsecond, TokenTime: 10 * time.Millisecond,
		CacheBlocks: 512, ReportLag: 300 * time.Millisecond,
	}
	return starter.FleetSpec{
		Regions: []starter.RegionSpec{{Name: "local", Zones: []string{"a", "b"}, Routers: 2}},
		Engines: []starter.EngineGroup{
			{Model: "draft", Count: 2, Settings: engine}, {Model: "assistant", Count: 1, Settings: engine},
		},
		Services:    []starter.ServiceGroup{{Name: "stock", Count: 1}, {Name: "booking", Count: 1}},
		InstanceLag: 300 * time.Millisecond,
	}
}

func devCommand() *command {
	level := "warning"
	return &command{
		name: "dev", description: "run a whole fleet with an emulated platform and upstreams in this process, on loopback", example: "masticway dev",
		flags: func(s *flaggy.Subcommand) { s.String(&level, "", "log-level", "debug, info, warning or error") },
		run:   func(ctx context.Context, e env) error { return runDev(ctx, e, level) },
	}
}

// runDev runs the fleet until ctx is done. It then drains the routers and stops the fleet. It returns an error if a router
// could not finish its work in time.
func runDev(ctx context.Context, e env, level string) error {
	log, err := logger.New(level, e.err)
	if err != nil {
		return &usageError{reason: err.Error()}
	}
	spec := devSpec()
	spec.Log = log
	fleet, err := starter.StartFleet(spec)
	defer fleet.Stop()
	if err != nil {
		return err
	}
	key := authenticator.NewKey()
	if err := seedDev(ctx, fleet, key); err != nil {
		return err
	}
	ready, cancel := context.WithTimeout(ctx, devReadyTimeout)
	defer cancel()
	if err := fleet.AwaitReady(ready); err != nil {
		return err
	}
	directory, err := os.MkdirTemp("", "masticway-dev-")
	if err != nil {
		return fmt.Errorf("making a directory for the token: %w", err)
	}
	defer os.RemoveAll(directory)
	tokenFile := filepath.Join(directory, "admin.token")
	if err := os.WriteFile(tokenFile, []byte(fleet.AdminToken()), 0o600); err != nil {
		return fmt.Errorf("writing the token: %w", err)
	}
	printDev(e, fleet, key, tokenFile)
	<-ctx.Done()
	clean := true
	for _, r := range fleet.Routers() {
		clean = fleet.DrainRouter(r.Name) && clean
	}
	if !clean {
		return drainTimeoutError{}
	}
	fmt.Fprintln(e.out, "ended cleanly")
	return nil
}

// seedDev writes the sample catalog, the sample contracts and the prepaid budgets to the fleet's platform. Each contract
// gets one API key. That of the first is key, and that of the second is key with a suffix.
func seedDev(ctx context.Context, fleet *starter.Fleet, key string) error {
	contracts := sampleContracts()
	contracts[0] = contracts[0].WithKeyHashes(authenticator.HashKey(key))
	contracts[1] = contracts[1].WithKeyHashes(authenticator.HashKey(key + "-bronceo"))
	budgets := []starter.Prepaid{
		{Budget: "tailoring", Amount: devPrepaid * masticway.PerToken}, {Budget: "bronceo", Amount: devPrepaid * masticway.PerToken},
	}
	return fleet.Seed(ctx, sampleCatalog(), contracts, budgets)
}

func printDev(e env, fleet *starter.Fleet, key, tokenFile string) {
	routers := fleet.Routers()
	for _, r := range routers {
		fmt.Fprintf(e.out, "router    %s  callers %s  operators %s\n", r.Name, r.CallerURL, r.AdminURL)
	}
	for _, s := range fleet.Sidecars() {
		fmt.Fprintf(e.out, "sidecar   %s\n", s.Name)
	}
	fmt.Fprintf(e.out, "platform  %s\n\ncaller key of workspace tailoring: %s\ncaller key of workspace bronceo:   %s-bronceo\n\n", fleet.PlatformURL(), key, key)
	fmt.Fprintf(e.out, "try:\ncurl -sN %s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' -d '{\"model\":\"draft\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"a two-button jacket, 102 chest [tokens=12]\"}]}'\n\n", routers[0].CallerURL, key)
	fmt.Fprintf(e.out, "go run ./cmd/masticway budget show tailoring --router %s --token-file %s\n\nCtrl-C ends the fleet\n", routers[0].AdminURL, tokenFile)
}
