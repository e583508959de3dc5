package examiner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
)

// nextEraVersion is a version in the era that follows that of versions such as 1.
var nextEraVersion = masticway.NewStoreVersion(1, 1)

func suspectRow(version int64, record Record) masticway.StoredRow {
	return masticway.StoredRow{RowKey: masticway.RowKey{Key: "d"}, Version: version, Value: record.encode()}
}

// TestEvidenceOutlastsReturnsOfStore guards against evidence that is forgotten because the store has returned from a copy without
// it.
func TestEvidenceOutlastsReturnsOfStore(t *testing.T) {
	proven := Record{Crashes: []masticway.ServerCrash{newCrash("a", false), newCrash("b", true), newCrash("c", true)}, Retried: 2}
	older := Record{Crashes: proven.Crashes[:1]}
	cases := map[string]struct {
		// copied is the record in the copy, nil if there is none. unchanged is set if nothing of the evidence was lost.
		copied    *Record
		unchanged bool
	}{
		"the row is missing":      {},
		"the row is older":        {copied: &older},
		"nothing of it was lost":  {copied: &proven, unchanged: true},
		"the count was lost only": {copied: &Record{Crashes: proven.Crashes, Retried: 1}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := newTestRegistry()
			qt.Assert(t, r.ApplyRow(testTime, suspectRow(5, proven)), qt.IsNil)
			reading := masticway.RowReading{Version: nextEraVersion}
			if tc.copied != nil {
				reading.Rows = []masticway.StoredRow{suspectRow(nextEraVersion, *tc.copied)}
			}
			returnedAt := testTime.Add(10 * time.Second)
			qt.Assert(t, r.ApplyTable(returnedAt, reading), qt.HasLen, 0)
			later := returnedAt.Add(maxEvidenceDelay)
			qt.Assert(t, r.Status(later, "d").Suspicion, qt.Equals, masticway.SuspicionProven)

			due := r.DueChanges(returnedAt.Add(minWriteDelay), 10)
			if tc.unchanged {
				qt.Assert(t, due, qt.HasLen, 0)
				return
			}
			qt.Assert(t, due, qt.HasLen, 1)
			qt.Assert(t, due[0].record.Crashes, qt.HasLen, 3)
			qt.Assert(t, due[0].record.Retried, qt.Equals, 2)
			r.ApplyWrite(later, due[0], nextEraVersion+1)
			qt.Assert(t, r.DueChanges(later.Add(time.Minute), 10), qt.HasLen, 0)
			// A late row of the lost era changes nothing.
			qt.Assert(t, r.ApplyRow(later, suspectRow(9, older)), qt.IsNil)
			qt.Assert(t, r.Status(later.Add(maxEvidenceDelay), "d").Suspicion, qt.Equals, masticway.SuspicionProven)
		})
	}
}

// TestQuarantinedRunOutlastsReturnsOfStore guards against a suspect that runs at two routers, because the claim of the first one was
// lost when the store returned from a copy.
func TestQuarantinedRunOutlastsReturnsOfStore(t *testing.T) {
	record := Record{Crashes: []masticway.ServerCrash{newCrash("a", false)}}
	r := newTestRegistry()
	qt.Assert(t, r.ApplyRow(testTime, suspectRow(5, record)), qt.IsNil)
	claimed, _, ok := r.Claim(testTime, "d", "b")
	qt.Assert(t, ok, qt.IsTrue)
	r.ApplyWrite(testTime, change{suspect: "d", record: claimed}, 6)
	qt.Assert(t, r.DueChanges(testTime, 10), qt.HasLen, 0)
	qt.Assert(t, r.ApplyTable(testTime, masticway.RowReading{Rows: []masticway.StoredRow{suspectRow(nextEraVersion, record)}, Version: nextEraVersion}), qt.HasLen, 0)
	due := r.DueChanges(testTime, 10)
	qt.Assert(t, due, qt.HasLen, 1)
	qt.Assert(t, due[0].record.Run, qt.DeepEquals, &Run{Router: "r~1", Server: "b"})

	// Another router that has seen the claim keeps to it as well.
	other := NewRegistry("r~2", func() float64 { return 0 }, func(string) bool { return false })
	qt.Assert(t, other.ApplyRow(testTime, suspectRow(6, claimed)), qt.IsNil)
	qt.Assert(t, other.ApplyTable(testTime, masticway.RowReading{Version: nextEraVersion}), qt.HasLen, 0)
	qt.Assert(t, other.ApplyRow(testTime, suspectRow(nextEraVersion+1, due[0].record)), qt.IsNil)
	_, _, ok = other.Claim(testTime, "d", "c")
	qt.Assert(t, ok, qt.IsFalse)
}

// TestClearedRequestStaysClearedAfterReturnOfStore guards against a request that is suspected again because the store has returned
// with the row that was to be deleted.
func TestClearedRequestStaysClearedAfterReturnOfStore(t *testing.T) {
	record := Record{Crashes: []masticway.ServerCrash{newCrash("a", false)}}
	r := newTestRegistry()
	qt.Assert(t, r.ApplyRow(testTime, suspectRow(5, record)), qt.IsNil)
	r.Clear("d")
	qt.Assert(t, r.ApplyTable(testTime, masticway.RowReading{Rows: []masticway.StoredRow{suspectRow(nextEraVersion, record)}, Version: nextEraVersion}), qt.HasLen, 0)
	qt.Assert(t, r.Status(testTime, "d").Suspicion, qt.Equals, masticway.SuspicionNone)
	due := r.DueChanges(testTime, 10)
	qt.Assert(t, due, qt.HasLen, 1)
	qt.Assert(t, due[0].deleted, qt.IsTrue)
	qt.Assert(t, due[0].version, qt.Equals, nextEraVersion)
}
