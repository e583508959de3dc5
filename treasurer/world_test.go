package treasurer_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/treasurer"
)

// workspaces of the world; each has its own prepaid budget.
var workspaces = []string{"tailor", "salon"}

// world is a fleet's money in one goroutine: purses, the rows, and nothing else. What callers got is counted outside.
type world struct {
	now     time.Time
	rows    *emulator.Rows
	routers []*worldRouter
	version int64
	prepaid map[string]int64
	// most is the greatest budget that was ever in force, got what callers received.
	most   map[string]int64
	got    map[string]int64
	late   []masticway.RowWrite
	served int
	serial int
	// burst is the part of what is in hand that books promise ahead.
	burst float64
	// holders is how many routers hold money of a workspace, so that the others borrow; zero is all.
	holders int
}

// worldRouter is one instance; a restart gives it a new purse.
type worldRouter struct {
	instance string
	self     masticway.Incarnation
	purse    *treasurer.Purse
	begun    bool
	steps    []treasurer.Step
	holds    []*worldHold
	ended    []treasurer.Ended
	stated   []treasurer.Statement
	strays   []treasurer.Statement
	cut      bool
	// startedAt is when the process began to listen.
	startedAt time.Time
}

type worldHold struct {
	id        treasurer.HoldID
	workspace string
	amount    int64
	held      bool
	cleared   bool
}

func newWorld(t *rapid.T) *world {
	w := &world{
		now: time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC), prepaid: map[string]int64{}, most: map[string]int64{}, got: map[string]int64{},
	}
	w.burst = rapid.SampledFrom([]float64{0, 0.04, 0.5}).Draw(t, "burst")
	w.holders = rapid.IntRange(0, 3).Draw(t, "holders")
	w.rows = emulator.NewRows(func() time.Time { return w.now })
	for _, workspace := range workspaces {
		w.prepaid[workspace] = rapid.Int64Range(300, 4000).Draw(t, "prepaid")
	}
	for i := range rapid.IntRange(1, 4).Draw(t, "routers") {
		r := &worldRouter{instance: fmt.Sprintf("edge-%d", i)}
		w.routers = append(w.routers, r)
		w.restart(r)
	}
	w.configure()
	return w
}

// configure puts a new version of the budgets in force at every router that can hear of it.
func (w *world) configure() {
	w.version++
	accounts := map[string]masticway.Account{}
	for workspace, prepaid := range w.prepaid {
		w.most[workspace] = max(w.most[workspace], prepaid)
		accounts[workspace] = masticway.Account{Workspace: workspace, Prepaid: prepaid, HasLimit: true}
	}
	for _, r := range w.routers {
		if !r.cut {
			r.purse.Configure(w.version, accounts)
		}
	}
}

// restart ends a router's process, with all that it held, and starts a new one; the old one's writes may still come.
func (w *world) restart(r *worldRouter) {
	for _, s := range r.steps {
		if s.Write != nil {
			w.late = append(w.late, *s.Write)
		}
	}
	w.serial++
	r.self = masticway.NewIncarnation(r.instance, fmt.Sprint(w.serial))
	r.purse = treasurer.NewPurse(treasurer.Settings{Incarnation: r.self, Address: r.instance, Parts: 2, Reserve: 5 * time.Second, BurstShare: w.burst, Holders: w.holders})
	r.startedAt = w.now
	r.begun, r.steps, r.holds, r.ended, r.stated, r.strays = false, nil, nil, nil, nil, nil
	accounts := map[string]masticway.Account{}
	for workspace, prepaid := range w.prepaid {
		accounts[workspace] = masticway.Account{Workspace: workspace, Prepaid: prepaid, HasLimit: true}
	}
	r.purse.Configure(w.version, accounts)
}

// kill ends a router; what was cleared may have reached its caller whole.
func (w *world) kill(r *worldRouter) {
	for _, h := range r.holds {
		if h.cleared {
			w.got[h.workspace] += h.amount
		}
	}
	w.restart(r)
}

