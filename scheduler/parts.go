package scheduler

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/chooser"
)

// maxParts is the number of prompt parts stored for one engine above which the least recently used are evicted. An engine of 20
// runs a second with three parts each uses 480 in chooser.PartTTL.
const maxParts = 2048

// part is a part of a prompt. hash is the hash of its ID.
type part struct {
	hash   uint64
	tokens int
}

// appendParts appends the hashes of prompt parts to a slice.
func appendParts(to []part, parts []masticway.PromptPart) []part {
	for _, p := range parts {
		to = append(to, part{hash: xxhash.Sum64String(p.ID), tokens: max(0, p.Tokens)})
	}
	return to
}

// cachedPart is a prompt part that an engine has in its cache or will have after the prefill of a pending run.
type cachedPart struct {
	part
	usedAt time.Time
	// pending is the number of pending runs with the part. prefilled is set if a run with the part had its first event.
	pending   int
	prefilled bool
	// older and newer are the neighbours in the order of use.
	older, newer *cachedPart
}

// partCache holds the prompt parts that are assumed to be in an engine's cache, in the order of their last use.
type partCache struct {
	entries        map[uint64]*cachedPart
	oldest, newest *cachedPart
	tokens         int
}

func newPartCache() partCache { return partCache{entries: map[uint64]*cachedPart{}} }

// cachedTokens returns the number of leading tokens of a prompt with the given parts that are in the cache. The caller must have
// evicted the parts for which there is no memory.
func (c *partCache) cachedTokens(parts []part) int {
	tokens := 0
	for _, p := range parts {
		if c.entries[p.hash] == nil {
			break
		}
		tokens += p.tokens
	}
	return tokens
}

// reserve records that a pending run will leave its parts in the cache.
func (c *partCache) reserve(now time.Time, parts []part) {
	for _, p := range parts {
		c.use(now, p).pending++
	}
}

// confirm records that a run that reserved parts has prefilled them.
func (c *partCache) confirm(now time.Time, parts []part) {
	for _, p := range parts {
		k := c.use(now, p)
		k.pending = max(0, k.pending-1)
		k.prefilled = true
	}
}

// cancel removes the reservation of parts by a run that has not prefilled them.
func (c *partCache) cancel(parts []part) {
	for _, p := range parts {
		k := c.entries[p.hash]
		if k == nil {
			continue
		}
		k.pending = max(0, k.pending-1)
		if k.pending == 0 && !k.prefilled {
			c.remove(k)
		}
	}
}

// use makes a part the most recently used one, and adds it if it is not in the cache.
func (c *partCache) use(now time.Time, p part) *cachedPart {
	k := c.entries[p.hash]
	if k == nil {
		k = &cachedPart{part: p}
		c.entries[p.hash] = k
		c.tokens += p.tokens
	} else {
		c.unlink(k)
	}
	k.usedAt = now
	k.older, k.newer = c.newest, nil
	if c.newest != nil {
		c.newest.newer = k
	} else {
		c.oldest = k
	}
	c.newest = k
	return k
}

// evict removes the least recently used parts until the others fit into the given number of tokens. It keeps parts that were used
// within chooser.PartTTL, unless there are more than maxParts.
func (c *partCache) evict(now time.Time, room int) {
	for c.oldest != nil && (len(c.entries) > maxParts || c.tokens > room && now.Sub(c.oldest.usedAt) > chooser.PartTTL) {
		c.remove(c.oldest)
	}
}

func (c *partCache) remove(k *cachedPart) {
	c.unlink(k)
	delete(c.entries, k.hash)
	c.tokens -= k.tokens
}

func (c *partCache) unlink(k *cachedPart) {
	if k.older != nil {
		k.older.newer = k.newer
	} else {
		c.oldest = k.newer
	}
	if k.newer != nil {
		k.newer.older = k.older
	} else {
		c.newest = k.older
	}
	k.older, k.newer = nil, nil
}
