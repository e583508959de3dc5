package soaker

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/forwarder"
)

const (
	// sharedZones is the number of availability zones of a deployment whose routers share load. There are at most as many as routers.
	sharedZones = 3
	// sharedPlainConnections is the limit of connections to each of its plain servers. The equal share of three routers is 5, and 4 of
	// the connections are divided by demand.
	sharedPlainConnections = 16
	// connectionSlack is how many connections beyond the limit each router may open: it checks the limit before it opens connections,
	// and a server may notice late that a connection was closed.
	connectionSlack = 2
	// membershipTime is the time after the start, and after a disturbance of any router, in which the routers may count different
	// numbers of routers.
	membershipTime = 4 * time.Second
	// A crowd has crowdFactor times the usual number of callers of one router. crowdStreamBase is the lowest number of their random
	// streams (newCaller).
	crowdFactor     = 8
	crowdStreamBase = 3 << 20
	// refusedPause is the pause of such a caller after a request that was not served.
	refusedPause = time.Second
)

// sharedLoad has the settings of routers that share load. The pauses that the configuration allows are 133 ms for each token. Load is
// shared also while one of three routers is missing, so that owners change.
var sharedLoad = forwarder.SharedLoadSettings{TokenGapMS: 140, MinRouters: 2, DivertZones: true}

// zone returns the availability zone of a router or of a server slot, by its index. There is a single zone unless load is shared.
func (s *soakRun) zone(i int) string {
	if !s.SharesLoad {
		return zoneName
	}
	return fmt.Sprintf("%s-%d", zoneName, i%min(sharedZones, s.Routers))
}

// regions returns the region of each availability zone of a deployment whose routers share load.
func (s *soakRun) regions() map[string]string {
	regions := map[string]string{}
	for i := range s.Routers {
		regions[s.zone(i)] = "region"
	}
	return regions
}

// crowd adds callers to the routers of one availability zone for the duration of the fault. They request plain services. It does
// nothing while there is another crowd.
func (s *soakRun) crowd(e faultEvent) {
	if !s.crowdMu.TryLock() {
		return
	}
	defer s.crowdMu.Unlock()
	var addresses []string
	for i, p := range s.processes {
		if s.zone(i) == s.zone(e.target%s.Routers) {
			addresses = append(addresses, p.proxies[callerProxy].Addr().String())
		}
	}
	s.crowds++
	stream := crowdStreamBase + s.crowds*crowdFactor*callersPerRouter
	var wg sync.WaitGroup
	until := time.Now().Add(time.Second + e.duration)
	for i := range crowdFactor * callersPerRouter {
		c := s.newCaller("m", stream+i, addresses...)
		wg.Go(func() {
			for time.Now().Before(until) {
				time.Sleep(randomUpTo(c.random, maxThinkTime))
				if c.sendToRoute(routes[plainRoute]) != http.StatusOK {
					time.Sleep(refusedPause)
				}
			}
		})
	}
	wg.Wait()
}

// checkConnections checks that all routers together kept to the limit of connections to a server. Excesses do not count while the
// routers may have counted different numbers of routers.
func (s *soakRun) checkConnections(server *emulator.OpaqueServer) {
	for _, x := range server.Excesses() {
		from := x.At.Add(-membershipTime)
		if from.Before(s.loadStartedAt) {
			continue
		}
		undisturbed := s.isUndisturbed(from, x.At, storeTarget)
		for i := range s.Routers {
			undisturbed = undisturbed && s.isRouterUndisturbed(i, from, x.At)
		}
		if undisturbed {
			s.reportViolation(promiseConnected, "%s had %d connections, %d are allowed and %d tolerated", server.ID, x.Open, sharedPlainConnections, connectionSlack*s.Routers)
			return
		}
	}
}
