package starter

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// readHeaderTimeout ends connections whose headers come too slowly.
	readHeaderTimeout = 5 * time.Second
	maxHeaderBytes    = 64 << 10
	idleTimeout       = 2 * time.Minute
	// shutdownTimeout is how long answers may take to leave the sockets after the drain.
	shutdownTimeout = 5 * time.Second
)

// Listeners are the open sockets of a role, by settings field.
type Listeners struct {
	Caller net.Listener
	Admin  net.Listener
	Link   net.Listener
}

// Listen opens a socket for an address.
func Listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listening on %s: %w", address, err)
	}
	return l, nil
}

// serverGroup is a set of HTTP servers that end together.
type serverGroup struct {
	log  *logrus.Logger
	mu   sync.Mutex
	list []*http.Server
	wg   sync.WaitGroup
}

func (s *serverGroup) serve(l net.Listener, h http.Handler) {
	s.serveWith(l, &http.Server{
		Handler: h, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes, IdleTimeout: idleTimeout,
		ErrorLog: nil,
	})
}

func (s *serverGroup) serveWith(l net.Listener, server *http.Server) {
	s.mu.Lock()
	s.list = append(s.list, server)
	s.mu.Unlock()
	s.wg.Go(func() {
		err := server.Serve(l)
		if err != nil && !errors.Is(err, http.ErrServerClosed) {
			s.log.WithFields(logrus.Fields{"event": "server_ended", "error": err}).Error("server ended")
		}
	})
}

// shutdown lets open answers finish.
func (s *serverGroup) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.list {
		_ = server.Shutdown(ctx)
	}
}

// close breaks everything off.
func (s *serverGroup) close() {
	s.mu.Lock()
	for _, server := range s.list {
		_ = server.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}
