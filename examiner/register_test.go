package examiner

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
)

var testTime = time.Unix(1_800_000_000, 0)

func newTestRegister() *Registry {
	return NewRegistry("r~1", func() float64 { return 0 })
}

// newCrash is the end of a server under a request that had had nothing of its answer.
func newCrash(server string, apart bool) masticway.ServerCrash {
	return masticway.ServerCrash{Server: masticway.ServerIncarnation(server), Quarantined: apart}
}

func TestSuspicion(t *testing.T) {
	answered := masticway.ServerCrash{Server: "c", Answered: true}
	for name, tc := range map[string]struct {
		ends   []masticway.ServerCrash
		others []masticway.ServerCrash
		want   masticway.Suspicion
	}{
		"nothing":                               {want: masticway.SuspicionNone},
		"one end amid its answer":               {ends: []masticway.ServerCrash{answered}, want: masticway.SuspicionNone},
		"one end before its answer":             {ends: []masticway.ServerCrash{newCrash("a", false)}, want: masticway.SuspicionQuarantined},
		"two ends amid its answers":             {ends: []masticway.ServerCrash{answered, {Server: "d", Answered: true}}, want: masticway.SuspicionQuarantined},
		"many ends beside others":               {ends: []masticway.ServerCrash{newCrash("a", false), newCrash("b", false), newCrash("c", false), newCrash("d", false), newCrash("e", false)}, want: masticway.SuspicionQuarantined},
		"one end alone, two beside others":      {ends: []masticway.ServerCrash{newCrash("a", false), newCrash("b", false), newCrash("c", true)}, want: masticway.SuspicionQuarantined},
		"two ends alone, none beside others":    {ends: []masticway.ServerCrash{newCrash("a", true), newCrash("b", true)}, want: masticway.SuspicionQuarantined},
		"two ends alone, one beside others":     {ends: []masticway.ServerCrash{newCrash("a", false), newCrash("b", true), newCrash("c", true)}, want: masticway.SuspicionProven},
		"two ends alone amid its answers":       {ends: []masticway.ServerCrash{newCrash("a", false), {Server: "b", Quarantined: true, Answered: true}, {Server: "c", Quarantined: true, Answered: true}}, want: masticway.SuspicionQuarantined},
		"four ends alone amid its answers":      {ends: []masticway.ServerCrash{{Server: "a", Quarantined: true, Answered: true}, {Server: "b", Quarantined: true, Answered: true}, {Server: "c", Quarantined: true, Answered: true}, {Server: "d", Quarantined: true, Answered: true}}, want: masticway.SuspicionProven},
		"one of them with another suspect":      {ends: []masticway.ServerCrash{newCrash("a", false), newCrash("b", true), newCrash("c", true)}, others: []masticway.ServerCrash{newCrash("c", true)}, want: masticway.SuspicionQuarantined},
		"one of them beside a request at fault": {ends: []masticway.ServerCrash{newCrash("a", false), newCrash("b", true), newCrash("c", true)}, others: []masticway.ServerCrash{newCrash("c", false)}, want: masticway.SuspicionProven},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestRegister()
			for _, crash := range tc.ends {
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
	r := newTestRegister()
	r.RecordCrash(testTime, "suspect", "/p", newCrash("a", false))
	for _, s := range []string{"a", "b", "c"} {
		r.RecordCrash(testTime, "fault", "/p", newCrash(s, s != "a"))
	}
	owns := func(string) bool { return true }
	r.ExpiredChanges(testTime.Add(suspectTTL-time.Millisecond), owns)
	qt.Assert(t, r.Len(), qt.Equals, 2)
	r.ExpiredChanges(testTime.Add(suspectTTL), owns)
	qt.Assert(t, r.Status(testTime.Add(suspectTTL), "suspect").Suspicion, qt.Equals, masticway.SuspicionNone)

	s := r.Status(testTime.Add(firstBlockTime-time.Second), "fault")
	qt.Assert(t, s.Suspicion, qt.Equals, masticway.SuspicionProven)
	qt.Assert(t, s.Remaining, qt.Equals, time.Second)
	// It is tried once more, and one more end keeps it away for far longer.
	later := testTime.Add(firstBlockTime)
	qt.Assert(t, r.Status(later, "fault").Suspicion, qt.Equals, masticway.SuspicionQuarantined)
	claimed, _, ok := r.Claim(later, "fault", "d")
	qt.Assert(t, ok, qt.IsTrue)
	row := masticway.StoredRow{RowKey: masticway.RowKey{Key: "fault"}, Version: 1, Value: claimed.encode()}
	qt.Assert(t, r.ApplyRow(later, row), qt.IsNil)
	r.RecordCrash(later, "fault", "/p", newCrash("d", true))
	qt.Assert(t, r.Status(later, "fault").Running, qt.IsTrue, qt.Commentf("it runs nowhere before others could have told of the same server"))
	qt.Assert(t, r.Status(later.Add(maxEvidenceDelay), "fault").Remaining, qt.Equals, repeatBlockTime-maxEvidenceDelay)
	expired := r.ExpiredChanges(later.Add(2*repeatBlockTime), owns)
	qt.Assert(t, expired, qt.HasLen, 1)
	r.ExpiredChanges(later.Add(5*repeatBlockTime), owns)
	qt.Assert(t, r.Len(), qt.Equals, 0)
}

// TestRetriesCountWithoutStore has a request at fault run apart once more while the store is away, at this router and at
// another one that is told.
//
// Seen: it was kept from servers for the first, short time again and again, and ended a server each time. Cause: how often it
// had been retried stood in the store's row alone. Proof: a second retry follows the first as soon as that one followed the proof.
func TestRetriesCountWithoutStore(t *testing.T) {
	r, other := newTestRegister(), newTestRegister()
	for _, s := range []string{"a", "b", "c"} {
		r.RecordCrash(testTime, "fault", "/p", newCrash(s, s != "a"))
	}
	later := testTime.Add(firstBlockTime)
	_, _, ok := r.Claim(later, "fault", "d")
	qt.Assert(t, ok, qt.IsTrue)
	r.RecordCrash(later, "fault", "/p", newCrash("d", true))
	shared := r.Unshared(later.Add(shareDelay))
	qt.Assert(t, shared, qt.HasLen, 1)
	qt.Assert(t, other.Merge(later, shared[0]), qt.IsTrue)
	qt.Assert(t, other.Merge(later, shared[0]), qt.IsFalse, qt.Commentf("nothing of it was new"))
	for name, registry := range map[string]*Registry{"the router of the retry": r, "one that was told": other} {
		s := registry.Status(later.Add(maxEvidenceDelay), "fault")
		qt.Assert(t, s.Suspicion, qt.Equals, masticway.SuspicionProven, qt.Commentf(name))
		qt.Assert(t, s.Remaining, qt.Equals, repeatBlockTime-maxEvidenceDelay, qt.Commentf(name))
	}
}

// TestCrashElsewhereKeepsQuarantinedRun has a server end of which the request had been left, while it runs apart at another one.
func TestCrashElsewhereKeepsQuarantinedRun(t *testing.T) {
	r := newTestRegister()
	r.RecordCrash(testTime, "d", "/p", newCrash("a", false))
	_, _, ok := r.Claim(testTime, "d", "b")
	qt.Assert(t, ok, qt.IsTrue)
	r.RecordCrash(testTime, "d", "/p", newCrash("c", false))
	qt.Assert(t, r.Status(testTime, "d").Running, qt.IsTrue)
	r.RecordCrash(testTime, "d", "/p", newCrash("b", true))
	qt.Assert(t, r.Status(testTime, "d").Running, qt.IsFalse)
}

// TestExpiredRowsAreDeletedByOwner has the store keep a row of a belief that is over.
func TestExpiredRowsAreDeletedByOwner(t *testing.T) {
	r := newTestRegister()
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
	r := newTestRegister()
	r.RecordCrash(testTime, "fault", "/p", newCrash("a", false))
	r.RecordCrash(testTime, "fault", "/p", newCrash("b", true))
	for i := range 3 * maxSuspects {
		r.RecordCrash(testTime.Add(time.Duration(i)), masticway.RequestDigest(fmt.Sprint(i)), "/p", newCrash("x", false))
	}
	qt.Assert(t, r.Len(), qt.Equals, maxSuspects)
	qt.Assert(t, r.Status(testTime, "fault").Crashes, qt.HasLen, 2, qt.Commentf("the most suspected is kept"))
	for i := range 3 * maxCrashes {
		r.RecordCrash(testTime, "fault", "/p", newCrash(fmt.Sprint(i), true))
	}
	qt.Assert(t, r.Status(testTime, "fault").Crashes, qt.HasLen, maxCrashes)
}

// TestQuarantinedRunOfDeadRouterTimesOut has a row say that a request runs apart at a router of which nothing is heard.
func TestQuarantinedRunOfDeadRouterTimesOut(t *testing.T) {
	r := newTestRegister()
	record := Record{Crashes: []masticway.ServerCrash{newCrash("a", false)}}.WithRun(&Run{Router: "dead~1", Server: "b"})
	qt.Assert(t, r.ApplyRow(testTime, masticway.StoredRow{RowKey: masticway.RowKey{Key: "d"}, Version: 1, Value: record.encode()}), qt.IsNil)
	s := r.Status(testTime.Add(runLease-time.Millisecond), "d")
	qt.Assert(t, s.Running, qt.IsTrue)
	_, _, ok := r.Claim(testTime, "d", "c")
	qt.Assert(t, ok, qt.IsFalse)

	later := testTime.Add(runLease)
	s = r.Status(later, "d")
	qt.Assert(t, s.Running, qt.IsFalse)
	qt.Assert(t, s.UnreportedServer, qt.Equals, masticway.ServerIncarnation("b"))
	// Its server has ended: that is evidence as if the router had told.
	r.RecordCrash(later, "d", "/p", newCrash("b", true))
	qt.Assert(t, r.Status(later, "d").UnreportedServer, qt.Equals, masticway.ServerIncarnation(""))
	claimed, version, ok := r.Claim(later, "d", "c")
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, version, qt.Equals, int64(1))
	qt.Assert(t, claimed.Run.Router, qt.Equals, masticway.Incarnation("r~1"))
}

// TestEvidenceMergesInAnyOrder has two routers' words on the same servers joined in both orders, and twice.
func TestEvidenceMergesInAnyOrder(t *testing.T) {
	one := []masticway.ServerCrash{newCrash("a", false), newCrash("b", true)}
	two := []masticway.ServerCrash{{Server: "b", Answered: true}, newCrash("c", false)}
	joined := Record{}.WithCrashes(one...).WithCrashes(two...).WithCrashes(one...)
	qt.Assert(t, joined.Crashes, qt.HasLen, 3)
	other := Record{}.WithCrashes(two...).WithCrashes(one...).WithCrashes(two...)
	for _, e := range joined.Crashes {
		qt.Assert(t, other.hasCrash(e), qt.IsTrue, qt.Commentf("%+v", e))
	}
	qt.Assert(t, joined.hasCrash(masticway.ServerCrash{Server: "b", Quarantined: true, Answered: true}), qt.IsTrue)
}

// TestClearedRequestIsForgotten has a suspect served well while the store has a row of it, and another router's word that comes
// before the row is deleted.
func TestClearedRequestIsForgotten(t *testing.T) {
	r := newTestRegister()
	row := masticway.StoredRow{RowKey: masticway.RowKey{Key: "d"}, Version: 1, Value: Record{Crashes: []masticway.ServerCrash{newCrash("a", false)}}.encode()}
	qt.Assert(t, r.ApplyRow(testTime, row), qt.IsNil)
	r.Clear("d")
	qt.Assert(t, r.Status(testTime, "d").Suspicion, qt.Equals, masticway.SuspicionNone)
	due := r.DueChanges(testTime, 10)
	qt.Assert(t, due, qt.HasLen, 1)
	qt.Assert(t, due[0].deleted, qt.IsTrue)

	newer := masticway.StoredRow{RowKey: row.RowKey, Version: 2, Value: Record{Crashes: []masticway.ServerCrash{newCrash("a", false), newCrash("b", false)}}.encode()}
	r.ApplyConflict(testTime, due, []masticway.StoredRow{newer})
	qt.Assert(t, r.Status(testTime, "d").Suspicion, qt.Equals, masticway.SuspicionQuarantined, qt.Commentf("a server ended under it elsewhere since"))
}