// begin takes the book over, and closes what the predecessors left.
func (w *world) begin(t *rapid.T, r *worldRouter) {
	if r.cut || r.begun {
		return
	}
	reading := w.read("masticway_books", r.instance)
	write, err := r.purse.Begin(reading.row, reading.at, reading.at-w.now.Sub(r.startedAt))
	if err != nil {
		t.Fatalf("beginning: %v", err)
	}
	made, err := w.rows.Apply(write)
	if err != nil {
		return
	}
	r.purse.Began(w.now, made.Version, made.StoreTime)
	r.begun = true
	r.ended = r.purse.Predecessors()
	var peers []treasurer.Peer
	for _, o := range w.routers {
		peers = append(peers, treasurer.Peer{Witness: treasurer.Witness{Incarnation: o.self}})
	}
	for _, o := range w.routers {
		o.purse.Count(len(peers), peers)
	}
}

type worldReading struct {
	row masticway.StoredRow
	at  time.Duration
}

func (w *world) read(table, key string) worldReading {
	out := worldReading{row: masticway.StoredRow{RowKey: masticway.RowKey{Table: table, Part: treasurer.PartOf(key, 2), Key: key}}}
	all, err := w.rows.Read(context.Background(), table, out.row.Part)
	if err != nil {
		return out
	}
	out.at = all.StoreTime
	for _, r := range all.Rows {
		if r.Key == key {
			out.row = r
		}
	}
	return out
}

func (w *world) closePredecessors(t *rapid.T, r *worldRouter) {
	if r.cut || len(r.ended) == 0 {
		return
	}
	for _, e := range r.ended {
		for workspace, spent := range e.Known(w.recall(t, e)) {
			reading := w.read("masticway_accounts", workspace)
			write, _, err := treasurer.CloseGrant(reading.row, e.Incarnation, spent)
			if err != nil {
				t.Fatalf("closing: %v", err)
			}
			if _, err := w.rows.Apply(write); err != nil {
				t.Fatalf("closing with nobody between: %v", err)
			}
		}
	}
	r.ended = nil
	r.purse.Closed()
}

// recall asks the witnesses of an ended incarnation, some of which cannot be reached.
func (w *world) recall(t *rapid.T, e treasurer.Ended) []treasurer.Recollection {
	var recalled []treasurer.Recollection
	for _, named := range e.Witnesses {
		for _, o := range w.routers {
			if o.self.Instance() == named.Incarnation.Instance() && rapid.IntRange(0, 5).Draw(t, "reached") > 0 {
				recalled = append(recalled, o.purse.Recall(named.Incarnation, e.Incarnation))
			}
		}
	}
	return recalled
}

// testify lets a router tell its witnesses what it has taken; statements and receipts may be lost, or come late.
func (w *world) testify(t *rapid.T, r *worldRouter) {
	due := append(r.purse.Statements(w.now), r.stated...)
	strays := r.strays
	r.stated, r.strays = nil, nil
	for _, s := range due {
		how := rapid.SampledFrom([]string{"ok", "ok", "ok", "lost", "unanswered", "late", "stray"}).Draw(t, "statement")
		switch how {
		case "late":
			r.stated = append(r.stated, s)
			continue
		case "stray":
			// Its issuer gives it up, and it arrives behind newer ones.
			r.strays = append(r.strays, s)
		}
		taken := how != "lost" && how != "stray" && w.hear(s)
		w.take(r, r.purse.Witnessed(w.now, s, taken && how == "ok"))
	}
	for _, s := range strays {
		w.hear(s)
	}
}

// hear gives a statement to the instance that it is meant for, and tells whether it was taken.
func (w *world) hear(s treasurer.Statement) bool {
	for _, o := range w.routers {
		if o.self.Instance() == s.Witness.Instance() {
			return o.purse.Testified(s)
		}
	}
	return false
}

// plan collects the steps that a purse wants.
func (w *world) plan(r *worldRouter) {
	w.take(r, r.purse.Tick(w.now))
	r.steps = append(r.steps, r.purse.Plan(w.now)...)
}

