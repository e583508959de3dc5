package router

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/bookkeeper"
	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/keeper"
	"github.com/masticway/masticway/linker"
	"github.com/masticway/masticway/logger"
	"github.com/masticway/masticway/measurer"
)

// TestLinkBeforeOpenDoesNotSealTheRouter links a sidecar that came up before the first row was written.
func TestLinkBeforeOpenDoesNotSealTheRouter(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	book := bookkeeper.New(emulator.NewTable())
	b := newBank(ctx, &wg, "r~1", Money{}, masticway.SystemClock{}, logger.Discard().WithField("incarnation", "r~1"), book, measurer.New())
	b.fenced = func() { t.Error("sealed") }
	qt.Assert(t, b.tryLink([]masticway.Incarnation{"s~1"}), qt.IsFalse)
	qt.Assert(t, b.open(ctx), qt.IsNil)
	qt.Assert(t, b.tryLink([]masticway.Incarnation{"s~1"}), qt.IsTrue)
	links, _, err := book.Links(ctx, "r~1")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, links.Has("s~1"), qt.IsTrue)
}

// sealedPatience only ends a test that would fail.
const sealedPatience = 30 * time.Second

// TestSealedRouterLetsNobodyWaitForMoney asks for money that cannot come any more.
func TestSealedRouterLetsNobodyWaitForMoney(t *testing.T) {
	ctx := context.Background()
	table := emulator.NewTable()
	book := bookkeeper.New(table)
	r := New(Settings{}, Secrets{}, masticway.SystemClock{}, logger.Discard(), Platform{Table: table}, nil, measurer.New())
	defer r.Close()
	qt.Assert(t, r.bank.open(ctx), qt.IsNil)
	_, err := book.TopUp(ctx, "b", "order", 10)
	qt.Assert(t, err, qt.IsNil)
	_, err = book.Seal(ctx, r.self)
	qt.Assert(t, err, qt.IsNil)
	// The first one's draw learns of the seal.
	for _, name := range []string{"it waits already", "it comes later"} {
		t.Run(name, func(t *testing.T) {
			answered := make(chan linker.HoldIs, 1)
			request := keeper.HoldRequest{ID: masticway.HoldID(name), Budget: "b", Most: 2, Least: 1, Wait: time.Hour}
			r.bank.hold(request, masticway.Contract{Workspace: "w"}, func(h linker.HoldIs) { answered <- h })
			select {
			case h := <-answered:
				qt.Assert(t, h.Verdict, qt.Equals, keeper.VerdictElsewhere)
			case <-time.After(sealedPatience):
				t.Fatal("it waits")
			}
			<-r.Sealed()
			_, holds := r.bank.keeper.Size()
			qt.Assert(t, holds, qt.Equals, 0)
		})
	}
}
