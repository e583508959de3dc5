package configurer

import (
	"maps"
	"slices"

	"github.com/masticway/masticway"
)

// Snapshot is the configuration at one revision. It is immutable.
type Snapshot struct {
	revision  masticway.Revision
	catalog   masticway.Catalog
	contracts map[string]masticway.Contract
	byKey     map[string]string
}

// Revision returns the revision of the snapshot.
func (s Snapshot) Revision() masticway.Revision { return s.revision }

// Catalog returns the models and services that the fleet serves.
func (s Snapshot) Catalog() masticway.Catalog { return s.catalog }

// Contract returns a workspace's contract, and whether there is one.
func (s Snapshot) Contract(workspace string) (masticway.Contract, bool) {
	c, ok := s.contracts[workspace]
	return c, ok
}

// ContractByKeyHash returns the contract that contains the hash of a caller key, and whether there is one.
func (s Snapshot) ContractByKeyHash(hash string) (masticway.Contract, bool) {
	workspace, ok := s.byKey[hash]
	if !ok {
		return masticway.Contract{}, false
	}
	return s.Contract(workspace)
}

// Contracts returns all contracts, sorted by workspace.
func (s Snapshot) Contracts() []masticway.Contract {
	list := make([]masticway.Contract, 0, len(s.contracts))
	for _, w := range slices.Sorted(maps.Keys(s.contracts)) {
		list = append(list, s.contracts[w])
	}
	return list
}

// With returns the snapshot after a change. The caller must check that the change has the next revision. With does not modify s.
func (s Snapshot) With(c masticway.Change) Snapshot {
	next := Snapshot{revision: c.Revision, catalog: s.catalog, contracts: s.contracts, byKey: s.byKey}
	if c.Catalog != nil {
		next.catalog = *c.Catalog
	}
	if c.Contract == nil && c.Removed == "" {
		return next
	}
	next.contracts = cloneMap(s.contracts)
	next.byKey = cloneMap(s.byKey)
	workspace := c.Removed
	if c.Contract != nil {
		workspace = c.Contract.Workspace
	}
	for _, h := range next.contracts[workspace].KeyHashes {
		delete(next.byKey, h)
	}
	delete(next.contracts, workspace)
	if c.Contract != nil {
		next.contracts[workspace] = *c.Contract
		for _, h := range c.Contract.KeyHashes {
			next.byKey[h] = workspace
		}
	}
	return next
}

func cloneMap[V any](m map[string]V) map[string]V {
	if m == nil {
		return map[string]V{}
	}
	return maps.Clone(m)
}

// Configuration is a complete configuration, in the form in which peers exchange it.
type Configuration struct {
	Revision  masticway.Revision   `json:"revision" cbor:"1,keyasint"`
	Catalog   masticway.Catalog    `json:"catalog" cbor:"2,keyasint"`
	Contracts []masticway.Contract `json:"contracts" cbor:"3,keyasint"`
}

// Configuration returns the complete configuration of the snapshot.
func (s Snapshot) Configuration() Configuration {
	return Configuration{Revision: s.revision, Catalog: s.catalog, Contracts: s.Contracts()}
}

// NewSnapshot returns a snapshot of a complete configuration.
func NewSnapshot(f Configuration) Snapshot {
	s := Snapshot{revision: f.Revision, catalog: f.Catalog, contracts: map[string]masticway.Contract{}, byKey: map[string]string{}}
	for _, c := range f.Contracts {
		s.contracts[c.Workspace] = c
		for _, h := range c.KeyHashes {
			s.byKey[h] = c.Workspace
		}
	}
	return s
}

// maxRecentChanges is the maximum number of applied changes that are kept for peers that are behind.
const maxRecentChanges = 64

// State holds the newest applied configuration, and applies changes to it in order. It is not safe for concurrent use.
type State struct {
	snapshot Snapshot
	recent   []masticway.Change
	ready    bool
}

// Snapshot returns the newest applied configuration.
func (s *State) Snapshot() Snapshot { return s.snapshot }

// IsReady reports whether a complete configuration has been loaded.
func (s *State) IsReady() bool { return s.ready }

// Load replaces the whole configuration and reports whether it did. After the first one, it ignores a configuration that is not
// newer than the current one.
func (s *State) Load(f Configuration) bool {
	if s.ready && f.Revision <= s.snapshot.revision {
		return false
	}
	s.snapshot = NewSnapshot(f)
	s.recent = nil
	s.ready = true
	return true
}

// Apply applies changes, given in any order, and returns those that it applied. The result gap is set if newer changes were not
// applied because earlier ones are missing or no configuration has been loaded.
func (s *State) Apply(changes []masticway.Change) (applied []masticway.Change, gap bool) {
	ordered := slices.Clone(changes)
	slices.SortFunc(ordered, func(a, b masticway.Change) int { return int(a.Revision - b.Revision) })
	for _, c := range ordered {
		if c.Revision <= s.snapshot.revision {
			continue
		}
		if !s.ready || c.Revision != s.snapshot.revision+1 {
			return applied, true
		}
		s.snapshot = s.snapshot.With(c)
		s.recent = append(s.recent, c)
		if len(s.recent) > maxRecentChanges {
			s.recent = s.recent[1:]
		}
		applied = append(applied, c)
	}
	return applied, false
}

// ChangesAfter returns the applied changes after a revision that are still kept. The first ones after the revision may be
// missing.
func (s *State) ChangesAfter(r masticway.Revision) []masticway.Change {
	i := slices.IndexFunc(s.recent, func(c masticway.Change) bool { return c.Revision > r })
	if i < 0 {
		return nil
	}
	return slices.Clone(s.recent[i:])
}
