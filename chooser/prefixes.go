package chooser

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Prefixes returns the hashes of a prompt's leading blocks. Each hash covers its block and all blocks before it. An incomplete
// last block has no hash.
func Prefixes(prompt []byte) []uint64 {
	hashes := make([]uint64, 0, len(prompt)/blockBytes)
	d := xxhash.New()
	for start := 0; start+blockBytes <= len(prompt); start += blockBytes {
		_, _ = d.Write(prompt[start : start+blockBytes])
		hashes = append(hashes, d.Sum64())
	}
	return hashes
}

// prefixSet is a set of prefix hashes. A hash expires prefixTTL after it was last added. If the set would grow beyond limit, old
// hashes are evicted. A single prompt may exceed limit.
type prefixSet struct {
	limit    int
	lastSeen map[uint64]time.Time
}

func newPrefixSet(limit int) prefixSet {
	return prefixSet{limit: limit, lastSeen: map[uint64]time.Time{}}
}

// depth returns the number of leading blocks of a prompt that the set contains. hashes must be the result of Prefixes. A hash
// that is in the set and has not expired covers its block and all blocks before it.
func (p prefixSet) depth(now time.Time, hashes []uint64) int {
	for i := len(hashes) - 1; i >= 0; i-- {
		if at, ok := p.lastSeen[hashes[i]]; ok && now.Sub(at) <= prefixTTL {
			return i + 1
		}
	}
	return 0
}

// add adds hashes to the set. If they do not fit, it first evicts the hashes that were last added more than half of prefixTTL
// ago. If more than half of the limit is still in use then, it evicts all others.
func (p prefixSet) add(now time.Time, hashes []uint64) {
	if len(p.lastSeen)+len(hashes) > p.limit {
		p.evict(now)
	}
	for _, h := range hashes {
		p.lastSeen[h] = now
	}
}

func (p prefixSet) evict(now time.Time) {
	for h, at := range p.lastSeen {
		if now.Sub(at) > prefixTTL/2 {
			delete(p.lastSeen, h)
		}
	}
	if len(p.lastSeen) > p.limit/2 {
		clear(p.lastSeen)
	}
}
