//go:build review2

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["abandoned"] = playAbandoned }

const (
	prepaid = 300_000
	// A request reads 2,000 tokens and makes 120, in 40 events.
	prompt, output = 2_000, 120
	// Each client leaves in one request of leaveEach, the 20th event, which it has after 0.4 s. The route's objective is 0.8 s.
	leaveEach, leaveAfter = 4, 20
	moneyClients          = 32
	// Clients leave for no longer than this.
	leaveFor   = 5 * time.Second
	moneyCalls = 420
)

// manifest returns a manifest with one tenant, a route for streams and one for plain requests.
func manifest(version int64, prepaidTokens int64) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{"name": "r-draft", "host": "shop.example", "path_prefix": "/draft/", "route_kind": "streaming", "timeout_ms": 6000, "target_latency_ms": 800,
				"priority": 1, "service": "model", "max_attempts": 1, "anonymous": false, "sticky": true, "resumable": false, "target_tbt_ms": 300},
			map[string]any{"name": "r-stock", "host": "shop.example", "path_prefix": "/stock/", "route_kind": "non_idempotent", "timeout_ms": 800, "target_latency_ms": 300,
				"priority": 2, "service": "ledger", "max_attempts": 1, "anonymous": false, "sticky": false, "resumable": false},
		},
		"services": []any{
			map[string]any{"name": "model", "health_path": "/healthz", "max_conns": 500, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 96, "kv_capacity": 273304, "kv_bytes": 131072, "link_mbps": 1100000.0, "moves": true, "backups": true, "stride": stride, "most": 12,
				"pin_ms": 4000.0, "hold_ms": 2000.0, "kv_ttl_s": 5.0, "models": []any{map[string]any{"name": "m"}}}},
			map[string]any{"name": "ledger", "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "tailors", "api_keys": []string{"key-tailors"}, "priority": 1, "prepaid": prepaidTokens}},
	}
}

// playAbandoned sends the requests of one tenant until its prepaid tokens are used up. Part of its clients leave early.
func playAbandoned(s *stage) ([]string, error) {
	s.store.put("op", "", "config", manifest(7, prepaid))
	if err := s.addServers(3, &server{service: "model", slots: 96, beforeFirst: 40 * time.Millisecond, betweenEvents: 18 * time.Millisecond}); err != nil {
		return nil, err
	}
	if err := s.addGateways("edge-1", "edge-2"); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	var calls []*call
	var wg sync.WaitGroup
	began := time.Now()
	for client := range moneyClients {
		wg.Go(func() {
			for n := client; n < moneyCalls; n += moneyClients {
				c := &call{
					Attempt: fmt.Sprintf("9c41d07b%08x", n), Host: "shop.example", Path: "/draft/2f", Key: "key-tailors", Prompt: prompt, Output: output,
					Deadline: 6 * time.Second,
				}
				if s.trouble && (client+n/moneyClients)%leaveEach == 0 && time.Since(began) < leaveFor {
					c.LeaveAfter = leaveAfter
				}
				c.do(s.gateways[n%2].caller)
				s.note("%s at %s: status %d, %d events, whole %t, left %t, %d ms %s", c.Attempt, s.gateways[n%2].name, c.Status, c.Events, c.Whole, c.Left,
					c.EndedAt.Sub(c.SentAt).Milliseconds(), c.Err)
				mu.Lock()
				calls = append(calls, c)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	byStatus := map[int]int{}
	whole, left, wholeTokens, leftTokens := 0, 0, 0, 0
	for _, c := range calls {
		byStatus[c.Status]++
		if c.Status != http.StatusOK || c.Events == 0 {
			continue
		}
		tokens := c.Prompt + c.Events*stride
		if c.Left {
			left++
			leftTokens += tokens
		} else {
			whole++
			wholeTokens += tokens
		}
	}
	s.note("statuses: %v; whole answers: %d with %d tokens; answers that the client left: %d with %d tokens; prepaid: %d", byStatus, whole, wholeTokens, left, leftTokens, prepaid)
	if got := wholeTokens + leftTokens; got > prepaid {
		return []string{fmt.Sprintf("the tenant got %d tokens (input once per request, and output of delivered events), and has %d prepaid", got, prepaid)}, nil
	}
	return nil, nil
}

func init() { cases["removed"] = playRemoved }

const (
	// A request of this case makes 30 tokens, in 10 events.
	removedOutput = 30
	// Calls before and after the loss.
	callsBefore, callsAfter = 40, 130
	// afterLoss is how long the case waits after the loss; stable_ms is 3 s and recovery_s 12 s.
	afterLoss = 30 * time.Second
)

// playRemoved removes one of two gateways for good while part of a tenant's tokens are used, adds another one at a new address, and
// sends the tenant's further requests to the two that are left.
func playRemoved(s *stage) ([]string, error) {
	s.store.put("op", "", "config", manifest(7, prepaid))
	if err := s.addServers(3, &server{service: "model", slots: 96, beforeFirst: 40 * time.Millisecond, betweenEvents: 5 * time.Millisecond}); err != nil {
		return nil, err
	}
	if err := s.addGateways("edge-1", "edge-2"); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	got, byStatus := 0, map[int]int{}
	send := func(n int, g *gateway) *call {
		c := &call{
			Attempt: fmt.Sprintf("9c41d07b%08x", n), Host: "shop.example", Path: "/draft/2f", Key: "key-tailors", Prompt: prompt, Output: removedOutput, Deadline: 6 * time.Second,
		}
		c.do(g.caller)
		if c.Status == http.StatusOK && c.Events > 0 {
			got += c.Prompt + c.Events*stride
		}
		s.note("%s at %s: status %d, %d events, whole %t, %d tokens so far %s", c.Attempt, g.name, c.Status, c.Events, c.Whole, got, c.Err)
		return c
	}
	n := 0
	for ; n < callsBefore; n++ {
		send(n, s.gateways[n%2])
	}
	if s.trouble {
		s.note("edge-1 is removed for good, with SIGKILL")
		s.gateways[0].kill()
	}
	time.Sleep(5 * time.Second)
	more, err := newGateways(s.folder, s.address, "edge-3")
	if err != nil {
		return nil, err
	}
	s.gateways = append(s.gateways, more...)
	s.note("edge-3 is added at a new address")
	if err := more[0].start(s.folder); err != nil {
		return nil, err
	}
	if err := more[0].awaitReady(15 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(afterLoss)
	denied := 0
	for ; n < callsBefore+callsAfter; n++ {
		c := send(n, s.gateways[1+n%2])
		byStatus[c.Status]++
		if c.Status == http.StatusPaymentRequired && got+prompt+removedOutput <= prepaid*97/100 {
			denied++
		}
	}
	s.note("statuses after the loss: %v; the tenant got %d of %d tokens; answered 402 although they fit into 97 in 100: %d", byStatus, got, prepaid, denied)
	if denied > 5+n/500 {
		return []string{fmt.Sprintf("%d of %d requests were answered 402 although the tenant had got %d of its %d prepaid tokens", denied, n, got, prepaid)}, nil
	}
	return nil, nil
}
