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

// TestServerIsNotUsedAfterItAnnouncesDraining guards against using a draining server again because its row is written,
// missing or restored at an unfortunate moment.
func TestServerIsNotUsedAfterItAnnouncesDraining(t *testing.T) {
	row := func(version int64, startedMS int) masticway.StoredRow {
		return masticway.StoredRow{RowKey: masticway.RowKey{Table: "servers", Key: "i-1"}, Version: version, Value: fmt.Appendf(nil, `{"service":"p","address":"10.0.0.1:80","state":"ready","born":%d}`, startedMS)}
	}
	deletedRow := func(version int64) masticway.StoredRow {
		return masticway.StoredRow{RowKey: masticway.RowKey{Table: "servers", Key: "i-1"}, Version: version, Deleted: true}
	}
	incarnation := masticway.Server{ID: "i-1", StartedAt: time.UnixMilli(1000)}.Incarnation()
	cases := map[string]struct {
		before, after []masticway.StoredRow
		used          bool
	}{
		"its row is unchanged":              {before: []masticway.StoredRow{row(1, 1000)}},
		"its row is written again":          {before: []masticway.StoredRow{row(1, 1000)}, after: []masticway.StoredRow{row(2, 1000)}},
		"its row expires and reappears":     {before: []masticway.StoredRow{row(1, 1000)}, after: []masticway.StoredRow{deletedRow(2), row(3, 1000)}},
		"its row had already expired":       {before: []masticway.StoredRow{row(1, 1000), deletedRow(2)}, after: []masticway.StoredRow{row(3, 1000)}},
		"it restarts":                       {before: []masticway.StoredRow{row(1, 1000)}, after: []masticway.StoredRow{row(2, 2000)}, used: true},
		"it restarts after its row expired": {before: []masticway.StoredRow{row(1, 1000)}, after: []masticway.StoredRow{deletedRow(2), row(3, 2000)}, used: true},
		"it has already restarted":          {before: []masticway.StoredRow{row(1, 1000), row(2, 2000)}, used: true},
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
