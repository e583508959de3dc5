package router

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/logger"
	"github.com/masticway/masticway/measurer"
)

// blockedTable makes no transaction before it is let.
type blockedTable struct {
	masticway.Table
	release chan struct{}
}

func (l *blockedTable) Commit(ctx context.Context, tx masticway.Transaction) error {
	select {
	case <-l.release:
		return l.Table.Commit(ctx, tx)
	case <-ctx.Done():
		return &masticway.UnavailableError{Service: "table", Reason: "late"}
	}
}

// oneSidecar is an instance list with one sidecar.
type oneSidecar struct{}

func (oneSidecar) Instances(context.Context, string) (masticway.InstanceReading, error) {
	return masticway.InstanceReading{Version: "1", Instances: []masticway.Instance{
		{ID: "s", Role: masticway.RoleSidecar, Address: "127.0.0.1:1", Region: "r", State: masticway.InstanceLive, Models: []string{"m"}},
	}}, nil
}

// TestSidecarsAreDialedAfterLinksRowIsWritten has the table take a router's first row late, as one does beside load.
//
// Seen: a router was sealed 0.7 s after its start, and the first request to it refused. How: a sidecar that it had linked to looked
// its row up before that was written; one without a row counts as recovered, and as sealed for good. Cause: links to sidecars were
// made from the first instance list on. Proof: no recovery was begun, and the sidecar alone refused.
func TestSidecarsAreDialedAfterLinksRowIsWritten(t *testing.T) {
	table := &blockedTable{Table: emulator.NewTable(), release: make(chan struct{})}
	var dialed atomic.Int64
	dial := func(context.Context, string, string) (net.Conn, error) {
		dialed.Add(1)
		return nil, errors.New("nobody is there")
	}
	settings := Settings{ProcessSettings: masticway.ProcessSettings{Instance: "x", Region: "r"}, LinksPerPool: 1, Poll: masticway.Duration(5 * time.Millisecond)}
	r := New(settings, Secrets{}, masticway.SystemClock{}, logger.Discard(), Platform{Table: table, Instances: oneSidecar{}}, dial, measurer.New())
	defer r.Close()
	r.wg.Go(func() { _ = r.Start(r.ctx) })
	time.Sleep(200 * time.Millisecond)
	qt.Assert(t, dialed.Load(), qt.Equals, int64(0))

	close(table.release)
	for deadline := time.Now().Add(5 * time.Second); dialed.Load() == 0; time.Sleep(5 * time.Millisecond) {
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("it never links to the sidecar"))
	}
}
