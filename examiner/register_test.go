package examiner

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
)

var testTime = time.Unix(1_800_000_000, 0)

func newTestRegistry() *Registry {
	return NewRegistry("r~1", func() float64 { return 0 }, func(string) bool { return false })
}

// newCrash returns the crash of a server during a request whose answer had not begun.
func newCrash(server string, quarantined bool) masticway.ServerCrash {
	return masticway.ServerCrash{Server: masticway.ServerIncarnation(server), Quarantined: quarantined}
}

func TestSuspicion(t *testing.T) {
	answered := masticway.ServerCrash{Server: "c", Answered: true}
	for name, tc := range map[string]struct {
		crashes []masticway.ServerCrash
		others  []masticway.ServerCrash
		want    masticway.Suspicion
	}{
		"nothing":                                              {want: masticway.SuspicionNone},
		"one crash during the answer":                          {crashes: []masticway.ServerCrash{answered}, want: masticway.SuspicionNone},
		"one crash before the answer":                          {crashes: []masticway.ServerCrash{newCrash("a", false)}, want: masticway.SuspicionQuarantined},
		"two crashes during answers":                           {crashes: []masticway.ServerCrash{answered, {Server: "d", Answered: true}}, want: masticway.SuspicionQuarantined},
		"many crashes without quarantine":                      {crashes: []masticway.ServerCrash{newCrash("a", false), newCrash("b", false), newCrash("c", false), newCrash("d", false), newCrash("e", false)}, want: masticway.SuspicionQuarantined},
		"one crash in quarantine, two without":                 {crashes: []masticway.ServerCrash{newCrash("a", false), newCrash("b", false), newCrash("c", true)}, want: masticway.SuspicionQuarantined},
		"two crashes in quarantine, none without":              {crashes: []masticway.ServerCrash{newCrash("a", true), newCrash("b", true)}, want: masticway.SuspicionQuarantined},
		"two crashes in quarantine, one without":               {crashes: []masticway.ServerCrash{newCrash("a", false), newCrash("b", true), newCrash("c", true)}, want: masticway.SuspicionProven},
		"two crashes during answers in quarantine":             {crashes: []masticway.ServerCrash{newCrash("a", false), {Server: "b", Quarantined: true, Answered: true}, {Server: "c", Quarantined: true, Answered: true}}, want: masticway.SuspicionQuarantined},
		"four crashes during answers in quarantine":            {crashes: []masticway.ServerCrash{{Server: "a", Quarantined: true, Answered: true}, {Server: "b", Quarantined: true, Answered: true}, {Server: "c", Quarantined: true, Answered: true}, {Server: "d", Quarantined: true, Answered: true}}, want: masticway.SuspicionProven},
		"one of them shared with another suspect":              {crashes: []masticway.ServerCrash{newCrash("a", false), newCrash("b", true), newCrash("c", true)}, others: []masticway.ServerCrash{newCrash("c", true)}, want: masticway.SuspicionQuarantined},
		"one of them shared with a request outside quarantine": {crashes: []masticway.ServerCrash{newCrash("a", false), newCrash("b", true), newCrash("c", true)}, others: []masticway.ServerCrash{newCrash("c", false)}, want: masticway.SuspicionProven},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestRegistry()
			for _, crash := range tc.crashes {
				r.RecordCrash(testTime, "d", "/p", crash)
			}
			for _, crash := range tc.others {
				r.RecordCrash(testTime, "other", "/p", crash)
			}
			qt.Assert(t, r.Status(testTime.Add(maxEvidenceDelay), "d").Suspicion, qt.Equals, tc.want)
		})
	}
}

func TestSuspectsExpire(t *testing.T) {
	r := newTestRegistry()
	r.RecordCrash(testTime, "suspect", "/p", newCrash("a", false))
	for _, s := range []string{"a", "b", "c"} {
		r.RecordCrash(testTime, "crashing", "/p", newCrash(s, s != "a"))
	}
	owns := func(string) bool { return true }
	r.ExpiredChanges(testTime.Add(suspectTTL-time.Millisecond), owns)
	qt.Assert(t, r.Len(), qt.Equals, 2)
	r.ExpiredChanges(testTime.Add(suspectTTL), owns)
	qt.Assert(t, r.Status(testTime.Add(suspectTTL), "suspect").Suspicion, qt.Equals, masticway.SuspicionNone)

	s := r.Status(testTime.Add(firstBlockTime-time.Second), "crashing")
	qt.Assert(t, s.Suspicion, qt.Equals, masticway.SuspicionProven)
	qt.Assert(t, s.Remaining, qt.Equals, time.Second)
	// The request runs once more, and another crash blocks it for much longer.
	later := testTime.Add(firstBlockTime)
	qt.Assert(t, r.Status(later, "crashing").Suspicion, qt.Equals, masticway.SuspicionQuarantined)
	claimed, _, ok := r.Claim(later, "crashing", "d")
	qt.Assert(t, ok, qt.IsTrue)
	row := masticway.StoredRow{RowKey: masticway.RowKey{Key: "crashing"}, Version: 1, Value: claimed.encode()}
	qt.Assert(t, r.ApplyRow(later, row), qt.IsNil)
	r.RecordCrash(later, "crashing", "/p", newCrash("d", true))
	qt.Assert(t, r.Status(later, "crashing").Running, qt.IsTrue, qt.Commentf("it must not run before evidence on the same server could have arrived"))
	qt.Assert(t, r.Status(later.Add(maxEvidenceDelay), "crashing").Remaining, qt.Equals, repeatBlockTime-maxEvidenceDelay)
	expired := r.ExpiredChanges(later.Add(2*repeatBlockTime), owns)
	qt.Assert(t, expired, qt.HasLen, 1)
	r.ExpiredChanges(later.Add(5*repeatBlockTime), owns)
	qt.Assert(t, r.Len(), qt.Equals, 0)
}

