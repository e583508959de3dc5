//go:build wireinject

package starter

import (
	"io"

	"github.com/google/wire"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/measurer"
	"github.com/masticway/masticway/router"
	"github.com/masticway/masticway/sidecar"
)

// BuildRouter returns a router daemon for the given settings. It opens the sockets and reads the secrets.
func BuildRouter(s router.Settings, out io.Writer) (*RouterDaemon, error) {
	wire.Build(
		NewRouterDaemon, ReadRouterSecrets, ListenRouter, NewRouterPlatform, routerLog, directDial, measurer.New,
		wire.Struct(new(masticway.SystemClock)), wire.Bind(new(masticway.Clock), new(masticway.SystemClock)),
	)
	return nil, nil
}

// BuildSidecar returns a sidecar daemon for the given settings. It opens the socket and reads the fleet key.
func BuildSidecar(s sidecar.Settings, out io.Writer) (*SidecarDaemon, error) {
	wire.Build(
		NewSidecarDaemon, ReadFleetKey, ListenSidecar, NewSidecarTable, NewSidecarUpstream, sidecarLog, directDial, measurer.New,
		wire.Struct(new(masticway.SystemClock)), wire.Bind(new(masticway.Clock), new(masticway.SystemClock)),
	)
	return nil, nil
}
