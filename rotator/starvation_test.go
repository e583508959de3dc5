package rotator_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/measurer"
	"github.com/masticway/masticway/rotator"
)

const (
	// tick is the time by which the simulation of queued links advances.
	tick = time.Millisecond
	// thinLink and wideLink are the capacities of the routers' links in bytes per second: 10 and 200 Mbit/s.
	thinLink, wideLink = 1.25e6, 25e6
	// packetBytes is the size of a packet without a body, requestBytes the average size of a request and answerBytes that of an answer.
	packetBytes, requestBytes, answerBytes = 70, 3500, 900
	// farTime is the round-trip time to a caller, and nearTime that to a server or router.
	farTime, nearTime = 6 * time.Millisecond, 3 * time.Millisecond
	// callTimeout is the timeout of a router's own calls.
	callTimeout = 250 * time.Millisecond
	// maxWait is the longest time for which packets may wait for the link of a router that resumes its listener, unless it has been
	// paused for maxPause.
	maxWait, maxPause = 40 * time.Millisecond, time.Second
)

// packet is what waits for a router's link. arrive is called when the link has carried it.
type packet struct {
	bytes  float64
	arrive func()
}

// event happens at a time.
type event struct {
	at time.Time
	do func()
}

// queuedRouter is a router whose link carries packets in their order. Its listener loses the connections whose handshake is not
// complete when it is paused, as the kernel does.
type queuedRouter struct {
	zone    *queuedZone
	name    string
	rate    float64
	rotator *rotator.Rotator
	queue   []packet
	// credit is the number of bytes that the link can carry now.
	credit float64
	paused bool
	// listens is the number of times that the listener was resumed. A connection belongs to the listener that got its first packet.
	listens int
	misses  int
	// pausedAt is when the listener was last paused. earlyResumes is the number of times that it was resumed less than maxPause
	// later while packets waited for longer than maxWait.
	pausedAt     time.Time
	earlyResumes int
}

func (m *queuedRouter) Pause() {
	m.zone.do(func() { m.paused, m.pausedAt = true, time.Now() })
}

func (m *queuedRouter) Resume() bool {
	m.zone.do(func() {
		m.paused, m.listens = false, m.listens+1
		if m.wait() > maxWait && time.Since(m.pausedAt) < maxPause {
			m.earlyResumes++
		}
	})
	return true
}

// wait returns how long a new packet would wait for the link.
func (m *queuedRouter) wait() time.Duration {
	bytes := 0.0
	for _, p := range m.queue {
		bytes += p.bytes
	}
	return time.Duration(bytes / m.rate * float64(time.Second))
}

// send queues a packet that is on its way to the router.
func (m *queuedRouter) send(bytes float64, arrive func()) {
	m.queue = append(m.queue, packet{bytes, arrive})
}

// carry delivers what the link carries within a tick.
func (m *queuedRouter) carry() {
	m.credit = min(m.credit+m.rate*tick.Seconds(), max(m.rate*tick.Seconds(), requestBytes))
	for len(m.queue) > 0 && m.credit > 0 {
		p := m.queue[0]
		m.queue = m.queue[1:]
		m.credit -= p.bytes
		p.arrive()
	}
}

// call makes a call of the router's own, whose answer comes over its link. done is called once.
func (m *queuedRouter) call(k rotator.Kind, done func(answered bool)) {
	began, ended := time.Now(), false
	end := func(answered bool) {
		if ended {
			return
		}
		ended = true
		m.rotator.RecordCall(k, time.Since(began), answered)
		done(answered)
	}
	m.zone.after(nearTime, func() { m.send(packetBytes, func() { end(true) }) })
	m.zone.after(callTimeout, func() { end(false) })
}

// connect sends a request of a workspace to the router over a new connection.
func (m *queuedRouter) connect(w *queuedWorkspace) {
	bytes := requestBytes * (0.5 + m.zone.random.Float64())
	w.sent++
	m.send(packetBytes, func() {
		if m.paused {
			return
		}
		listens := m.listens
		m.zone.after(farTime, func() {
			// The last packet of the handshake is followed by the request.
			m.send(bytes, func() {
				if !m.paused && m.listens == listens {
					m.receive(w, bytes)
				}
			})
		})
	})
}

