package apportioner_test

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/apportioner"
)

const (
	// step is the time by which the simulation advances, and tick the interval at which a router acts.
	step = 10 * time.Millisecond
	tick = 100 * time.Millisecond
	// askTimeout is how long a router waits for a reply before it asks the backup or gives up.
	askTimeout = 120 * time.Millisecond
	// usualDelay is the delay of a message.
	usualDelay = 3 * time.Millisecond
	pool       = "plain"
)

// world simulates the division of one pool without a network, in one goroutine. All routers have the same view of the membership,
// unless a router has its own.
type world struct {
	now     time.Time
	limit   int
	routers []*simRouter
	// requestTime is how long a request keeps its connection in use. If it is zero, a router that must use fewer does so at once.
	requestTime time.Duration
	// inFlight holds the messages to deliver.
	inFlight []message
	started  int
	asks     int
	// lose and delay decide about each message; if they are nil, none is lost and the delay is usualDelay.
	lose  func() bool
	delay func() time.Duration
	// isCut reports whether no message passes from one router to another.
	isCut func(from, to *simRouter) bool
}

// message is delivered at a time by calling deliver.
type message struct {
	at      time.Time
	deliver func()
}

// simRouter is one router. A restart replaces it by another at the same address.
type simRouter struct {
	w       *world
	address string
	self    masticway.Incarnation
	leases  *apportioner.Leases
	grants  *apportioner.Grants
	// rate is how fast its clock runs, and clockStart what the clock showed at the start of the simulation.
	rate       float64
	clockStart time.Time
	worldStart time.Time
	frozen     bool
	lastTick   time.Time
	// demand is how many connections its callers need.
	demand int
	// ends holds the times at which the requests of its callers end, and peak their greatest number since the last tick.
	ends []time.Time
	peak int
	// request is the one in flight, sent to the next of targets at sentAt. It is nil if there is none.
	request *apportioner.Request
	targets []string
	sentAt  time.Time
	// view is its own view of the membership, if it differs from that of the others.
	view []*simRouter
}

func newWorld(limit, routers int) *world {
	w := &world{now: time.Unix(1_000_000, 0), limit: limit}
	for range routers {
		w.start(fmt.Sprintf("router-%d", w.started), 1)
	}
	return w
}

// start starts a router with a clock of the given rate, which becomes a member at once.
func (w *world) start(address string, rate float64) *simRouter {
	w.started++
	self := masticway.NewIncarnation(address, fmt.Sprint(w.started))
	r := &simRouter{
		w: w, address: address, self: self, leases: apportioner.NewLeases(self), grants: apportioner.NewGrants(self), rate: rate,
		clockStart: w.now.Add(time.Duration(w.started) * time.Hour), worldStart: w.now,
	}
	w.routers = append(w.routers, r)
	return r
}

// stop ends a router, whose membership and connections end with it.
func (w *world) stop(r *simRouter) {
	w.routers = slices.DeleteFunc(w.routers, func(o *simRouter) bool { return o == r })
}

func (w *world) isRunning(r *simRouter) bool { return slices.Contains(w.routers, r) }

// clock returns the time of the router's own clock.
func (r *simRouter) clock() time.Time {
	return r.clockStart.Add(time.Duration(float64(r.w.now.Sub(r.worldStart)) * r.rate))
}

// members returns the router's view of the membership.
func (r *simRouter) members() []*simRouter {
	if r.view != nil {
		return r.view
	}
	return r.w.routers
}

// ranked returns the addresses of the owner and the backup in the router's view.
func (r *simRouter) ranked() (addresses []string) {
	for _, o := range r.members() {
		addresses = append(addresses, o.address)
	}
	weight := func(a string) uint64 { return xxhash.Sum64String(pool + "\x00" + a) }
	slices.SortFunc(addresses, func(x, y string) int { return cmp.Compare(weight(y), weight(x)) })
	return addresses[:min(2, len(addresses))]
}

func (r *simRouter) role() apportioner.Role {
	ranked := r.ranked()
	switch {
	case ranked[0] == r.address:
		return apportioner.RoleOwner
	case len(ranked) > 1 && ranked[1] == r.address:
		return apportioner.RoleBackup
	}
	return apportioner.RoleNone
}

// isDivided reports whether the pool is divided by demand in the router's view.
func (r *simRouter) isDivided() bool { return apportioner.IsDivided(r.w.limit, len(r.members())) }

// allowed returns how many connections the router may have now.
func (r *simRouter) allowed() int {
	n := len(r.members())
	if !r.isDivided() {
		return max(2, r.w.limit/max(2, n))
	}
	return r.leases.Allowed(r.clock(), r.w.limit, n)
}

func (w *world) at(address string) *simRouter {
	for _, r := range w.routers {
		if r.address == address {
			return r
		}
	}
	return nil
}

// owner and backup return the routers with these roles.
func (w *world) owner() *simRouter  { return w.at(w.routers[0].ranked()[0]) }
func (w *world) backup() *simRouter { return w.at(w.routers[0].ranked()[1]) }

