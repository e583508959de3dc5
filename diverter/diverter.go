package diverter

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/measurer"
)

const (
	// checkInterval is the interval at which the conditions are checked and an ended diversion is noticed.
	checkInterval = 100 * time.Millisecond
	// reportInterval is the interval of a router's reports to its coordinator, and of the checks whether diversions apply.
	reportInterval = 300 * time.Millisecond
	// backupAfter is how long a router waits for the coordinator's reply until it also reports to the backup.
	backupAfter = 300 * time.Millisecond
	// messageTimeout is the timeout of each message. It allows for packets that wait half a second for a saturated link in each
	// direction, and for a connection to be opened.
	messageTimeout = 2 * time.Second
	// maxUnansweredReports is the maximum number of reports to one coordinator, and maxUnansweredPolls the maximum number of polls
	// of the other zones, that wait for a reply at the same time.
	maxUnansweredReports = 4
	maxUnansweredPolls   = 4
)

// metricDiverted is a gauge that is 1 while the router's zone is diverted.
const metricDiverted = "zone_diverted"

// Settings configures a diverter.
type Settings struct {
	Instance string
	// Address is the address at which other routers reach this one.
	Address string
	// Zone is the availability zone of this router, and Zones are all availability zones of the deployment. A zone without known
	// routers counts as unreachable.
	Zone  string
	Zones []string
	// Processors is the number of processors that this router may use; zero if unknown.
	Processors float64
}

// Rotation is the load control of a single router (see package rotator).
type Rotation interface {
	masticway.Rotation
	// Pressure reports whether the router is overloaded, its number of unanswered requests, and the total time for which its
	// listener has been paused since its start.
	Pressure() (overloaded bool, unanswered int, paused time.Duration)
}

// Dependencies holds the dependencies of a diverter.
type Dependencies struct {
	Rotation Rotation
	Messages Messages
	// Routers returns the other known routers of all zones.
	Routers func() []Router
	// Applies reports whether the deployment diverts zones at all. While it does not, no message is sent.
	Applies func() bool
	// IsServing reports whether this router has its configuration and does not drain.
	IsServing func() bool
	Clock     masticway.Clock
	Log       *logrus.Entry
	Metrics   *measurer.Set
}

// Diverter makes a router leave the rotation together with all routers of its zone. It extends the load control of a single router,
// and counts the requests that this admits and refuses.
type Diverter struct {
	Rotation
	settings Settings
	deps     Dependencies
	counter  counter
	diverted atomic.Bool
	wg       sync.WaitGroup

	mu    sync.Mutex
	state state
}

var _ masticway.Rotation = (*Diverter)(nil)

// state is what a router knows as a member of its zone, and as a coordinator of the zone if others report to it. It is
// discarded when diversions begin or cease to apply.
type state struct {
	active     bool
	membership membership
	diversion  diversion

	// The following fields are those of a member. heard are the consents of the zone according to the coordinator that the router
	// follows, with Left as of heardAt. lateCoordinator is the address of the preferred coordinator while it does not reply within
	// backupAfter. unansweredReports is by address.
	window            window
	rates             rates
	reportAt          time.Time
	allegiance        allegiance
	heard             []Consent
	heardAt           time.Time
	lateCoordinator   string
	unansweredReports map[string]int

	// The following fields are those of a coordinator.
	reports  reports
	consents consents
	plan     plan
	proposal *proposal
	// proposals is the number of the last proposal. It is derived from the time, so that it increases over restarts, too.
	proposals       int64
	pollAt          time.Time
	unansweredPolls int
	// logged are the conditions that were logged last.
	logged   conditions
	loggedAt time.Time
}

// New returns a diverter of a router whose zone is not diverted.
func New(s Settings, p Dependencies) *Diverter {
	return &Diverter{Rotation: p.Rotation, settings: s, deps: p}
}

// IsOut reports whether the router is out of rotation, alone or together with its zone.
func (d *Diverter) IsOut() bool { return d.IsDiverted() || d.Rotation.IsOut() }

// IsDiverted reports whether the router's zone is diverted.
func (d *Diverter) IsDiverted() bool { return d.diverted.Load() }

// Admit admits and counts a request as the load control of the router does. It counts refusals, too.
func (d *Diverter) Admit(rank int, bytes int64) bool {
	d.counter.requests.Add(1)
	if d.Rotation.Admit(rank, bytes) {
		return true
	}
	d.counter.refused.Add(1)
	return false
}

// Run reports to the coordinator of the zone, coordinates the zone if other routers report to this one, and applies diversions, until
// the context ends.
func (d *Diverter) Run(ctx context.Context) {
	for ctx.Err() == nil {
		interval := reportInterval
		if d.check(ctx) {
			interval = checkInterval
		}
		select {
		case <-ctx.Done():
		case <-d.deps.Clock.After(interval):
		}
	}
	d.wg.Wait()
}

// check does what is due. It reports whether diversions apply.
func (d *Diverter) check(ctx context.Context) bool {
	now := d.deps.Clock.Now()
	due := d.isReportDue(now)
	if due {
		d.activate(d.settings.Zone != "" && d.deps.Applies())
	}
	active := d.isActive()
	if active {
		d.measure(now)
		if due {
			d.updateMembership()
			d.sendReports(ctx)
		}
		d.coordinate(ctx)
	}
	d.apply()
	return active
}

// activate sets whether diversions apply. It discards the state if that changes.
func (d *Diverter) activate(active bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if active != d.state.active {
		d.state = state{active: active, reportAt: d.state.reportAt, reports: reports{}, unansweredReports: map[string]int{}}
	}
}

func (d *Diverter) isActive() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.active
}

// updateMembership updates what is known of the deployment's routers.
func (d *Diverter) updateMembership() {
	s := d.settings
	all := append(d.deps.Routers(), Router{Instance: s.Instance, Address: s.Address, Zone: s.Zone, Processors: s.Processors})
	d.mu.Lock()
	defer d.mu.Unlock()
	if !slices.Equal(all, d.state.membership.all) {
		d.state.membership = newMembership(s.Zone, s.Zones, all)
	}
}

// measure updates the rates that the next report contains.
func (d *Diverter) measure(now time.Time) {
	_, _, paused := d.Pressure()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state.rates = d.state.window.add(sample{at: now, requests: d.counter.requests.Load(), refused: d.counter.refused.Load(), paused: paused})
}

// apply puts the router into or out of rotation according to the newest decision, and logs a change.
func (d *Diverter) apply() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.deps.Clock.Now()
	diverted := d.state.diversion.isActive(now)
	if d.diverted.Swap(diverted) == diverted {
		return
	}
	gauge := int64(0)
	if diverted {
		gauge = 1
	}
	d.deps.Metrics.Gauge(metricDiverted, gauge)
	v := d.state.diversion
	line := d.deps.Log.WithFields(logrus.Fields{
		"event": "zone_diverted", "zone": d.settings.Zone, "diverted": diverted, "number": v.number, "coordinator": v.coordinator,
		"for_ms": v.span.Milliseconds(), "left_ms": max(0, v.until.Sub(now)).Milliseconds(), "ended_early": v.endedEarly,
	})
	if diverted {
		line.Warn("the diversion of this zone has begun")
	} else {
		line.Warn("the diversion of this zone has ended")
	}
}
