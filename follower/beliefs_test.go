package follower_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/follower"
)

var epoch = time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)

// decoder reads plain JSON values, so that the registry is tested without a platform's field names.
type decoder struct{}

func (decoder) ConfigurationKey() masticway.RowKey {
	return masticway.RowKey{Table: "operator", Key: "configuration"}
}
func (decoder) ServerTable() string { return "upstreams" }

func (decoder) EvacuatedZone(key masticway.RowKey) (zone string, ok bool) {
	zone, ok = strings.CutPrefix(key.Key, "empty/")
	return zone, ok && key.Table == "operator"
}

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

func serverRow(id string, version int64, state masticway.ServerState) masticway.StoredRow {
	value, _ := json.Marshal(masticway.Server{ID: id, Pool: "p", State: state})
	return masticway.StoredRow{RowKey: masticway.RowKey{Table: "upstreams", Key: id}, Version: version, Value: value}
}

func deletedRow(id string, version int64) masticway.StoredRow {
	return masticway.StoredRow{RowKey: masticway.RowKey{Table: "upstreams", Key: id}, Version: version, Deleted: true}
}

// event is one input of a registry, at a time since the start of the test.
type event struct {
	at time.Duration
	// noContact is set if the store does not answer and only time passes.
	noContact   bool
	rows        []masticway.StoredRow
	fullVersion int64
}

// version returns the newest store version of an event.
func (e event) version() int64 {
	newest := e.fullVersion
	for _, row := range e.rows {
		newest = max(newest, row.Version)
	}
	return newest
}

// nextEra returns the version with the same number in the next era of the store.
func nextEra(version int64) int64 {
	return masticway.NewStoreVersion(masticway.StoreEra(version)+1, masticway.StoreNumber(version))
}

