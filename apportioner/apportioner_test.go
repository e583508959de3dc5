package apportioner_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/apportioner"
	"github.com/masticway/masticway/measurer"
	"github.com/masticway/masticway/messenger"
)

// fixedClock shows a time that the test sets.
type fixedClock struct{ now time.Time }

func (c *fixedClock) Now() time.Time { return c.now }

func (c *fixedClock) After(time.Duration) <-chan time.Time { return nil }

// fixedMembers is a membership with the owner and the backup of all pools.
type fixedMembers struct {
	count  int
	ranked []string
}

func (m *fixedMembers) Members() int { return m.count }

func (m *fixedMembers) RankedLargeAddresses(_ string, limit int) []string {
	return m.ranked[:min(limit, len(m.ranked))]
}

// fakeRouters answers with the apportioners at the addresses, and records the addresses that were asked.
type fakeRouters struct {
	at    map[string]*apportioner.Apportioner
	asked []string
}

var errNoRouter = errors.New("no router at this address")

func (f *fakeRouters) Ask(_ context.Context, address string, req apportioner.Request) (apportioner.Reply, error) {
	f.asked = append(f.asked, address)
	if a, ok := f.at[address]; ok {
		return a.Answer(req), nil
	}
	return apportioner.Reply{}, errNoRouter
}

// fixture is an apportioner with its dependencies.
type fixture struct {
	*apportioner.Apportioner
	clock   *fixedClock
	members *fixedMembers
	routers *fakeRouters
	use     masticway.ConnectionUse
	limits  map[string]int
	log     *test.Hook
}

func newFixture(address string, clock *fixedClock, members *fixedMembers, routers apportioner.Routers) *fixture {
	log, hook := test.NewNullLogger()
	f := &fixture{clock: clock, members: members, log: hook}
	f.Apportioner = apportioner.New(apportioner.Dependencies{
		Routers: routers, Members: members, Clock: clock, Log: log.WithField("", ""), Metrics: measurer.New(),
		Self: masticway.NewIncarnation(address, "1"), Address: address,
		TakeUse: func(pools []string) map[string]masticway.ConnectionUse {
			uses := map[string]masticway.ConnectionUse{}
			for _, p := range pools {
				uses[p] = f.use
			}
			return uses
		},
		LimitConnections: func(limits map[string]int) { f.limits = limits },
	})
	return f
}

// newFleet returns an asking router, the owner and the backup, of 28 members that divide the pool and are not silent any more.
func newFleet() (asking, owner, backup *fixture) {
	clock, members := &fixedClock{now: time.Unix(1000, 0)}, &fixedMembers{count: 28, ranked: []string{"owner", "backup"}}
	routers := &fakeRouters{at: map[string]*apportioner.Apportioner{}}
	var all []*fixture
	for _, address := range []string{"asking", "owner", "backup"} {
		f := newFixture(address, clock, members, routers)
		f.routers = routers
		routers.at[address] = f.Apportioner
		f.Configure(plainPools, true)
		all = append(all, f)
	}
	for range 40 {
		for _, f := range all {
			f.Tick()
		}
		clock.now = clock.now.Add(100 * time.Millisecond)
	}
	return all[0], all[1], all[2]
}

// tick runs one tick with its requests.
func (f *fixture) tick(t *testing.T) {
	for _, ask := range f.Tick() {
		ask(t.Context())
	}
	f.clock.now = f.clock.now.Add(100 * time.Millisecond)
}

var plainPools = map[string]masticway.Pool{"plain": {Name: "plain", MaxConnections: 230}}

