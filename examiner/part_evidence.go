package examiner

import (
	"slices"

	"github.com/masticway/masticway"
)

// partRecord returns the record of a part with the information that only this router has. Evidence that is refuted proves nothing.
func (s *suspectState) partRecord(record Record) Record {
	if len(record.unrefuted()) == 0 {
		record.Retried, record.Proven, record.Inconclusive, record.Sound = 0, false, false, nil
		return record
	}
	for _, pool := range s.sound {
		record = record.withSoundPool(pool)
	}
	record.Proven = record.Proven || s.proven
	record.Inconclusive = record.Inconclusive || s.inconclusive
	if s.isUnsent && record.Retried > 0 {
		record.Retried--
	}
	return record
}

// unrefuted returns the crashes that are evidence.
func (r Record) unrefuted() []masticway.ServerCrash {
	return slices.DeleteFunc(slices.Clone(r.Crashes), func(c masticway.ServerCrash) bool { return c.Refuted })
}

// isProvable reports whether enough servers have crashed under a part.
func (r Record) isProvable() bool {
	evidence := r.unrefuted()
	rounds := map[int]bool{}
	for _, crash := range evidence {
		rounds[crash.Round] = true
	}
	return len(evidence) >= minCrashesToProve && len(rounds) >= minPartRounds
}

// concerns reports whether a proven part is blocked for the caller and the pool of a request. It is blocked for the workspaces under
// whose requests servers crashed and, once there are two of them, for all. So no workspace can get the parts of others refused. The
// same holds for pools.
func (r Record) concerns(s masticway.Suspects) bool {
	evidence := r.unrefuted()
	return slices.ContainsFunc(evidence, func(c masticway.ServerCrash) bool {
		return c.Workspace == s.Workspace || c.Workspace != evidence[0].Workspace
	}) &&
		slices.ContainsFunc(evidence, func(c masticway.ServerCrash) bool { return c.Pool == s.Pool || c.Pool != evidence[0].Pool })
}

// isSoundAt reports whether servers of a pool have answered requests with a proven part and none has crashed under it.
func (r Record) isSoundAt(pool string) bool {
	return slices.Contains(r.Sound, pool) &&
		!slices.ContainsFunc(r.unrefuted(), func(c masticway.ServerCrash) bool { return c.Pool == pool })
}

// withSoundPool returns the record with a pool in Sound, unless there are maxSoundPools.
func (r Record) withSoundPool(pool string) Record {
	if !slices.Contains(r.Sound, pool) && len(r.Sound) < maxSoundPools {
		r.Sound = append(slices.Clone(r.Sound), pool)
	}
	return r
}

// hasNewSoundPool reports whether a pool is missing in the stored record's Sound.
func (s *suspectState) hasNewSoundPool() bool {
	return s.isPart && len(s.stored.Sound) < maxSoundPools && slices.ContainsFunc(s.sound, func(pool string) bool { return !slices.Contains(s.stored.Sound, pool) })
}