// receive handles a request that the link has carried: it needs a connection to a server.
func (m *queuedRouter) receive(w *queuedWorkspace, bytes float64) {
	m.rotator.MarkConnection()
	m.rotator.MarkRequest(false)
	m.rotator.MarkBytes(int(bytes))
	if !m.rotator.Admit(0, int64(bytes)) {
		return
	}
	end := func() {
		m.rotator.MarkAnswered()
		m.rotator.Release(int64(bytes))
	}
	m.call(rotator.KindServer, func(answered bool) {
		if !answered {
			end()
			return
		}
		m.zone.after(nearTime, func() {
			m.send(answerBytes, func() {
				m.rotator.MarkBytes(answerBytes)
				w.served++
				end()
			})
		})
	})
}

// queuedWorkspace is a workspace with perSecond requests per second. Its callers use the first router in rotation in their order.
type queuedWorkspace struct {
	name      string
	order     []int
	perSecond float64
	due       float64
	sent      float64
	served    float64
}

// queuedZone is an availability zone whose routers have links of different capacities, behind a load balancer.
type queuedZone struct {
	routers    []*queuedRouter
	workspaces []*queuedWorkspace
	random     *rand.Rand
	events     []event
	// calls delivers what other goroutines want to change.
	calls chan func()
}

// do calls f in the goroutine of the simulation.
func (z *queuedZone) do(f func()) {
	done := make(chan struct{})
	z.calls <- func() { f(); close(done) }
	<-done
}

// after calls f after a time.
func (z *queuedZone) after(d time.Duration, f func()) {
	z.events = append(z.events, event{time.Now().Add(d), f})
}

// Ask sends a lease request to a voter over both routers' links.
func (z *queuedZone) Ask(ctx context.Context, address string, req rotator.LeaseRequest) (rotator.LeaseReply, error) {
	reply := make(chan rotator.LeaseReply, 1)
	z.calls <- func() {
		voter, asker := z.router(address), z.router(req.Instance)
		voter.send(packetBytes, func() {
			r := voter.rotator.Vote(req)
			z.after(nearTime, func() { asker.send(packetBytes, func() { reply <- r }) })
		})
	}
	select {
	case r := <-reply:
		return r, nil
	case <-ctx.Done():
		return rotator.LeaseReply{}, ctx.Err()
	}
}

func (z *queuedZone) router(name string) *queuedRouter {
	for _, m := range z.routers {
		if m.name == name {
			return m
		}
	}
	return nil
}

func newQueuedZone(ctx context.Context, seed uint64, links ...float64) *queuedZone {
	z := &queuedZone{random: rand.New(rand.NewPCG(seed, 1)), calls: make(chan func(), 1000)}
	log, _ := test.NewNullLogger()
	for i, rate := range links {
		m := &queuedRouter{zone: z, name: fmt.Sprintf("edge-%d", i), rate: rate}
		z.routers = append(z.routers, m)
		m.rotator = rotator.New(rotator.Settings{Instance: m.name, Zone: "zone", LinkRate: rate}, rotator.Dependencies{
			Listener: m, Voters: z, Clock: emulator.MonotonicClock{}, Log: log.WithField("", ""), Metrics: measurer.New(),
			Neighbours: func() []rotator.Neighbour {
				var others []rotator.Neighbour
				for _, o := range z.routers {
					if o != m {
						others = append(others, rotator.Neighbour{Instance: o.name, Address: o.name})
					}
				}
				return others
			},
		})
	}
	for _, m := range z.routers {
		go m.rotator.Run(ctx)
	}
	return z
}

// advance runs the simulation for a time.
func (z *queuedZone) advance(span time.Duration) {
	for at := time.Duration(0); at < span; at += tick {
		if at%probeInterval == 0 {
			z.probe()
		}
		if at%(20*time.Millisecond) == 0 {
			for _, m := range z.routers {
				m.call(rotator.KindRouter, func(bool) {})
				m.call(rotator.KindStore, func(bool) {})
			}
		}
		for _, w := range z.workspaces {
			for w.due += w.perSecond * tick.Seconds(); w.due >= 1; w.due-- {
				if m := z.choose(w); m != nil {
					m.connect(w)
				}
			}
		}
		z.runDue()
		for _, m := range z.routers {
			m.carry()
		}
		z.settle()
	}
}

