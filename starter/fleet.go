package starter

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/authenticator"
	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/measurer"
	"github.com/masticway/masticway/router"
	"github.com/masticway/masticway/sidecar"
	"github.com/masticway/masticway/validator"
)

const (
	// PlatformProcess is the name of the platform's process in network faults.
	PlatformProcess = "platform"
	loopbackAddress = "127.0.0.1:0"
	// readyPollInterval is the pause between two checks by AwaitReady.
	readyPollInterval = 10 * time.Millisecond
	// placeholder is the value of address settings that are required but not used. They are not used because a fleet opens the
	// sockets itself.
	placeholder = "127.0.0.1:1"
)

// FleetSpec describes a fleet on loopback.
type FleetSpec struct {
	Regions  []RegionSpec
	Engines  []EngineGroup
	Services []ServiceGroup
	// Delay returns the one-way latency between two zones. A zone is given as "region/zone", and the platform's zone as the empty
	// string. If Delay is nil, there is no latency.
	Delay func(from, to string) time.Duration
	// InstanceLag is how long it takes until a change of an instance appears in the platform's instance list.
	InstanceLag time.Duration
	// Router and Sidecar are JSON objects with settings of all routers and all sidecars. Their fields replace those that the
	// fleet sets. Settings that neither these objects nor the fleet set have their defaults.
	Router  json.RawMessage
	Sidecar json.RawMessage
	Log     *logrus.Logger
}

// RegionSpec describes one region of a fleet. Its engines, services and routers are spread over its zones.
type RegionSpec struct {
	Name    string
	Zones   []string
	Routers int
}

// EngineGroup describes the engines of one model in each region. Count is their number per region.
type EngineGroup struct {
	Model    string
	Count    int
	Settings emulator.EngineSettings
	// HideCache makes the engines leave cached prefixes out of their load reports.
	HideCache bool
}

// ServiceGroup describes the instances of one plain service in each region. Count is their number per region.
type ServiceGroup struct {
	Name  string
	Count int
}

// Fleet is a running fleet with an emulated platform and emulated upstreams. All of it runs in one operating system process, but
// routers, sidecars, upstreams and the platform communicate over real sockets.
type Fleet struct {
	spec        FleetSpec
	Platform    *emulator.Platform
	Network     *emulator.Network
	servers     serverGroup
	platformURL string
	fleetKey    string
	adminToken  string

	mu         sync.Mutex
	zones      map[string]string
	routers    map[string]*FleetRouter
	sidecars   map[string]*FleetSidecar
	lastNumber int
}

// FleetRouter is a router of a fleet.
type FleetRouter struct {
	Name   string
	Region string
	Zone   string
	Daemon *RouterDaemon
	// CallerURL and AdminURL are the base URLs for callers and for operators.
	CallerURL string
	AdminURL  string
	Metrics   *measurer.Set
}

// FleetSidecar is a sidecar of a fleet with its upstream, which is either an engine or a service.
type FleetSidecar struct {
	Name        string
	Region      string
	Daemon      *SidecarDaemon
	Engine      *emulator.Engine
	Service     *emulator.Service
	Metrics     *measurer.Set
	instance    masticway.Instance
	upstreamURL string
}

// StartFleet starts a fleet. The caller must call Stop, even after an error.
func StartFleet(spec FleetSpec) (*Fleet, error) {
	if spec.Delay == nil {
		spec.Delay = func(string, string) time.Duration { return 0 }
	}
	f := &Fleet{
		spec: spec, Platform: emulator.NewPlatform(spec.InstanceLag), fleetKey: authenticator.NewKey(), adminToken: authenticator.NewKey(),
		zones: map[string]string{}, routers: map[string]*FleetRouter{}, sidecars: map[string]*FleetSidecar{},
	}
	f.servers.log = spec.Log
	f.Network = emulator.NewNetwork(spec.Delay)
	address, err := f.serve(PlatformProcess, "", f.Platform.Handler())
	if err != nil {
		return f, err
	}
	f.platformURL = "http://" + address
	for _, region := range spec.Regions {
		if err := f.startRegion(region); err != nil {
			return f, err
		}
	}
	return f, nil
}

func (f *Fleet) startRegion(region RegionSpec) error {
	for _, g := range f.spec.Engines {
		for n := range g.Count {
			if _, err := f.AddEngine(region.Name, region.Zones[n%len(region.Zones)], g); err != nil {
				return err
			}
		}
	}
	for _, g := range f.spec.Services {
		for n := range g.Count {
			if _, err := f.AddService(region.Name, region.Zones[n%len(region.Zones)], g); err != nil {
				return err
			}
		}
	}
	for n := range region.Routers {
		if _, err := f.AddRouter(region.Name, region.Zones[n%len(region.Zones)]); err != nil {
			return err
		}
	}
	return nil
}

