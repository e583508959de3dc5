//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	recoveryTime = 12 * time.Second
	// removedPrepaid is what each of the tenants has prepaid. By the end of a play about 0.8 of it has been used, if all is served.
	removedPrepaid = 340_000
	promptTokens   = 1460
	outputTokens   = 80
	// tokensPerEvent is the most that one event has, as the manifest says.
	tokensPerEvent = 4
)

// rotation is the set of routers to which the platform sends clients: one question a second, two misses take a router out.
type rotation struct {
	mu sync.Mutex
	in []*router
}

func (r *rotation) watch(routers []*router, done <-chan struct{}) {
	misses := map[*router]int{}
	for {
		var in []*router
		for _, router := range routers {
			if router.isReady() {
				misses[router] = 0
			} else {
				misses[router]++
			}
			if misses[router] < 2 {
				in = append(in, router)
			}
		}
		r.mu.Lock()
		r.in = in
		r.mu.Unlock()
		select {
		case <-done:
			return
		case <-time.After(time.Second):
		}
	}
}

// pick returns any router in the rotation, or nil if there is none.
func (r *rotation) pick() *router {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.in) == 0 {
		return nil
	}
	return r.in[rand.IntN(len(r.in))]
}

// removed: four of five routers get SIGTERM and leave for good, while the store is silent. Later the last one is killed and
// starts again.
func removed(f *fleet, trouble bool) (bool, error) {
	for i := range 9 {
		s, err := f.addServer(fmt.Sprintf("i-model-%d", i), "model", zones[i%len(zones)], 0)
		if err != nil {
			return false, err
		}
		s.SetStream(17, 20*time.Millisecond)
	}
	routes, services, tenants := standardManifest()
	for _, t := range tenants {
		t["prepaid"] = removedPrepaid
	}
	f.configure(routes, services, tenants)
	if err := f.addRouters(5); err != nil {
		return false, err
	}
	done := make(chan struct{})
	balancer := &rotation{}
	go balancer.watch(f.routers, done)
	time.Sleep(500 * time.Millisecond)
	var mu sync.Mutex
	var all []call
	delivered := make([]atomic.Int64, tenantCount)
	var wg sync.WaitGroup
	for i := range 20 {
		wg.Go(func() {
			client := newClient(6 * time.Second)
			for n := i; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(160 * time.Millisecond):
				}
				r := balancer.pick()
				if r == nil {
					continue
				}
				header := http.Header{"Authorization": {"Token " + keyOf(n%tenantCount)}, "X-Model": {"m"}}
				header.Set("X-Token-Count", fmt.Sprintf("%d,%d", promptTokens, outputTokens))
				header.Set("X-Prefix-Hash", fmt.Sprintf("5c1e07a2:800,e4402b7d%d:660", n%7))
				c := send(client, r, http.MethodPost, draftPath+"2f", header, []byte("a draft"), 6*time.Second)
				if c.events > 0 {
					delivered[n%tenantCount].Add(int64(promptTokens + c.events*tokensPerEvent))
				}
				mu.Lock()
				all = append(all, c)
				mu.Unlock()
			}
		})
	}
	time.Sleep(10 * time.Second)
	last := f.routers[len(f.routers)-1]
	leaving := f.routers[:len(f.routers)-1]
	for _, r := range leaving {
		f.rec.logf("%s gets SIGTERM and is not started again", r.name)
		r.signal(syscall.SIGTERM)
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(1600 * time.Millisecond)
	if trouble {
		f.rec.logf("the store is silent for 4.5 s")
		for _, r := range f.routers {
			r.toStore.hold(true)
		}
	}
	time.Sleep(4500 * time.Millisecond)
	for _, r := range f.routers {
		r.toStore.hold(false)
	}
	f.rec.logf("the store answers")
	for _, r := range leaving {
		select {
		case <-r.exited:
		case <-time.After(graceTime):
			f.rec.logf("%s gets SIGKILL at the end of its grace", r.name)
			r.signal(syscall.SIGKILL)
		}
	}
	time.Sleep(12 * time.Second)
	faultAt := time.Now()
	f.rec.logf("final fault: %s is killed", last.name)
	last.signal(syscall.SIGKILL)
	<-last.exited
	time.Sleep(time.Second)
	if err := f.start(last); err != nil {
		return false, err
	}
	if err := last.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	backAt := time.Now()
	f.rec.logf("%s is back", last.name)
	time.Sleep(recoveryTime + 5*time.Second)
	close(done)
	wg.Wait()
	before, after := tally{}, tally{}
	for _, c := range all {
		switch {
		case c.sentAt.After(faultAt.Add(-8*time.Second)) && c.sentAt.Before(faultAt.Add(-2*time.Second)):
			before.add(c)
		case c.sentAt.After(backAt.Add(recoveryTime)):
			after.add(c)
		}
	}
	var sum int64
	for i := range delivered {
		sum += delivered[i].Load()
		f.rec.logf("hule93%d was given %d of %d prepaid tokens", i, delivered[i].Load(), removedPrepaid)
	}
	f.rec.logf("%d of %d tokens were given in all", sum, removedPrepaid*tenantCount)
	f.rec.logf("in the 6 s until 2 s before the final fault: %s", before)
	f.rec.logf("later than 12 s after the machine was back: %s", after)
	if before.asked == 0 || after.asked == 0 || 4*before.served < before.asked {
		return false, fmt.Errorf("too few requests to judge: %s, %s", before, after)
	}
	return 4*after.served < after.asked, nil
}

// tally counts requests by how they ended.
type tally struct {
	asked, served, exhausted, others int
}

func (t *tally) add(c call) {
	t.asked++
	switch {
	case c.err == nil && c.status == http.StatusOK:
		t.served++
	case c.status == http.StatusPaymentRequired:
		t.exhausted++
	default:
		t.others++
	}
}

func (t tally) String() string {
	return fmt.Sprintf("%d asked, %d served, %d refused with 402, %d others", t.asked, t.served, t.exhausted, t.others)
}