// TestNothingIsDividedElsewhere guards against another limit of connections, or messages, in deployments and pools to which the
// division by demand does not apply.
func TestNothingIsDividedElsewhere(t *testing.T) {
	cases := map[string]struct {
		pool       masticway.Pool
		sharesLoad bool
		members    int
		divided    bool
	}{
		"divided":                  {pool: masticway.Pool{MaxConnections: 230}, sharesLoad: true, members: 28, divided: true},
		"load is not shared":       {pool: masticway.Pool{MaxConnections: 230}, members: 28},
		"engines":                  {pool: masticway.Pool{MaxConnections: 230, IsEngine: true}, sharesLoad: true, members: 28},
		"no limit":                 {sharesLoad: true, members: 28},
		"large equal share":        {pool: masticway.Pool{MaxConnections: 448}, sharesLoad: true, members: 28},
		"two connections for each": {pool: masticway.Pool{MaxConnections: 50}, sharesLoad: true, members: 28},
		"unknown members":          {pool: masticway.Pool{MaxConnections: 230}, sharesLoad: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			routers := &fakeRouters{}
			f := newFixture("asking", &fixedClock{now: time.Unix(1000, 0)}, &fixedMembers{count: tc.members, ranked: []string{"owner"}}, routers)
			f.use = masticway.ConnectionUse{Peak: 16, Denied: 20}
			f.Configure(map[string]masticway.Pool{"plain": tc.pool}, tc.sharesLoad)
			for range 20 {
				f.tick(t)
			}
			_, divided := f.Allowed("plain")
			qt.Check(t, divided, qt.Equals, tc.divided)
			qt.Check(t, len(routers.asked) > 0, qt.Equals, tc.divided)
			_, limited := f.limits["plain"]
			qt.Check(t, limited, qt.Equals, tc.divided)
			_, divided = f.Allowed("another")
			qt.Check(t, divided, qt.IsFalse)
		})
	}
}

// TestLeaseIsUsedAndEnds guards against a router that does not use its lease, or whose idle connections stay after the lease.
func TestLeaseIsUsedAndEnds(t *testing.T) {
	f, owner, _ := newFleet()
	f.use = masticway.ConnectionUse{Peak: 6, Denied: 14}
	f.tick(t)
	allowed, _ := f.Allowed("plain")
	qt.Assert(t, allowed, qt.Equals, 20)
	qt.Assert(t, f.limits, qt.DeepEquals, map[string]int{"plain": 20})
	qt.Assert(t, f.Metrics.Count("connection_leases"), qt.Equals, int64(14))
	qt.Assert(t, f.log.LastEntry().Data["event"], qt.Equals, "connection_lease")
	qt.Assert(t, f.routers.asked, qt.DeepEquals, []string{"owner"})
	// The owner and the backup do not reply any more.
	clear(f.routers.at)
	for range 31 {
		f.tick(t)
	}
	allowed, _ = f.Allowed("plain")
	qt.Assert(t, allowed, qt.Equals, 6)
	qt.Assert(t, f.limits, qt.DeepEquals, map[string]int{"plain": 6})
	qt.Assert(t, owner.log.LastEntry().Data["event"], qt.Equals, "connection_owner")
}

// TestBackupIsAsked guards against a router that asks nobody else while the owner does not reply, and against one that sends each
// request to the silent owner first.
func TestBackupIsAsked(t *testing.T) {
	f, _, _ := newFleet()
	delete(f.routers.at, "owner")
	f.use = masticway.ConnectionUse{Peak: 6, Denied: 100}
	for range 9 {
		f.tick(t)
	}
	allowed, _ := f.Allowed("plain")
	qt.Assert(t, allowed, qt.Equals, 6+57/4)
	qt.Assert(t, slices.Index(f.routers.asked, "owner"), qt.Equals, 0)
	qt.Assert(t, slices.Contains(f.routers.asked[1:], "owner"), qt.IsFalse)
	qt.Assert(t, f.Metrics.Count("connection_asks_unanswered"), qt.Equals, int64(0))
}

// TestSilentOwnerIsAskedLessOften guards against a router that delays its requests again and again by those to an owner that does not
// reply, and against one that does not return to an owner that replies again.
func TestSilentOwnerIsAskedLessOften(t *testing.T) {
	f, owner, _ := newFleet()
	delete(f.routers.at, "owner")
	f.use = masticway.ConnectionUse{Peak: 6, Denied: 100}
	asks := func(d time.Duration) (n int) {
		before := len(f.routers.asked)
		for range d / (100 * time.Millisecond) {
			f.tick(t)
		}
		for _, address := range f.routers.asked[before:] {
			if address == "owner" {
				n++
			}
		}
		return n
	}
	// At once, and after waits of 1, 2, 4, 8, 8 and 8 s.
	qt.Assert(t, asks(32*time.Second), qt.Equals, 7)
	f.routers.at["owner"] = owner.Apportioner
	qt.Assert(t, asks(12*time.Second) > 6, qt.IsTrue)
}

