package versioner

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway/emulator"
)

func streamOf(attempt string) Stream { return Stream{Pool: "p", Attempt: attempt} }

func TestLedgerRecordKeepsStreams(t *testing.T) {
	for name, tc := range map[string]struct {
		record  LedgerRecord
		want    map[streamHash]string
		wantErr string
	}{
		"none":         {record: newLedgerRecord(0, nil), want: map[streamHash]string{}},
		"two versions": {record: newLedgerRecord(0, map[string][]streamHash{"v1": {1, 2}, "v2": {1 << 63}}), want: map[streamHash]string{1: "v1", 2: "v1", 1 << 63: "v2"}},
		"spoilt":       {record: LedgerRecord{Streams: map[string]string{"v1": "AAAA"}}, wantErr: "the streams of version v1.*"},
		"not base64":   {record: LedgerRecord{Streams: map[string]string{"v1": "%"}}, wantErr: "the streams of version v1.*"},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := tc.record.versions()
			if tc.wantErr != "" {
				qt.Assert(t, err, qt.ErrorMatches, tc.wantErr)
				return
			}
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, got, qt.DeepEquals, tc.want)
		})
	}
}

// TestLedgerRow guards against rows that lack streams of an unsettled pool, that a successor overwrites, and that are written for settled
// pools or again and again.
func TestLedgerRow(t *testing.T) {
	isUnsettled := func(pool string) bool { return pool == "p" }
	start := time.Unix(0, 0)
	var l Ledger
	l.Add(start, Record{Stream: Stream{Pool: "settled", Attempt: "a"}, Version: "v1"})
	_, hasNew := l.Unwritten(start, isUnsettled)
	qt.Assert(t, hasNew, qt.IsFalse)
	l.Add(start.Add(time.Second), Record{Stream: streamOf("b"), Version: "v2"})
	l.Recall(start.Add(time.Second), 0, map[streamHash]string{}, map[streamHash]string{7: "v1"})
	streams, hasNew := l.Unwritten(start.Add(time.Second), isUnsettled)
	qt.Assert(t, hasNew, qt.IsTrue)
	qt.Assert(t, streams, qt.DeepEquals, map[string][]streamHash{"v1": {7}, "v2": {hashOf(streamOf("b"))}})
	l.RecordWritten(start.Add(time.Second))
	_, hasNew = l.Unwritten(start.Add(2*time.Second), isUnsettled)
	qt.Assert(t, hasNew, qt.IsFalse)
	streams, _ = l.Unwritten(start.Add(time.Second+noteLifetime), isUnsettled)
	qt.Assert(t, streams, qt.HasLen, 0)
	for i := range maxLedgerStreams + 10 {
		l.Add(start.Add(2*time.Second), Record{Stream: streamOf(fmt.Sprint(i)), Version: "v2"})
	}
	streams, _ = l.Unwritten(start.Add(2*time.Second), isUnsettled)
	qt.Assert(t, streams["v2"], qt.HasLen, maxLedgerStreams)
}

// TestLedgerRowIsBounded guards against a row that the store does not take because its router begins as many streams as its predecessor.
func TestLedgerRowIsBounded(t *testing.T) {
	var l Ledger
	own := map[streamHash]string{}
	for i := range maxLedgerStreams {
		own[streamHash(i+1)] = "v1"
		l.Add(time.Unix(0, 0), Record{Stream: streamOf(fmt.Sprint(i)), Version: "v2"})
	}
	l.Recall(time.Unix(1, 0), 0, own, own)
	streams, _ := l.Unwritten(time.Unix(1, 0), func(string) bool { return true })
	row, err := json.Marshal(newLedgerRecord(0, streams))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(row) <= 64<<10, qt.IsTrue, qt.Commentf("%d bytes", len(row)))
}

// TestLossOfAllRoutersKeepsVersions ends all routers of a fleet at once while two versions serve. It guards against streams whose version
// is unknown afterwards although they had begun long before, and against writes to the store that grow with the number of streams.
func TestLossOfAllRoutersKeepsVersions(t *testing.T) {
	for _, size := range []struct{ routers, streams int }{{1, 100}, {5, 200}, {5, 2000}, {30, 600}} {
		t.Run(fmt.Sprintf("%d routers, %d streams", size.routers, size.streams), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &world{rng: rand.New(rand.NewPCG(1, uint64(size.routers))), routers: map[string]*simRouter{}, versions: []string{"v1", "v2"}, rows: emulator.NewRowStore(time.Now)}
				for i := range size.routers {
					w.start(fmt.Sprint(i))
				}
				for range 20 {
					w.read()
					time.Sleep(500 * time.Millisecond)
				}
				began, want := time.Now(), map[string]string{}
				for i := range size.streams {
					r, id := w.routers[fmt.Sprint(i%size.routers)], fmt.Sprint("s", i)
					want[id] = r.seen[i/size.routers%2]
					r.Versioner.Record(context.Background(), "p", id, want[id])
					time.Sleep(4 * time.Second / time.Duration(size.streams))
					if i%(size.streams/8) == 0 {
						w.read()
					}
				}
				var calls int64
				for _, r := range w.routers {
					calls += r.Metrics.Count(metricLedgerWrites) + r.Metrics.Count(metricLedgerReads)
				}
				// Each router writes once an interval, also at its start, and reads once.
				most := int64(size.routers) * (2 + int64(time.Since(began)/minLedgerInterval))
				time.Sleep(time.Second)
				w.losePower()
				time.Sleep(time.Second)
				w.read()
				time.Sleep(300 * time.Millisecond)
				for id, version := range want {
					got, ok := w.routers["0"].Find(context.Background(), "p", id)
					qt.Check(t, ok, qt.IsTrue)
					qt.Check(t, got, qt.Equals, version)
				}
				qt.Check(t, calls <= most, qt.IsTrue, qt.Commentf("%d calls, at most %d are expected", calls, most))
				for _, r := range w.routers {
					r.stop()
				}
				time.Sleep(deliveryTimeout)
			})
		})
	}
}
