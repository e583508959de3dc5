package versioner

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/decoder"
)

// earlierReply and earlierPoolRecord are what builds know that can't tell of moved requests.
type earlierReply struct {
	Version   string `cbor:"1,keyasint,omitempty"`
	Recorded  bool   `cbor:"2,keyasint,omitempty"`
	Settled   string `cbor:"3,keyasint,omitempty"`
	IsSettled bool   `cbor:"4,keyasint,omitempty"`
}

type earlierPoolRecord struct {
	Versions map[string]int64 `json:"versions"`
}

// TestRepliesOfAnotherBuildAreUnderstood guards against routers of two builds that cannot look up streams at each other while a fleet is
// updated.
func TestRepliesOfAnotherBuildAreUnderstood(t *testing.T) {
	data, err := cbor.Marshal(Reply{Version: "v1", Recorded: true, Settled: "v2", IsSettled: true, IsMixed: true})
	qt.Assert(t, err, qt.IsNil)
	var earlier earlierReply
	qt.Assert(t, cbor.Unmarshal(data, &earlier), qt.IsNil)
	qt.Check(t, earlier, qt.Equals, earlierReply{Version: "v1", Recorded: true, Settled: "v2", IsSettled: true})
	data, err = cbor.Marshal(earlier)
	qt.Assert(t, err, qt.IsNil)
	var later Reply
	qt.Assert(t, decoder.Unmarshal(data, &later), qt.IsNil)
	qt.Check(t, later, qt.Equals, Reply{Version: "v1", Recorded: true, Settled: "v2", IsSettled: true})
}

// TestStreamIsNotMovedAfterWriteOfEarlierBuild guards against streams that go on in another pool because a router of an earlier build,
// which doesn't know of moved requests, has left them out when it wrote a new version into the pool's row. Routers that have started since
// the move don't know of it then, but take the pool for one of two versions for longer than such a stream may be resumed.
func TestStreamIsNotMovedAfterWriteOfEarlierBuild(t *testing.T) {
	before := []masticway.Route{resumableRoute("/x", shareOf("a", 1)), resumableRoute("/y", shareOf("b", 1))}
	after := []masticway.Route{resumableRoute("/x", shareOf("b", 1)), resumableRoute("/y", shareOf("b", 1))}
	for name, restarts := range map[string]bool{"routers have seen the move": false, "routers have started since": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const routers = 2
				w := newWorld(1, routers, "v1")
				defer w.close()
				servers := map[string][]masticway.Server{"a": {{Pool: "a", Version: "v1"}}, "b": {{Pool: "b", Version: "v1"}}}
				update := func(number int64, routes []masticway.Route) {
					for _, r := range w.routers {
						r.Update(masticway.Deployment{Version: number, Routes: routes}.WithIndex(), servers)
						r.seen = []string{"v1"}
					}
				}
				checkUnknown := func() {
					for _, r := range w.routers {
						_, ok := r.Find(t.Context(), "b", "begun")
						qt.Check(t, ok, qt.IsFalse, qt.Commentf("router %s", r.address))
					}
				}
				update(1, before)
				w.readFor(time.Minute)
				w.routers["1"].Versioner.Record(t.Context(), "a", "begun", "v1")
				update(2, after)
				movedAt := time.Now()
				w.readFor(3 * time.Second)
				checkUnknown()
				if restarts {
					w.start("0")
					w.start("1")
					update(2, after)
					w.readFor(2 * time.Second)
					checkUnknown()
				}
				row := w.poolRow(t, "b")
				var earlier earlierPoolRecord
				qt.Assert(t, json.Unmarshal(row.Value, &earlier), qt.IsNil)
				earlier.Versions["v2"] = 0
				w.writePoolRow(t, row, earlier)
				v1 := servers["b"]
				servers["b"] = append(v1[:1:1], masticway.Server{Pool: "b", Version: "v2"})
				update(2, after)
				w.readFor(time.Second)
				checkUnknown()
				servers["b"] = v1
				update(2, after)
				for time.Since(movedAt) < w.routers["0"].history.pools["b"].span {
					w.readFor(time.Second)
					checkUnknown()
				}
				var got PoolRecord
				qt.Assert(t, json.Unmarshal(w.poolRow(t, "b").Value, &got), qt.IsNil)
				qt.Check(t, got.Versions["v2"] > 0, qt.IsTrue)
			})
		})
	}
}

// poolRow returns the store's row of a pool.
func (w *world) poolRow(t *testing.T, pool string) masticway.StoredRow {
	reading, err := w.rows.Read(context.Background(), poolTable, poolPart)
	qt.Assert(t, err, qt.IsNil)
	for _, row := range reading.Rows {
		if row.Key == pool {
			return row
		}
	}
	t.Fatalf("the store has no row of pool %s", pool)
	return masticway.StoredRow{}
}

// writePoolRow replaces a row of a pool by a record.
func (w *world) writePoolRow(t *testing.T, row masticway.StoredRow, record any) {
	value, err := json.Marshal(record)
	qt.Assert(t, err, qt.IsNil)
	key := masticway.RowKey{Table: poolTable, Part: poolPart, Key: row.Key}
	_, err = w.rows.Write(context.Background(), masticway.RowWrite{
		Expected: []masticway.RowVersion{{RowKey: key, Version: row.Version}}, Puts: []masticway.RowPut{{RowKey: key, Value: value}},
	})
	qt.Assert(t, err, qt.IsNil)
}
