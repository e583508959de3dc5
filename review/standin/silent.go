//go:build review

package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	lookPath  = "/cufi504/"
	draftPath = "/lohu930/"
)

// tenantCount is the number of tenants, as in the users' small deployments.
const tenantCount = 10

// keyOf returns the API key of a tenant.
func keyOf(tenant int) string { return fmt.Sprintf("n2ctnfzs989anu6wsj%02d", tenant) }

func standardManifest() (routes, services, tenants []map[string]any) {
	routes = []map[string]any{
		{"name": "r-look", "host": host, "path_prefix": lookPath, "route_kind": "idempotent", "timeout_ms": 800, "target_latency_ms": 150, "priority": 2, "service": "ledger", "max_attempts": 2, "anonymous": false, "sticky": false, "resumable": false},
		{"name": "r-draft", "host": host, "path_prefix": draftPath, "route_kind": "streaming", "timeout_ms": 6000, "target_latency_ms": 800, "target_tbt_ms": 400, "priority": 1, "service": "model", "max_attempts": 1, "anonymous": false, "sticky": true, "resumable": false},
	}
	services = []map[string]any{
		{"name": "ledger", "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false},
		{"name": "model", "health_path": "/healthz", "max_conns": 500, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 96, "kv_capacity": 186862, "stride": 4, "models": []map[string]any{{"name": "m"}}}},
	}
	for i := range tenantCount {
		tenants = append(tenants, map[string]any{"name": fmt.Sprintf("hule93%d", i), "api_keys": []string{keyOf(i)}, "priority": 1, "prepaid": 50_000_000})
	}
	return routes, services, tenants
}

// load sends requests to all routers until done is closed, and returns all calls.
func (f *fleet) load(done <-chan struct{}, clients int, pause time.Duration) func() []call {
	var mu sync.Mutex
	var all []call
	var wg sync.WaitGroup
	for _, r := range f.routers {
		for i := range clients {
			wg.Go(func() {
				client := newClient(6 * time.Second)
				for n := 0; ; n++ {
					header := http.Header{"Authorization": {"Token " + keyOf(n%tenantCount)}}
					select {
					case <-done:
						return
					case <-time.After(pause):
					}
					var c call
					if i%2 == 0 {
						c = send(client, r, http.MethodGet, lookPath+"2f", header, nil, 1500*time.Millisecond)
					} else {
						h := header.Clone()
						h.Set("X-Model", "m")
						h.Set("X-Token-Count", "1460,80")
						h.Set("X-Prefix-Hash", "5c1e07a2:800,e4402b7d"+strconv.Itoa(n%7)+":660")
						c = send(client, r, http.MethodPost, draftPath+"2f", h, []byte("a draft"), 6*time.Second)
					}
					mu.Lock()
					all = append(all, c)
					mu.Unlock()
				}
			})
		}
	}
	return func() []call {
		wg.Wait()
		return all
	}
}

const (
	// silentRounds is how often the channels go silent in one play. roundPause is the time without disturbance before each.
	silentRounds = 9
	roundPause   = 4 * time.Second
	// leaveAfter is how long after the silence a server's entry is removed, and watchFor how long each round is observed.
	leaveAfter = 500 * time.Millisecond
	watchFor   = 4500 * time.Millisecond
)

// round is one silence of the channels to the store and the leaving of one server after it.
type round struct {
	leaving         string
	silentAt, ackAt time.Time
}

// silentStore makes all open channels to the store silent, again and again. Soon after each silence, the entry of a server is
// removed; the server goes on serving.
func silentStore(f *fleet, trouble bool) (bool, error) {
	for i := range 4 {
		if _, err := f.addServer(fmt.Sprintf("i-ledger-%d", i), "ledger", zones[i], 30*time.Millisecond); err != nil {
			return false, err
		}
	}
	for i := range 9 {
		s, err := f.addServer(fmt.Sprintf("i-model-%d", i), "model", zones[i%len(zones)], 20*time.Millisecond)
		if err != nil {
			return false, err
		}
		s.SetStream(13, 20*time.Millisecond)
	}
	f.configure(standardManifest())
	if err := f.addRouters(5); err != nil {
		return false, err
	}
	done := make(chan struct{})
	finish := f.load(done, 6, 50*time.Millisecond)
	var rounds []round
	for i := range silentRounds {
		s, err := f.addServer(fmt.Sprintf("i-leaving-%d", i), "ledger", zones[i%len(zones)], 30*time.Millisecond)
		if err != nil {
			return false, err
		}
		time.Sleep(roundPause)
		r := round{leaving: s.ID}
		if trouble {
			channels := 0
			for _, router := range f.routers {
				channels += router.toStore.silence()
			}
			f.rec.logf("round %d: %d open channels of %d routers to the store go silent", i, channels, len(f.routers))
		}
		r.silentAt = time.Now()
		time.Sleep(leaveAfter)
		f.remove(s)
		r.ackAt = time.Now()
		f.rec.logf("round %d: the store has removed the entry of %s", i, s.ID)
		time.Sleep(time.Until(r.silentAt.Add(watchFor)))
		rounds = append(rounds, r)
	}
	close(done)
	calls := map[string]call{}
	for _, c := range finish() {
		calls[c.id] = c
	}
	broken := 0
	for i, r := range rounds {
		if f.countLate(r, i, calls) > 0 {
			broken++
		}
	}
	f.rec.logf("%d requests; the rule was broken in %d of %d rounds", len(calls), broken, len(rounds))
	return broken > 0, nil
}

// countLate counts the requests that reached a server later than drainTime after the ack of its leaving, and that clients sent
// once all machines were in touch again.
func (f *fleet) countLate(r round, number int, calls map[string]call) (late int) {
	after := 0
	var last time.Duration
	for _, run := range f.runs.Runs() {
		if run.Server != r.leaving || !run.HeadAt.After(r.ackAt) {
			continue
		}
		c := calls[run.ID]
		after++
		last = max(last, run.HeadAt.Sub(r.ackAt))
		if run.HeadAt.Sub(r.ackAt) <= drainTime || c.sentAt.Sub(r.silentAt) <= stableTime || c.sentAt.Sub(r.silentAt) > watchFor {
			continue
		}
		late++
		f.rec.logf("round %d: request %s, sent to %s %d ms after the silence, reached %s %d ms after the ack; the client got %d from %s", number, c.id, c.router,
			c.sentAt.Sub(r.silentAt).Milliseconds(), run.Server, run.HeadAt.Sub(r.ackAt).Milliseconds(), c.status, c.server)
	}
	f.rec.logf("round %d: %d requests reached %s after the ack, the last %d ms after it; %d against the rule", number, after, r.leaving, last.Milliseconds(), late)
	return late
}
