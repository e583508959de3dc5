//go:build review2

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["tenants"] = playTenants }

const (
	// tenants is the number of tenants, of which each has tenantPrepaid.
	tenants, tenantPrepaid = 700, 1_000_000
	// callsEach is the number of calls before the fault, two for each tenant, and callsRecovered that after it.
	callsEach, callsRecovered, tenantClients = 2 * tenants, 256, 32
	// recovery is recovery_s, and downTime how long the processes are down.
	recovery = 12 * time.Second
	downTime = time.Second
)

// playTenants kills both gateways of an installation with many tenants and starts them again.
func playTenants(s *stage) ([]string, error) {
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
						Attempt: fmt.Sprintf("9c41d07b%08x", n), Host: "shop.example", Path: "/draft/2f", Key: fmt.Sprintf("key%04d", n/2%tenants), Prompt: 200, Output: removedOutput,
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
		s.note("all gateways are killed")
		for _, g := range s.gateways {
			g.kill()
			<-g.exited
		}
		time.Sleep(downTime)
		for _, g := range s.gateways {
			if err := g.start(s.folder); err != nil {
				return nil, err
			}
		}
		s.note("they are started again")
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