// TestRetriesCountWithoutStore guards against a proven request that is blocked only for the first, short time again and again,
// and crashes a server each time. This happens if only the store's row counts the retries and the store is unavailable. The
// second block must be longer both at the router of the retry and at a router that it shares its evidence with.
func TestRetriesCountWithoutStore(t *testing.T) {
	r, other := newTestRegistry(), newTestRegistry()
	for _, s := range []string{"a", "b", "c"} {
		r.RecordCrash(testTime, "crashing", "/p", newCrash(s, s != "a"))
	}
	later := testTime.Add(firstBlockTime)
	_, _, ok := r.Claim(later, "crashing", "d")
	qt.Assert(t, ok, qt.IsTrue)
	r.RecordCrash(later, "crashing", "/p", newCrash("d", true))
	shared := r.Unshared(later.Add(shareDelay))
	qt.Assert(t, shared, qt.HasLen, 1)
	qt.Assert(t, other.Merge(later, shared[0]), qt.IsTrue)
	qt.Assert(t, other.Merge(later, shared[0]), qt.IsFalse, qt.Commentf("it contains no new evidence"))
	for name, registry := range map[string]*Registry{"the router of the retry": r, "another router": other} {
		s := registry.Status(later.Add(maxEvidenceDelay), "crashing")
		qt.Assert(t, s.Suspicion, qt.Equals, masticway.SuspicionProven, qt.Commentf(name))
		qt.Assert(t, s.Remaining, qt.Equals, repeatBlockTime-maxEvidenceDelay, qt.Commentf(name))
	}
}

// TestCrashElsewhereKeepsQuarantinedRun guards against ending a request's quarantined run when a server crashes on which the
// request ran before.
func TestCrashElsewhereKeepsQuarantinedRun(t *testing.T) {
	r := newTestRegistry()
	r.RecordCrash(testTime, "d", "/p", newCrash("a", false))
	_, _, ok := r.Claim(testTime, "d", "b")
	qt.Assert(t, ok, qt.IsTrue)
	r.RecordCrash(testTime, "d", "/p", newCrash("c", false))
	qt.Assert(t, r.Status(testTime, "d").Running, qt.IsTrue)
	r.RecordCrash(testTime, "d", "/p", newCrash("b", true))
	qt.Assert(t, r.Status(testTime, "d").Running, qt.IsFalse)
}

// TestExpiredRowsAreDeletedByOwner guards against rows of expired suspects that remain in the store, or that every router
// deletes.
func TestExpiredRowsAreDeletedByOwner(t *testing.T) {
	r := newTestRegistry()
	row := masticway.StoredRow{RowKey: masticway.RowKey{Key: "d"}, Version: 7, Value: Record{Crashes: []masticway.ServerCrash{newCrash("a", false)}}.encode()}
	qt.Assert(t, r.ApplyRow(testTime, row), qt.IsNil)
	later := testTime.Add(suspectTTL)
	qt.Assert(t, r.ExpiredChanges(later, func(string) bool { return false }), qt.HasLen, 0)
	expired := r.ExpiredChanges(later, func(string) bool { return true })
	qt.Assert(t, expired, qt.HasLen, 1)
	qt.Assert(t, expired[0].version, qt.Equals, int64(7))
	qt.Assert(t, expired[0].deleted, qt.IsTrue)
	row.Deleted, row.Version = true, 8
	qt.Assert(t, r.ApplyRow(later, row), qt.IsNil)
	qt.Assert(t, r.Len(), qt.Equals, 0)
}

