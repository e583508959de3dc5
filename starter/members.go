package starter

import (
	"maps"
	"slices"

	"github.com/masticway/masticway"
)

// Routers returns the running routers, sorted by name.
func (f *Fleet) Routers() []*FleetRouter { return sortedByName(f, f.routers) }

// Sidecars returns the running sidecars, sorted by name.
func (f *Fleet) Sidecars() []*FleetSidecar { return sortedByName(f, f.sidecars) }

// sortedByName returns the processes of one kind, sorted by name.
func sortedByName[P any](f *Fleet, processes map[string]P) []P {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]P, 0, len(processes))
	for _, n := range slices.Sorted(maps.Keys(processes)) {
		list = append(list, processes[n])
	}
	return list
}

// removeProcess removes a process from the given map of the fleet and returns it. It does not stop the process. It returns false
// if there is no process with the name.
func removeProcess[P any](f *Fleet, processes map[string]P, name string) (P, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := processes[name]
	delete(processes, name)
	return p, ok
}

// KillRouter stops a router as a crash would and marks its instance as ended at the platform. It does nothing if there is no such
// router.
func (f *Fleet) KillRouter(name string) {
	if r, ok := removeProcess(f, f.routers, name); ok {
		r.Daemon.Kill()
		f.Platform.Instances.SetState(name, masticway.InstanceEnded)
	}
}

// DrainRouter shuts a router down gracefully and then marks its instance as ended at the platform. It returns false if a request
// was cut off or there is no such router.
func (f *Fleet) DrainRouter(name string) bool {
	r, ok := removeProcess(f, f.routers, name)
	if !ok {
		return false
	}
	clean := r.Daemon.Drain()
	f.Platform.Instances.SetState(name, masticway.InstanceEnded)
	return clean
}

// KillSidecar stops a sidecar as a crash would. If endInstance is set, it also marks the sidecar's instance as ended at the
// platform. It returns nil if there is no such sidecar.
func (f *Fleet) KillSidecar(name string, endInstance bool) *FleetSidecar {
	s, ok := removeProcess(f, f.sidecars, name)
	if !ok {
		return nil
	}
	s.Daemon.Kill()
	if endInstance {
		f.Platform.Instances.SetState(name, masticway.InstanceEnded)
	}
	return s
}

// DrainSidecar shuts a sidecar down gracefully and then marks its instance as ended at the platform. It returns false if a
// request was cut off or there is no such sidecar.
func (f *Fleet) DrainSidecar(name string) bool {
	s, ok := removeProcess(f, f.sidecars, name)
	if !ok {
		return false
	}
	clean := s.Daemon.Drain()
	f.Platform.Instances.SetState(name, masticway.InstanceEnded)
	return clean
}

// Model returns the model of the sidecar's engine, or "" if its upstream is a service.
func (s *FleetSidecar) Model() string {
	if len(s.instance.Models) == 0 {
		return ""
	}
	return s.instance.Models[0]
}

// ServiceName returns the name of the sidecar's plain service, or "" if its upstream is an engine.
func (s *FleetSidecar) ServiceName() string {
	if len(s.instance.Services) == 0 {
		return ""
	}
	return s.instance.Services[0]
}

// Runs returns the number of requests that the sidecar's upstream has begun to process.
func (s *FleetSidecar) Runs() int64 {
	if s.Engine != nil {
		return s.Engine.Counts().Runs
	}
	var sum int64
	for _, n := range s.Service.Runs() {
		sum += int64(n)
	}
	return sum
}