// serve opens a socket for a process of the fleet (see listen), starts to serve HTTP on it and returns its address.
func (f *Fleet) serve(process, zone string, h http.Handler) (string, error) {
	l, err := f.listen(process, zone)
	if err != nil {
		return "", err
	}
	f.servers.serve(l, h)
	return l.Addr().String(), nil
}

// listen opens a socket for a process of the fleet. It registers the address in the emulated network and records the zone, which
// determines the latency.
func (f *Fleet) listen(process, zone string) (net.Listener, error) {
	l, err := Listen(loopbackAddress)
	if err != nil {
		return nil, err
	}
	f.Network.RegisterAddress(l.Addr().String(), process)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.zones[process] = zone
	return l, nil
}

// Dialer returns the dial function of a process in a zone.
func (f *Fleet) Dialer(process, zone string) Dial {
	return f.Network.Dialer(process, zone, func(to string) string {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.zones[to]
	})
}

// newName returns a process name that has not been used before.
func (f *Fleet) newName(kind, region string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastNumber++
	return fmt.Sprintf("%s-%s-%d", kind, region, f.lastNumber)
}

// AddEngine starts an engine and its sidecar.
func (f *Fleet) AddEngine(region, zone string, g EngineGroup) (*FleetSidecar, error) {
	e := emulator.NewEngine(g.Settings)
	e.SetFaults(emulator.EngineFaults{HideCache: g.HideCache})
	s := &FleetSidecar{Region: region, Engine: e}
	s.instance = masticway.Instance{Region: region, Zone: zone, Models: []string{g.Model}}
	return s, f.addSidecar("engine", s, e.Handler())
}

// AddService starts a plain service and its sidecar.
func (f *Fleet) AddService(region, zone string, g ServiceGroup) (*FleetSidecar, error) {
	v := emulator.NewService()
	s := &FleetSidecar{Region: region, Service: v}
	s.instance = masticway.Instance{Region: region, Zone: zone, Services: []string{g.Name}}
	return s, f.addSidecar("service", s, v.Handler())
}

func (f *Fleet) addSidecar(kind string, s *FleetSidecar, upstream http.Handler) error {
	s.Name = f.newName(kind, s.Region)
	zone := s.Region + "/" + s.instance.Zone
	// The upstream shares its sidecar's process name, so that no network fault separates the two.
	address, err := f.serve(s.Name, zone, upstream)
	if err != nil {
		return err
	}
	s.upstreamURL = "http://" + address
	return f.StartSidecar(s)
}

// StartSidecar starts a sidecar and lists its instance at the platform. A sidecar that has run before is restarted on the same
// instance, with a new address.
func (f *Fleet) StartSidecar(s *FleetSidecar) error {
	zone := s.Region + "/" + s.instance.Zone
	l, err := f.listen(s.Name, zone)
	if err != nil {
		return err
	}
	settings, err := f.sidecarSettings(s)
	if err != nil {
		return err
	}
	s.Metrics = measurer.New()
	dial := f.Dialer(s.Name, zone)
	s.Daemon = NewSidecarDaemon(settings, FleetKey(f.fleetKey), masticway.SystemClock{}, f.spec.Log,
		NewSidecarTable(settings, dial), NewSidecarUpstream(settings, dial), s.Metrics, Listeners{Link: l})
	if err := s.Daemon.Start(); err != nil {
		return err
	}
	s.instance.ID, s.instance.Role, s.instance.State = s.Name, masticway.RoleSidecar, masticway.InstanceLive
	s.instance.Address = l.Addr().String()
	f.Platform.Instances.Set(s.instance)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sidecars[s.Name] = s
	return nil
}

func (f *Fleet) sidecarSettings(s *FleetSidecar) (sidecar.Settings, error) {
	base, err := json.Marshal(struct {
		Instance     string `json:"instance"`
		Region       string `json:"region"`
		Zone         string `json:"zone"`
		PlatformURL  string `json:"platform_url"`
		FleetKeyFile string `json:"fleet_key_file"`
		LinkAddress  string `json:"link_address"`
		UpstreamURL  string `json:"upstream_url"`
	}{s.Name, s.Region, s.instance.Zone, f.platformURL, "unused", placeholder, s.upstreamURL})
	if err != nil {
		return sidecar.Settings{}, err
	}
	document, err := mergeSettings(base, f.spec.Sidecar)
	if err != nil {
		return sidecar.Settings{}, err
	}
	return validator.Decode[sidecar.Settings](validator.KindSidecar, document)
}