func TestServersEligibleForNewWork(t *testing.T) {
	const a, b = "a", "b"
	ready, draining := masticway.ServerReady, masticway.ServerDraining
	cases := map[string]struct {
		events []event
		want   []string
	}{
		"registered": {
			events: []event{{rows: []masticway.StoredRow{serverRow(a, 1, ready), serverRow(b, 2, ready)}, fullVersion: 2}},
			want:   []string{a, b},
		},
		"draining": {
			events: []event{
				{rows: []masticway.StoredRow{serverRow(a, 1, ready), serverRow(b, 2, ready)}, fullVersion: 2},
				{at: time.Second, rows: []masticway.StoredRow{serverRow(a, 3, draining)}},
			},
			want: []string{b},
		},
		"a draining server does not become ready again": {
			events: []event{
				{rows: []masticway.StoredRow{serverRow(a, 1, draining)}, fullVersion: 1},
				{at: time.Second, rows: []masticway.StoredRow{serverRow(a, 2, ready)}},
			},
		},
		"deleted while the store answers": {
			events: []event{
				{rows: []masticway.StoredRow{serverRow(a, 1, ready)}, fullVersion: 1},
				{at: time.Second, rows: []masticway.StoredRow{deletedRow(a, 2)}},
			},
		},
		"missing from a full read": {
			events: []event{
				{rows: []masticway.StoredRow{serverRow(a, 1, ready), serverRow(b, 2, ready)}, fullVersion: 2},
				{at: time.Second, rows: []masticway.StoredRow{serverRow(b, 2, ready)}, fullVersion: 3},
			},
			want: []string{b},
		},
		"a stale full read removes nothing": {
			events: []event{
				{rows: []masticway.StoredRow{serverRow(a, 5, ready)}, fullVersion: 5},
				{at: time.Second, rows: nil, fullVersion: 3},
			},
			want: []string{a},
		},
		"a stale row after the deletion restores nothing": {
			events: []event{
				{rows: []masticway.StoredRow{serverRow(a, 1, ready)}, fullVersion: 1},
				{at: time.Second, rows: []masticway.StoredRow{deletedRow(a, 4)}},
				{at: 1100 * time.Millisecond, rows: []masticway.StoredRow{serverRow(a, 3, ready)}},
			},
		},
		"the store is silent": {
			events: []event{
				{rows: []masticway.StoredRow{serverRow(a, 1, ready)}, fullVersion: 1},
				{at: 10 * time.Second, noContact: true},
			},
			want: []string{a},
		},
		"expired in an outage, within the grace period": {
			events: []event{
				{rows: []masticway.StoredRow{serverRow(a, 1, ready)}, fullVersion: 1},
				{at: 8 * time.Second, rows: nil, fullVersion: 5},
				{at: 9900 * time.Millisecond, noContact: true},
			},
			want: []string{a},
		},
		"expired in an outage, not restored": {
			events: []event{
				{rows: []masticway.StoredRow{serverRow(a, 1, ready)}, fullVersion: 1},
				{at: 8 * time.Second, rows: nil, fullVersion: 5},
				{at: 10100 * time.Millisecond, noContact: true},
			},
		},
		"expired in an outage, restored": {
			events: []event{
				{rows: []masticway.StoredRow{serverRow(a, 1, ready)}, fullVersion: 1},
				{at: 8 * time.Second, rows: nil, fullVersion: 5},
				{at: 9 * time.Second, rows: []masticway.StoredRow{serverRow(a, 7, ready)}},
				{at: 10100 * time.Millisecond, noContact: true},
			},
			want: []string{a},
		},
		"expired in an outage, then a read from before it": {
			events: []event{
				{rows: []masticway.StoredRow{serverRow(a, 1, ready)}, fullVersion: 1},
				{at: 8 * time.Second, rows: nil, fullVersion: 5},
				{at: 8500 * time.Millisecond, rows: []masticway.StoredRow{serverRow(a, 1, ready)}, fullVersion: 3},
				{at: 10100 * time.Millisecond, noContact: true},
			},
		},
		"removed before the store returned with its row": {
			events: []event{
				{rows: []masticway.StoredRow{serverRow(a, 1, ready)}, fullVersion: 5},
				{at: time.Second, rows: []masticway.StoredRow{deletedRow(a, 7)}},
				{at: 2 * time.Second, rows: []masticway.StoredRow{serverRow(a, nextEra(1), ready)}, fullVersion: nextEra(6)},
				{at: 4 * time.Second, rows: []masticway.StoredRow{serverRow(a, nextEra(1), ready)}, fullVersion: nextEra(9)},
			},
		},
		"removed before the store returned with its row twice": {
			events: []event{
				{rows: []masticway.StoredRow{serverRow(a, 1, ready)}, fullVersion: 5},
				{at: time.Second, rows: []masticway.StoredRow{deletedRow(a, 7)}},
				{at: 2 * time.Second, rows: []masticway.StoredRow{serverRow(a, nextEra(1), ready)}, fullVersion: nextEra(6)},
				{at: 4 * time.Second, rows: []masticway.StoredRow{serverRow(a, nextEra(nextEra(1)), ready)}, fullVersion: nextEra(nextEra(6))},
			},
		},
		"removed, restored by a return, then written again": {
			events: []event{
				{rows: []masticway.StoredRow{serverRow(a, 1, ready)}, fullVersion: 5},
				{at: time.Second, rows: []masticway.StoredRow{deletedRow(a, 7)}},
				{at: 2 * time.Second, rows: []masticway.StoredRow{serverRow(a, nextEra(1), ready)}, fullVersion: nextEra(6)},
				{at: 3 * time.Second, rows: []masticway.StoredRow{serverRow(a, nextEra(7), ready)}},
			},
			want: []string{a},
		},
		"draining before the store returned with its row as ready": {
			events: []event{
				{rows: []masticway.StoredRow{serverRow(a, 1, ready)}, fullVersion: 5},
				{at: time.Second, rows: []masticway.StoredRow{serverRow(a, 7, draining)}},
				{at: 2 * time.Second, rows: []masticway.StoredRow{serverRow(a, nextEra(1), ready)}, fullVersion: nextEra(6)},
			},
		},
		"lost by a return, within the grace period": {
			events: []event{
				{rows: []masticway.StoredRow{serverRow(a, 5, ready)}, fullVersion: 5},
				{at: time.Second, rows: nil, fullVersion: nextEra(3)},
				{at: 2900 * time.Millisecond, noContact: true},
			},
			want: []string{a},
		},
		"lost by a return, not written again": {
			events: []event{
				{rows: []masticway.StoredRow{serverRow(a, 5, ready)}, fullVersion: 5},
				{at: time.Second, rows: nil, fullVersion: nextEra(3)},
				{at: 3100 * time.Millisecond, noContact: true},
			},
		},
		"a late read of an earlier era": {
			events: []event{
				{rows: []masticway.StoredRow{serverRow(a, 5, ready)}, fullVersion: 5},
				{at: time.Second, rows: []masticway.StoredRow{serverRow(a, nextEra(2), draining)}, fullVersion: nextEra(3)},
				{at: 2 * time.Second, rows: []masticway.StoredRow{serverRow(a, 9, ready)}},
			},
		},
		"draining before an outage": {
			events: []event{
				{rows: []masticway.StoredRow{serverRow(a, 1, draining)}, fullVersion: 1},
				{at: 8 * time.Second, rows: nil, fullVersion: 5},
			},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := follower.NewRegistry(decoder{})
			for _, e := range tc.events {
				now := epoch.Add(e.at)
				switch {
				case e.noContact:
				case e.fullVersion > 0:
					r.RecordContact(now, e.version())
					_, err := r.Replace(now, masticway.RowReading{Rows: e.rows, Version: e.fullVersion})
					qt.Assert(t, err, qt.IsNil)
				default:
					r.RecordContact(now, e.version())
					_, err := r.Update(now, e.rows)
					qt.Assert(t, err, qt.IsNil)
				}
				r.Expire(now)
			}
			var ids []string
			for _, s := range r.Snapshot().Servers["p"] {
				ids = append(ids, s.ID)
			}
			qt.Assert(t, ids, qt.DeepEquals, tc.want)
		})
	}
}

