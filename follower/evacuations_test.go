package follower_test

import (
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/follower"
)

const warmUpTime = 3 * time.Second

// evacuationRow is an operator's word on a zone, in a version of its row.
func evacuationRow(zone string, version int64, deleted bool) masticway.StoredRow {
	return masticway.StoredRow{RowKey: masticway.RowKey{Table: "operator", Key: "empty/" + zone}, Version: version, Deleted: deleted}
}

// registrationRow is a server's word, in a version of its row.
func registrationRow(id, zone string, version int64, cold time.Duration) masticway.StoredRow {
	value, _ := json.Marshal(masticway.Server{ID: id, Pool: "p", Zone: zone, State: masticway.ServerReady, RemainingWarmUp: cold})
	return masticway.StoredRow{RowKey: masticway.RowKey{Table: "upstreams", Key: id}, Version: version, Value: value}
}

// operatorReading is one reading of the operator's table.
type operatorReading struct {
	fullVersion int64
	rows        []masticway.StoredRow
}

func TestEvacuatedZones(t *testing.T) {
	evacuate, evacuateAgain, reopen := evacuationRow("z", 5, false), evacuationRow("z", 9, false), evacuationRow("z", 7, true)
	cases := map[string]struct {
		readings []operatorReading
		want     []string
	}{
		"nothing":                               {readings: []operatorReading{{fullVersion: 4}}},
		"emptied":                               {readings: []operatorReading{{fullVersion: 4}, {rows: []masticway.StoredRow{evacuate}}}, want: []string{"z"}},
		"emptied before the router started":     {readings: []operatorReading{{fullVersion: 6, rows: []masticway.StoredRow{evacuate}}}, want: []string{"z"}},
		"taken back":                            {readings: []operatorReading{{rows: []masticway.StoredRow{evacuate}}, {rows: []masticway.StoredRow{reopen}}}},
		"taken back while history was lost":     {readings: []operatorReading{{rows: []masticway.StoredRow{evacuate}}, {fullVersion: 8}}},
		"taken back and given again at once":    {readings: []operatorReading{{rows: []masticway.StoredRow{evacuate, reopen, evacuateAgain}}}, want: []string{"z"}},
		"a stale whole reading takes none back": {readings: []operatorReading{{rows: []masticway.StoredRow{evacuate}}, {fullVersion: 4}}, want: []string{"z"}},
		"a stale order empties none":            {readings: []operatorReading{{rows: []masticway.StoredRow{evacuate, reopen}}, {rows: []masticway.StoredRow{evacuate}}}},
		"an end that comes late ends none":      {readings: []operatorReading{{rows: []masticway.StoredRow{evacuateAgain}}, {rows: []masticway.StoredRow{reopen}}}, want: []string{"z"}},
		"two zones": {
			readings: []operatorReading{{fullVersion: 9, rows: []masticway.StoredRow{evacuate, evacuationRow("y", 8, false)}}, {rows: []masticway.StoredRow{evacuationRow("z", 10, true)}}},
			want:     []string{"y"},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := follower.NewRegistry(decoder{})
			_, regErrs := r.Replace(epoch, masticway.RowReading{Version: 3, Rows: []masticway.StoredRow{registrationRow("i-y", "y", 1, 0), registrationRow("i-z", "z", 2, 0)}})
			qt.Assert(t, regErrs, qt.HasLen, 0)
			for _, reading := range tc.readings {
				r.UpdateEvacuations(epoch, reading.fullVersion > 0, masticway.RowReading{Version: reading.fullVersion, Rows: reading.rows})
			}
			qt.Assert(t, r.Snapshot().Evacuated, qt.DeepEquals, tc.want)
			open := map[string]bool{}
			for _, s := range r.Snapshot().Servers["p"] {
				open[s.Zone] = true
			}
			for _, zone := range []string{"y", "z"} {
				evacuated := false
				for _, z := range tc.want {
					evacuated = evacuated || z == zone
				}
				qt.Assert(t, open[zone], qt.Equals, !evacuated)
			}
		})
	}
}

// TestColdServers has servers that say that they are cold, and servers of a zone that is taken back, whose last word is
// older than that: they may have become cold just before and write of it with their next heartbeat only.
func TestColdServers(t *testing.T) {
	const delay = 200 * time.Millisecond
	reopened := []masticway.StoredRow{evacuationRow("z", 5, false), evacuationRow("z", 7, true)}
	cases := map[string]struct {
		evacuations []masticway.StoredRow
		// later is what the server writes soon after the orders.
		later *masticway.StoredRow
		// cold is how long from the beginning it is taken for cold, where its first word says nothing of it.
		cold time.Duration
	}{
		"warm":                              {},
		"emptied and taken back":            {evacuations: reopened, cold: warmUpTime},
		"says then that it is warm":         {evacuations: reopened, later: new(registrationRow("i", "z", 8, 0))},
		"says then that it is cold":         {evacuations: reopened, later: new(registrationRow("i", "z", 8, time.Second)), cold: delay + time.Second},
		"what it says is from before":       {evacuations: reopened, later: new(registrationRow("i", "z", 6, 0)), cold: warmUpTime},
		"becomes cold at any moment":        {later: new(registrationRow("i", "z", 4, time.Second)), cold: delay + time.Second},
		"the zone beside it was taken back": {evacuations: []masticway.StoredRow{evacuationRow("y", 5, false), evacuationRow("y", 7, true)}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := follower.NewRegistry(decoder{})
			value, _ := json.Marshal(masticway.Deployment{Version: 1, Pools: map[string]masticway.Pool{"p": {Name: "p", WarmUpTime: warmUpTime}}})
			_, err := r.ApplyConfiguration(masticway.StoredRow{RowKey: decoder{}.ConfigurationKey(), Version: 1, Value: value})
			qt.Assert(t, err, qt.IsNil)
			r.Update(epoch, []masticway.StoredRow{registrationRow("i", "z", 3, 0)})
			r.UpdateEvacuations(epoch, false, masticway.RowReading{Rows: tc.evacuations})
			if tc.later != nil {
				r.Update(epoch.Add(delay), []masticway.StoredRow{*tc.later})
			}
			s := r.Snapshot().Servers["p"][0]
			qt.Assert(t, s.IsCold(epoch.Add(tc.cold-time.Millisecond)), qt.Equals, tc.cold > 0)
			qt.Assert(t, s.IsCold(epoch.Add(tc.cold)), qt.IsFalse)
		})
	}
}
