package treasurer_test

import (
	"time"

	"pgregory.net/rapid"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/treasurer"
)

// enterEra makes a router enter the store's current era if it has noticed it.
func (w *model) enterEra(r *modelRouter) {
	if r.partitioned || !r.planner.MustEnterEra() {
		return
	}
	reading := w.read("masticway_eras", "era")
	r.planner.EnterEra(w.now, treasurer.EraStart{Era: masticway.StoreEra(reading.version), StoreTime: reading.at, SettledAt: w.settledAt})
}

// returnStore makes the store return from the saved copy. Running routers that reach the store have seen its rows before, and at
// least one of them goes on running until all that was lost and that is known to one of them is written again.
func (w *model) returnStore(t *rapid.T) {
	var survivors []*modelRouter
	for _, r := range w.routers {
		if r.started && !r.partitioned {
			w.applyChanges(t, r)
			w.enterEra(r)
			w.applyChanges(t, r)
			survivors = append(survivors, r)
		}
	}
	if !w.hasSaved || len(survivors) == 0 || w.now.Before(w.settledAt) {
		return
	}
	w.rows.Return(w.saved)
	w.hasSaved = rapid.Bool().Draw(t, "same copy again")
	w.returns++
	w.settledAt = w.now.Add(2 * time.Second)
	for _, r := range survivors[1:] {
		if rapid.IntRange(0, 3).Draw(t, "dies") == 0 {
			w.kill(r)
		}
	}
	for range 2 {
		for range rapid.IntRange(0, 8).Draw(t, "requests") {
			w.request(t, rapid.SampledFrom(w.routers).Draw(t, "router"))
		}
		for _, r := range w.routers {
			if rapid.IntRange(0, 2).Draw(t, "begins") == 0 {
				w.takeOver(t, r)
			}
			w.restore(t, r)
		}
		// From then on, routers also write the grants of others again.
		w.now = w.now.Add(1100 * time.Millisecond)
	}
}

// restore makes a router that reaches the store notice its era and write again what was lost.
func (w *model) restore(t *rapid.T, r *modelRouter) {
	if r.partitioned || !r.started {
		return
	}
	w.applyChanges(t, r)
	w.enterEra(r)
	for _, s := range r.calls {
		if s.Write != nil {
			w.lateWrites = append(w.lateWrites, *s.Write)
		}
	}
	r.calls = nil
	for range 4 {
		w.plan(r)
		for _, s := range r.calls {
			reading, err := masticway.RowReading{}, error(nil)
			if s.Write == nil {
				reading, err = w.rows.Read(t.Context(), "masticway_accounts", s.Part)
			} else {
				reading, err = w.rows.Apply(*s.Write)
			}
			replies, fault := r.planner.CompleteStoreCall(w.now, s, reading, err)
			w.handleReplies(r, replies)
			if fault != nil {
				t.Fatalf("a router that had no successor was sealed: %v", fault)
			}
		}
		r.calls = nil
		w.now = w.now.Add(30 * time.Millisecond)
	}
}