// other returns the n-th router that is neither owner nor backup.
func (w *world) other(n int) *simRouter {
	others := slices.DeleteFunc(slices.Clone(w.routers), func(r *simRouter) bool { return r == w.owner() || r == w.backup() })
	return others[n%len(others)]
}

// total returns the sum of all routers' allowed connections.
func (w *world) total() (n int) {
	for _, r := range w.routers {
		n += r.allowed()
	}
	return n
}

// open returns the sum of all routers' connections in use.
func (w *world) open() (n int) {
	for _, r := range w.routers {
		n += len(r.ends)
	}
	return n
}

// serve ends and begins requests.
func (r *simRouter) serve() {
	r.ends = slices.DeleteFunc(r.ends, func(at time.Time) bool { return !r.w.now.Before(at) })
	for len(r.ends) < min(r.demand, r.allowed()) {
		// The durations differ, so that the requests do not all end at the same time.
		r.ends = append(r.ends, r.w.now.Add(r.w.requestTime*time.Duration(50+10*len(r.ends)%100)/100))
	}
	r.peak = max(r.peak, len(r.ends))
}

// bound returns the largest total that is allowed: the limit, or two connections for each router if that is more.
func (w *world) bound() int { return max(w.limit, 2*len(w.routers)) }

// advance runs the simulation for a time and calls check after each step.
func (w *world) advance(d time.Duration, check func()) {
	for until := w.now.Add(d); w.now.Before(until); {
		w.now = w.now.Add(step)
		due := w.inFlight
		w.inFlight = nil
		for _, m := range due {
			if m.at.After(w.now) {
				w.inFlight = append(w.inFlight, m)
			} else {
				m.deliver()
			}
		}
		for _, r := range slices.Clone(w.routers) {
			if w.requestTime > 0 {
				r.serve()
			}
			if !r.frozen && w.isRunning(r) {
				r.act()
			}
		}
		if check != nil {
			check()
		}
	}
}

// send delivers a message later, unless it is lost.
func (w *world) send(from, to *simRouter, deliver func()) {
	if w.lose != nil && w.lose() || w.isCut != nil && w.isCut(from, to) {
		return
	}
	d := usualDelay
	if w.delay != nil {
		d = w.delay()
	}
	w.inFlight = append(w.inFlight, message{at: w.now.Add(d), deliver: deliver})
}

// act does what Apportioner.Tick does, and gives a request up after askTimeout.
func (r *simRouter) act() {
	now := r.clock()
	if r.request != nil && now.Sub(r.sentAt) >= askTimeout {
		r.askNext()
	}
	if now.Sub(r.lastTick) < tick {
		return
	}
	r.lastTick = now
	if !r.isDivided() {
		r.grants.SetRole(now, apportioner.RoleNone)
		return
	}
	r.grants.SetRole(now, r.role())
	allowed := r.allowed()
	use := masticway.ConnectionUse{Peak: min(r.demand, allowed), Denied: max(0, r.demand-allowed)}
	if r.w.requestTime > 0 {
		use.Peak, r.peak = r.peak, len(r.ends)
	}
	r.leases.Observe(now, use)
	if req, due := r.leases.Ask(now, pool, r.w.limit, len(r.members())); due {
		r.w.asks++
		r.request, r.targets = &req, r.ranked()
		r.askNext()
	}
}

// askNext sends the request in flight to the next target. If there is none, the request has failed.
func (r *simRouter) askNext() {
	if len(r.targets) == 0 {
		r.request = nil
		r.leases.HandleReply(nil)
		return
	}
	to := r.w.at(r.targets[0])
	r.targets, r.sentAt = r.targets[1:], r.clock()
	if to == nil {
		r.askNext()
		return
	}
	req, target := r.request, to.address
	r.w.send(r, to, func() { r.w.deliver(r, target, req) })
}

// deliver delivers a request to the router at an address, and sends the reply. A frozen router gets it when it runs again.
func (w *world) deliver(from *simRouter, address string, req *apportioner.Request) {
	to := w.at(address)
	if to == nil {
		return
	}
	if to.frozen {
		w.inFlight = append(w.inFlight, message{at: w.now.Add(tick), deliver: func() { w.deliver(from, address, req) }})
		return
	}
	reply := apportioner.Reply{Granter: to.self, NotGranting: true}
	if to.isDivided() {
		to.grants.SetRole(to.clock(), to.role())
		reply = to.grants.Grant(to.clock(), w.limit, len(to.members()), *req)
	}
	// The transport drops the reply to a call that has been given up.
	sentTo := from.sentAt
	var receive func()
	receive = func() {
		switch {
		case !w.isRunning(from) || from.request != req || !from.sentAt.Equal(sentTo):
		case from.frozen:
			w.inFlight = append(w.inFlight, message{at: w.now.Add(tick), deliver: receive})
		case reply.NotGranting:
			from.askNext()
		default:
			from.request = nil
			from.leases.HandleReply(&reply)
		}
	}
	w.send(to, from, receive)
}