// finish ends one step in a way that the draw decides.
func (w *world) finish(t *rapid.T, r *worldRouter) {
	if len(r.steps) == 0 {
		return
	}
	i := rapid.IntRange(0, len(r.steps)-1).Draw(t, "step")
	s := r.steps[i]
	r.steps = append(r.steps[:i:i], r.steps[i+1:]...)
	how := rapid.SampledFrom([]string{"ok", "ok", "ok", "nothing", "lost", "late"}).Draw(t, "how")
	if r.cut {
		how = "nothing"
		if s.Write != nil && rapid.Bool().Draw(t, "unsure") {
			how = "never"
		}
	}
	var reading masticway.RowReading
	var err error
	unknown := &masticway.OutcomeUnknownError{Service: "rows", Reason: how}
	switch {
	case how == "nothing":
		err = &masticway.UnavailableError{Service: "rows", Reason: how}
	case how == "never":
		err = unknown
	case s.Write == nil:
		reading, err = w.rows.Read(t.Context(), "masticway_accounts", s.Part)
	case how == "late":
		w.late = append(w.late, *s.Write)
		err = unknown
	default:
		reading, err = w.rows.Apply(*s.Write)
		if how == "lost" {
			err = unknown
		}
	}
	replies, fault := r.purse.Done(w.now, s, reading, err)
	w.take(r, replies)
	if fault != nil {
		if _, sealed := errors.AsType[*masticway.SealedError](fault); !sealed {
			t.Fatalf("fault: %v", fault)
		}
		w.restart(r)
	}
}

// take notes replies: a hold that is cleared may be delivered from then on.
func (w *world) take(r *worldRouter, replies []treasurer.Reply) {
	for _, reply := range replies {
		for i, h := range r.holds {
			if h.id != reply.ID {
				continue
			}
			switch reply.Verdict {
			case treasurer.VerdictHeld:
				h.held = true
				w.take(r, r.purse.Clear(w.now, h.id))
			case treasurer.VerdictCleared:
				h.cleared = true
			default:
				r.holds = append(r.holds[:i:i], r.holds[i+1:]...)
			}
			break
		}
	}
}

func (w *world) ask(t *rapid.T, r *worldRouter) {
	workspace := rapid.SampledFrom(workspaces).Draw(t, "workspace")
	amount := rapid.Int64Range(1, 500).Draw(t, "amount")
	id, replies := r.purse.Hold(w.now, workspace, amount, w.now.Add(5*time.Second))
	r.holds = append(r.holds, &worldHold{id: id, workspace: workspace, amount: amount})
	w.take(r, replies)
}

// deliver ends one hold: only a cleared one can have given anything to its caller.
func (w *world) deliver(t *rapid.T, r *worldRouter) {
	if len(r.holds) == 0 {
		return
	}
	i := rapid.IntRange(0, len(r.holds)-1).Draw(t, "hold")
	h := r.holds[i]
	r.holds = append(r.holds[:i:i], r.holds[i+1:]...)
	var used int64
	if h.cleared {
		used = rapid.Int64Range(0, h.amount).Draw(t, "used")
		w.got[h.workspace] += used
		w.served++
	}
	w.take(r, r.purse.Settle(w.now, h.id, used))
}

// lend moves money between two routers; the answer or the repayment may be lost, and a repayment may come twice.
func (w *world) lend(t *rapid.T, borrower *worldRouter) {
	lender := rapid.SampledFrom(w.routers).Draw(t, "lender")
	var words []treasurer.Repayment
	for _, r := range borrower.purse.Borrowing(w.now) {
		var loans []treasurer.Loan
		ask := treasurer.LoanAsk{Number: r.Number, Borrower: borrower.self, Workspace: r.Workspace, Need: r.Need}
		if lender != borrower {
			id, amount := lender.purse.Lend(w.now, ask)
			cleared := false
			for _, reply := range lender.purse.Clear(w.now, id) {
				cleared = cleared || reply.ID == id
			}
			if cleared {
				lent := lender.purse.Lent(id, ask)
				if !lent {
					w.take(lender, lender.purse.Settle(w.now, id, 0))
				}
				if lent && rapid.IntRange(0, 3).Draw(t, "arrives") > 0 {
					loans = append(loans, treasurer.Loan{Lender: lender.self, Amount: amount})
				} else {
					words = append(words, borrower.purse.Unanswered(w.now, r, treasurer.Witness{Incarnation: lender.self}))
				}
			} else if amount > 0 {
				w.take(lender, lender.purse.Settle(w.now, id, 0))
			}
		}
		w.take(borrower, borrower.purse.Borrowed(w.now, r, loans, 0))
	}
	for _, repayment := range append(words, borrower.purse.Repayments(w.now)...) {
		for range rapid.IntRange(0, 2).Draw(t, "times") {
			for _, o := range w.routers {
				w.take(o, o.purse.Repaid(w.now, repayment))
			}
		}
	}
}

