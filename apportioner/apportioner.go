package apportioner

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/measurer"
)

const (
	// askTimeout is the timeout of a request to another router, a few times the round-trip time between availability zones.
	askTimeout = 120 * time.Millisecond
	// unresponsiveTime is how long a router is not asked after a request to it has failed. It doubles with each further failure, up to
	// maxUnresponsiveTime, until the router replies.
	unresponsiveTime    = time.Second
	maxUnresponsiveTime = 8 * time.Second
	// tickInterval is the interval at which the use of connections is read and the ends of leases are noticed.
	tickInterval = 100 * time.Millisecond
	// maxOwners is the number of routers that may grant leases of one pool: the owner and the backup.
	maxOwners = 2
	// ownerKeyPrefix precedes the pool's name in the key by which the owner and the backup are ranked.
	ownerKeyPrefix = "connections/"
)

// Names of metrics. metricLeases is a gauge of the connections to one server that this router has leased, added over the pools.
const (
	metricLeases     = "connection_leases"
	metricAsks       = "connection_asks"
	metricUnanswered = "connection_asks_unanswered"
)

// Members provides the membership of the routers.
type Members interface {
	// Members returns the number of known routers, or zero if it is unknown.
	Members() int
	// RankedLargeAddresses returns the addresses of up to limit routers, those with the highest rendezvous weights for a key,
	// highest first. Small routers are left out. This router may be among them.
	RankedLargeAddresses(key string, limit int) []string
}

// Dependencies holds the dependencies of an apportioner.
type Dependencies struct {
	Routers Routers
	Members Members
	// TakeUse returns how connections were used since its last call, by pool. Pools without use may be missing.
	TakeUse func(pools []string) map[string]masticway.ConnectionUse
	// LimitConnections closes idle connections to the servers of each given pool above its limit, and from then on also those that
	// become idle. It lifts the limits of all other pools.
	LimitConnections func(limits map[string]int)
	Clock            masticway.Clock
	Log              *logrus.Entry
	Metrics          *measurer.Set
	// Self is this router's incarnation, and Address the address at which other routers reach it.
	Self    masticway.Incarnation
	Address string
}

// poolState is the state of one pool. limit is its limit of connections, or zero if the pool must not be divided now. grants is kept
// also then, because other routers may still use the leases.
type poolState struct {
	limit  int
	leases *Leases
	grants *Grants
	// observing is set while the use of connections is read in each interval. The first reading is discarded, because it covers the
	// time since the start of the process or since the pool was last divided.
	observing bool
}

// Apportioner applies the decisions of Leases and Grants, and exchanges leases with other routers.
type Apportioner struct {
	Dependencies
	// wake signals Run that Configure has changed the limit of a pool.
	wake chan struct{}

	mu sync.RWMutex
	// pools holds the pools that are divided by demand, if IsDivided, or have been.
	pools map[string]*poolState
	// unresponsive holds the routers to which the last request failed, by address.
	unresponsive map[string]unresponsiveRouter
}

// unresponsiveRouter is how long a router is not asked, and until when.
type unresponsiveRouter struct {
	wait  time.Duration
	until time.Time
}

var _ masticway.ConnectionApportioner = (*Apportioner)(nil)

// New returns an apportioner that divides nothing until Configure is called.
func New(p Dependencies) *Apportioner {
	return &Apportioner{Dependencies: p, wake: make(chan struct{}, 1), pools: map[string]*poolState{}, unresponsive: map[string]unresponsiveRouter{}}
}

