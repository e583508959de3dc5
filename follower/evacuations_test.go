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

// evacuationRow returns a version of the row that orders the evacuation of a zone.
func evacuationRow(zone string, version int64, deleted bool) masticway.StoredRow {
	return masticway.StoredRow{RowKey: masticway.RowKey{Table: "operator", Key: "empty/" + zone}, Version: version, Deleted: deleted}
}

// registrationRow returns a version of a server's registration.
func registrationRow(id, zone string, version int64, remainingWarmUp time.Duration) masticway.StoredRow {
	value, _ := json.Marshal(masticway.Server{ID: id, Pool: "p", Zone: zone, State: masticway.ServerReady, RemainingWarmUp: remainingWarmUp})
	return masticway.StoredRow{RowKey: masticway.RowKey{Table: "upstreams", Key: id}, Version: version, Value: value}
}

// operatorReading is one read of the operator's table.
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
		"nothing":                              {readings: []operatorReading{{fullVersion: 4}}},
		"evacuated":                            {readings: []operatorReading{{fullVersion: 4}, {rows: []masticway.StoredRow{evacuate}}}, want: []string{"z"}},
		"evacuated before the router started":  {readings: []operatorReading{{fullVersion: 6, rows: []masticway.StoredRow{evacuate}}}, want: []string{"z"}},
		"reopened":                             {readings: []operatorReading{{rows: []masticway.StoredRow{evacuate}}, {rows: []masticway.StoredRow{reopen}}}},
		"reopened while the history was lost":  {readings: []operatorReading{{rows: []masticway.StoredRow{evacuate}}, {fullVersion: 8}}},
		"reopened and evacuated again at once": {readings: []operatorReading{{rows: []masticway.StoredRow{evacuate, reopen, evacuateAgain}}}, want: []string{"z"}},
		"a stale full read reopens none":       {readings: []operatorReading{{rows: []masticway.StoredRow{evacuate}}, {fullVersion: 4}}, want: []string{"z"}},
		"a stale order evacuates none":         {readings: []operatorReading{{rows: []masticway.StoredRow{evacuate, reopen}}, {rows: []masticway.StoredRow{evacuate}}}},
		"a late reopening reopens none":        {readings: []operatorReading{{rows: []masticway.StoredRow{evacuateAgain}}, {rows: []masticway.StoredRow{reopen}}}, want: []string{"z"}},
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
			qt.Assert(t, r.Snapshot().EvacuatedZones, qt.DeepEquals, tc.want)
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

// TestColdServers checks servers that report that they are cold, and servers whose last registration is older than the
// reopening of their zone: they may have become cold just before it and report that only with their next heartbeat.
func TestColdServers(t *testing.T) {
	const delay = 200 * time.Millisecond
	reopened := []masticway.StoredRow{evacuationRow("z", 5, false), evacuationRow("z", 7, true)}
	cases := map[string]struct {
		evacuations []masticway.StoredRow
		// later is a row that the server writes shortly after the evacuation orders.
		later *masticway.StoredRow
		// cold is how long after the start the server counts as cold; its first registration does not say that it is.
		cold time.Duration
	}{
		"warm":                           {},
		"evacuated and reopened":         {evacuations: reopened, cold: warmUpTime},
		"then reports that it is warm":   {evacuations: reopened, later: new(registrationRow("i", "z", 8, 0))},
		"then reports that it is cold":   {evacuations: reopened, later: new(registrationRow("i", "z", 8, time.Second)), cold: delay + time.Second},
		"then a late report from before": {evacuations: reopened, later: new(registrationRow("i", "z", 6, 0)), cold: warmUpTime},
		"becomes cold at any moment":     {later: new(registrationRow("i", "z", 4, time.Second)), cold: delay + time.Second},
		"another zone was reopened":      {evacuations: []masticway.StoredRow{evacuationRow("y", 5, false), evacuationRow("y", 7, true)}},
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
