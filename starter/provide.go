package starter

import (
	"io"
	"net"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway/logger"
	"github.com/masticway/masticway/router"
	"github.com/masticway/masticway/sidecar"
)

//go:generate go tool wire

func routerLog(s router.Settings, out io.Writer) (*logrus.Logger, error) {
	return logger.New(s.LogLevel, out)
}

func sidecarLog(s sidecar.Settings, out io.Writer) (*logrus.Logger, error) {
	return logger.New(s.LogLevel, out)
}

func directDial() Dial { return (&net.Dialer{}).DialContext }