func configurationRow(version, row int64) masticway.StoredRow {
	value, _ := json.Marshal(masticway.Deployment{Version: version})
	return masticway.StoredRow{RowKey: decoder{}.ConfigurationKey(), Version: row, Value: value}
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	cases := map[string]struct {
		rows []masticway.StoredRow
		want int64
	}{
		"a newer one is applied":                  {rows: []masticway.StoredRow{configurationRow(3, 1), configurationRow(7, 2)}, want: 7},
		"a stale row is ignored":                  {rows: []masticway.StoredRow{configurationRow(7, 9), configurationRow(3, 4)}, want: 7},
		"a stale one after a return is ignored":   {rows: []masticway.StoredRow{configurationRow(7, 9), configurationRow(3, nextEra(4))}, want: 7},
		"a newer one after a return is applied":   {rows: []masticway.StoredRow{configurationRow(7, 9), configurationRow(8, nextEra(5))}, want: 8},
		"a late one of an earlier era is ignored": {rows: []masticway.StoredRow{configurationRow(7, nextEra(1)), configurationRow(9, 9)}, want: 7},
		"a lower version is ignored":              {rows: []masticway.StoredRow{configurationRow(7, 1), configurationRow(3, 2)}, want: 7},
		"an unreadable one changes nothing": {
			rows: []masticway.StoredRow{configurationRow(7, 1), {RowKey: decoder{}.ConfigurationKey(), Version: 2, Value: []byte("{")}}, want: 7,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := follower.NewRegistry(decoder{})
			for _, row := range tc.rows {
				_, _ = r.ApplyConfiguration(row)
			}
			qt.Assert(t, r.Snapshot().Deployment.Version, qt.Equals, tc.want)
		})
	}
}

// incarnationRow returns the registration of a server that started at the given time.
func incarnationRow(version int64, startedAt time.Time, state masticway.ServerState) masticway.StoredRow {
	value, _ := json.Marshal(masticway.Server{ID: "i-1", Pool: "p", State: state, StartedAt: startedAt})
	return masticway.StoredRow{RowKey: masticway.RowKey{Table: "servers", Key: "i-1"}, Version: version, Value: value}
}

// TestIncarnationsOfOneServerAreDistinguished restarts a server under the same id. The new incarnation must take work even
// if the previous one was draining, and late heartbeats of the previous one must not change that, although they create
// newer versions of the row.
func TestIncarnationsOfOneServerAreDistinguished(t *testing.T) {
	first, second := epoch, epoch.Add(time.Minute)
	cases := map[string]struct {
		rows []masticway.StoredRow
		want []time.Time
	}{
		"one incarnation":                        {rows: []masticway.StoredRow{incarnationRow(1, first, masticway.ServerReady)}, want: []time.Time{first}},
		"draining, then ready":                   {rows: []masticway.StoredRow{incarnationRow(1, first, masticway.ServerDraining), incarnationRow(2, first, masticway.ServerReady)}},
		"restarted after draining":               {rows: []masticway.StoredRow{incarnationRow(1, first, masticway.ServerDraining), incarnationRow(2, second, masticway.ServerReady)}, want: []time.Time{second}},
		"late heartbeat of the old one":          {rows: []masticway.StoredRow{incarnationRow(1, second, masticway.ServerReady), incarnationRow(2, first, masticway.ServerReady)}, want: []time.Time{second}},
		"late draining heartbeat of the old one": {rows: []masticway.StoredRow{incarnationRow(1, second, masticway.ServerReady), incarnationRow(2, first, masticway.ServerDraining)}, want: []time.Time{second}},
		"no start times":                         {rows: []masticway.StoredRow{incarnationRow(1, time.Time{}, masticway.ServerDraining), incarnationRow(2, time.Time{}, masticway.ServerReady)}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := follower.NewRegistry(decoder{})
			for _, row := range tc.rows {
				_, regErrs := r.Update(epoch, []masticway.StoredRow{row})
				qt.Assert(t, regErrs, qt.HasLen, 0)
			}
			var got []time.Time
			for _, s := range r.Snapshot().Servers["p"] {
				got = append(got, s.StartedAt.In(time.UTC))
			}
			qt.Assert(t, got, qt.DeepEquals, tc.want)
		})
	}
}

