//go:build review2

package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["kills"] = playKills }

const (
	// killEvery is the number of requests between two kills, and kills the number of kills.
	killEvery, kills = 20, 5
	// pauseBeforeKill and restartAfter are the pauses before and after a kill; no request is in flight then.
	pauseBeforeKill, restartAfter = time.Second, 500 * time.Millisecond
)

// playKills kills one of two gateways after the other between requests of one tenant, and starts each again.
func playKills(s *stage) ([]string, error) {
	s.store.put("op", "", "config", manifest(7, prepaid))
	if err := s.addServers(3, &server{service: "model", slots: 96, beforeFirst: 40 * time.Millisecond, betweenEvents: 5 * time.Millisecond}); err != nil {
		return nil, err
	}
	if err := s.addGateways("edge-1", "edge-2"); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	got, denied, byStatus := 0, 0, map[int]int{}
	const calls = 170
	for n := range calls {
		if n > 0 && n%killEvery == 0 && n/killEvery <= kills && s.trouble {
			g := s.gateways[n/killEvery%2]
			time.Sleep(pauseBeforeKill)
			s.note("%s is killed", g.name)
			g.kill()
			<-g.exited
			time.Sleep(restartAfter)
			if err := g.start(s.folder); err != nil {
				return nil, err
			}
			if err := g.awaitReady(15 * time.Second); err != nil {
				return nil, err
			}
			time.Sleep(4 * time.Second)
		}
		c := &call{
			Attempt: fmt.Sprintf("9c41d07b%08x", n), Host: "shop.example", Path: "/draft/2f", Key: "key-tailors", Prompt: prompt, Output: removedOutput, Deadline: 6 * time.Second,
		}
		g := s.gateways[n%2]
		c.do(g.caller)
		byStatus[c.Status]++
		if c.Status == http.StatusOK && c.Events > 0 {
			got += c.Prompt + c.Events*stride
		}
		s.note("%s at %s: status %d, %d events, whole %t, %d tokens so far %s", c.Attempt, g.name, c.Status, c.Events, c.Whole, got, c.Err)
		if c.Status == http.StatusPaymentRequired && got+prompt+removedOutput <= prepaid*97/100 {
			denied++
		}
	}
	s.note("statuses: %v; the tenant got %d of %d tokens; answered 402 although they fit into 97 in 100: %d", byStatus, got, prepaid, denied)
	if denied > 5+calls/500 {
		return []string{fmt.Sprintf("%d of %d requests were answered 402 although the tenant had got %d of its %d prepaid tokens", denied, calls, got, prepaid)}, nil
	}
	return nil, nil
}
