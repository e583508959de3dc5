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
	// readHeaderTimeout bounds the time for reading a request's header, so that clients that send it slowly do not hold
	// connections.
	readHeaderTimeout = 5 * time.Second
	// maxHeaderBytes limits the size of a request's header. idleTimeout limits how long a connection may be idle between
	// requests.
	maxHeaderBytes = 64 << 10
	idleTimeout    = 2 * time.Minute
	// shutdownTimeout bounds the time for writing the rest of the responses after a drain. It applies to all servers of a
	// serverGroup together.
	shutdownTimeout = 5 * time.Second
)

// Listeners holds the open sockets of a router or sidecar. Each field is named after the setting of its address; a sidecar has
// only Link.
type Listeners struct {
	Caller net.Listener
	Admin  net.Listener
	Link   net.Listener
}

// Listen opens a TCP socket at an address.
func Listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listening on %s: %w", address, err)
	}
	return l, nil
}

// serverGroup is a set of HTTP servers that are stopped together.
type serverGroup struct {
	log  *logrus.Logger
	mu   sync.Mutex
	list []*http.Server
	wg   sync.WaitGroup
}

// serve starts to serve HTTP on a listener and returns at once. The server has the limits maxHeaderBytes, readHeaderTimeout and
// idleTimeout. It adds the connections to the contexts of the requests (see connContext).
func (s *serverGroup) serve(l net.Listener, h http.Handler) {
	s.serveWith(answerListener{l}, &http.Server{
		Handler: h, ConnContext: connContext, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes, IdleTimeout: idleTimeout,
		ErrorLog: nil,
	})
}

// serveWith starts to serve HTTP on a listener with a given server, and returns at once. The server must have connContext as a hook.
func (s *serverGroup) serveWith(l net.Listener, server *http.Server) {
	server.Handler = resettingBrokenAnswers(server.Handler)
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

// shutdown stops the servers gracefully, one after the other. It waits for open requests, for up to shutdownTimeout for all
// servers together.
func (s *serverGroup) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.list {
		_ = server.Shutdown(ctx)
	}
}

// close stops the servers at once, closes all their connections but hijacked ones, and waits until all servers have stopped.
func (s *serverGroup) close() {
	s.mu.Lock()
	for _, server := range s.list {
		_ = server.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}
