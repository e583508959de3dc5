package follower

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/measurer"
)

const (
	// maxWatchWait is how long one call may wait for changes; a silent feed is noticed after it.
	maxWatchWait = 900 * time.Millisecond
	// serverPollInterval separates two calls about servers, whose rows change with every heartbeat.
	serverPollInterval = 150 * time.Millisecond
	// configurationPollInterval separates two calls about the configuration.
	configurationPollInterval = 20 * time.Millisecond
	// retryInterval separates attempts while the store is away.
	retryInterval = 120 * time.Millisecond
	// fallbackInterval separates patient readings of a table while the usual ones fail.
	fallbackInterval = 400 * time.Millisecond
	// expireInterval is how often lapsed servers are looked at.
	expireInterval = 100 * time.Millisecond
)

// Names of metrics.
const (
	metricCalls    = "follow_calls"
	metricFailures = "follow_failures"
	metricBytes    = "follow_bytes"
	metricVersion  = "configuration_version"
	metricServers  = "servers_ready"
	// metricEvacuated counts the zones whose servers get nothing new, metricCold the servers that are taken for cold.
	metricEvacuated = "zones_evacuated"
	metricCold      = "servers_cold"
)

// Follower reads the store and publishes beliefs.
type Follower struct {
	store masticway.RowStore
	// fallback waits longer for an answer than store does.
	fallback masticway.RowStore
	decoder  masticway.DeploymentDecoder
	clock    masticway.Clock
	log      *logrus.Entry
	metrics  *measurer.Set
	// onChange is called with each new belief.
	onChange func(Beliefs)

	mu       sync.Mutex
	registry *Registry
	snapshot atomic.Pointer[Beliefs]
	// reportedCold are the servers that were told of as cold, and when.
	reportedCold map[string]time.Time
	// tables are the tables that are followed for other parts of the router.
	tables []Table
}

// Table is one part of a table of the store that is followed for another part of the router.
type Table struct {
	Name, Part string
	// Wait is how long one call may wait for changes, Relist how often the table is read anew at most.
	Wait, Relist time.Duration
	// Take is given what was read; whole readings hold all rows of the table.
	Take func(full bool, reading masticway.RowReading)
}

// Also follows another table; it is called before Run.
func (f *Follower) Also(t Table) { f.tables = append(f.tables, t) }

// New returns a follower; changed is called, by one goroutine at a time, whenever the belief changes. The patient store
// is the same one with a longer time limit: where a router's link is so full that a call takes longer than money can
// wait, a change of the configuration still has to be in force in time, and a server that leaves to be left.
func New(store, fallback masticway.RowStore, d masticway.DeploymentDecoder, clock masticway.Clock, log *logrus.Entry, metrics *measurer.Set, onChange func(Beliefs)) *Follower {
	f := &Follower{store: store, fallback: fallback, decoder: d, clock: clock, log: log, metrics: metrics, onChange: onChange, registry: NewRegistry(d), reportedCold: map[string]time.Time{}}
	f.snapshot.Store(&Beliefs{})
	return f
}

// Beliefs returns the newest belief.
func (f *Follower) Beliefs() Beliefs { return *f.snapshot.Load() }

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) {
	var wg sync.WaitGroup
	key := f.decoder.ConfigurationKey()
	configuration := &tableWatcher{
		Follower: f, table: key.Table, part: key.Part, interval: configurationPollInterval, maxWait: maxWatchWait, relistInterval: relistInterval,
		apply: func(full bool, reading masticway.RowReading) {
			// First, so that a router that starts amid an evacuation never takes the zone for open.
			f.applyEvacuations(full, reading)
			f.applyConfiguration(key, reading)
		},
	}
	// Registrations lapse while the store is away, and what is missing afterwards is gone.
	servers := &tableWatcher{Follower: f, table: f.decoder.ServerTable(), interval: serverPollInterval, maxWait: maxWatchWait, relistInterval: relistInterval, rowsExpire: true, apply: f.applyServers}
	watchers := []*tableWatcher{configuration, servers}
	for _, t := range f.tables {
		watchers = append(watchers, &tableWatcher{Follower: f, table: t.Name, part: t.Part, interval: configurationPollInterval, maxWait: t.Wait, relistInterval: t.Relist, apply: t.Take})
	}
	for _, m := range watchers {
		wg.Go(func() { m.run(ctx) })
		wg.Go(func() { m.runFallback(ctx) })
	}
	wg.Go(func() {
		for ctx.Err() == nil {
			f.sleep(ctx, expireInterval)
			f.update(func(now time.Time) bool {
				f.reportCold(now)
				return f.registry.Expire(now)
			})
		}
	})
	wg.Wait()
}

func (f *Follower) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-f.clock.After(d):
	}
}

// update changes the register and publishes what follows from it.
func (f *Follower) update(change func(now time.Time) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !change(f.clock.Now()) {
		return
	}
	f.reportCold(f.clock.Now())
	b := f.registry.Snapshot()
	f.snapshot.Store(&b)
	f.onChange(b)
}

func (f *Follower) applyConfiguration(key masticway.RowKey, reading masticway.RowReading) {
	f.update(func(time.Time) bool {
		changed := false
		for _, row := range reading.Rows {
			if row.RowKey != key {
				continue
			}
			applied, err := f.registry.ApplyConfiguration(row)
			if err != nil {
				f.log.WithFields(logrus.Fields{"event": "configuration_unreadable", "row_version": row.Version, "error": err}).Error("configuration not taken")
			}
			changed = changed || applied
		}
		if changed {
			d := f.registry.deployment
			f.metrics.Gauge(metricVersion, d.Version)
			f.log.WithFields(logrus.Fields{"event": "configuration_in_force", "version": d.Version, "routes": len(d.Routes), "workspaces": len(d.Accounts), "bytes": reading.Bytes(), "rows": len(reading.Rows), "row_version": f.registry.rowVersion}).Info("configuration in force")
		}
		return changed
	})
}

func (f *Follower) applyServers(full bool, reading masticway.RowReading) {
	f.update(func(now time.Time) bool {
		if f.registry.RecordContact(now) {
			f.log.WithFields(logrus.Fields{"event": "servers_may_return", "grace": recoveryGrace}).Info("store is back; lapsed servers get time")
		}
		var changed bool
		var regErrs []*RegistrationError
		if full {
			changed, regErrs = f.registry.Replace(now, reading)
		} else {
			changed, regErrs = f.registry.Update(now, reading.Rows)
		}
		for _, regErr := range regErrs {
			f.log.WithFields(logrus.Fields{
				"event": "registration_unreadable", "key": regErr.Key, "row_version": regErr.Version, "error": regErr.Cause,
			}).Warn("registration not taken")
		}
		if changed {
			f.reportServers()
		}
		return changed
	})
}

func (f *Follower) reportServers() {
	ready, draining, missing := 0, 0, 0
	for _, e := range f.registry.entries {
		switch {
		case !e.missingSince.IsZero():
			missing++
		case e.server.State == masticway.ServerReady:
			ready++
		default:
			draining++
		}
	}
	f.metrics.Gauge(metricServers, int64(ready))
	f.log.WithFields(logrus.Fields{"event": "servers_changed", "ready": ready, "draining": draining, "lapsed": missing}).Info("servers changed")
}
