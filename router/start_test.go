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

// blockedTable commits no transaction until release is closed.
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

// TestSidecarsAreDialedAfterLinksRowIsWritten delays a router's first links row, as a table under load does. A sidecar reads that
// row as soon as it is linked, and considers a router without a row permanently sealed, so a link that is made too early makes it
// refuse the router's requests.
func TestSidecarsAreDialedAfterLinksRowIsWritten(t *testing.T) {
	table := &blockedTable{Table: emulator.NewTable(), release: make(chan struct{})}
	var dialed atomic.Int64
	dial := func(context.Context, string, string) (net.Conn, error) {
		dialed.Add(1)
		return nil, errors.New("connection refused")
	}
	settings := Settings{ProcessSettings: masticway.ProcessSettings{Instance: "x", Region: "r"}, LinksPerPool: 1, Poll: masticway.Duration(5 * time.Millisecond)}
	r := New(settings, Secrets{}, masticway.SystemClock{}, logger.Discard(), Platform{Table: table, Instances: oneSidecar{}}, dial, measurer.New())
	defer r.Close()
	r.wg.Go(func() { _ = r.Start(r.ctx) })
	time.Sleep(200 * time.Millisecond)
	qt.Assert(t, dialed.Load(), qt.Equals, int64(0))

	close(table.release)
	for deadline := time.Now().Add(5 * time.Second); dialed.Load() == 0; time.Sleep(5 * time.Millisecond) {
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("the router never dials the sidecar"))
	}
}