// settle waits for a tick, and until the routers' goroutines wait in turn.
func (z *queuedZone) settle() {
	time.Sleep(tick)
	synctest.Wait()
	for len(z.calls) > 0 {
		(<-z.calls)()
		synctest.Wait()
	}
}

// stop stops the routers and waits for their calls to end.
func (z *queuedZone) stop(stop context.CancelFunc) {
	stop()
	for range 4 * int(time.Second/tick) {
		z.settle()
	}
}

// runDue runs the events that are due.
func (z *queuedZone) runDue() {
	events := z.events
	z.events = nil
	for _, e := range events {
		if time.Now().Before(e.at) {
			z.events = append(z.events, e)
		} else {
			e.do()
		}
	}
}

// choose returns the router that the load balancer selects for a workspace's callers. A workspace without an order uses all routers.
func (z *queuedZone) choose(w *queuedWorkspace) *queuedRouter {
	order := w.order
	if order == nil {
		order = z.random.Perm(len(z.routers))
	}
	for _, i := range order {
		if m := z.routers[i]; m.misses < 2 {
			return m
		}
	}
	return nil
}

// probe performs the load balancer's readiness probes.
func (z *queuedZone) probe() {
	for _, m := range z.routers {
		if !m.rotator.IsReady() {
			m.misses++
		} else {
			m.misses = 0
		}
	}
}

// TestNoWorkspaceStarvesBehindFullLinks guards against a workspace that is served less than a quarter as often as all, because its
// callers come to one router after the other whose links are too small for them. Callers whose connections are refused or reset,
// or that wait in vain, count as not served.
func TestNoWorkspaceStarvesBehindFullLinks(t *testing.T) {
	const (
		// elsewhere is the number of requests per second in other zones, all of which are served.
		elsewhere = 600.0
		// lifetime is how long the workspaces send requests.
		lifetime = 8
		minRatio = 0.25
	)
	for name, hot := range map[string]float64{"twice the capacity": 500, "three times": 750, "four times": 1000} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, stop := context.WithCancel(t.Context())
					z := newQueuedZone(ctx, seed, wideLink, wideLink, thinLink, thinLink, thinLink, thinLink, thinLink)
					z.advance(2 * time.Second)
					z.workspaces = []*queuedWorkspace{
						{name: "hot", order: []int{5, 3, 4, 1, 0, 2, 6}, perSecond: hot},
						{name: "beside it", order: []int{5, 3, 4, 1, 0, 2, 6}, perSecond: 20},
						{name: "spread", perSecond: 150},
					}
					z.advance(lifetime * time.Second)
					sent, served := elsewhere*lifetime, elsewhere*lifetime
					for _, w := range z.workspaces {
						sent, served = sent+w.sent, served+w.served
					}
					for _, w := range z.workspaces {
						ratio := w.served / w.sent / (served / sent)
						t.Logf("%s: %.0f of %.0f requests served, %.2f of the share of all", w.name, w.served, w.sent, ratio)
						qt.Check(t, ratio >= minRatio, qt.IsTrue, qt.Commentf(w.name))
					}
					z.stop(stop)
				})
			})
		}
	}
}

// TestPausedListenerWaitsForItsLink guards against routers that resume their listener while what was sent before the pause still
// waits for the link: all callers that connect behind it come at once, and the next pause loses them.
func TestPausedListenerWaitsForItsLink(t *testing.T) {
	for name, linkRate := range map[string]float64{"capacity is known": thinLink, "capacity is unknown": 0} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				z := newQueuedZone(ctx, 0, thinLink, linkRate)
				m := z.routers[1]
				m.rate = thinLink
				z.advance(2 * time.Second)
				z.workspaces = []*queuedWorkspace{{name: "hot", order: []int{1}, perSecond: 600}}
				z.advance(8 * time.Second)
				t.Logf("resumed %d times, %d of them early", m.listens, m.earlyResumes)
				qt.Check(t, m.listens > 10, qt.IsTrue)
				qt.Check(t, m.earlyResumes, qt.Equals, 0)
				z.stop(stop)
			})
		})
	}
}
