package coordinator

import (
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
)

const (
	// expireInterval is the interval at which the expired runs of an owned group are removed and its slow and fast engines determined.
	expireInterval = 250 * time.Millisecond
	// unusedTTL is how long an owned group is kept after its last message. A backup keeps the speeds that the owner sends.
	unusedTTL = 30 * time.Second
)

// String returns the key by which the owner of the group is determined.
func (k groupKey) String() string { return "engines/" + k.pool + "/" + strconv.Itoa(k.group) }

// ownedGroup is the state of a group of which this router is the owner or the backup.
type ownedGroup struct {
	mu        sync.Mutex
	engines   Engines
	readiness Readiness
	wasReady  bool
	// wasContended is the contention that was logged last.
	wasContended bool
	// pool is the snapshot of the engines that was applied last.
	pool *poolFleet
	// usedAt is when the last message or the last speeds arrived, and expiredAt when expired runs were removed last.
	usedAt, expiredAt time.Time
	// classes are the slow and the fast engines, and classVersion is the version of these lists.
	classes      speedClasses
	classVersion uint64
}

// owned holds the groups of which this router is the owner or the backup.
type owned struct {
	mu     sync.Mutex
	groups map[groupKey]*ownedGroup
}

// get returns the state of a group and creates it if necessary.
func (o *owned) get(key groupKey, create func() Engines) *ownedGroup {
	o.mu.Lock()
	defer o.mu.Unlock()
	g, ok := o.groups[key]
	if !ok {
		g = &ownedGroup{engines: create()}
		o.groups[key] = g
	}
	return g
}

// all returns the groups.
func (o *owned) all() map[groupKey]*ownedGroup {
	o.mu.Lock()
	defer o.mu.Unlock()
	return maps.Clone(o.groups)
}

// retain removes the groups for which keep returns false.
func (o *owned) retain(keep func(groupKey, *ownedGroup) bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	maps.DeleteFunc(o.groups, func(k groupKey, g *ownedGroup) bool { return !keep(k, g) })
}

// isRanked reports whether this router is the owner or the backup of a group.
func (c *Coordinator) isRanked(now time.Time, key groupKey) bool {
	return slices.Contains(c.ranked(now, key), c.Address)
}

// accepts reports whether this router serves a group now.
func (c *Coordinator) accepts(now time.Time, key groupKey) bool {
	return c.active.Load() && c.fleet.Load().has(key) && c.isRanked(now, key)
}

// Answer records the reports in a message of another router or of this one. If the message has a query and this router knows the
// load of the group, Answer chooses an engine. A router that is overloaded serves no group.
func (c *Coordinator) Answer(m Message) Reply {
	now := c.Clock.Now()
	key := groupKey{pool: m.Pool, group: m.Group}
	if !c.accepts(now, key) || c.IsOverloaded() {
		return Reply{NotOwner: true}
	}
	g := c.owned.get(key, c.NewEngines)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sync(now, c.poolFleet(m.Pool), m.Group)
	g.usedAt = now
	g.readiness.Record(now)
	known := g.engines.Touch(now, m.Sender)
	reports := m.Reports[:min(len(m.Reports), maxRuns)]
	if m.Resync {
		g.engines.Replace(now, m.Sender, reports)
	} else {
		for _, r := range reports {
			g.engines.Record(now, m.Sender, r)
		}
	}
	c.expire(now, key, g)
	reply := Reply{Ready: g.readiness.IsReady(now), NeedsResync: !known && !m.Resync}
	if reply.Ready != g.wasReady {
		g.wasReady = reply.Ready
		c.Log.WithFields(logrus.Fields{"event": "engine_owner", "pool": m.Pool, "group": m.Group, "owner": c.Address, "ready": reply.Ready}).Info("this router chooses the engines of a group, or no longer does")
	}
	if !reply.Ready {
		return reply
	}
	if m.Run != nil {
		choice := g.engines.Place(now, m.Sender, *m.Run, unite(m.Excluded), m.Penalties)
		reply.Choice = &choice
	}
	if reply.ClassVersion = g.classVersion; g.classVersion != m.ClassVersion {
		reply.Slow, reply.Fast = g.classes.slow, g.classes.fast
	}
	return reply
}

// AdoptSpeeds records the speeds that the owner of a group has learned, if this router is the group's backup.
func (c *Coordinator) AdoptSpeeds(s Speeds) {
	now := c.Clock.Now()
	key := groupKey{pool: s.Pool, group: s.Group}
	if !c.accepts(now, key) {
		return
	}
	g := c.owned.get(key, c.NewEngines)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sync(now, c.poolFleet(s.Pool), s.Group)
	g.usedAt = now
	g.engines.AdoptSpeeds(now, s.Speeds)
}

// sync applies a new snapshot of the engines. The caller must hold g.mu.
func (g *ownedGroup) sync(now time.Time, p *poolFleet, group int) {
	if g.pool == p || p == nil || group >= len(p.groups) {
		return
	}
	g.pool = p
	g.engines.Sync(now, p.pool, p.groups[group])
}

// expire removes expired runs, determines the slow and fast engines and whether the group is contended, and logs changes, at most
// once per expireInterval. The caller must hold g.mu.
func (c *Coordinator) expire(now time.Time, key groupKey, g *ownedGroup) {
	if now.Sub(g.expiredAt) < expireInterval {
		return
	}
	g.expiredAt = now
	g.engines.Expire(now)
	if contended := g.engines.IsContended(); contended != g.wasContended {
		g.wasContended = contended
		c.Log.WithFields(logrus.Fields{"event": "engine_contention", "pool": key.pool, "group": key.group, "contended": contended}).Info("workspaces compete for the engines of a group, or no longer do")
	}
	classes := speedClasses{slow: g.engines.SlowEngines(), fast: g.engines.FastEngines()}
	if classes.equal(g.classes) {
		return
	}
	g.classes, g.classVersion = classes, classes.version()
	c.Log.WithFields(logrus.Fields{"event": "engine_speed", "pool": key.pool, "group": key.group, "slow": classes.slow, "fast": classes.fast}).Info("the slow or fast engines of a group have changed")
}

// maintainGroup removes expired runs. It returns false if the group is not used any more.
func (c *Coordinator) maintainGroup(now time.Time, key groupKey, g *ownedGroup) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	c.expire(now, key, g)
	return now.Sub(g.usedAt) < unusedTTL
}

// speeds returns the learned speeds, or none while the group is not ready.
func (g *ownedGroup) speeds(now time.Time) map[masticway.ServerIncarnation]masticway.EngineSpeed {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.readiness.IsReady(now) {
		return nil
	}
	return g.engines.Speeds()
}
