package logger

import (
	"fmt"
	"io"
	"time"

	"github.com/sirupsen/logrus"
)

// New returns a logger that writes one line of key=value pairs to out for each event. It omits events that are less severe
// than level, which is the name of a logrus level.
func New(level string, out io.Writer) (*logrus.Logger, error) {
	l, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("reading log level: %w", err)
	}
	log := logrus.New()
	log.SetLevel(l)
	log.SetOutput(out)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: time.RFC3339Nano})
	return log, nil
}

// Discard returns a logger that writes nothing.
func Discard() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.SetLevel(logrus.PanicLevel)
	return log
}