func (w *world) learn(t *rapid.T, r *worldRouter) {
	if r.cut {
		return
	}
	for _, workspace := range workspaces {
		replies, err := r.purse.Learn(w.now, []masticway.StoredRow{w.read("masticway_accounts", workspace).row})
		if err != nil {
			t.Fatalf("learning: %v", err)
		}
		w.take(r, replies)
	}
}

// check holds what callers got, and what those that are being answered may still get, against the budgets.
func (w *world) check(t *rapid.T) {
	for _, workspace := range workspaces {
		if w.got[workspace] > w.most[workspace] {
			t.Fatalf("callers of %s got %d tokens of %d prepaid", workspace, w.got[workspace], w.most[workspace])
		}
		// Whatever callers got is spent or granted in the row; else it will be given out once more.
		account := treasurer.ReadAccount(w.read("masticway_accounts", workspace).row)
		covered := account.Closed
		for _, g := range account.Grants {
			covered += g.Granted
		}
		if w.got[workspace] > covered {
			t.Fatalf("callers of %s got %d tokens, the row knows of %d", workspace, w.got[workspace], covered)
		}
	}
}

func TestNoWorkspaceGetsMoreThanItPaidFor(t *testing.T) {
	served := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		router := func(t *rapid.T) *worldRouter { return rapid.SampledFrom(w.routers).Draw(t, "router") }
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.SampledFrom([]int{1, 5, 30, 30, 60, 120, 900, 3000}).Draw(t, "ms")) * time.Millisecond)
			},
			"begin":  func(t *rapid.T) { w.begin(t, router(t)) },
			"close":  func(t *rapid.T) { w.closePredecessors(t, router(t)) },
			"ask":    func(t *rapid.T) { w.ask(t, router(t)) },
			"plan":   func(t *rapid.T) { w.plan(router(t)) },
			"finish": func(t *rapid.T) { w.finish(t, router(t)) },
			"turn": func(t *rapid.T) {
				// One router does all that it wants, so that requests get anywhere.
				r := router(t)
				w.begin(t, r)
				for range 4 {
					w.now = w.now.Add(30 * time.Millisecond)
					w.plan(r)
					for len(r.steps) > 0 {
						w.finish(t, r)
					}
				}
			},
			"island": func(t *rapid.T) {
				// One router goes on without the store for a while, and then may die.
				r := router(t)
				r.cut = true
				w.now = w.now.Add(time.Duration(rapid.SampledFrom([]int{500, 2700, 3300}).Draw(t, "ms")) * time.Millisecond)
				for range rapid.IntRange(1, 4).Draw(t, "turns") {
					w.ask(t, r)
					w.plan(r)
					for len(r.steps) > 0 {
						w.finish(t, r)
					}
					w.testify(t, r)
					w.deliver(t, r)
					w.now = w.now.Add(50 * time.Millisecond)
				}
				r.cut = rapid.Bool().Draw(t, "still cut")
				if rapid.Bool().Draw(t, "dies") {
					w.kill(r)
				}
			},
			"deliver": func(t *rapid.T) { w.deliver(t, router(t)) },
			"lend":    func(t *rapid.T) { w.lend(t, router(t)) },
			"testify": func(t *rapid.T) { w.testify(t, router(t)) },
			"learn":   func(t *rapid.T) { w.learn(t, router(t)) },
			"kill": func(t *rapid.T) {
				r := router(t)
				if rapid.IntRange(0, 3).Draw(t, "really") > 0 {
					return
				}
				w.kill(r)
			},
			"cut": func(t *rapid.T) {
				r := router(t)
				r.cut = !r.cut && rapid.IntRange(0, 2).Draw(t, "really") == 0
			},
			"late": func(t *rapid.T) {
				if len(w.late) == 0 {
					return
				}
				i := rapid.IntRange(0, len(w.late)-1).Draw(t, "write")
				_, _ = w.rows.Apply(w.late[i])
				w.late = append(w.late[:i:i], w.late[i+1:]...)
			},
			"budget": func(t *rapid.T) {
				workspace := rapid.SampledFrom(workspaces).Draw(t, "workspace")
				w.prepaid[workspace] = max(0, w.prepaid[workspace]+rapid.Int64Range(-500, 600).Draw(t, "change"))
				w.configure()
			},
			"": w.check,
		})
		served += w.served
	})
	if served == 0 {
		t.Fatal("the world never served anything, so it proves nothing")
	}
	t.Logf("%d holds were delivered", served)
}
