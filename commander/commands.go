package commander

import (
	"context"
	"fmt"

	"github.com/integrii/flaggy"
)

// commands returns the top-level commands, each with its subcommands.
func commands() []*command {
	return []*command{
		devCommand(), gatewayCommand(), routerCommand(), sidecarCommand(), emulateCommand(), checkCommand(),
		contractCommand(), budgetCommand(), configCommand(), catalogCommand(), upstreamCommand(), explainCommand(),
		accountCommand(), keyCommand(), loadCommand(), soakCommand(), docsCommand(), versionCommand(),
	}
}

func versionCommand() *command {
	return &command{
		name: "version", description: "print the version", example: "masticway version",
		run: func(_ context.Context, e env) error {
			_, err := fmt.Fprintln(e.out, "masticway", version)
			return err
		},
	}
}

// fileArgument declares the file argument of a command that reads one file.
func fileArgument(s *flaggy.Subcommand, file *string, what string) {
	s.AddPositionalValue(file, "file", 1, true, what)
}
