package starter

import (
	"context"
	"time"

	"github.com/masticway/masticway"
)

// memberCheckInterval is the interval at which the gateway checks whether the number of routers has changed, and with it whether
// routers share load.
const memberCheckInterval = 500 * time.Millisecond

// memberSlack is by how many routers the number may fall below the minimum before routers that share load cease to. A restart of one
// or two routers must not discard what all routers have learned.
const memberSlack = 2

// sharingRule decides whether routers share load, with hysteresis for the number of routers.
type sharingRule struct{ shares bool }

// update records the number of routers and returns whether they share load now. applies reports whether a number of routers begins to
// share load.
func (r *sharingRule) update(routers int, applies func(routers int) bool) bool {
	r.shares = applies(routers) || r.shares && routers > 1 && applies(routers+memberSlack)
	return r.shares
}

// appliesSharing reports whether the given number of routers share load in a deployment. All components must use it, so that they
// begin and cease together.
func (d *GatewayDaemon) appliesSharing(deployment masticway.Deployment, routers int) bool {
	d.ruleMu.Lock()
	defer d.ruleMu.Unlock()
	return d.sharingRule.update(routers, func(n int) bool { return d.settings.SharesLoad(deployment, n) })
}

// applySharing tells the components that coordinate load whether routers share load now. It must be called after each change of the
// configuration or of the number of routers.
func (d *GatewayDaemon) applySharing() {
	d.sharing.Lock()
	defer d.sharing.Unlock()
	deployment := d.follower.Snapshot().Deployment
	d.apportioner.Configure(deployment.Pools, d.appliesSharing(deployment, d.treasurer.Members()))
}

// watchMembers calls applySharing whenever the number of routers has changed, until the context ends. The servers and the
// configuration may stay unchanged for long, so that no snapshot follows.
func (d *GatewayDaemon) watchMembers(ctx context.Context) {
	for known := 0; ctx.Err() == nil; {
		if n := d.treasurer.Members(); n != known {
			known = n
			d.applySharing()
		}
		select {
		case <-ctx.Done():
		case <-d.clock.After(memberCheckInterval):
		}
	}
}
