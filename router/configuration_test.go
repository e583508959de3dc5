package router

import (
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/configurer"
	"github.com/masticway/masticway/connector"
	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/logger"
	"github.com/masticway/masticway/measurer"
)

// TestPollConfigKeepsProgressOnSlowTable has more changes than one poll has time to read. A poll that dropped the changes that it
// had read before its timeout would read the same ones each time and never catch up.
func TestPollConfigKeepsProgressOnSlowTable(t *testing.T) {
	const (
		changes = 10
		// delayMillis is the delay of each call. Reading all changes takes longer than platformTimeout.
		delayMillis = 500
		polls       = 3
	)
	platform := emulator.NewPlatform(0)
	server := httptest.NewServer(platform.Handler())
	defer server.Close()
	client := connector.NewHTTPClient(nil)
	defer client.CloseIdleConnections()
	table := connector.NewPlatform(server.URL, client, 2*time.Second)
	r := New(Settings{}, Secrets{}, masticway.SystemClock{}, logger.Discard(), Platform{Table: table}, nil, measurer.New())
	defer r.Close()
	putChange := func(n int) {
		c := masticway.Change{ID: fmt.Sprint(n), Contract: &masticway.Contract{Workspace: fmt.Sprint(n)}}
		_, err := r.store.Put(t.Context(), c, configurer.AnyRevision)
		qt.Assert(t, err, qt.IsNil)
	}
	putChange(0)
	qt.Assert(t, r.loadConfig(t.Context()), qt.IsNil)
	loaded := r.snapshot.Load().Revision()
	for n := range changes {
		putChange(n + 1)
	}
	platform.Table.SetFaults(emulator.TableFaults{DelayMillis: delayMillis})
	for range polls {
		r.pollConfig()
	}
	qt.Assert(t, r.snapshot.Load().Revision(), qt.Equals, loaded+changes)
}
