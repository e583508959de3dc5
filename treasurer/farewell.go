package treasurer

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
)

const (
	// farewellDelay is how long a router that shuts down tries to return its tokens itself before it asks others to do so.
	farewellDelay = time.Second
	// farewellRetryInterval is the pause between two attempts to reach enough routers, and farewellTimeout bounds one message.
	farewellRetryInterval = 300 * time.Millisecond
	farewellTimeout       = 200 * time.Millisecond
	// farewellCopies is how many routers should have a farewell, because each of them may end as well. maxFarewells bounds how many
	// farewells of others a router accepts.
	farewellCopies = 3
	maxFarewells   = 256
)

// Farewell says what an incarnation that shuts down has taken of its grants. It takes no more after that. Another router can
// therefore close its grants if it ends before the store answers.
type Farewell struct {
	Sender masticway.Incarnation `cbor:"1,keyasint"`
	// Era is the era of the store in which the sender has its grants.
	Era int64 `cbor:"2,keyasint"`
	// Taken has all workspaces of which the sender has a grant, or may get one by a write that is late.
	Taken map[string]int64 `cbor:"3,keyasint"`
}

// Farewell returns the farewell of this incarnation. From then on it holds and lends nothing more. It returns false before Close was
// called.
func (p *Planner) Farewell() (Farewell, bool) {
	if !p.closing || !p.started {
		return Farewell{}, false
	}
	p.hasLeft = true
	f := Farewell{Sender: p.settings.Incarnation, Era: p.era, Taken: map[string]int64{}}
	for _, a := range p.sortedAccounts {
		if a.granted > 0 || a.taken > 0 || !a.isGrantKnown() || p.isNamed(a) {
			f.Taken[a.workspace] = a.taken
		}
	}
	return f, true
}

// isNamed reports whether a checkpoint that the store may have names the workspace.
func (p *Planner) isNamed(a *account) bool {
	for _, f := range p.limitsInForce {
		if _, ok := f.limits[a.workspace]; ok {
			return true
		}
	}
	return false
}

// sayFarewell sends the farewell of this incarnation to other routers, and passes on the farewells that this router has accepted and not
// carried out. It returns true once enough routers have accepted each of them, and false if the context is done first.
func (t *Treasurer) sayFarewell(ctx context.Context) bool {
	t.mu.Lock()
	own, ok := t.planner.Farewell()
	farewells := []Farewell{own}
	for _, f := range t.farewells {
		farewells = append(farewells, f)
	}
	t.mu.Unlock()
	if !ok {
		return false
	}
	accepted := map[masticway.Incarnation]map[string]bool{}
	for ctx.Err() == nil {
		enough := true
		for _, f := range farewells {
			if accepted[f.Sender] == nil {
				accepted[f.Sender] = map[string]bool{}
			}
			t.sendFarewell(ctx, f, accepted[f.Sender])
			enough = enough && len(accepted[f.Sender]) >= farewellCopies
		}
		if enough {
			return true
		}
		t.sleep(ctx, farewellRetryInterval)
	}
	return false
}

// sendFarewell sends a farewell to the routers that have not accepted it, until enough have. It adds their addresses to accepted.
func (t *Treasurer) sendFarewell(ctx context.Context, f Farewell, accepted map[string]bool) {
	for _, address := range t.PeerAddresses() {
		if len(accepted) >= farewellCopies || ctx.Err() != nil {
			return
		}
		if accepted[address] {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, farewellTimeout)
		ok, err := t.peerClient.SendFarewell(callCtx, address, f)
		cancel()
		if err != nil || !ok {
			continue
		}
		accepted[address] = true
		t.log.WithFields(logrus.Fields{"event": "farewell_accepted", "incarnation": f.Sender, "router": address, "workspaces": len(f.Taken)}).Info("another router closes the grants")
	}
}

// AcceptFarewell makes this router close the grants of another router's incarnation, and returns true. It returns false if this router
// shuts down itself, is sealed or has accepted too many.
func (t *Treasurer) AcceptFarewell(f Farewell) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sealed || t.planner.closing || t.runCtx == nil {
		return false
	}
	if _, known := t.farewells[f.Sender]; known {
		return true
	}
	if len(t.farewells) >= maxFarewells {
		return false
	}
	t.farewells[f.Sender] = f
	ctx := t.runCtx
	t.tasks.Go(func() { t.carryOut(ctx, f) })
	return true
}

// carryOut closes the grants that a farewell names.
func (t *Treasurer) carryOut(ctx context.Context, f Farewell) {
	if !t.awaitSettled(ctx) {
		return
	}
	// Another router may have closed the grants, or the sender itself, while the store was away.
	t.closeGrants(ctx, EndedIncarnation{Incarnation: f.Sender, MaxSpent: f.Taken, Era: f.Era}, f.Taken)
	if ctx.Err() != nil {
		return
	}
	t.mu.Lock()
	delete(t.farewells, f.Sender)
	t.mu.Unlock()
}
