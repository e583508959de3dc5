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
	// maxWatchWait is how long a watch call for the configuration or the servers may wait for changes. A dead connection is
	// noticed after maxWatchWait plus the timeout of the call.
	maxWatchWait = 900 * time.Millisecond
	// serverPollInterval is the pause between two watch calls for the servers, whose rows change with every heartbeat.
	serverPollInterval = 150 * time.Millisecond
	// configurationPollInterval is the pause between two watch calls for the configuration or for a table of AddTable.
	configurationPollInterval = 20 * time.Millisecond
	// retryInterval is the pause after a call that failed.
	retryInterval = 120 * time.Millisecond
	// fallbackInterval is the pause between two reads with the long timeout, which are made while reads with the usual timeout
	// fail.
	fallbackInterval = 400 * time.Millisecond
	// expireInterval is the pause between two removals of expired servers.
	expireInterval = 100 * time.Millisecond
)

// Names of metrics.
const (
	metricCalls    = "follow_calls"
	metricFailures = "follow_failures"
	metricBytes    = "follow_bytes"
	metricVersion  = "configuration_version"
	metricServers  = "servers_ready"
	// metricEvacuated counts the zones whose servers get no new work, and metricCold the servers that count as cold, that is,
	// slow after a start.
	metricEvacuated = "zones_evacuated"
	metricCold      = "servers_cold"
)

// Follower reads the store and publishes snapshots of the deployment.
type Follower struct {
	store masticway.RowStore
	// fallback is the same store with a longer timeout.
	fallback masticway.RowStore
	// prober asks the store on new connections. It may be nil.
	prober  masticway.StoreProber
	decoder masticway.DeploymentDecoder
	clock   masticway.Clock
	log     *logrus.Entry
	metrics *measurer.Set
	// onChange is called with each new snapshot while mu is held.
	onChange func(Snapshot)

	mu       sync.Mutex
	registry *Registry
	snapshot atomic.Pointer[Snapshot]
	// reportedCold holds, by server ID, when the servers were logged as cold. A server is in it until it is logged as warm.
	reportedCold map[string]time.Time
	// tables are the tables that are watched for other components of the router.
	tables []Table
	// onServersRead and onConfigurationRead are called after each reading of the servers or the configuration, with the time at which its
	// call began.
	onServersRead, onConfigurationRead func(began time.Time)
}

// Table describes one part, that is, partition, of a table of the store. The follower watches it for another component of the
// router.
type Table struct {
	Name, Part string
	// MaxWait is how long one watch call may wait for changes. RelistInterval is the usual time between full reads. The time is
	// longer for large tables, and shorter after changes were lost.
	MaxWait, RelistInterval time.Duration
	// Apply is called with the result of each read. If full is set, the reading holds all rows of the part. Otherwise it holds
	// changes of all parts of the table.
	Apply func(full bool, reading masticway.RowReading)
}

// AddTable adds a table to watch; it must be called before Run.
func (f *Follower) AddTable(t Table) { f.tables = append(f.tables, t) }

// OnServersRead sets a function that is called after each reading of the servers, changed or not, with the time at which the call to the
// store began, or an earlier time if another router made it. A changed snapshot is published before. It must be called before Run.
func (f *Follower) OnServersRead(read func(began time.Time)) { f.onServersRead = read }

// OnConfigurationRead is like OnServersRead for the configuration.
func (f *Follower) OnConfigurationRead(read func(began time.Time)) { f.onConfigurationRead = read }

// New returns a follower that calls onChange with each new snapshot, one call at a time. onChange must not call MarkDraining,
// because it runs with the follower's lock held. fallback is the same store with a longer timeout. The timeout of store is short,
// because budget calls, which also use it, cannot wait longer. When the router's link is congested, calls exceed that timeout.
// The follower then reads through fallback, so that it still learns of new configurations and draining servers.
func New(store, fallback masticway.RowStore, d masticway.DeploymentDecoder, clock masticway.Clock, log *logrus.Entry, metrics *measurer.Set, onChange func(Snapshot)) *Follower {
	f := &Follower{store: store, fallback: fallback, decoder: d, clock: clock, log: log, metrics: metrics, onChange: onChange, registry: NewRegistry(d), reportedCold: map[string]time.Time{}, onServersRead: func(time.Time) {}, onConfigurationRead: func(time.Time) {}}
	f.snapshot.Store(&Snapshot{})
	return f
}

// Snapshot returns the newest snapshot.
func (f *Follower) Snapshot() Snapshot { return *f.snapshot.Load() }

// Run watches the tables until the context ends.
func (f *Follower) Run(ctx context.Context) {
	var wg sync.WaitGroup
	key := f.decoder.ConfigurationKey()
	configuration := &tableWatcher{
		Follower: f, table: key.Table, part: key.Part, interval: configurationPollInterval, maxWait: maxWatchWait, relistInterval: relistInterval,
		apply: func(full bool, reading masticway.RowReading) {
			// Evacuations come first, so that a router that starts during an evacuation never uses the zone.
			f.applyEvacuations(full, reading)
			f.applyConfiguration(key, reading)
		},
		onRead: f.onConfigurationRead,
	}
	// Registrations can expire while the store is unreachable, so the server table is read in full after an outage.
	servers := &tableWatcher{Follower: f, table: f.decoder.ServerTable(), interval: serverPollInterval, maxWait: maxWatchWait, relistInterval: relistInterval, rowsExpire: true, apply: f.applyServers, onRead: f.onServersRead}
	watchers := []*tableWatcher{configuration, servers}
	for _, t := range f.tables {
		watchers = append(watchers, &tableWatcher{Follower: f, table: t.Name, part: t.Part, interval: configurationPollInterval, maxWait: t.MaxWait, relistInterval: t.RelistInterval, apply: t.Apply})
	}
	for _, m := range watchers {
		wg.Go(func() { m.run(ctx) })
		wg.Go(func() { m.runFallback(ctx) })
	}
	wg.Go(func() {
		for last := f.clock.Now(); ctx.Err() == nil; {
			f.sleep(ctx, expireInterval)
			f.update(func(now time.Time) bool {
				if stall := now.Sub(last) - expireInterval; stall > expireInterval {
					f.registry.RecordStall(stall)
				}
				last = now
				f.reportCold(now)
				return f.registry.Expire(now)
			})
		}
	})
	if f.prober != nil {
		wg.Go(func() { f.probeWhileSilent(ctx, configuration, servers) })
	}
	wg.Wait()
}

func (f *Follower) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-f.clock.After(d):
	}
}

// update calls change with f.mu held, to change the registry. If change returns true, it publishes the resulting snapshot.
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
			known := f.registry.rowVersion
			applied, err := f.registry.ApplyConfiguration(row)
			if !applied && err == nil && row.Version < known {
				f.log.WithFields(logrus.Fields{"event": "row_ignored", "table": row.Table, "key": row.Key, "era": masticway.StoreEra(row.Version), "row_version": masticway.StoreNumber(row.Version), "known_era": masticway.StoreEra(known), "known_version": masticway.StoreNumber(known)}).Info("ignored a row that is older than the one known")
			}
			if err != nil {
				f.log.WithFields(logrus.Fields{"event": "configuration_unreadable", "row_version": row.Version, "error": err}).Error("configuration not applied")
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
		f.recordContact(now, reading.Version, false)
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
			}).Warn("invalid registration ignored")
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
