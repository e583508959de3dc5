package follower_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/follower"
	"github.com/masticway/masticway/platform"
)

// TestServerIsNotUsedAfterItAnnouncesDraining: a row that is written, missing or back at the wrong moment has a leaving server used again.
func TestServerIsNotUsedAfterItAnnouncesDraining(t *testing.T) {
	row := func(version int64, born int) masticway.StoredRow {
		return masticway.StoredRow{RowKey: masticway.RowKey{Table: "servers", Key: "i-1"}, Version: version, Value: fmt.Appendf(nil, `{"service":"p","address":"10.0.0.1:80","state":"ready","born":%d}`, born)}
	}
	deletedRow := func(version int64) masticway.StoredRow {
		return masticway.StoredRow{RowKey: masticway.RowKey{Table: "servers", Key: "i-1"}, Version: version, Deleted: true}
	}
	incarnation := masticway.Server{ID: "i-1", StartedAt: time.UnixMilli(1000)}.Incarnation()
	cases := map[string]struct {
		before, after []masticway.StoredRow
		used          bool
	}{
		"its row is as it was":                      {before: []masticway.StoredRow{row(1, 1000)}},
		"its row is written again":                  {before: []masticway.StoredRow{row(1, 1000)}, after: []masticway.StoredRow{row(2, 1000)}},
		"its row lapses and comes back":             {before: []masticway.StoredRow{row(1, 1000)}, after: []masticway.StoredRow{deletedRow(2), row(3, 1000)}},
		"its row had lapsed when it said so":        {before: []masticway.StoredRow{row(1, 1000), deletedRow(2)}, after: []masticway.StoredRow{row(3, 1000)}},
		"it starts again":                           {before: []masticway.StoredRow{row(1, 1000)}, after: []masticway.StoredRow{row(2, 2000)}, used: true},
		"it starts again after its row lapsed":      {before: []masticway.StoredRow{row(1, 1000)}, after: []masticway.StoredRow{deletedRow(2), row(3, 2000)}, used: true},
		"it had started again before that is heard": {before: []masticway.StoredRow{row(1, 1000), row(2, 2000)}, used: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := follower.NewRegistry(platform.Decoder{})
			now := time.Unix(1_000_000, 0)
			r.Update(now, tc.before)
			r.MarkDraining(now, "i-1", incarnation)
			r.Update(now, tc.after)
			qt.Assert(t, len(r.Snapshot().Servers["p"]) == 1, qt.Equals, tc.used)
		})
	}
}