// TestLeasesEndWithTheSharing guards against leases that come back when routers share load again, and against an owner that has then
// forgotten what it leased.
func TestLeasesEndWithTheSharing(t *testing.T) {
	f, owner, _ := newFleet()
	f.use = masticway.ConnectionUse{Peak: 6, Denied: 100}
	f.tick(t)
	owner.Configure(plainPools, false)
	f.Configure(plainPools, false)
	f.tick(t)
	_, divided := f.Allowed("plain")
	qt.Assert(t, divided, qt.IsFalse)
	qt.Assert(t, f.limits, qt.HasLen, 0)
	owner.Configure(plainPools, true)
	f.Configure(plainPools, true)
	allowed, _ := f.Allowed("plain")
	qt.Assert(t, allowed, qt.Equals, 6)
	reply := owner.Answer(apportioner.Request{Pool: "plain", Sender: "another~1", Wanted: 50})
	qt.Assert(t, reply.Granted, qt.Equals, 0)
}

// TestRequestsPassOverTheNetwork guards against fields that get lost in the encoding of requests and replies.
func TestRequestsPassOverTheNetwork(t *testing.T) {
	_, owner, _ := newFleet()
	mux := http.NewServeMux()
	owner.Serve(mux)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	client := apportioner.NewClient(messenger.NewClient())
	address := strings.TrimPrefix(server.URL, "http://")
	req := apportioner.Request{Pool: "plain", Sender: "a~1", Used: 6, Denied: 3, Wanted: 9, Kept: 12}
	reply, err := client.Ask(t.Context(), address, req)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, reply, qt.Equals, apportioner.Reply{Granter: "owner~1", Number: 1, Granted: 12, Part: 57})
	// The first lease is dropped only once it is confirmed that another is used.
	other := apportioner.Request{Pool: "plain", Sender: "b~1", Wanted: 40}
	reply, err = client.Ask(t.Context(), address, other)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, reply.Granted, qt.Equals, 30)
	req.Wanted, req.Kept = 0, 0
	for _, applied := range []uint64{1, 3} {
		req.Applied = map[masticway.Incarnation]uint64{"owner~1": applied}
		_, err = client.Ask(t.Context(), address, req)
		qt.Assert(t, err, qt.IsNil)
	}
	reply, err = client.Ask(t.Context(), address, other)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, reply.Granted, qt.Equals, 40)
	reply, err = client.Ask(t.Context(), address, apportioner.Request{Pool: "unknown", Sender: "a~1", Wanted: 9})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, reply, qt.Equals, apportioner.Reply{Granter: "owner~1", NotGranting: true})
}

// TestRunStops guards against a Run that does not notice a configuration or does not return.
func TestRunStops(t *testing.T) {
	asked := make(chan string, 100)
	log, _ := test.NewNullLogger()
	a := apportioner.New(apportioner.Dependencies{
		Routers: askFunc(func(address string) { asked <- address }), Members: &fixedMembers{count: 28, ranked: []string{"owner"}}, Clock: masticway.SystemClock{},
		Log: log.WithField("", ""), Metrics: measurer.New(), Self: "asking~1", Address: "asking",
		TakeUse: func([]string) map[string]masticway.ConnectionUse {
			return map[string]masticway.ConnectionUse{"plain": {Peak: 6}}
		},
		LimitConnections: func(map[string]int) {},
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		a.Run(ctx)
	}()
	a.Configure(plainPools, true)
	qt.Assert(t, <-asked, qt.Equals, "owner")
	cancel()
	<-done
}

// askFunc is called with the address of each request, which then fails.
type askFunc func(address string)

func (f askFunc) Ask(_ context.Context, address string, _ apportioner.Request) (apportioner.Reply, error) {
	f(address)
	return apportioner.Reply{}, errNoRouter
}

// TestFirstReadingIsDiscarded guards against requests for leases because of use before the pool was divided, which may be long ago.
func TestFirstReadingIsDiscarded(t *testing.T) {
	members := &fixedMembers{count: 28, ranked: []string{"owner", "backup"}}
	f := newFixture("asking", &fixedClock{now: time.Unix(1000, 0)}, members, &fakeRouters{})
	for _, divides := range []bool{true, false, true} {
		f.Configure(plainPools, divides)
		f.use = masticway.ConnectionUse{Peak: 100, Denied: 20}
		qt.Assert(t, f.Tick(), qt.HasLen, 0)
		f.use = masticway.ConnectionUse{}
		f.clock.now = f.clock.now.Add(time.Second)
		qt.Assert(t, f.Tick(), qt.HasLen, 0)
	}
	f.use = masticway.ConnectionUse{Peak: 100}
	qt.Assert(t, f.Tick(), qt.HasLen, 1)
}
