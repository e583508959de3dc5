package follower_test

import (
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/follower"
)

const coldFor = 3 * time.Second

// order is an operator's word on a zone, in a version of its row.
func order(zone string, version int64, deleted bool) masticway.StoredRow {
	return masticway.StoredRow{RowKey: masticway.RowKey{Table: "operator", Key: "empty/" + zone}, Version: version, Deleted: deleted}
}

// heartbeat is a server's word, in a version of its row.
func heartbeat(id, zone string, version int64, cold time.Duration) masticway.StoredRow {
	value, _ := json.Marshal(masticway.Server{ID: id, Pool: "p", Zone: zone, State: masticway.ServerReady, RemainingWarmUp: cold})
	return masticway.StoredRow{RowKey: masticway.RowKey{Table: "upstreams", Key: id}, Version: version, Value: value}
}

// operatorReading is one reading of the operator's table.
type operatorReading struct {
	whole int64
	rows  []masticway.StoredRow
}

func TestZonesThatAreEmptied(t *testing.T) {
	given, again, back := order("z", 5, false), order("z", 9, false), order("z", 7, true)
	cases := map[string]struct {
		readings []operatorReading
		want     []string
	}{
		"nothing":                               {readings: []operatorReading{{whole: 4}}},
		"emptied":                               {readings: []operatorReading{{whole: 4}, {rows: []masticway.StoredRow{given}}}, want: []string{"z"}},
		"emptied before the router started":     {readings: []operatorReading{{whole: 6, rows: []masticway.StoredRow{given}}}, want: []string{"z"}},
		"taken back":                            {readings: []operatorReading{{rows: []masticway.StoredRow{given}}, {rows: []masticway.StoredRow{back}}}},
		"taken back while history was lost":     {readings: []operatorReading{{rows: []masticway.StoredRow{given}}, {whole: 8}}},
		"taken back and given again at once":    {readings: []operatorReading{{rows: []masticway.StoredRow{given, back, again}}}, want: []string{"z"}},
		"a stale whole reading takes none back": {readings: []operatorReading{{rows: []masticway.StoredRow{given}}, {whole: 4}}, want: []string{"z"}},
		"a stale order empties none":            {readings: []operatorReading{{rows: []masticway.StoredRow{given, back}}, {rows: []masticway.StoredRow{given}}}},
		"an end that comes late ends none":      {readings: []operatorReading{{rows: []masticway.StoredRow{again}}, {rows: []masticway.StoredRow{back}}}, want: []string{"z"}},
		"two zones": {
			readings: []operatorReading{{whole: 9, rows: []masticway.StoredRow{given, order("y", 8, false)}}, {rows: []masticway.StoredRow{order("z", 10, true)}}},
			want:     []string{"y"},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := follower.NewRegister(decoder{})
			_, faults := r.Replace(epoch, masticway.RowReading{Version: 3, Rows: []masticway.StoredRow{heartbeat("i-y", "y", 1, 0), heartbeat("i-z", "z", 2, 0)}})
			qt.Assert(t, faults, qt.HasLen, 0)
			for _, reading := range tc.readings {
				r.Evacuate(epoch, reading.whole > 0, masticway.RowReading{Version: reading.whole, Rows: reading.rows})
			}
			qt.Assert(t, r.Beliefs().Evacuated, qt.DeepEquals, tc.want)
			open := map[string]bool{}
			for _, s := range r.Beliefs().Servers["p"] {
				open[s.Zone] = true
			}
			for _, zone := range []string{"y", "z"} {
				emptied := false
				for _, z := range tc.want {
					emptied = emptied || z == zone
				}
				qt.Assert(t, open[zone], qt.Equals, !emptied)
			}
		})
	}
}

// TestServersThatAreCold has servers that say that they are cold, and servers of a zone that is taken back, whose last word is
// older than that: they may have become cold just before and write of it with their next heartbeat only.
func TestServersThatAreCold(t *testing.T) {
	const soon = 200 * time.Millisecond
	back := []masticway.StoredRow{order("z", 5, false), order("z", 7, true)}
	cases := map[string]struct {
		orders []masticway.StoredRow
		// later is what the server writes soon after the orders.
		later *masticway.StoredRow
		// cold is how long from the beginning it is taken for cold, where its first word says nothing of it.
		cold time.Duration
	}{
		"warm":                              {},
		"emptied and taken back":            {orders: back, cold: coldFor},
		"says then that it is warm":         {orders: back, later: new(heartbeat("i", "z", 8, 0))},
		"says then that it is cold":         {orders: back, later: new(heartbeat("i", "z", 8, time.Second)), cold: soon + time.Second},
		"what it says is from before":       {orders: back, later: new(heartbeat("i", "z", 6, 0)), cold: coldFor},
		"becomes cold at any moment":        {later: new(heartbeat("i", "z", 4, time.Second)), cold: soon + time.Second},
		"the zone beside it was taken back": {orders: []masticway.StoredRow{order("y", 5, false), order("y", 7, true)}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := follower.NewRegister(decoder{})
			value, _ := json.Marshal(masticway.Deployment{Version: 1, Pools: map[string]masticway.Pool{"p": {Name: "p", WarmUpTime: coldFor}}})
			_, err := r.Configure(masticway.StoredRow{RowKey: decoder{}.ConfigurationKey(), Version: 1, Value: value})
			qt.Assert(t, err, qt.IsNil)
			r.Update(epoch, []masticway.StoredRow{heartbeat("i", "z", 3, 0)})
			r.Evacuate(epoch, false, masticway.RowReading{Rows: tc.orders})
			if tc.later != nil {
				r.Update(epoch.Add(soon), []masticway.StoredRow{*tc.later})
			}
			s := r.Beliefs().Servers["p"][0]
			qt.Assert(t, s.IsCold(epoch.Add(tc.cold-time.Millisecond)), qt.Equals, tc.cold > 0)
			qt.Assert(t, s.IsCold(epoch.Add(tc.cold)), qt.IsFalse)
		})
	}
}
