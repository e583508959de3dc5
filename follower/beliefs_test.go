package follower_test

import (
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/follower"
)

var epoch = time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)

// decoder reads plain JSON values, so that the register is tested without a platform's names.
type decoder struct{}

func (decoder) ConfigurationKey() masticway.RowKey {
	return masticway.RowKey{Table: "operator", Key: "configuration"}
}
func (decoder) ServerTable() string { return "upstreams" }

func (decoder) Configuration(value []byte) (masticway.Deployment, error) {
	var d masticway.Deployment
	err := json.Unmarshal(value, &d)
	return d.WithIndex(), err
}

func (decoder) Server(id string, value []byte) (masticway.Server, error) {
	s := masticway.Server{ID: id}
	err := json.Unmarshal(value, &s)
	return s, err
}

func server(id string, version int64, state masticway.ServerState) masticway.StoredRow {
	value, _ := json.Marshal(masticway.Server{ID: id, Pool: "p", State: state})
	return masticway.StoredRow{RowKey: masticway.RowKey{Table: "upstreams", Key: id}, Version: version, Value: value}
}

func gone(id string, version int64) masticway.StoredRow {
	return masticway.StoredRow{RowKey: masticway.RowKey{Table: "upstreams", Key: id}, Version: version, Deleted: true}
}

// event is one thing that a register hears, so long after the beginning.
type event struct {
	at time.Duration
	// silent events bring no word of the store.
	silent bool
	rows   []masticway.StoredRow
	whole  int64
}

func TestServersThatMayGetWork(t *testing.T) {
	const a, b = "a", "b"
	ready, draining := masticway.ServerReady, masticway.ServerDraining
	cases := map[string]struct {
		events []event
		want   []string
	}{
		"registered": {
			events: []event{{rows: []masticway.StoredRow{server(a, 1, ready), server(b, 2, ready)}, whole: 2}},
			want:   []string{a, b},
		},
		"draining": {
			events: []event{
				{rows: []masticway.StoredRow{server(a, 1, ready), server(b, 2, ready)}, whole: 2},
				{at: time.Second, rows: []masticway.StoredRow{server(a, 3, draining)}},
			},
			want: []string{b},
		},
		"a draining server does not come back": {
			events: []event{
				{rows: []masticway.StoredRow{server(a, 1, draining)}, whole: 1},
				{at: time.Second, rows: []masticway.StoredRow{server(a, 2, ready)}},
			},
		},
		"gone while the store answers": {
			events: []event{
				{rows: []masticway.StoredRow{server(a, 1, ready)}, whole: 1},
				{at: time.Second, rows: []masticway.StoredRow{gone(a, 2)}},
			},
		},
		"missing from a whole reading": {
			events: []event{
				{rows: []masticway.StoredRow{server(a, 1, ready), server(b, 2, ready)}, whole: 2},
				{at: time.Second, rows: []masticway.StoredRow{server(b, 2, ready)}, whole: 3},
			},
			want: []string{b},
		},
		"a stale whole reading takes nothing away": {
			events: []event{
				{rows: []masticway.StoredRow{server(a, 5, ready)}, whole: 5},
				{at: time.Second, rows: nil, whole: 3},
			},
			want: []string{a},
		},
		"a stale row after the end brings nothing back": {
			events: []event{
				{rows: []masticway.StoredRow{server(a, 1, ready)}, whole: 1},
				{at: time.Second, rows: []masticway.StoredRow{gone(a, 4)}},
				{at: 1100 * time.Millisecond, rows: []masticway.StoredRow{server(a, 3, ready)}},
			},
		},
		"the store is silent": {
			events: []event{
				{rows: []masticway.StoredRow{server(a, 1, ready)}, whole: 1},
				{at: 10 * time.Second, silent: true},
			},
			want: []string{a},
		},
		"lapsed in an outage, within the grace": {
			events: []event{
				{rows: []masticway.StoredRow{server(a, 1, ready)}, whole: 1},
				{at: 8 * time.Second, rows: nil, whole: 5},
				{at: 9900 * time.Millisecond, silent: true},
			},
			want: []string{a},
		},
		"lapsed in an outage and not back": {
			events: []event{
				{rows: []masticway.StoredRow{server(a, 1, ready)}, whole: 1},
				{at: 8 * time.Second, rows: nil, whole: 5},
				{at: 10100 * time.Millisecond, silent: true},
			},
		},
		"lapsed in an outage and back": {
			events: []event{
				{rows: []masticway.StoredRow{server(a, 1, ready)}, whole: 1},
				{at: 8 * time.Second, rows: nil, whole: 5},
				{at: 9 * time.Second, rows: []masticway.StoredRow{server(a, 7, ready)}},
				{at: 10100 * time.Millisecond, silent: true},
			},
			want: []string{a},
		},
		"lapsed in an outage, and a reading from before": {
			events: []event{
				{rows: []masticway.StoredRow{server(a, 1, ready)}, whole: 1},
				{at: 8 * time.Second, rows: nil, whole: 5},
				{at: 8500 * time.Millisecond, rows: []masticway.StoredRow{server(a, 1, ready)}, whole: 3},
				{at: 10100 * time.Millisecond, silent: true},
			},
		},
		"drained before an outage": {
			events: []event{
				{rows: []masticway.StoredRow{server(a, 1, draining)}, whole: 1},
				{at: 8 * time.Second, rows: nil, whole: 5},
			},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := follower.NewRegister(decoder{})
			for _, e := range tc.events {
				now := epoch.Add(e.at)
				switch {
				case e.silent:
				case e.whole > 0:
					r.Reached(now)
					_, err := r.Replace(now, masticway.RowReading{Rows: e.rows, Version: e.whole})
					qt.Assert(t, err, qt.IsNil)
				default:
					r.Reached(now)
					_, err := r.Update(now, e.rows)
					qt.Assert(t, err, qt.IsNil)
				}
				r.Expire(now)
			}
			var ids []string
			for _, s := range r.Beliefs().Servers["p"] {
				ids = append(ids, s.ID)
			}
			qt.Assert(t, ids, qt.DeepEquals, tc.want)
		})
	}
}

func configuration(version, row int64) masticway.StoredRow {
	value, _ := json.Marshal(masticway.Deployment{Version: version})
	return masticway.StoredRow{RowKey: decoder{}.ConfigurationKey(), Version: row, Value: value}
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	cases := map[string]struct {
		rows []masticway.StoredRow
		want int64
	}{
		"newer follows":              {rows: []masticway.StoredRow{configuration(3, 1), configuration(7, 2)}, want: 7},
		"a stale row is left out":    {rows: []masticway.StoredRow{configuration(7, 9), configuration(3, 4)}, want: 7},
		"a lower version is refused": {rows: []masticway.StoredRow{configuration(7, 1), configuration(3, 2)}, want: 7},
		"an unreadable one changes nothing": {
			rows: []masticway.StoredRow{configuration(7, 1), {RowKey: decoder{}.ConfigurationKey(), Version: 2, Value: []byte("{")}}, want: 7,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := follower.NewRegister(decoder{})
			for _, row := range tc.rows {
				_, _ = r.Configure(row)
			}
			qt.Assert(t, r.Beliefs().Deployment.Version, qt.Equals, tc.want)
		})
	}
}
