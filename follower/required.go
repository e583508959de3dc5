package follower

import (
	"time"

	"github.com/sirupsen/logrus"
)

// requirementTTL is how long a router that starts waits for a configuration that other routers have and the store has lost. The
// operator writes it again.
const requirementTTL = 10 * time.Second

// requirement is the version of the configuration without which a router serves nothing, until a time.
type requirement struct {
	version int64
	until   time.Time
}

// Require makes snapshots count as without a configuration until there is one of at least the given version, or a time has passed.
// It reports whether the current configuration is older.
func (r *Registry) Require(version int64, until time.Time) (isOlder bool) {
	if version <= r.required.version {
		return false
	}
	r.required = requirement{version: version, until: until}
	return r.configured && r.deployment.Version < version
}

// expireRequirement drops the requirement when its time has passed, and reports whether that makes a configuration count.
func (r *Registry) expireRequirement(now time.Time) (changed bool) {
	if r.required.until.IsZero() || now.Before(r.required.until) {
		return false
	}
	changed = r.configured && r.deployment.Version < r.required.version
	r.required = requirement{}
	return changed
}

// RequireConfiguration makes a router that starts serve nothing by a configuration that is older than what other routers have. The
// store may have returned from a copy with the older one.
func (f *Follower) RequireConfiguration(version int64) {
	f.update(func(now time.Time) bool {
		isOlder := f.registry.Require(version, now.Add(requirementTTL))
		if isOlder {
			f.log.WithFields(logrus.Fields{"event": "configuration_behind", "version": f.registry.deployment.Version, "required": version}).Warn("the configuration is older than that of other routers")
		}
		return isOlder
	})
}
