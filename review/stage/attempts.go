//go:build review2

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"
)

func init() { cases["attempts"] = playAttempts }

const (
	// The plain servers work 60 ms on a request, spread by half of that.
	plainWork = 60 * time.Millisecond
	// hangShare, lostShare and disturbedFor are the doses of srv_grey hang and of answer_lost reset.
	hangShare    = 0.4
	lostShare    = 0.4
	disturbedFor = 4 * time.Second
	// The disturbances come again after disturbedEvery, disturbances times.
	disturbedEvery = 6 * time.Second
	disturbances   = 14
	statusPerS     = 16
	statusAttempts = 2
)

// statusManifest returns a manifest with one idempotent route to the plain service.
func statusManifest() map[string]any {
	m := manifest(7, prepaid)
	m["routes"] = append(m["routes"].([]any), map[string]any{
		"name": "r-status", "host": "shop.example", "path_prefix": "/status/", "route_kind": "idempotent", "timeout_ms": 800, "target_latency_ms": 300,
		"priority": 2, "service": "ledger", "max_attempts": statusAttempts, "anonymous": false, "sticky": false, "resumable": false,
	})
	return m
}

// playAttempts sends requests of an idempotent route while one of four servers hangs in part and two others lose answers.
func playAttempts(s *stage) ([]string, error) {
	s.store.put("op", "", "config", statusManifest())
	if err := s.addServers(4, &server{service: "ledger", slots: 6, work: plainWork}); err != nil {
		return nil, err
	}
	if err := s.addServers(1, &server{service: "model", slots: 96, beforeFirst: 40 * time.Millisecond, betweenEvents: 5 * time.Millisecond}); err != nil {
		return nil, err
	}
	if err := s.addGateways("edge-1", "edge-2"); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	// ONLY=hang and ONLY=lost leave one of the two disturbances out.
	only := os.Getenv("ONLY")
	end := make(chan struct{})
	go func() {
		defer close(end)
		for round := range disturbances {
			if s.trouble {
				grey := round % 4
				if only != "lost" {
					s.servers[grey].disturb(hangShare, 0)
				}
				if only != "hang" {
					s.servers[(grey+1)%4].disturb(0, lostShare)
					s.servers[(grey+2)%4].disturb(0, lostShare)
				}
				s.note("%s hangs in part; %s and %s lose answers (only: %q)", s.servers[grey].id, s.servers[(grey+1)%4].id, s.servers[(grey+2)%4].id, only)
			}
			time.Sleep(disturbedFor)
			for _, v := range s.servers[:4] {
				v.disturb(0, 0)
			}
			time.Sleep(disturbedEvery - disturbedFor)
		}
	}()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var calls []*call
	tick := time.NewTicker(time.Second / statusPerS)
	defer tick.Stop()
	for n, running := 0, true; running; n++ {
		select {
		case <-end:
			running = false
			continue
		case <-tick.C:
		}
		wg.Go(func() {
			g := s.gateways[n%2]
			c := &call{Method: http.MethodGet, Attempt: fmt.Sprintf("5a02c6de%08x", n), Host: "shop.example", Path: "/status/2f", Key: "key-tailors", Deadline: 1500 * time.Millisecond}
			c.do(g.caller)
			s.note("%s at %s: status %d, whole %t, %d ms %s", c.Attempt, g.name, c.Status, c.Whole, c.EndedAt.Sub(c.SentAt).Milliseconds(), c.Err)
			mu.Lock()
			calls = append(calls, c)
			mu.Unlock()
		})
	}
	wg.Wait()
	time.Sleep(time.Second)
	runs, over := s.runs(), 0
	for _, c := range calls {
		ran := map[string]bool{}
		for _, r := range runs[c.Attempt] {
			ran[r.Server] = true
		}
		if len(ran) <= statusAttempts {
			continue
		}
		over++
		for _, r := range runs[c.Attempt] {
			s.note("%s ran at %s from %.3f s for %d ms", c.Attempt, r.Server, r.Began.Sub(s.began).Seconds(), r.Ended.Sub(r.Began).Milliseconds())
		}
	}
	s.note("%d requests, %d of them ran on more than %d servers", len(calls), over, statusAttempts)
	if over > 3 {
		return []string{fmt.Sprintf("%d of %d requests ran, in one client attempt, on more than %d servers", over, len(calls), statusAttempts)}, nil
	}
	return nil, nil
}

// disturb makes the server never answer a share of its requests, and reset the connection instead of answering in another share.
func (s *server) disturb(hangs, lost float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hangs, s.lost = hangs, lost
}

// draw returns how long the server works on a plain request, whether it never answers it, and whether its answer is lost.
func (s *server) draw() (work time.Duration, hangs, isLost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	spread := 0.5 + rand.Float64()
	return time.Duration(float64(s.work) * spread), rand.Float64() < s.hangs, rand.Float64() < s.lost
}