func TestSuspectsAreBounded(t *testing.T) {
	r := newTestRegistry()
	r.RecordCrash(testTime, "crashing", "/p", newCrash("a", false))
	r.RecordCrash(testTime, "crashing", "/p", newCrash("b", true))
	for i := range 3 * maxSuspects {
		r.RecordCrash(testTime.Add(time.Duration(i)), masticway.SuspectID(fmt.Sprint(i)), "/p", newCrash("x", false))
	}
	qt.Assert(t, r.Len(), qt.Equals, maxSuspects)
	qt.Assert(t, r.Status(testTime, "crashing").Crashes, qt.HasLen, 2, qt.Commentf("the suspect with the most crashes must be kept"))
	for i := range 3 * maxCrashes {
		r.RecordCrash(testTime, "crashing", "/p", newCrash(fmt.Sprint(i), true))
	}
	qt.Assert(t, r.Status(testTime, "crashing").Crashes, qt.HasLen, maxCrashes)
}

// TestQuarantinedRunOfCrashedRouterTimesOut guards against waiting forever for a quarantined run whose router has crashed.
func TestQuarantinedRunOfCrashedRouterTimesOut(t *testing.T) {
	r := newTestRegistry()
	record := Record{Crashes: []masticway.ServerCrash{newCrash("a", false)}}.WithRun(&Run{Router: "crashed~1", Server: "b"})
	qt.Assert(t, r.ApplyRow(testTime, masticway.StoredRow{RowKey: masticway.RowKey{Key: "d"}, Version: 1, Value: record.encode()}), qt.IsNil)
	s := r.Status(testTime.Add(runLease-time.Millisecond), "d")
	qt.Assert(t, s.Running, qt.IsTrue)
	_, _, ok := r.Claim(testTime, "d", "c")
	qt.Assert(t, ok, qt.IsFalse)

	later := testTime.Add(runLease)
	s = r.Status(later, "d")
	qt.Assert(t, s.Running, qt.IsFalse)
	qt.Assert(t, s.UnreportedServer, qt.Equals, masticway.ServerIncarnation("b"))
	// The server has crashed. This counts as evidence as if the run's router had reported it.
	r.RecordCrash(later, "d", "/p", newCrash("b", true))
	qt.Assert(t, r.Status(later, "d").UnreportedServer, qt.Equals, masticway.ServerIncarnation(""))
	claimed, version, ok := r.Claim(later, "d", "c")
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, version, qt.Equals, int64(1))
	qt.Assert(t, claimed.Run.Router, qt.Equals, masticway.Incarnation("r~1"))
}

// TestEvidenceMergesInAnyOrder merges two routers' evidence on the same servers in both orders, and twice.
func TestEvidenceMergesInAnyOrder(t *testing.T) {
	one := []masticway.ServerCrash{newCrash("a", false), newCrash("b", true)}
	two := []masticway.ServerCrash{{Server: "b", Answered: true}, newCrash("c", false)}
	merged := Record{}.WithCrashes(one...).WithCrashes(two...).WithCrashes(one...)
	qt.Assert(t, merged.Crashes, qt.HasLen, 3)
	other := Record{}.WithCrashes(two...).WithCrashes(one...).WithCrashes(two...)
	for _, crash := range merged.Crashes {
		qt.Assert(t, other.hasCrash(crash), qt.IsTrue, qt.Commentf("%+v", crash))
	}
	qt.Assert(t, merged.hasCrash(masticway.ServerCrash{Server: "b", Quarantined: true, Answered: true}), qt.IsTrue)
}

// TestClearedRequestIsForgotten clears a suspect that has a row in the store. Evidence of another router that is written before
// the row is deleted must not be lost.
func TestClearedRequestIsForgotten(t *testing.T) {
	r := newTestRegistry()
	row := masticway.StoredRow{RowKey: masticway.RowKey{Key: "d"}, Version: 1, Value: Record{Crashes: []masticway.ServerCrash{newCrash("a", false)}}.encode()}
	qt.Assert(t, r.ApplyRow(testTime, row), qt.IsNil)
	r.Clear("d")
	qt.Assert(t, r.Status(testTime, "d").Suspicion, qt.Equals, masticway.SuspicionNone)
	due := r.DueChanges(testTime, 10)
	qt.Assert(t, due, qt.HasLen, 1)
	qt.Assert(t, due[0].deleted, qt.IsTrue)

	newer := masticway.StoredRow{RowKey: row.RowKey, Version: 2, Value: Record{Crashes: []masticway.ServerCrash{newCrash("a", false), newCrash("b", false)}}.encode()}
	r.ApplyConflict(testTime, due, []masticway.StoredRow{newer}, newer.Version)
	qt.Assert(t, r.Status(testTime, "d").Suspicion, qt.Equals, masticway.SuspicionQuarantined, qt.Commentf("a server has crashed elsewhere since"))
}
