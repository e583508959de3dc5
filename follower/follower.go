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
	// followWait is how long one call may wait for changes; a silent feed is noticed after it.
	followWait = 900 * time.Millisecond
	// serverPause separates two calls about servers, whose rows change with every heartbeat.
	serverPause = 150 * time.Millisecond
	// configurationPause separates two calls about the configuration.
	configurationPause = 20 * time.Millisecond
	// failurePause separates attempts while the store is away.
	failurePause = 120 * time.Millisecond
	// patientPause separates patient readings of a table while the usual ones fail.
	patientPause = 400 * time.Millisecond
	// expirePause is how often lapsed servers are looked at.
	expirePause = 100 * time.Millisecond
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
	// patient waits longer for an answer than store does.
	patient masticway.RowStore
	decoder masticway.DeploymentDecoder
	clock   masticway.Clock
	log     *logrus.Entry
	metrics *measurer.Set
	// changed is called with each new belief.
	changed func(Beliefs)

	mu       sync.Mutex
	register *Register
	beliefs  atomic.Pointer[Beliefs]
	// cold are the servers that were told of as cold, and when.
	cold map[string]time.Time
	// others are the tables that are followed for other parts of the router.
	others []Table
}

// Table is one part of a table of the store that is followed for another part of the router.
type Table struct {
	Name, Part string
	// Wait is how long one call may wait for changes, Relist how often the table is read anew at most.
	Wait, Relist time.Duration
	// Take is given what was read; whole readings hold all rows of the table.
	Take func(whole bool, reading masticway.RowReading)
}

// Also follows another table; it is called before Run.
func (f *Follower) Also(t Table) { f.others = append(f.others, t) }

// New returns a follower; changed is called, by one goroutine at a time, whenever the belief changes. The patient store
// is the same one with a longer time limit: where a router's link is so full that a call takes longer than money can
// wait, a change of the configuration still has to be in force in time, and a server that leaves to be left.
func New(store, patient masticway.RowStore, d masticway.DeploymentDecoder, clock masticway.Clock, log *logrus.Entry, metrics *measurer.Set, changed func(Beliefs)) *Follower {
	f := &Follower{store: store, patient: patient, decoder: d, clock: clock, log: log, metrics: metrics, changed: changed, register: NewRegister(d), cold: map[string]time.Time{}}
	f.beliefs.Store(&Beliefs{})
	return f
}

// Beliefs returns the newest belief.
func (f *Follower) Beliefs() Beliefs { return *f.beliefs.Load() }

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) {
	var wg sync.WaitGroup
	key := f.decoder.ConfigurationKey()
	configuration := &mirror{
		Follower: f, table: key.Table, part: key.Part, between: configurationPause, wait: followWait, relist: relistAfter,
		take: func(whole bool, reading masticway.RowReading) {
			// First, so that a router that starts amid an evacuation never takes the zone for open.
			f.evacuate(whole, reading)
			f.configure(key, reading)
		},
	}
	// Registrations lapse while the store is away, and what is missing afterwards is gone.
	servers := &mirror{Follower: f, table: f.decoder.ServerTable(), between: serverPause, wait: followWait, relist: relistAfter, lapses: true, take: f.serve}
	mirrors := []*mirror{configuration, servers}
	for _, t := range f.others {
		mirrors = append(mirrors, &mirror{Follower: f, table: t.Name, part: t.Part, between: configurationPause, wait: t.Wait, relist: t.Relist, take: t.Take})
	}
	for _, m := range mirrors {
		wg.Go(func() { m.run(ctx) })
		wg.Go(func() { m.runPatiently(ctx) })
	}
	wg.Go(func() {
		for ctx.Err() == nil {
			f.pause(ctx, expirePause)
			f.update(func(now time.Time) bool {
				f.noteCold(now)
				return f.register.Expire(now)
			})
		}
	})
	wg.Wait()
}

func (f *Follower) pause(ctx context.Context, d time.Duration) {
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
	f.noteCold(f.clock.Now())
	b := f.register.Beliefs()
	f.beliefs.Store(&b)
	f.changed(b)
}

func (f *Follower) configure(key masticway.RowKey, reading masticway.RowReading) {
	f.update(func(time.Time) bool {
		changed := false
		for _, row := range reading.Rows {
			if row.RowKey != key {
				continue
			}
			done, err := f.register.Configure(row)
			if err != nil {
				f.log.WithFields(logrus.Fields{"event": "configuration_unreadable", "row_version": row.Version, "error": err}).Error("configuration not taken")
			}
			changed = changed || done
		}
		if changed {
			d := f.register.deployment
			f.metrics.Gauge(metricVersion, d.Version)
			f.log.WithFields(logrus.Fields{"event": "configuration_in_force", "version": d.Version, "routes": len(d.Routes), "workspaces": len(d.Accounts), "bytes": reading.Bytes(), "rows": len(reading.Rows), "row_version": f.register.rowVersion}).Info("configuration in force")
		}
		return changed
	})
}

func (f *Follower) serve(whole bool, reading masticway.RowReading) {
	f.update(func(now time.Time) bool {
		if f.register.Reached(now) {
			f.log.WithFields(logrus.Fields{"event": "servers_may_return", "grace": returnGrace}).Info("store is back; lapsed servers get time")
		}
		var changed bool
		var faults []*EntryError
		if whole {
			changed, faults = f.register.Replace(now, reading)
		} else {
			changed, faults = f.register.Update(now, reading.Rows)
		}
		for _, fault := range faults {
			f.log.WithFields(logrus.Fields{
				"event": "registration_unreadable", "key": fault.Key, "row_version": fault.Version, "error": fault.Cause,
			}).Warn("registration not taken")
		}
		if changed {
			f.noteServers()
		}
		return changed
	})
}

func (f *Follower) noteServers() {
	ready, draining, lapsed := 0, 0, 0
	for _, e := range f.register.entries {
		switch {
		case !e.lapsedAt.IsZero():
			lapsed++
		case e.server.State == masticway.ServerReady:
			ready++
		default:
			draining++
		}
	}
	f.metrics.Gauge(metricServers, int64(ready))
	f.log.WithFields(logrus.Fields{"event": "servers_changed", "ready": ready, "draining": draining, "lapsed": lapsed}).Info("servers changed")
}
