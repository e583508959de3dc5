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

// TestRegisterBeforeOpenLinksDoesNotSealRouter links a sidecar that came up before the first row was written.
func TestRegisterBeforeOpenLinksDoesNotSealRouter(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	book := bookkeeper.New(emulator.NewTable())
	b := newBudgetManager(ctx, &wg, "r~1", Money{}, masticway.SystemClock{}, logger.Discard().WithField("incarnation", "r~1"), book, measurer.New())
	b.onSealed = func() { t.Error("sealed") }
	qt.Assert(t, b.tryRegister([]masticway.Incarnation{"s~1"}), qt.IsFalse)
	qt.Assert(t, b.openLinks(ctx), qt.IsNil)
	qt.Assert(t, b.tryRegister([]masticway.Incarnation{"s~1"}), qt.IsTrue)
	links, _, err := book.Links(ctx, "r~1")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, links.Has("s~1"), qt.IsTrue)
}

// answerTimeout only ends a test that would fail.
const answerTimeout = 30 * time.Second

// TestSealedRouterAnswersWaitingHolds asks for money that cannot come any more.
func TestSealedRouterAnswersWaitingHolds(t *testing.T) {
	ctx := context.Background()
	table := emulator.NewTable()
	book := bookkeeper.New(table)
	r := New(Settings{}, Secrets{}, masticway.SystemClock{}, logger.Discard(), Platform{Table: table}, nil, measurer.New())
	defer r.Close()
	qt.Assert(t, r.budgets.openLinks(ctx), qt.IsNil)
	_, err := book.TopUp(ctx, "b", "order", 10)
	qt.Assert(t, err, qt.IsNil)
	_, err = book.Seal(ctx, r.self)
	qt.Assert(t, err, qt.IsNil)
	// The first one's draw learns of the seal.
	for _, name := range []string{"it waits already", "it comes later"} {
		t.Run(name, func(t *testing.T) {
			answered := make(chan linker.HoldIs, 1)
			request := keeper.HoldRequest{ID: masticway.HoldID(name), Budget: "b", Most: 2, Least: 1, Wait: time.Hour}
			r.budgets.hold(request, masticway.Contract{Workspace: "w"}, func(h linker.HoldIs) { answered <- h })
			select {
			case h := <-answered:
				qt.Assert(t, h.Verdict, qt.Equals, keeper.VerdictElsewhere)
			case <-time.After(answerTimeout):
				t.Fatal("it waits")
			}
			<-r.Sealed()
			_, holds := r.budgets.keeper.Size()
			qt.Assert(t, holds, qt.Equals, 0)
		})
	}
}
