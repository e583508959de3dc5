package keeper_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/bookkeeper"
	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/keeper"
	"github.com/masticway/masticway/recoverer"
	"github.com/masticway/masticway/sealer"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// A fixed seed gives the same steps in each run; the flag -rapid.seed chooses others.
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261202")
		_ = flag.Set("rapid.nofailfile", "true")
	}
	os.Exit(m.Run())
}

const worldBudget = "b"

// world simulates the money of a fleet without I/O: routers' keepers, sidecars' sealers and recoveries on an emulated table.
type world struct {
	now      time.Time
	table    *emulator.Table
	ledger   *bookkeeper.Ledger
	routers  []*worldRouter
	sidecars []*worldSidecar
	runs     []*worldRun
	lastID   int
	prepaid  masticway.Amount
}

type worldRouter struct {
	self    masticway.Incarnation
	keeper  *keeper.Keeper
	links   bookkeeper.Links
	version int64
	moves   []pendingMove
	dead    bool
	// recoveries are the two concurrent recoveries of this router by two others. There are none until kill is called.
	recoveries []*recoverer.Recovery
}

type pendingMove struct {
	move    keeper.Move
	unknown bool
}

type worldSidecar struct {
	self masticway.Incarnation
	core *sealer.Sealer
	gone bool
}

type worldRun struct {
	payer    *worldRouter
	hold     keeper.Reply
	sidecar  *worldSidecar
	key      masticway.RunKey
	sent     bool
	accepted bool
	refused  bool
	counted  bool
	prompt   int
	tokens   int
	result   *sealer.RunResult
	settled  bool
}

// trueCost returns the cost of what the upstream ran, which no other part of the simulation can see.
func (r *worldRun) trueCost() masticway.Amount {
	if !r.counted {
		return 0
	}
	return masticway.Amount(r.prompt + 3*r.tokens)
}

func newWorld(prepaid masticway.Amount, routers, sidecars int, policy keeper.Policy) *world {
	w := &world{now: time.Unix(1_800_000_000, 0), table: emulator.NewTable(), prepaid: prepaid}
	w.ledger = bookkeeper.New(w.table)
	for i := range sidecars {
		self := masticway.NewIncarnation(fmt.Sprintf("s%d", i), "1")
		w.sidecars = append(w.sidecars, &worldSidecar{self: self, core: sealer.New(sealer.Settings{
			Self: self, AnswerTTL: time.Hour, MaxAnswerBytes: 1 << 20, OrphanTimeout: time.Hour, MaxRuns: 1000,
		})})
	}
	for range routers {
		w.addRouter(policy)
	}
	if _, err := w.ledger.TopUp(context.Background(), worldBudget, "first", prepaid); err != nil {
		panic(err)
	}
	return w
}

func (w *world) addRouter(policy keeper.Policy) {
	self := masticway.NewIncarnation(fmt.Sprintf("r%d", len(w.routers)), "1")
	r := &worldRouter{self: self, links: bookkeeper.Links{Incarnation: self, State: bookkeeper.LinksOpen}}
	r.keeper = keeper.New(keeper.Settings{Incarnation: self, Policy: policy, Slices: 4, IdleTimeout: 2 * time.Second}, w.now)
	version, err := w.ledger.OpenLinks(context.Background(), self)
	if err != nil {
		return
	}
	r.version = version
	for _, s := range w.sidecars {
		if !s.gone {
			r.links.Sidecars = append(r.links.Sidecars, s.self)
		}
	}
	if r.version, err = w.ledger.PutLinks(context.Background(), r.links, r.version); err != nil {
		return
	}
	w.routers = append(w.routers, r)
}

func (w *world) apply(r *worldRouter, effects []keeper.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case keeper.Move:
			r.moves = append(r.moves, pendingMove{move: e})
		case keeper.Reply:
			if e.Result == keeper.ResultHeld {
				w.runs = append(w.runs, &worldRun{payer: r, hold: e})
			}
		}
	}
}

// hold sends a hold request to a router's keeper.
func (w *world) hold(t *rapid.T) {
	r := w.routers[rapid.IntRange(0, len(w.routers)-1).Draw(t, "router")]
	if r.dead {
		return
	}
	w.lastID++
	maxAmount := masticway.Amount(rapid.IntRange(10, 300).Draw(t, "most"))
	minAmount := masticway.Amount(rapid.IntRange(5, int(maxAmount)).Draw(t, "least"))
	w.apply(r, r.keeper.Hold(w.now, keeper.HoldRequest{
		ID: masticway.HoldID(fmt.Sprint(w.lastID)), Budget: worldBudget, Identity: masticway.Identity(fmt.Sprint("w/", w.lastID)),
		Sender: r.self, MaxAmount: maxAmount, MinAmount: minAmount, Horizon: 2 * time.Second, MaxWait: 300 * time.Millisecond,
	}))
}

