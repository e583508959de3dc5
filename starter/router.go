package starter

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/authenticator"
	"github.com/masticway/masticway/charter"
	"github.com/masticway/masticway/connector"
	"github.com/masticway/masticway/linker"
	"github.com/masticway/masticway/measurer"
	"github.com/masticway/masticway/router"
)

// RouterDaemon runs the incarnations of a router, one after the other.
type RouterDaemon struct {
	settings  router.Settings
	newRouter func() *router.Router
	listeners Listeners
	log       *logrus.Logger
	servers   serverGroup
	current   atomic.Pointer[incarnation]
	stop      context.CancelFunc
	wg        sync.WaitGroup
}

// incarnation is one incarnation of a router with its handlers. The handlers must be created only once per incarnation.
type incarnation struct {
	router        *router.Router
	callerHandler http.Handler
	adminHandler  http.Handler
	linkHandler   http.Handler
}

// Dial is the function with which a router or sidecar opens connections.
type Dial linker.DialFunc

// NewRouterDaemon returns a router daemon; Start starts it.
func NewRouterDaemon(s router.Settings, secrets router.Secrets, clock masticway.Clock, log *logrus.Logger, platform router.Platform, dial Dial, metrics *measurer.Set, listeners Listeners) *RouterDaemon {
	d := &RouterDaemon{settings: s, listeners: listeners, log: log}
	d.servers.log = log
	d.newRouter = func() *router.Router {
		return router.New(s, secrets, clock, log, platform, linker.DialFunc(dial), metrics)
	}
	return d
}

func newIncarnation(r *router.Router) *incarnation {
	return &incarnation{router: r, callerHandler: r.CallerHandler(), adminHandler: r.OperatorHandler(), linkHandler: r.LinkHandler()}
}

// Start starts the daemon and returns. The daemon serves at once, but refuses requests with the code not_serving until the first
// incarnation is ready.
func (d *RouterDaemon) Start() error {
	if err := charter.Check(); err != nil {
		return fmt.Errorf("checking charts: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	d.stop = stop
	d.current.Store(newIncarnation(d.newRouter()))
	d.serve(d.listeners)
	d.wg.Go(func() { d.runIncarnations(ctx) })
	return nil
}

// serve starts servers on the listeners. They pass each request on to a handler of the incarnation that is current when the
// request arrives.
func (d *RouterDaemon) serve(l Listeners) {
	d.servers.serve(l.Caller, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.current.Load().callerHandler.ServeHTTP(w, r)
	}))
	d.servers.serve(l.Admin, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.current.Load().adminHandler.ServeHTTP(w, r)
	}))
	d.servers.serve(l.Link, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.current.Load().linkHandler.ServeHTTP(w, r)
	}))
}

// runIncarnations runs incarnations, one after the other, until the context ends. It starts the next one when the current one has
// been fenced, also if that happens during its start. It returns early if an incarnation can't start for another reason.
func (d *RouterDaemon) runIncarnations(ctx context.Context) {
	for ctx.Err() == nil {
		i := d.current.Load()
		if err := i.router.Start(ctx); err != nil {
			d.log.WithFields(logrus.Fields{"event": "start_failed", "error": err}).Warn("start failed")
			if _, sealed := errors.AsType[*masticway.SealedError](err); !sealed {
				return
			}
		} else {
			select {
			case <-ctx.Done():
				return
			case <-i.router.Sealed():
			}
		}
		d.current.Store(newIncarnation(d.newRouter()))
		// The old incarnation may finish the answers that it still forwards, but can start no new work.
		d.wg.Go(func() {
			drain, cancel := context.WithTimeout(ctx, d.settings.DrainTimeout.Std())
			defer cancel()
			i.router.Drain(drain)
			i.router.Close()
		})
	}
}

// IsReady reports whether the current incarnation serves requests.
func (d *RouterDaemon) IsReady() bool { return d.current.Load().router.Ready() }

// Incarnation returns the current incarnation, which may not be ready.
func (d *RouterDaemon) Incarnation() masticway.Incarnation { return d.current.Load().router.Self() }

// Drain shuts the daemon down gracefully. It returns false if a request was cut off.
func (d *RouterDaemon) Drain() bool {
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.DrainTimeout.Std())
	defer cancel()
	clean := d.current.Load().router.Drain(ctx)
	d.servers.shutdown()
	d.Kill()
	return clean
}

// Kill stops the daemon at once, as a crash would.
func (d *RouterDaemon) Kill() {
	d.stop()
	d.servers.close()
	d.current.Load().router.Close()
	d.wg.Wait()
}

// ReadRouterSecrets reads a router's secrets from the files named in its settings.
func ReadRouterSecrets(s router.Settings) (router.Secrets, error) {
	key, err := authenticator.ReadSecret(s.FleetKeyFile)
	if err != nil {
		return router.Secrets{}, err
	}
	token, err := authenticator.ReadSecret(s.AdminTokenFile)
	if err != nil {
		return router.Secrets{}, err
	}
	return router.Secrets{FleetKey: []byte(key), AdminToken: token}, nil
}

// ListenRouter opens a router's sockets. If it fails, the sockets that it has opened stay open.
func ListenRouter(s router.Settings) (Listeners, error) {
	var l Listeners
	var err error
	if l.Caller, err = Listen(s.CallerAddress); err != nil {
		return l, err
	}
	if l.Admin, err = Listen(s.AdminAddress); err != nil {
		return l, err
	}
	l.Link, err = Listen(s.LinkAddress)
	return l, err
}

// NewRouterPlatform returns a client of the platform for a router.
func NewRouterPlatform(s router.Settings, dial Dial) router.Platform {
	p := connector.NewPlatform(s.PlatformURL, connector.NewHTTPClient(connector.DialFunc(dial)), s.PlatformTimeout.Std())
	return router.Platform{Table: p, Objects: p.Objects(), Instances: p}
}