// Configure sets the pools of the deployment. sharesLoad reports whether routers share load; if they do not, nothing is divided and
// no message is sent. Pools of engines and pools without a limit of connections are never divided.
func (a *Apportioner) Configure(pools map[string]masticway.Pool, sharesLoad bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	limits, changed := map[string]int{}, false
	for name, p := range pools {
		if sharesLoad && !p.IsEngine && p.MaxConnections > 0 {
			limits[name] = p.MaxConnections
			if a.pools[name] == nil {
				a.pools[name] = &poolState{leases: NewLeases(a.Self), grants: NewGrants(a.Self)}
			}
		}
	}
	for name, s := range a.pools {
		if s.limit == limits[name] {
			continue
		}
		s.limit, changed = limits[name], true
		if s.limit == 0 {
			s.leases = NewLeases(a.Self)
		}
	}
	if !changed {
		return
	}
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Allowed returns how many connections this router may have now to each server of a pool. It returns false if the connections of the
// pool are not divided by demand.
func (a *Apportioner) Allowed(pool string) (int, bool) {
	a.mu.RLock()
	defer a.mu.RUnlock()
	s, ok := a.pools[pool]
	if !ok {
		return 0, false
	}
	members := a.Members.Members()
	if !IsDivided(s.limit, members) {
		return 0, false
	}
	return s.leases.Allowed(a.Clock.Now(), s.limit, members), true
}

// Run calls Tick every tickInterval while there are pools to divide, and sends the due requests, until the context ends.
func (a *Apportioner) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil {
		// The channel is nil, which blocks, while there is nothing to divide.
		var next <-chan time.Time
		if a.hasPools() {
			next = a.Clock.After(tickInterval)
		}
		select {
		case <-ctx.Done():
			return
		case <-a.wake:
		case <-next:
		}
		for _, ask := range a.Tick() {
			wg.Go(func() { ask(ctx) })
		}
	}
}

// hasPools reports whether a pool may have to be divided.
func (a *Apportioner) hasPools() bool {
	a.mu.RLock()
	defer a.mu.RUnlock()
	for _, s := range a.pools {
		if s.limit > 0 {
			return true
		}
	}
	return false
}

// Tick records roles and the use of connections, applies the limits of connections, and returns functions that send the requests for
// leases that are due, at most one for each pool. Each function must be called once, and returns when the request has been answered
// or has failed.
func (a *Apportioner) Tick() (asks []func(context.Context)) {
	members := a.Members.Members()
	a.mu.RLock()
	var names []string
	for name, s := range a.pools {
		if IsDivided(s.limit, members) {
			names = append(names, name)
		}
	}
	a.mu.RUnlock()
	var uses map[string]masticway.ConnectionUse
	if len(names) > 0 {
		uses = a.TakeUse(names)
	}
	roles := map[string]Role{}
	for _, name := range names {
		roles[name] = a.role(name)
	}
	a.mu.Lock()
	now := a.Clock.Now()
	maps.DeleteFunc(a.unresponsive, func(_ string, r unresponsiveRouter) bool { return now.Sub(r.until) > maxUnresponsiveTime })
	for name, s := range a.pools {
		role, isDivided := roles[name]
		if !isDivided {
			role = RoleNone
		}
		a.setRole(now, name, s, role)
		wasObserving := s.observing
		s.observing = isDivided
		if !isDivided {
			continue
		}
		if wasObserving {
			s.leases.Observe(now, uses[name])
		}
		if req, due := s.leases.Ask(now, name, s.limit, members); due {
			leases := s.leases
			asks = append(asks, func(ctx context.Context) { a.ask(ctx, leases, req) })
		}
	}
	a.mu.Unlock()
	a.applyLimits()
	return asks
}

// applyLimits passes the current limits of connections to LimitConnections, and updates the metric of leases.
func (a *Apportioner) applyLimits() {
	members := a.Members.Members()
	limits, leased := map[string]int{}, 0
	a.mu.RLock()
	now := a.Clock.Now()
	for name, s := range a.pools {
		if IsDivided(s.limit, members) {
			limits[name] = s.leases.Allowed(now, s.limit, members)
			leased += s.leases.Leased(now, s.limit, members)
		}
	}
	a.mu.RUnlock()
	a.LimitConnections(limits)
	a.Metrics.Gauge(metricLeases, int64(leased))
}

// role returns this router's role for a pool.
func (a *Apportioner) role(pool string) Role {
	ranked := a.Members.RankedLargeAddresses(ownerKeyPrefix+pool, maxOwners)
	switch {
	case len(ranked) > 0 && ranked[0] == a.Address:
		return RoleOwner
	case len(ranked) > 1 && ranked[1] == a.Address:
		return RoleBackup
	}
	return RoleNone
}

// setRole records and logs this router's role for a pool. The caller must hold the lock.
func (a *Apportioner) setRole(now time.Time, name string, s *poolState, role Role) {
	if s.grants.SetRole(now, role) {
		a.Log.WithFields(logrus.Fields{"event": "connection_owner", "pool": name, "role": role, "members": a.Members.Members()}).Info("this router's role for a pool's connections changed")
	}
}

