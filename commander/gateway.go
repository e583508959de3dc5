package commander

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/integrii/flaggy"

	"github.com/masticway/masticway/forwarder"
	"github.com/masticway/masticway/platform"
	"github.com/masticway/masticway/starter"
	"github.com/masticway/masticway/validator"
)

// gcPercent (GOGC) is how much a gateway's heap may grow before the next garbage collection, in percent of the live heap. The
// live heap is small, so collecting more often than by default costs hardly any CPU time.
const gcPercent = 25

func gatewayCommand() *command {
	var file string
	return &command{
		name: "gateway", description: "run a router on the users' platform", example: "masticway gateway settings.json",
		flags: func(s *flaggy.Subcommand) {
			s.AddPositionalValue(&file, "file", 1, false, "settings file; by default the one that "+platform.SettingsVariable+" names")
		},
		run: func(ctx context.Context, e env) error {
			if file == "" {
				file = platform.SettingsPath()
			}
			settings, err := decodeFile[forwarder.Settings](validator.KindGateway, file)
			if err != nil {
				return err
			}
			debug.SetGCPercent(gcPercent)
			d, err := starter.BuildGateway(settings, e.out)
			if err != nil {
				return err
			}
			stop := reloadOnHangup(func() error {
				settings, err := decodeFile[forwarder.Settings](validator.KindGateway, file)
				if err == nil {
					d.Reload(settings)
				}
				return err
			}, e)
			defer stop()
			return runDaemon(ctx, d)
		},
	}
}

// reloadOnHangup calls reload on each SIGHUP until stop is called. If reload fails, it prints the error. reload must then
// leave the previous settings in effect.
func reloadOnHangup(reload func() error, e env) (stop func()) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		for range hangups {
			if err := reload(); err != nil {
				fmt.Fprintf(e.err, "masticway: settings not read again, the old ones stay: %v\n", err)
			}
		}
	}()
	return func() {
		signal.Stop(hangups)
		close(hangups)
	}
}
