//go:build review2

package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

func init() { cases["tenants"] = playTenants }

const (
	// defaultTenants and defaultKills hold unless TENANTS and KILLS say otherwise.
	defaultTenants, defaultKills = 650, 1
	// tenantPrepaid is what each tenant has prepaid, and tenantPrompt what a request reads of it.
	tenantPrepaid, tenantPrompt = 20_000_000, 9_000
	// callsRecovered is the number of calls after the fault. Before it each tenant makes two.
	callsRecovered, tenantClients = 128, 32
	// recovery is recovery_s, downTime how long the processes are down, and killAgain how long they run until a further kill.
	recovery  = 12 * time.Second
	downTime  = time.Second
	killAgain = time.Second
)

// number returns the number that an environment variable holds, or another one.
func number(name string, other int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return other
}

// restartAll kills all gateways and starts them again.
func (s *stage) restartAll() error {
	s.note("all gateways are killed")
	for _, g := range s.gateways {
		g.kill()
		<-g.exited
	}
	time.Sleep(downTime)
	for _, g := range s.gateways {
		if err := g.start(s.folder); err != nil {
			return err
		}
	}
	s.note("they are started again")
	return nil
}

// playTenants kills both gateways of an installation with many tenants and starts them again.
func playTenants(s *stage) ([]string, error) {
	tenants, kills := number("TENANTS", defaultTenants), number("KILLS", defaultKills)
	callsEach := 2 * tenants
	s.note("%d tenants, %d kills", tenants, kills)
	m := manifest(7, 0)
	var list []any
	for i := range tenants {
		list = append(list, map[string]any{"name": fmt.Sprintf("shop%04d", i), "api_keys": []string{fmt.Sprintf("key%04d", i)}, "priority": 1, "prepaid": tenantPrepaid})
	}
	m["tenants"] = list
	s.store.put("op", "", "config", m)
	if err := s.addServers(3, &server{service: "model", slots: 96, beforeFirst: 40 * time.Millisecond, betweenEvents: 5 * time.Millisecond}); err != nil {
		return nil, err
	}
	if err := s.addGateways("edge-1", "edge-2"); err != nil {
		return nil, err
	}
	time.Sleep(6 * time.Second)
	calls := 0
	send := func(more int) (served int) {
		var wg sync.WaitGroup
		var mu sync.Mutex
		byStatus := map[int]int{}
		for client := range tenantClients {
			first := calls
			wg.Go(func() {
				for n := first + client; n < first+more; n += tenantClients {
					c := &call{
						Attempt: fmt.Sprintf("9c41d07b%08x", n), Host: "shop.example", Path: "/draft/2f", Key: fmt.Sprintf("key%04d", n/2%tenants), Prompt: tenantPrompt, Output: removedOutput,
						Deadline: 6 * time.Second,
					}
					g := s.gateways[n%2]
					c.do(g.caller)
					s.note("%s at %s: status %d, %d events, whole %t %s", c.Attempt, g.name, c.Status, c.Events, c.Whole, c.Err)
					mu.Lock()
					byStatus[c.Status]++
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		calls += more
		s.note("of %d requests: %v", more, byStatus)
		return byStatus[http.StatusOK]
	}
	before := send(callsEach)
	s.store.mu.Lock()
	s.note("rows rejected as too large: %v; largest rows: %v", s.store.rejected, s.store.largest)
	s.store.mu.Unlock()
	if before < callsEach/4 {
		return nil, fmt.Errorf("only %d of %d requests were served before the fault", before, callsEach)
	}
	if s.trouble {
		for kill := range kills {
			if kill > 0 {
				time.Sleep(killAgain)
			}
			if err := s.restartAll(); err != nil {
				return nil, err
			}
		}
	}
	time.Sleep(recovery + 3*time.Second)
	after := send(callsRecovered)
	s.store.mu.Lock()
	s.note("rows rejected as too large: %v; largest rows: %v", s.store.rejected, s.store.largest)
	s.store.mu.Unlock()
	if after < callsRecovered/4 {
		return []string{fmt.Sprintf("%v after the processes were back, %d of %d requests were served; before the fault %d of %d were", recovery, after, callsRecovered, before, callsEach)}, nil
	}
	return nil, nil
}