// move carries out a router's oldest pending move on a table that may be unavailable or lose its answer.
func (w *world) move(t *rapid.T) {
	r := w.routers[rapid.IntRange(0, len(w.routers)-1).Draw(t, "router")]
	if r.dead || len(r.moves) == 0 {
		return
	}
	p := &r.moves[0]
	switch rapid.IntRange(0, 4).Draw(t, "table") {
	case 0:
		w.table.SetFaults(emulator.TableFaults{Down: true})
	case 1:
		w.table.SetFaults(emulator.TableFaults{DropAnswers: 1})
	}
	ctx, cancel := context.WithCancel(context.Background())
	if rapid.Bool().Draw(t, "read_back_fails") {
		// The move's outcome cannot be read back this time.
		cancel()
	}
	defer cancel()
	result, err := w.ledger.ApplyMove(ctx, p.move, r.version)
	w.table.SetFaults(emulator.TableFaults{})
	if err == nil {
		r.moves = r.moves[1:]
		w.apply(r, r.keeper.ApplyMoveResult(w.now, result))
		return
	}
	if _, ok := errors.AsType[*masticway.SealedError](err); ok {
		r.dead = true
		return
	}
	if _, ok := errors.AsType[*masticway.UnavailableError](err); ok && !p.unknown {
		move := p.move
		r.moves = r.moves[1:]
		w.apply(r, r.keeper.ApplyMoveResult(w.now, keeper.MoveResult{Move: move, Failed: true}))
		return
	}
	p.unknown = true
}

// send dispatches a run with a hold to a sidecar; messages of a router that has crashed may still arrive.
func (w *world) send(t *rapid.T) {
	run := w.pickRun(t, func(r *worldRun) bool { return !r.sent })
	if run == nil {
		return
	}
	s := w.sidecars[rapid.IntRange(0, len(w.sidecars)-1).Draw(t, "sidecar")]
	if s.gone {
		return
	}
	run.sent = true
	run.sidecar = s
	run.key = masticway.RunKey{Identity: masticway.Identity("w/" + string(run.hold.ID)), Attempt: 1}
	w.applySealer(run, s.core.Dispatch(w.now, sealer.Dispatch{
		Run: run.key, Sender: run.payer.self, Hold: run.hold.ID, Grant: run.hold.Grant, Bound: run.hold.Amount,
		PromptWeight: 1, CompletionWeight: 3, Call: masticway.Call{Model: "m", MaxOutput: 1000},
	}, run.payer.self))
}

func (w *world) pickRun(t *rapid.T, want func(*worldRun) bool) *worldRun {
	var list []*worldRun
	for _, r := range w.runs {
		if want(r) {
			list = append(list, r)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return list[rapid.IntRange(0, len(list)-1).Draw(t, "run")]
}

func (w *world) applySealer(run *worldRun, effects []sealer.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case sealer.Verify:
			w.applySealer(run, run.sidecar.core.ApplyVerification(w.now, e.Incarnation, w.incarnationStatus(run.sidecar, e.Incarnation)))
		case sealer.Start:
			run.accepted = true
		case sealer.Send:
			switch m := e.Message.(type) {
			case sealer.Refused:
				run.refused = true
			case sealer.RunResult:
				run.result = &m
			}
		}
	}
}

func (w *world) incarnationStatus(s *worldSidecar, inc masticway.Incarnation) sealer.IncarnationStatus {
	links, version, err := w.ledger.Links(context.Background(), inc)
	switch {
	case err != nil:
		return sealer.StatusUnknown
	case version == 0 || links.State == bookkeeper.LinksSealed:
		return sealer.StatusSealed
	case !links.Has(s.self):
		return sealer.StatusUnlinked
	}
	return sealer.StatusOpen
}

