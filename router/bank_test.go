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

// TestRegisterBeforeOpenLinksDoesNotSealRouter registers a sidecar that was linked before the first links row was written. If
// that wrote the row, openLinks would find it and report the router as sealed.
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

// answerTimeout is how long the test waits for an answer. It is long because the wait ends earlier unless the test fails.
const answerTimeout = 30 * time.Second

// TestSealedRouterAnswersWaitingHolds guards against hold requests that wait without end because their router is sealed and can
// draw no more money.
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
	// The first request's draw finds that the router is sealed.
	for _, name := range []string{"waits when the seal is found", "comes after the seal was found"} {
		t.Run(name, func(t *testing.T) {
			answered := make(chan linker.HoldReply, 1)
			request := keeper.HoldRequest{ID: masticway.HoldID(name), Budget: "b", MaxAmount: 2, MinAmount: 1, MaxWait: time.Hour}
			r.budgets.hold(request, masticway.Contract{Workspace: "w"}, func(h linker.HoldReply) { answered <- h })
			select {
			case h := <-answered:
				qt.Assert(t, h.Result, qt.Equals, keeper.ResultNotKeeper)
			case <-time.After(answerTimeout):
				t.Fatal("the request was not answered")
			}
			<-r.Sealed()
			_, holds := r.budgets.keeper.Size()
			qt.Assert(t, holds, qt.Equals, 0)
		})
	}
}
