package starter

import (
	"context"
	"time"
)

// memberCheckInterval is the interval at which the gateway checks whether the number of routers has changed, and with it whether
// routers share load.
const memberCheckInterval = 500 * time.Millisecond

// applySharing tells the components that coordinate load whether routers share load now. It must be called after each change of the
// configuration or of the number of routers.
func (d *GatewayDaemon) applySharing() {
	d.sharing.Lock()
	defer d.sharing.Unlock()
	deployment := d.follower.Snapshot().Deployment
	d.apportioner.Configure(deployment.Pools, d.settings.SharesLoad(deployment, d.treasurer.Members()))
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
