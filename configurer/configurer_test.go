package configurer_test

import (
	"context"
	"fmt"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/configurer"
	"github.com/masticway/masticway/emulator"
)

func contract(priority int, keys ...string) *masticway.Contract {
	return &masticway.Contract{Workspace: "w", Budget: "b", Priority: priority, KeyHashes: keys}
}

func TestPutUnderFaults(t *testing.T) {
	cases := map[string]struct {
		faults   emulator.TableFaults
		base     masticway.Revision
		id       string
		revision masticway.Revision
		conflict bool
	}{
		"based on the current revision": {base: 1, id: "b", revision: 2},
		"any base revision":             {base: configurer.AnyRevision, id: "b", revision: 2},
		"based on an old revision":      {base: 0, id: "b", conflict: true},
		"same change again":             {base: 0, id: "a", revision: 1},
		"answer lost, read back":        {base: 1, id: "b", revision: 2, faults: emulator.TableFaults{DropAnswers: 1}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			table := emulator.NewTable()
			store := configurer.NewStore(table)
			ctx := context.Background()
			_, err := store.Put(ctx, masticway.Change{ID: "a", Contract: contract(1)}, 0)
			qt.Assert(t, err, qt.IsNil)
			table.SetFaults(tc.faults)
			accepted, err := store.Put(ctx, masticway.Change{ID: tc.id, Contract: contract(2)}, tc.base)
			if tc.conflict {
				var conflict *configurer.RevisionConflictError
				qt.Assert(t, err, qt.ErrorAs, &conflict)
				qt.Assert(t, conflict.Current, qt.Equals, masticway.Revision(1))
				qt.Assert(t, conflict.Contract.Priority, qt.Equals, 1)
				return
			}
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, accepted.Revision, qt.Equals, tc.revision)
			head, err := store.Head(ctx)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, head, qt.Equals, tc.revision)
		})
	}
}

func TestOneRacingOperatorWins(t *testing.T) {
	table := emulator.NewTable()
	store := configurer.NewStore(table)
	ctx := context.Background()
	_, err := store.Put(ctx, masticway.Change{ID: "first", Contract: contract(0)}, 0)
	qt.Assert(t, err, qt.IsNil)
	table.SetFaults(emulator.TableFaults{DropAnswers: 3})
	var wg sync.WaitGroup
	won := make([]bool, 8)
	for i := range won {
		wg.Go(func() {
			_, err := store.Put(ctx, masticway.Change{ID: fmt.Sprint(i), Contract: contract(i)}, 1)
			won[i] = err == nil
		})
	}
	wg.Wait()
	winners := 0
	for i, w := range won {
		if !w {
			continue
		}
		winners++
		c, _, err := store.Contract(ctx, "w")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, c.Priority, qt.Equals, i)
	}
	qt.Assert(t, winners, qt.Equals, 1)
}

func TestRevisionNeverDecreases(t *testing.T) {
	var s configurer.State
	_, gap := s.Apply([]masticway.Change{{Revision: 1}})
	qt.Assert(t, gap, qt.IsTrue)
	s.Load(configurer.Configuration{Revision: 3, Contracts: []masticway.Contract{*contract(3, "old")}})
	qt.Assert(t, s.Load(configurer.Configuration{Revision: 2}), qt.IsFalse)
	applied, gap := s.Apply([]masticway.Change{{Revision: 5, Contract: contract(5, "new")}, {Revision: 2}, {Revision: 4, Contract: contract(4, "mid")}})
	qt.Assert(t, gap, qt.IsFalse)
	qt.Assert(t, applied, qt.HasLen, 2)
	applied, _ = s.Apply([]masticway.Change{{Revision: 4, Contract: contract(4, "mid")}})
	qt.Assert(t, applied, qt.HasLen, 0)
	_, gap = s.Apply([]masticway.Change{{Revision: 7}})
	qt.Assert(t, gap, qt.IsTrue)
	c, ok := s.Snapshot().ContractByKeyHash("new")
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, c.Priority, qt.Equals, 5)
	for _, revoked := range []string{"old", "mid"} {
		_, ok := s.Snapshot().ContractByKeyHash(revoked)
		qt.Assert(t, ok, qt.IsFalse)
	}
	qt.Assert(t, s.ChangesAfter(3), qt.HasLen, 2)
}

func TestSnapshotsAreImmutable(t *testing.T) {
	before := configurer.NewSnapshot(configurer.Configuration{Revision: 1, Contracts: []masticway.Contract{*contract(1, "k")}})
	after := before.With(masticway.Change{Revision: 2, Removed: "w"})
	_, was := before.ContractByKeyHash("k")
	_, is := after.ContractByKeyHash("k")
	qt.Assert(t, []bool{was, is}, qt.DeepEquals, []bool{true, false})
}