// AddRouter starts a router and lists its instance at the platform.
func (f *Fleet) AddRouter(region, zone string) (*FleetRouter, error) {
	name := f.newName("router", region)
	networkZone := region + "/" + zone
	var l Listeners
	var errs [3]error
	l.Caller, errs[0] = f.listen(name, networkZone)
	l.Admin, errs[1] = f.listen(name, networkZone)
	l.Link, errs[2] = f.listen(name, networkZone)
	if err := errors.Join(errs[:]...); err != nil {
		return nil, err
	}
	settings, err := f.routerSettings(name, region, zone, l)
	if err != nil {
		return nil, err
	}
	r := &FleetRouter{
		Name: name, Region: region, Zone: zone, Metrics: measurer.New(),
		CallerURL: "http://" + l.Caller.Addr().String(), AdminURL: "http://" + l.Admin.Addr().String(),
	}
	secrets := router.Secrets{FleetKey: []byte(f.fleetKey), AdminToken: f.adminToken}
	dial := f.Dialer(name, networkZone)
	r.Daemon = NewRouterDaemon(settings, secrets, masticway.SystemClock{}, f.spec.Log, NewRouterPlatform(settings, dial), dial, r.Metrics, l)
	if err := r.Daemon.Start(); err != nil {
		return nil, err
	}
	f.Platform.Instances.Set(masticway.Instance{
		ID: name, Role: masticway.RoleRouter, Address: l.Link.Addr().String(), Region: region, Zone: zone, State: masticway.InstanceLive,
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.routers[name] = r
	return r, nil
}

func (f *Fleet) routerSettings(name, region, zone string, l Listeners) (router.Settings, error) {
	base, err := json.Marshal(struct {
		Instance       string `json:"instance"`
		Region         string `json:"region"`
		Zone           string `json:"zone"`
		PlatformURL    string `json:"platform_url"`
		FleetKeyFile   string `json:"fleet_key_file"`
		AdminTokenFile string `json:"admin_token_file"`
		CallerAddress  string `json:"caller_address"`
		AdminAddress   string `json:"admin_address"`
		LinkAddress    string `json:"link_address"`
	}{name, region, zone, f.platformURL, "unused", "unused", l.Caller.Addr().String(), l.Admin.Addr().String(), l.Link.Addr().String()})
	if err != nil {
		return router.Settings{}, err
	}
	document, err := mergeSettings(base, f.spec.Router)
	if err != nil {
		return router.Settings{}, err
	}
	return validator.Decode[router.Settings](validator.KindRouter, document)
}

// AdminToken returns the bearer token of the operators' API.
func (f *Fleet) AdminToken() string { return f.adminToken }

// PlatformURL returns the base URL of the emulated platform. The platform's faults can be switched on and off there as well.
func (f *Fleet) PlatformURL() string { return f.platformURL }

// NotReadyError reports that a router of a fleet did not become ready in time.
type NotReadyError struct{ Router string }

// Error returns a message with the router's name.
func (e *NotReadyError) Error() string { return "router " + e.Router + " is not ready" }

// AwaitReady waits until each router is ready, is linked to the other routers of its region, and can use all upstreams of the
// region. It fails with NotReadyError if ctx ends first.
func (f *Fleet) AwaitReady(ctx context.Context) error {
	for _, r := range f.Routers() {
		for !r.Daemon.IsReady() || !r.Daemon.current.Load().router.HasUpstreams(f.sidecarCount(r.Region)) {
			select {
			case <-ctx.Done():
				return &NotReadyError{Router: r.Name}
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}

// sidecarCount returns the number of running sidecars of a region.
func (f *Fleet) sidecarCount(region string) int {
	n := 0
	for _, s := range f.Sidecars() {
		if s.Region == region {
			n++
		}
	}
	return n
}

// Stop kills all routers and then all sidecars, and closes the servers of the emulated platform and upstreams.
func (f *Fleet) Stop() {
	var wg sync.WaitGroup
	for _, r := range f.Routers() {
		wg.Go(r.Daemon.Kill)
	}
	wg.Wait()
	for _, s := range f.Sidecars() {
		wg.Go(s.Daemon.Kill)
	}
	wg.Wait()
	f.servers.close()
}
