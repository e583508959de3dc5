package starter_test

import (
	"log"
	"os"
	"testing"

	"github.com/masticway/masticway/emulator"
)

func TestMain(m *testing.M) {
	if settings := os.Getenv(serverVariable); settings != "" {
		serveUntilKilled(settings)
	}
	if settings := os.Getenv(routerVariable); settings != "" {
		routeUntilTerminated(settings)
	}
	release, err := emulator.LockMachine()
	if err != nil {
		log.Fatal(err)
	}
	code := m.Run()
	release()
	os.Exit(code)
}
