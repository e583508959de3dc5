//go:build review2

package main

import (
	"fmt"
	"math"
	"net/http"
	"sync"
	"time"
)

func init() { cases["unlimited"] = playUnlimited }

const (
	unlimitedClients  = 8
	unlimitedDeadline = 3 * time.Second
	// callsFirst would use up the prepaid tokens; callsLater are sent afterLimit later.
	callsFirst, callsLater = 160, 24
	afterLimit             = 20 * time.Second
	// settleTime is longer than settle_ms.
	settleTime = 2 * time.Second
)

// playUnlimited lets one client ask for the largest 64-bit number of output tokens, once, and then sends the tenant's other requests.
func playUnlimited(s *stage) ([]string, error) {
	s.store.put("op", "", "config", manifest(7, prepaid))
	if err := s.addServers(3, &server{service: "model", slots: 96, beforeFirst: 40 * time.Millisecond, betweenEvents: 5 * time.Millisecond}); err != nil {
		return nil, err
	}
	if err := s.addGateways("edge-1", "edge-2"); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	got, denied, calls, byStatus := 0, 0, 0, map[int]int{}
	send := func(n, most int) {
		g := s.gateways[n%2]
		c := &call{
			Attempt: fmt.Sprintf("9c41d07b%08x", n), Host: "shop.example", Path: "/draft/2f", Key: "key-tailors", Prompt: prompt, Output: most, Deadline: unlimitedDeadline,
		}
		c.do(g.caller)
		mu.Lock()
		defer mu.Unlock()
		calls++
		byStatus[c.Status]++
		if c.Status == http.StatusOK && c.Events > 0 {
			got += c.Prompt + c.Events*stride
		}
		// The requests under way count at their most, as for what is owed.
		if c.Status == http.StatusPaymentRequired && most == removedOutput && got+(unlimitedClients+1)*(prompt+removedOutput) <= prepaid*97/100 {
			denied++
		}
		s.note("%s at %s, at most %d tokens out: status %d, %d events, whole %t, %d tokens so far %s", c.Attempt, g.name, most, c.Status, c.Events, c.Whole, got, c.Err)
	}
	sendAll := func(first, number int) {
		var wg sync.WaitGroup
		for client := range unlimitedClients {
			wg.Go(func() {
				for n := first + client; n < first+number; n += unlimitedClients {
					send(n, removedOutput)
				}
			})
		}
		wg.Wait()
		s.note("statuses so far: %v; the tenant got %d of %d tokens; answered 402 although they fit into 97 in 100: %d", byStatus, got, prepaid, denied)
	}
	if s.trouble {
		send(0, math.MaxInt64)
	}
	time.Sleep(settleTime)
	sendAll(2, callsFirst)
	time.Sleep(afterLimit)
	sendAll(2+callsFirst, callsLater)
	if denied > 5+calls/500 {
		return []string{fmt.Sprintf("%d of %d requests were answered 402 although the tenant had got %d of its %d prepaid tokens", denied, calls, got, prepaid)}, nil
	}
	return nil, nil
}
