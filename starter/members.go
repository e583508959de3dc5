package starter

import (
	"maps"
	"slices"

	"github.com/masticway/masticway"
)

// Routers lists the running routers by name.
func (f *Fleet) Routers() []*FleetRouter { return sortedByName(f, f.routers) }

// Sidecars lists the running sidecars by name.
func (f *Fleet) Sidecars() []*FleetSidecar { return sortedByName(f, f.sidecars) }

// sortedByName returns the processes of one kind in the order of their names.
func sortedByName[P any](f *Fleet, processes map[string]P) []P {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]P, 0, len(processes))
	for _, n := range slices.Sorted(maps.Keys(processes)) {
		list = append(list, processes[n])
	}
	return list
}

// removeProcess removes a process of one kind from the fleet and returns it, if it is there.
func removeProcess[P any](f *Fleet, processes map[string]P, name string) (P, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := processes[name]
	delete(processes, name)
	return p, ok
}

// KillRouter ends a router as a crash would; the platform sees its instance end.
func (f *Fleet) KillRouter(name string) {
	if r, ok := removeProcess(f, f.routers, name); ok {
		r.Daemon.Kill()
		f.Platform.Instances.SetState(name, masticway.InstanceEnded)
	}
}

// DrainRouter ends a router gracefully; it returns false when something was cut off.
func (f *Fleet) DrainRouter(name string) bool {
	r, ok := removeProcess(f, f.routers, name)
	if !ok {
		return false
	}
	clean := r.Daemon.Drain()
	f.Platform.Instances.SetState(name, masticway.InstanceEnded)
	return clean
}

// KillSidecar ends a sidecar as a crash would; the platform sees its instance end when ended is set.
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

// DrainSidecar ends a sidecar gracefully; it returns false when something was cut off.
func (f *Fleet) DrainSidecar(name string) bool {
	s, ok := removeProcess(f, f.sidecars, name)
	if !ok {
		return false
	}
	clean := s.Daemon.Drain()
	f.Platform.Instances.SetState(name, masticway.InstanceEnded)
	return clean
}

// Model names the model of the engine beside a sidecar, if it has one.
func (s *FleetSidecar) Model() string {
	if len(s.instance.Models) == 0 {
		return ""
	}
	return s.instance.Models[0]
}

// ServiceName names the plain service beside a sidecar, if it has one.
func (s *FleetSidecar) ServiceName() string {
	if len(s.instance.Services) == 0 {
		return ""
	}
	return s.instance.Services[0]
}

// Runs returns how many pieces of work the upstream beside a sidecar has begun.
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