// work advances a run at an upstream by one step.
func (w *world) work(t *rapid.T) {
	run := w.pickRun(t, func(r *worldRun) bool { return r.accepted && r.result == nil && !r.sidecar.gone })
	if run == nil {
		return
	}
	core := run.sidecar.core
	if !run.counted {
		run.counted = true
		run.prompt = rapid.IntRange(1, max(1, int(run.hold.Amount)/2)).Draw(t, "prompt")
		w.applySealer(run, core.RecordPromptCount(run.key, run.prompt, 0))
		return
	}
	for range rapid.IntRange(1, 20).Draw(t, "tokens") {
		effects := core.RecordChunk(run.key, masticway.Chunk{Text: "x", Tokens: 1})
		if slices.ContainsFunc(effects, func(e sealer.Effect) bool { _, stop := e.(sealer.Stop); return stop }) {
			w.applySealer(run, core.RecordEnd(w.now, run.key, masticway.Outcome{}, nil))
			return
		}
		run.tokens++
	}
	if rapid.Bool().Draw(t, "ends") {
		var failure *masticway.UpstreamError
		if rapid.IntRange(0, 3).Draw(t, "fails") == 0 {
			failure = &masticway.UpstreamError{Reason: "lost", Started: true}
		}
		w.applySealer(run, core.RecordEnd(w.now, run.key, masticway.Outcome{}, failure))
	}
}

// settle reports the result of a run to its payer, and repeats some of these reports.
func (w *world) settle(t *rapid.T) {
	run := w.pickRun(t, func(r *worldRun) bool {
		decided := r.result != nil || r.refused || (r.sent && r.sidecar.gone)
		return decided && !r.payer.dead && (!r.settled || r.result != nil)
	})
	if run == nil {
		return
	}
	var charges []keeper.Charge
	switch {
	case run.result != nil:
		charges = []keeper.Charge{{Sidecar: run.sidecar.self, Amount: run.result.Cost}}
	case run.sent && !run.refused:
		charges = []keeper.Charge{{Sidecar: run.sidecar.self, Amount: run.hold.Amount, Presumed: true}}
	}
	run.settled = true
	w.apply(run.payer, run.payer.keeper.Settle(w.now, run.hold.ID, charges))
}

func (w *world) tick(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
	for _, r := range w.routers {
		if !r.dead {
			w.apply(r, r.keeper.Tick(w.now))
			w.apply(r, r.keeper.ReleaseIdle(w.now))
		}
	}
}

func (w *world) returnFree(t *rapid.T) {
	r := w.routers[rapid.IntRange(0, len(w.routers)-1).Draw(t, "router")]
	if !r.dead {
		w.apply(r, r.keeper.ReturnFree(w.now, worldBudget, rapid.Bool().Draw(t, "elsewhere")))
	}
}

func (w *world) handOver(t *rapid.T) {
	r := w.routers[rapid.IntRange(0, len(w.routers)-1).Draw(t, "router")]
	if !r.dead {
		w.apply(r, r.keeper.HandOver(w.now, worldBudget))
	}
}

// kill starts two recoveries of one router, which may still be running and go on sending.
func (w *world) kill(t *rapid.T) {
	r := w.routers[rapid.IntRange(0, len(w.routers)-1).Draw(t, "router")]
	if len(r.recoveries) > 0 {
		return
	}
	r.dead = rapid.Bool().Draw(t, "knows")
	r.recoveries = []*recoverer.Recovery{recoverer.New(w.now, r.self), recoverer.New(w.now, r.self)}
	if len(w.routers) < 6 {
		w.addRouter(keeper.PolicyForecast)
	}
}

// addSidecar starts a sidecar that only routers added later have in their links rows; it must refuse all others.
func (w *world) addSidecar(*rapid.T) {
	if len(w.sidecars) >= 6 {
		return
	}
	self := masticway.NewIncarnation(fmt.Sprintf("s%d", len(w.sidecars)), "1")
	w.sidecars = append(w.sidecars, &worldSidecar{self: self, core: sealer.New(sealer.Settings{
		Self: self, AnswerTTL: time.Hour, MaxAnswerBytes: 1 << 20, OrphanTimeout: time.Hour, MaxRuns: 1000,
	})})
}

func (w *world) killSidecar(t *rapid.T) {
	s := w.sidecars[rapid.IntRange(0, len(w.sidecars)-1).Draw(t, "sidecar")]
	alive := 0
	for _, o := range w.sidecars {
		if !o.gone {
			alive++
		}
	}
	if alive < 2 {
		return
	}
	if rapid.Bool().Draw(t, "graceful") && s.core.Running() == 0 {
		s.core.Drain()
		_ = w.ledger.PutReport(context.Background(), bookkeeper.Report{Sidecar: s.self, Totals: s.core.Totals("")})
	}
	s.gone = true
}