// ask sends a request for a lease to the owner and, if the owner grants none, to the backup, and records the result in leases.
func (a *Apportioner) ask(ctx context.Context, leases *Leases, req Request) {
	a.Metrics.Add(metricAsks, 1)
	sentAt := a.Clock.Now()
	reply, from := a.askOwners(ctx, req)
	a.mu.Lock()
	changed := leases.HandleReply(reply)
	a.mu.Unlock()
	if reply == nil {
		a.Metrics.Add(metricUnanswered, 1)
	}
	if !changed {
		return
	}
	a.Log.WithFields(logrus.Fields{
		"event": "connection_lease", "pool": req.Pool, "address": from, "number": reply.Number, "used": req.Used, "denied": req.Denied, "wanted": req.Wanted,
		"granted": reply.Granted, "part": reply.Part, "age_ms": a.Clock.Now().Sub(sentAt).Milliseconds(),
	}).Info("the number of leased connections changed")
	// The next request confirms a smaller lease, so the idle connections above it must be closed before.
	a.applyLimits()
}

// askOwners sends a request to the owner and, if it does not grant leases or does not reply, to the backup. It returns the first reply
// in which NotGranting is not set, and the address of the router that sent it. It returns nil if there is none.
func (a *Apportioner) askOwners(ctx context.Context, req Request) (*Reply, string) {
	for _, address := range a.Members.RankedLargeAddresses(ownerKeyPrefix+req.Pool, maxOwners) {
		reply, err := a.askRouter(ctx, address, req)
		if err == nil && !reply.NotGranting {
			return &reply, address
		}
	}
	return nil, ""
}

// askRouter sends a request to one router, which may be this one. It returns an UnresponsiveError without asking if a request to the
// router has recently failed.
func (a *Apportioner) askRouter(ctx context.Context, address string, req Request) (Reply, error) {
	if address == a.Address {
		return a.Answer(req), nil
	}
	if err := a.checkResponsive(address); err != nil {
		return Reply{}, err
	}
	bounded, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	reply, err := a.Routers.Ask(bounded, address, req)
	if ctx.Err() == nil {
		a.recordResponse(address, err == nil)
	}
	if err != nil && ctx.Err() == nil {
		a.Log.WithFields(logrus.Fields{"event": "connection_ask_failed", "pool": req.Pool, "address": address, "error": err}).Info("a router did not reply to a request for connections")
	}
	return reply, err
}

// UnresponsiveError reports a router that is not asked because a request to it has recently failed.
type UnresponsiveError struct {
	Address   string
	Remaining time.Duration
}

// Error returns a description with the router's address.
func (e *UnresponsiveError) Error() string {
	return fmt.Sprintf("router at %s was unresponsive and is not asked for %v", e.Address, e.Remaining)
}

// checkResponsive returns an UnresponsiveError if a router must not be asked now.
func (a *Apportioner) checkResponsive(address string) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if remaining := a.unresponsive[address].until.Sub(a.Clock.Now()); remaining > 0 {
		return &UnresponsiveError{Address: address, Remaining: remaining}
	}
	return nil
}

// recordResponse records whether a router replied to a request.
func (a *Apportioner) recordResponse(address string, replied bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if replied {
		delete(a.unresponsive, address)
		return
	}
	wait := min(maxUnresponsiveTime, max(unresponsiveTime, 2*a.unresponsive[address].wait))
	a.unresponsive[address] = unresponsiveRouter{wait: wait, until: a.Clock.Now().Add(wait)}
}

// Answer answers a request of another router or of this one.
func (a *Apportioner) Answer(req Request) Reply {
	role := a.role(req.Pool)
	members := a.Members.Members()
	a.mu.Lock()
	defer a.mu.Unlock()
	s, ok := a.pools[req.Pool]
	if !ok || !IsDivided(s.limit, members) {
		return Reply{Granter: a.Self, NotGranting: true}
	}
	now := a.Clock.Now()
	a.setRole(now, req.Pool, s, role)
	return s.grants.Grant(now, s.limit, members, req)
}