// TestStartInTheFutureHidesNoServer guards against a server that is no longer followed: another writer overwrites its row with a
// start that is far in the future, after which the server's own rows must not count as late ones of an earlier incarnation.
func TestStartInTheFutureHidesNoServer(t *testing.T) {
	started := epoch.Add(-time.Minute)
	for name, future := range map[string]time.Time{
		"two days ahead": epoch.AddDate(0, 0, 2), "the year 5138": time.UnixMilli(99_999_999_999_999), "the year 9999": time.Date(9999, 1, 1, 0, 0, 0, 0, time.UTC),
	} {
		t.Run(name, func(t *testing.T) {
			r := follower.NewRegistry(decoder{})
			apply := func(row masticway.StoredRow) (invalid int) {
				_, regErrs := r.Update(epoch, []masticway.StoredRow{row})
				return len(regErrs)
			}
			qt.Assert(t, apply(incarnationRow(1, started, masticway.ServerReady)), qt.Equals, 0)
			qt.Check(t, apply(incarnationRow(2, future, masticway.ServerReady)), qt.Equals, 1)
			qt.Check(t, apply(incarnationRow(3, started, masticway.ServerReady)), qt.Equals, 0)
			qt.Check(t, r.Snapshot().Servers["p"], qt.HasLen, 1)
			qt.Check(t, apply(incarnationRow(4, started, masticway.ServerDraining)), qt.Equals, 0)
			qt.Check(t, r.Snapshot().Servers["p"], qt.HasLen, 0)
		})
	}
	r := follower.NewRegistry(decoder{})
	_, regErrs := r.Update(epoch, []masticway.StoredRow{incarnationRow(1, epoch.Add(time.Hour), masticway.ServerReady)})
	qt.Check(t, regErrs, qt.HasLen, 0, qt.Commentf("the clocks of machines differ"))
}

// TestInvalidRegistrationIsReportedOnce puts a row of another writer among the registrations. It must be reported once per
// version, however often the table is read, and must not affect the other rows.
func TestInvalidRegistrationIsReportedOnce(t *testing.T) {
	invalid := masticway.StoredRow{RowKey: masticway.RowKey{Table: "servers", Key: "i-2"}, Version: 7, Value: []byte("{")}
	reading := masticway.RowReading{Version: 8, Rows: []masticway.StoredRow{incarnationRow(1, epoch, masticway.ServerReady), invalid}}
	r := follower.NewRegistry(decoder{})
	reported := 0
	for range 3 {
		_, regErrs := r.Replace(epoch, reading)
		reported += len(regErrs)
		qt.Assert(t, r.Snapshot().Servers["p"], qt.HasLen, 1)
	}
	qt.Assert(t, reported, qt.Equals, 1)
	invalid.Version = 9
	_, regErrs := r.Update(epoch, []masticway.StoredRow{invalid})
	qt.Assert(t, regErrs, qt.HasLen, 1)
	qt.Assert(t, regErrs[0].Key, qt.Equals, "i-2")
	// A server's own row that another writer has corrupted no longer registers the server.
	corrupted := incarnationRow(10, epoch, masticway.ServerReady)
	corrupted.Value = []byte("{")
	_, regErrs = r.Update(epoch, []masticway.StoredRow{corrupted})
	qt.Assert(t, regErrs, qt.HasLen, 1)
	qt.Assert(t, r.Snapshot().Servers["p"], qt.HasLen, 0)
}
