package tracker

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/charter"
)

// Events of the state chart of an upstream (charter.Upstream).
const (
	eventLinkUp   charter.Event = "link_up"
	eventLinkDown charter.Event = "link_down"
	eventSilent   charter.Event = "silent"
	eventMessage  charter.Event = "heard"
	eventLeaving  charter.Event = "leaving"
	eventEnded    charter.Event = "ended"
)

// Those states of the state chart of an upstream to which the code refers.
const (
	stateLive    charter.State = "live"
	stateLeaving charter.State = "leaving"
	stateGone    charter.State = "gone"
)

const (
	// flapPenalty is added to an upstream's penalty each time its link is lost. The penalty halves in each flapHalfLife. While it
	// is above flapLimit, the upstream gets no new work.
	flapPenalty  = 1.0
	flapLimit    = 2.5
	flapHalfLife = 5 * time.Second
)

// Settings configures a tracker.
type Settings struct {
	// SilenceTimeout is how long no message may arrive from an upstream's sidecar before the upstream gets no new work.
	SilenceTimeout time.Duration
}

// Upstream is a copy of the tracker's view of one upstream.
type Upstream struct {
	Instance      masticway.Instance
	Incarnation   masticway.Incarnation
	State         charter.State
	LastMessageAt time.Time
}

type entry struct {
	view      Upstream
	penalty   float64
	penaltyAt time.Time
}

// Tracker holds the state of all known upstreams; it is not safe for concurrent use.
type Tracker struct {
	settings Settings
	chart    charter.Chart
	entries  map[string]*entry
}

// New returns a tracker without upstreams.
func New(s Settings) *Tracker {
	return &Tracker{settings: s, chart: charter.MustLoad(charter.Upstream), entries: map[string]*entry{}}
}

// UpdateInstances applies the sidecars in a reading of the instance list and returns those that were added. Known instances that
// are missing in the list are kept.
func (t *Tracker) UpdateInstances(list []masticway.Instance) []masticway.Instance {
	var added []masticway.Instance
	for _, i := range list {
		if i.Role != masticway.RoleSidecar {
			continue
		}
		e, ok := t.entries[i.ID]
		if !ok && i.State == masticway.InstanceEnded {
			continue
		}
		if !ok {
			e = &entry{view: Upstream{Instance: i, State: t.chart.Initial()}}
			t.entries[i.ID] = e
			added = append(added, i)
		}
		e.view.Instance = i
		switch i.State {
		case masticway.InstanceLeaving:
			t.step(e, eventLeaving)
		case masticway.InstanceEnded:
			t.step(e, eventEnded)
		}
	}
	return added
}

// step applies an event to the state of an upstream. An event without a transition from the current state changes nothing.
func (t *Tracker) step(e *entry, event charter.Event) {
	next, err := t.chart.Next(e.view.State, event)
	if err == nil {
		e.view.State = next
	}
}

// LinkUp records that a link to an incarnation of a sidecar is established. If the incarnation is a new one, the upstream first
// returns to the initial state, unless its instance has ended.
func (t *Tracker) LinkUp(now time.Time, instance string, inc masticway.Incarnation) {
	e, ok := t.entries[instance]
	if !ok {
		return
	}
	if e.view.Incarnation != inc && e.view.State != stateGone {
		e.view.State = t.chart.Initial()
	}
	e.view.Incarnation = inc
	e.view.LastMessageAt = now
	t.step(e, eventLinkUp)
}

// LinkDown records that the link to an instance is lost, and adds flapPenalty to the upstream's penalty.
func (t *Tracker) LinkDown(now time.Time, instance string) {
	e, ok := t.entries[instance]
	if !ok {
		return
	}
	e.penalty = e.decayedPenalty(now) + flapPenalty
	e.penaltyAt = now
	t.step(e, eventLinkDown)
}

func (e *entry) decayedPenalty(now time.Time) float64 {
	return e.penalty * math.Exp2(-now.Sub(e.penaltyAt).Seconds()/flapHalfLife.Seconds())
}

// ObserveMessage records that a message from the sidecar on an instance has arrived. A silent upstream is then no longer silent.
func (t *Tracker) ObserveMessage(now time.Time, instance string) {
	e, ok := t.entries[instance]
	if !ok {
		return
	}
	e.view.LastMessageAt = now
	t.step(e, eventMessage)
}

// MarkLeaving records that the sidecar on an instance announced that it is shutting down.
func (t *Tracker) MarkLeaving(instance string) {
	if e, ok := t.entries[instance]; ok {
		t.step(e, eventLeaving)
	}
}

// Tick marks the upstreams that have been silent for SilenceTimeout. It forgets ended ones whose last message is over a minute
// old.
func (t *Tracker) Tick(now time.Time) {
	for id, e := range t.entries {
		if now.Sub(e.view.LastMessageAt) > t.settings.SilenceTimeout {
			t.step(e, eventSilent)
		}
		if e.view.State == stateGone && now.Sub(e.view.LastMessageAt) > time.Minute {
			delete(t.entries, id)
		}
	}
}

// Usable returns the upstreams that may get new work, sorted by instance ID.
func (t *Tracker) Usable(now time.Time) []Upstream {
	var usable []Upstream
	for _, e := range t.entries {
		if e.view.State == stateLive && e.decayedPenalty(now) <= flapLimit {
			usable = append(usable, e.view)
		}
	}
	slices.SortFunc(usable, compareByInstance)
	return usable
}

// All returns every known upstream, sorted by instance ID.
func (t *Tracker) All() []Upstream {
	all := make([]Upstream, 0, len(t.entries))
	for _, e := range t.entries {
		all = append(all, e.view)
	}
	slices.SortFunc(all, compareByInstance)
	return all
}

func compareByInstance(a, b Upstream) int { return strings.Compare(a.Instance.ID, b.Instance.ID) }

// HasEnded reports whether the instance list has reported an instance as ended. It returns false once Tick has forgotten the
// instance.
func (t *Tracker) HasEnded(instance string) bool {
	e, ok := t.entries[instance]
	return ok && e.view.State == stateGone
}

// String returns the upstream's instance and state for logs.
func (u Upstream) String() string {
	return fmt.Sprintf("%s(%s)", u.Instance.ID, u.State)
}

// IsLeaving reports whether the upstream is leaving or has ended.
func (u Upstream) IsLeaving() bool { return u.State == stateLeaving || u.State == stateGone }
