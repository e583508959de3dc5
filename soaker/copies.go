package soaker

import (
	"math/rand/v2"
	"time"

	"github.com/masticway/masticway/emulator"
)

const (
	// copiesKind is the fault in which servers refuse requests and send copies of the refusals late.
	copiesKind = "refusals_copied"
	// restartKind is the fault in which a server starts again at its address under a new ID.
	restartKind = "server_restarts"
	// maxCopies is the number of copies of a refusal at most, and maxCopyDelay the longest time after which they are sent.
	maxCopies, maxCopyDelay = 2, 5 * time.Millisecond
	// All servers of the pool refuse up to maxRefusals requests, again every refusalInterval. Routers choose a server that has refused
	// requests again if the others have too.
	maxRefusals, refusalInterval = 2, 400 * time.Millisecond
)

// copiedRefusals are the ways in which servers refuse requests whose refusals are copied. Routers use a server no more for a while after
// the last one.
var copiedRefusals = []emulator.OpaqueFault{
	emulator.OpaqueOverloaded, emulator.OpaqueRateLimited, emulator.OpaqueOverloaded, emulator.OpaqueRateLimited, emulator.OpaqueWrongServer,
}

// copyRefusals makes all servers of a pool refuse some of their requests and reservations for a while, and send copies of the refusals
// at once or late. Servers that start meanwhile send copies too. If two such faults of a pool overlap, each replaces the refusals of
// the other, and the copies end for a moment with the first.
func (s *soakRun) copyRefusals(e faultEvent) {
	_, slot := s.targetServer(e)
	copies := emulator.LateCopies{Count: 1 + e.target/len(pools)%maxCopies}
	if e.target/len(pools)/maxCopies%2 == 1 {
		copies.Delay = time.Duration(e.severity * float64(maxCopyDelay))
	}
	s.logf("the servers of pool %s refuse requests and send %d copies %s late", pools[slot], copies.Count, copies.Delay)
	random := rand.New(rand.NewPCG(uint64(e.target), 0))
	for until := time.Now().Add(e.duration); time.Now().Before(until); time.Sleep(refusalInterval) {
		for _, server := range s.setLateCopies(pools[slot], copies) {
			faults := make([]emulator.OpaqueFault, 1+random.IntN(e.scaled(maxRefusals)))
			for i := range faults {
				faults[i] = copiedRefusals[random.IntN(len(copiedRefusals))]
			}
			server.InjectFaults(faults...)
		}
	}
	for _, server := range s.setLateCopies(pools[slot], emulator.LateCopies{}) {
		server.InjectFaults()
	}
}

// setLateCopies sets which copies of refusals the servers of a pool send, and returns the current ones.
func (s *soakRun) setLateCopies(pool string, copies emulator.LateCopies) []*emulator.OpaqueServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lateCopies[pool] = copies
	for _, server := range s.all {
		if poolOf(server.ID) == pool {
			server.SendLateCopies(copies)
		}
	}
	return s.currentServers(pool)
}

// restartServer ends a server and starts another one at its address at once. The row of the old one stays for silenceTimeout, so that
// two servers are registered at the address.
func (s *soakRun) restartServer(e faultEvent) {
	old, slot := s.targetServer(e)
	s.beginDisturbance(e.kind, old.ID, 0)
	s.endServer(old.ID)
	old.Close()
	if err := s.startServerAt(old.Address(), slot); err != nil {
		// Another server or connection has the address by now.
		s.logf("%s starts elsewhere: %v", pools[slot], err)
		s.startServer(slot)
	}
	time.Sleep(silenceTimeout)
	old.Deregister(s.rows)
}
