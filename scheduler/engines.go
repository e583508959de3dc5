package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/chooser"
)

// Policy configures the costs. RankShare and ZoneTokenCost are those of chooser.ServerPolicy.
type Policy struct {
	RankShare     float64
	ZoneTokenCost float64
}

// Engines holds what the owner of a group of engines knows, and makes its decisions. It is not safe for concurrent use.
type Engines struct {
	costs chooser.ServerPolicy
	pool  masticway.Pool
	// engines are sorted by server ID.
	engines       []*engine
	byIncarnation map[masticway.ServerIncarnation]*engine
	runs          map[string]*run
	senders       map[masticway.Incarnation]*sender
	ended         endedRuns
	load          groupLoad
	speeds        groupSpeeds
	shares        fairShares
	// slow and fast hold the IDs of the slow and of the fast engines, sorted.
	slow, fast []string
	// streamTime is the moving average of the time in milliseconds from the first to the last event of a run.
	streamTime float64
	choices    int
	ranking    ranking
	// placement and parts are buffers for the run to place.
	placement placement
	parts     []part
}

// NewEngines returns the state of a group that has no engines yet.
func NewEngines(p Policy) *Engines {
	return &Engines{
		costs:         chooser.ServerPolicy{RankShare: p.RankShare, ZoneTokenCost: p.ZoneTokenCost},
		byIncarnation: map[masticway.ServerIncarnation]*engine{}, runs: map[string]*run{}, senders: map[masticway.Incarnation]*sender{},
		ended: newEndedRuns(), speeds: newGroupSpeeds(), streamTime: initialStreamTime,
		shares: fairShares{uses: map[string]workspaceUse{}},
	}
}

// Sync sets the group's engines and their pool. If an engine has restarted, its runs, its cached parts and its speed are
// discarded. Those of an engine that is no longer in the group are, too.
func (e *Engines) Sync(now time.Time, pool masticway.Pool, servers []masticway.Server) {
	e.pool = pool
	e.load.firstEventTokens = float64(max(0, pool.TokensPerEvent-1)) * minChunkTokens
	previous := e.byIncarnation
	e.byIncarnation = make(map[masticway.ServerIncarnation]*engine, len(servers))
	e.engines = e.engines[:0]
	for _, s := range servers {
		id := s.Incarnation()
		if e.byIncarnation[id] != nil {
			continue
		}
		n, ok := previous[id]
		if !ok {
			n = newEngine(id, s.ID, &e.load)
			n.speed.current = e.speeds.median
		}
		n.server = s
		n.slots = s.Slots
		if n.slots == 0 {
			n.slots = pool.Slots
		}
		n.capacity = pool.TokenCapacity
		e.byIncarnation[id] = n
		e.engines = append(e.engines, n)
	}
	slices.SortFunc(e.engines, func(x, y *engine) int {
		return cmp.Or(cmp.Compare(x.server.ID, y.server.ID), cmp.Compare(x.incarnation, y.incarnation))
	})
	maps.DeleteFunc(e.runs, func(_ string, r *run) bool { return e.byIncarnation[r.engine.incarnation] == nil })
	e.load.pendingPrefill = 0
	for _, n := range e.engines {
		e.load.pendingPrefill += n.pendingPrefill
	}
	e.updateSpeeds(now)
}
