package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"github.com/masticway/masticway/authenticator"
	"github.com/masticway/masticway/estimator"
	"github.com/masticway/masticway/logger"
	"github.com/masticway/masticway/router"
	"github.com/masticway/masticway/sidecar"
	"github.com/masticway/masticway/starter"
	"github.com/masticway/masticway/validator"
)

// decodeFile reads and validates a document, adds the defaults of absent fields and decodes it.
func decodeFile[T any](k validator.Kind, file string) (T, error) {
	var zero T
	data, err := os.ReadFile(file)
	if err != nil {
		return zero, fmt.Errorf("reading %s: %w", file, err)
	}
	v, err := validator.Decode[T](k, data)
	if err != nil {
		return zero, fmt.Errorf("%s: %w", file, err)
	}
	return v, nil
}

// drainTimeoutError reports that a router, sidecar or gateway was shut down before all its work was finished.
type drainTimeoutError struct{}

func (drainTimeoutError) Error() string {
	return "the drain timeout ran out before everything had finished"
}

func routerCommand() *command {
	var file string
	return &command{
		name: "router", description: "run a router", example: "masticway router examples/router-1.json",
		flags: func(s *flaggy.Subcommand) { fileArgument(s, &file, "settings file") },
		run: func(ctx context.Context, e env) error {
			settings, err := decodeFile[router.Settings](validator.KindRouter, file)
			if err != nil {
				return err
			}
			d, err := starter.BuildRouter(settings, e.err)
			if err != nil {
				return err
			}
			return runDaemon(ctx, d)
		},
	}
}

func sidecarCommand() *command {
	var file string
	return &command{
		name: "sidecar", description: "run a sidecar", example: "masticway sidecar examples/sidecar-draft-1.json",
		flags: func(s *flaggy.Subcommand) { fileArgument(s, &file, "settings file") },
		run: func(ctx context.Context, e env) error {
			settings, err := decodeFile[sidecar.Settings](validator.KindSidecar, file)
			if err != nil {
				return err
			}
			d, err := starter.BuildSidecar(settings, e.err)
			if err != nil {
				return err
			}
			return runDaemon(ctx, d)
		},
	}
}

// daemon is a router, sidecar or gateway. Drain shuts it down gracefully and reports whether all work was finished in time.
type daemon interface {
	Start() error
	Drain() bool
}

// runDaemon starts a daemon, waits until ctx is done and drains the daemon. It returns a drainTimeoutError if the daemon
// could not finish its work in time.
func runDaemon(ctx context.Context, r daemon) error {
	if err := r.Start(); err != nil {
		return err
	}
	<-ctx.Done()
	if !r.Drain() {
		return drainTimeoutError{}
	}
	return nil
}

func emulateCommand() *command {
	var file string
	return &command{
		name: "emulate", description: "run an emulated platform and upstreams, for development only",
		example: "masticway emulate examples/emulator.json",
		flags:   func(s *flaggy.Subcommand) { fileArgument(s, &file, "settings file") },
		run: func(ctx context.Context, e env) error {
			settings, err := decodeFile[starter.EmulatorSettings](validator.KindEmulator, file)
			if err != nil {
				return err
			}
			log, err := logger.New(settings.LogLevel, e.err)
			if err != nil {
				return err
			}
			d, err := starter.StartEmulator(settings, log)
			if err != nil {
				return err
			}
			defer d.Close()
			<-ctx.Done()
			return nil
		},
	}
}

func checkCommand() *command {
	var file, kind string
	return &command{
		name: "check", description: "check a settings file, contract, catalog or scenario",
		example: "masticway check examples/router-1.json",
		flags: func(s *flaggy.Subcommand) {
			fileArgument(s, &file, "file to check")
			s.String(&kind, "", "kind", "gateway, router, sidecar, emulator, contract, catalog or scenario; guessed from the fields by default")
		},
		run: func(_ context.Context, e env) error {
			data, err := os.ReadFile(file)
			if err != nil {
				return fmt.Errorf("reading %s: %w", file, err)
			}
			k := validator.Kind(kind)
			if k == "" {
				k = guessKind(data)
			}
			if err := validator.Check(k, data); err != nil {
				return fmt.Errorf("%s: %w", file, err)
			}
			_, err = fmt.Fprintf(e.out, "%s: valid %s\n", file, k)
			return err
		},
	}
}

// guessKind guesses the kind of a document from its fields. The default is KindRouter.
func guessKind(data []byte) validator.Kind {
	var fields map[string]json.RawMessage
	if json.Unmarshal(data, &fields) != nil {
		return validator.KindRouter
	}
	markers := []struct {
		field string
		kind  validator.Kind
	}{
		{"traffic", validator.KindScenario}, {"store_address", validator.KindGateway}, {"platform_address", validator.KindEmulator},
		{"upstream_url", validator.KindSidecar}, {"workspace", validator.KindContract},
	}
	for _, m := range markers {
		if _, ok := fields[m.field]; ok {
			return m.kind
		}
	}
	_, models := fields["models"]
	_, services := fields["services"]
	if models || services {
		return validator.KindCatalog
	}
	return validator.KindRouter
}

func keyCommand() *command {
	return &command{
		name: "key", description: "generate a caller key, and its hash for the contract", example: "masticway key",
		run: func(_ context.Context, e env) error {
			key := authenticator.NewKey()
			_, err := fmt.Fprintf(e.out, "key   %s\nhash  %s\n", key, authenticator.HashKey(key))
			return err
		},
	}
}

func docsCommand() *command {
	page := "settings"
	return &command{
		name: "docs", description: "print a generated page: settings from the schemas, or capacity from measured slopes",
		example: "masticway docs --page settings > docs/SETTINGS.md",
		flags:   func(s *flaggy.Subcommand) { s.String(&page, "", "page", "settings or capacity") },
		run: func(_ context.Context, e env) error {
			write := validator.SettingsPage
			switch page {
			case "settings":
			case "capacity":
				write = estimator.Page
			default:
				return &usageError{reason: "--page is settings or capacity"}
			}
			text, err := write()
			if err != nil {
				return err
			}
			_, err = fmt.Fprint(e.out, text)
			return err
		},
	}
}
