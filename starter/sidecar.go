package starter

import (
	"context"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/authenticator"
	"github.com/masticway/masticway/charter"
	"github.com/masticway/masticway/connector"
	"github.com/masticway/masticway/linker"
	"github.com/masticway/masticway/measurer"
	"github.com/masticway/masticway/sidecar"
)

// SidecarDaemon runs a sidecar.
type SidecarDaemon struct {
	settings  sidecar.Settings
	sidecar   *sidecar.Sidecar
	listeners Listeners
	servers   serverGroup
}

// FleetKey is the secret key with which routers and sidecars authenticate each other.
type FleetKey []byte

// NewSidecarDaemon returns a sidecar daemon; Start starts it.
func NewSidecarDaemon(s sidecar.Settings, key FleetKey, clock masticway.Clock, log *logrus.Logger, table masticway.Table, upstream masticway.Upstream, metrics *measurer.Set, listeners Listeners) *SidecarDaemon {
	self := masticway.NewIncarnation(s.Instance, uuid.NewString()[:8])
	identity := linker.Identity{
		Self: masticway.Peer{Instance: s.Instance, Incarnation: self, Role: masticway.RoleSidecar},
		Key:  key, Meter: metrics,
	}
	d := &SidecarDaemon{
		settings: s, listeners: listeners,
		sidecar: sidecar.New(s, self, identity, clock, log.WithField("incarnation", self), table, upstream, metrics),
	}
	d.servers.log = log
	return d
}

// Start starts the sidecar, which then serves links from routers, and returns. It fails if the state charts are invalid.
func (d *SidecarDaemon) Start() error {
	if err := charter.Check(); err != nil {
		return err
	}
	d.sidecar.Start()
	d.servers.serve(d.listeners.Link, d.sidecar.Handler())
	return nil
}

// IsDraining reports whether the sidecar refuses new work because it is draining.
func (d *SidecarDaemon) IsDraining() bool { return d.sidecar.IsDraining() }

// Drain shuts the daemon down gracefully. It returns false if a request was cut off.
func (d *SidecarDaemon) Drain() bool {
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.DrainTimeout.Std())
	defer cancel()
	clean := d.sidecar.Drain(ctx)
	d.Kill()
	return clean
}

// Kill stops the daemon at once, as a crash would.
func (d *SidecarDaemon) Kill() {
	d.sidecar.Close()
	d.servers.close()
}

// ReadFleetKey reads the fleet key from the file named in the settings.
func ReadFleetKey(s sidecar.Settings) (FleetKey, error) {
	key, err := authenticator.ReadSecret(s.FleetKeyFile)
	return FleetKey(key), err
}

// ListenSidecar opens a sidecar's socket.
func ListenSidecar(s sidecar.Settings) (Listeners, error) {
	l, err := Listen(s.LinkAddress)
	return Listeners{Link: l}, err
}

// NewSidecarTable returns a client of the platform's table for a sidecar.
func NewSidecarTable(s sidecar.Settings, dial Dial) masticway.Table {
	return connector.NewPlatform(s.PlatformURL, connector.NewHTTPClient(connector.DialFunc(dial)), s.PlatformTimeout.Std())
}

// NewSidecarUpstream returns a client of the sidecar's upstream.
func NewSidecarUpstream(s sidecar.Settings, dial Dial) masticway.Upstream {
	return connector.NewUpstream(s.UpstreamURL, connector.DialFunc(dial), s.UpstreamIdleTimeout.Std())
}