// recover advances one recovery by one step.
func (w *world) recover(t *rapid.T) {
	var open []*recoverer.Recovery
	for _, r := range w.routers {
		for _, rec := range r.recoveries {
			if !rec.IsDone() {
				open = append(open, rec)
			}
		}
	}
	if len(open) == 0 {
		return
	}
	rec := open[rapid.IntRange(0, len(open)-1).Draw(t, "recovery")]
	w.now = w.now.Add(300 * time.Millisecond)
	for _, e := range rec.Tick(w.now) {
		switch e := e.(type) {
		case recoverer.SealInTable:
			w.sealInTable(rec)
		case recoverer.SealAtSidecar:
			w.sealAtSidecar(rec, e.Sidecar)
		case recoverer.CloseGrants:
			w.closeGrants(t, rec, e.Closures)
		}
	}
}

func (w *world) sealInTable(rec *recoverer.Recovery) {
	links, err := w.ledger.Seal(context.Background(), rec.Incarnation())
	if err != nil {
		rec.RecordSealed(links, nil, false)
		return
	}
	grants, err := w.ledger.GrantsOf(context.Background(), rec.Incarnation())
	rec.RecordSealed(links, grants, err == nil)
}

func (w *world) sealAtSidecar(rec *recoverer.Recovery, sidecar masticway.Incarnation) {
	for _, s := range w.sidecars {
		if s.self != sidecar {
			continue
		}
		if !s.gone {
			report, _ := s.core.Seal(w.now, rec.Incarnation())
			rec.RecordReport(report)
			return
		}
		left, found, err := w.ledger.Report(context.Background(), sidecar)
		if err == nil {
			rec.RecordLost(sidecar, left, found)
		}
	}
}

func (w *world) closeGrants(t *rapid.T, rec *recoverer.Recovery, closures []bookkeeper.GrantClosure) {
	if rapid.IntRange(0, 4).Draw(t, "answer_lost") == 0 {
		w.table.SetFaults(emulator.TableFaults{DropAnswers: 1})
	}
	defer w.table.SetFaults(emulator.TableFaults{})
	for _, c := range closures {
		if _, err := w.ledger.Recover(context.Background(), c); err != nil {
			rec.RecordClosed(false)
			return
		}
	}
	rec.RecordClosed(true)
}

func (w *world) topUp(t *rapid.T) {
	w.lastID++
	amount := masticway.Amount(rapid.IntRange(1, 500).Draw(t, "amount"))
	id := fmt.Sprint("t", w.lastID)
	for range rapid.IntRange(1, 2).Draw(t, "times") {
		if _, err := w.ledger.TopUp(context.Background(), worldBudget, id, amount); err != nil {
			t.Fatalf("top-up: %v", err)
		}
	}
	w.prepaid += amount
}

// check verifies the invariants of money against the true cost of what upstreams ran.
func (w *world) check(t *rapid.T) {
	for _, r := range w.routers {
		if err := r.keeper.ChartError(); err != nil {
			t.Fatal(err)
		}
	}
	row, err := w.ledger.Budget(context.Background(), worldBudget)
	if err != nil {
		t.Fatalf("reading the budget: %v", err)
	}
	if err := row.Check(); err != nil {
		t.Fatal(err)
	}
	if row.Prepaid != w.prepaid {
		t.Fatalf("prepaid is %d, not %d", row.Prepaid, w.prepaid)
	}
	var ran masticway.Amount
	for _, r := range w.runs {
		ran += r.trueCost()
	}
	if ran > w.prepaid {
		t.Fatalf("upstreams ran %d of %d prepaid", ran, w.prepaid)
	}
	if row.Settled+row.OpenAmount() < ran {
		t.Fatalf("settled %d and open %d do not cover the %d that ran", row.Settled, row.OpenAmount(), ran)
	}
}

func TestMoneyIsNeverOverspent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prepaid := masticway.Amount(rapid.IntRange(200, 5000).Draw(t, "prepaid"))
		w := newWorld(prepaid, 3, 3, rapid.SampledFrom([]keeper.Policy{keeper.PolicyForecast, keeper.PolicySlice}).Draw(t, "policy"))
		t.Repeat(map[string]func(*rapid.T){
			"": w.check, "hold": w.hold, "hold_again": w.hold, "move": w.move, "move_again": w.move, "send": w.send, "send_again": w.send,
			"work": w.work, "work_again": w.work, "settle": w.settle, "tick": w.tick, "give_back": w.returnFree, "yield": w.handOver,
			"kill": w.kill, "add_sidecar": w.addSidecar, "kill_sidecar": w.killSidecar, "recover": w.recover, "recover_again": w.recover, "top_up": w.topUp,
		})
	})
}
