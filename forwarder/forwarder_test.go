package forwarder_test

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/follower"
	"github.com/masticway/masticway/forwarder"
	"github.com/masticway/masticway/measurer"
	"github.com/masticway/masticway/platform"
	"github.com/masticway/masticway/tallier"
	"github.com/masticway/masticway/throttler"
	"github.com/masticway/masticway/treasurer"
)

// offsetClock is the system clock plus an offset that a test advances.
type offsetClock struct {
	masticway.SystemClock
	mu     sync.Mutex
	offset time.Duration
	// lateness is how much later than it should a wait ends, as if this process had to wait for a processor.
	lateness time.Duration
}

func (c *offsetClock) After(d time.Duration) <-chan time.Time {
	return c.SystemClock.After(d + c.lateness)
}

func (c *offsetClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Add(c.offset)
}

func (c *offsetClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offset += d
}

func TestDrainRefusesRequestsThatOutlastRouter(t *testing.T) {
	cases := map[string]struct {
		after      time.Duration
		deadlineMS string
		status     int
	}{
		"long request, at once":           {deadlineMS: "15000", status: 200},
		"long request, after the notice":  {after: 4 * time.Second, deadlineMS: "15000", status: 503},
		"short request, after the notice": {after: 4 * time.Second, deadlineMS: "1500", status: 200},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.router.Drain(f.clock.Now(), f.clock.Now().Add(7500*time.Millisecond))
			f.clock.advance(tc.after)
			got := f.do(t.Context(), "POST", "/stream/x", "X-Deadline-Ms", tc.deadlineMS)
			qt.Assert(t, got.err, qt.IsNil)
			qt.Assert(t, got.status, qt.Equals, tc.status)
			qt.Assert(t, got.header.Get("Retry-After") != "", qt.Equals, tc.status == 503)
		})
	}
}

// TestDrainIsCheckedAfterReadingBody guards against forwarding a request that may outlast the router, if its head arrives in time
// and its body only after the router has begun to refuse such requests.
func TestDrainIsCheckedAfterReadingBody(t *testing.T) {
	for name, refuse := range map[string]func(f *fixture){
		"the time for long requests is over": func(f *fixture) { f.clock.advance(4 * time.Second) },
		"connections are being closed":       func(f *fixture) { f.router.StopForwarding() },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.router.Drain(f.clock.Now(), f.clock.Now().Add(7500*time.Millisecond))
			c, err := net.Dial("tcp", strings.TrimPrefix(f.frontend.URL, "http://"))
			qt.Assert(t, err, qt.IsNil)
			defer c.Close()
			fmt.Fprintf(c, "POST /never/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\nAuthorization: Token k\r\nX-Deadline-Ms: 15000\r\nContent-Length: 4\r\n\r\nbo")
			// The router has read the head by then.
			time.Sleep(100 * time.Millisecond)
			refuse(f)
			fmt.Fprint(c, "dy")
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, response.StatusCode, qt.Equals, 503)
			qt.Assert(t, response.Header.Get("Retry-After") != "", qt.IsTrue)
			qt.Assert(t, f.ledger.Runs(), qt.HasLen, 0)
		})
	}
}

// TestExpiredRequestIsNotSent suspends the machine while a request waits for its hold, for longer than the request's deadline. It
// guards against sending the request with a deadline in the past: timers stop during a suspension, so the context alone does not
// end it.
func TestExpiredRequestIsNotSent(t *testing.T) {
	f := newFixture(t, 1)
	f.budgets.onHold = func() { f.clock.advance(5 * time.Second) }
	got := f.do(t.Context(), "POST", "/stream/x", "X-Deadline-Ms", "4000", "X-Token-Count", "100,40")
	qt.Assert(t, got.err, qt.IsNil)
	qt.Assert(t, got.status, qt.Equals, 503)
	qt.Assert(t, f.ledger.Runs(), qt.HasLen, 0)
}

// fakeBudgets returns a given verdict and records what is held and settled.
type fakeBudgets struct {
	mu           sync.Mutex
	verdict      treasurer.Verdict
	held         []int64
	settled      []int64
	clearBlocked bool
	// clearDelay is how long Clear takes.
	clearDelay time.Duration
	// othersOwn is set if other routers own all keys.
	othersOwn bool
	// onHold is called by Hold.
	onHold func()
}

func (b *fakeBudgets) Hold(_ context.Context, _ string, need int64, _ time.Duration) treasurer.Reply {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.onHold != nil {
		b.onHold()
	}
	b.held = append(b.held, need)
	return treasurer.Reply{ID: 1, Verdict: b.verdict}
}

func (b *fakeBudgets) Clear(ctx context.Context, _ treasurer.HoldID) bool {
	if b.clearBlocked {
		<-ctx.Done()
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(b.clearDelay):
		return true
	}
}

func (b *fakeBudgets) Settle(_ treasurer.HoldID, used int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settled = append(b.settled, used)
}

func (b *fakeBudgets) Members() int { return 1 }

func (b *fakeBudgets) RetrySharers() int { return 1 }

// fakeRotation implements masticway.Rotation.
type fakeRotation struct {
	out, full atomic.Bool
	// unanswered counts the admitted requests that wait for an answer, heldBytes the bytes that have not been released.
	unanswered, heldBytes atomic.Int64
}

func (r *fakeRotation) IsOut() bool { return r.out.Load() }

func (r *fakeRotation) Admit(_ int, bytes int64) bool {
	if r.full.Load() {
		return false
	}
	r.heldBytes.Add(bytes)
	r.unanswered.Add(1)
	return true
}

func (r *fakeRotation) MarkAnswered() { r.unanswered.Add(-1) }

func (r *fakeRotation) Release(bytes int64) { r.heldBytes.Add(-bytes) }

// noSuspects is an examiner without suspects.
type noSuspects struct{}

func (noSuspects) HasNoSuspects() bool { return true }

func (noSuspects) Status(masticway.Suspects) masticway.SuspectStatus {
	return masticway.SuspectStatus{Suspicion: masticway.SuspicionNone}
}

func (noSuspects) Changed() <-chan struct{} { return nil }

func (noSuspects) QuarantineServers() (all, serious map[masticway.ServerIncarnation]bool) {
	return nil, nil
}

func (noSuspects) Claim(context.Context, masticway.Suspects, masticway.ServerIncarnation) bool {
	return false
}

func (noSuspects) ReportCrash(masticway.Suspects, masticway.ServerCrash, time.Time) {}

func (noSuspects) Clear(masticway.Suspects) {}

func (noSuspects) RecordAnswer(masticway.Suspects, time.Time) {}

func (noSuspects) Release(masticway.Suspects, bool) {}

func (b *fakeBudgets) OwnsKey(string) bool { return !b.othersOwn }

func (b *fakeBudgets) settledAmounts() []int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]int64(nil), b.settled...)
}

// fakeCaller is a caller's connection as the kernel would report it.
type fakeCaller struct {
	clock *offsetClock
	mu    sync.Mutex
	// age is how long before each request is read it arrived.
	age time.Duration
	// hasLeft is called by HasLeft. If it is nil, the caller has not left.
	hasLeft func() bool
	// hasClosed is what HasClosed returns.
	hasClosed atomic.Bool
}

func (c *fakeCaller) ArrivedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.age == 0 {
		return time.Time{}
	}
	return c.clock.Now().Add(-c.age)
}

func (c *fakeCaller) HasClosed() bool { return c.hasClosed.Load() }

func (c *fakeCaller) HasLeft() bool {
	c.mu.Lock()
	left := c.hasLeft
	c.mu.Unlock()
	return left != nil && left()
}

// fixture is a router in front of opaque servers.
type fixture struct {
	t       *testing.T
	ledger  *emulator.OpaqueRunLog
	servers []*emulator.OpaqueServer
	budgets *fakeBudgets
	clock   *offsetClock
	// snapshotMu guards snapshot for tests that change it while requests run.
	snapshotMu sync.Mutex
	snapshot   follower.Snapshot
	router     *forwarder.Forwarder
	// rotation is the router's rotation, and connections its division of connections by demand.
	rotation    fakeRotation
	connections fixedConnections
	// callers is the connection on which all requests seem to arrive.
	callers  fakeCaller
	frontend *httptest.Server
	// throttler is the router's; it has no peers.
	throttler *throttler.Throttler
	versions  fakeVersions
}

// fakeVersions is a StreamVersions in one process. It holds the versions of streams by attempt.
type fakeVersions struct{ byAttempt sync.Map }

func (v *fakeVersions) Record(_ context.Context, _, attempt, version string) bool {
	v.byAttempt.Store(attempt, version)
	return true
}

func (v *fakeVersions) Find(_ context.Context, _, attempt string) (string, bool) {
	version, ok := v.byAttempt.Load(attempt)
	if !ok {
		return "", false
	}
	return version.(string), true
}

// routerAddress is the address of the only router.
const routerAddress = "router"

func (b *fakeBudgets) RankedAddresses(string, int) []string { return []string{routerAddress} }

const (
	promptTokens    = 100
	maxOutputTokens = 40
)

func newFixture(t *testing.T, servers int) *fixture {
	return newFixtureWithRetries(t, servers, forwarder.RetriesSettings{Ratio: 0.2, FixedRetries: 50, WindowSeconds: 10})
}

func newFixtureWithRetries(t *testing.T, servers int, retries forwarder.RetriesSettings) *fixture {
	return newFixtureWithSettings(t, servers, forwarder.Settings{Retries: retries})
}

func newFixtureWithSettings(t *testing.T, servers int, settings forwarder.Settings) *fixture {
	return newFixtureWithExaminer(t, noSuspects{}, servers, settings)
}

func newFixtureWithExaminer(t *testing.T, e masticway.Examiner, servers int, settings forwarder.Settings) *fixture {
	return newFixtureWith(t, servers, settings, func(d *forwarder.Dependencies) { d.Examiner = e })
}

// newFixtureWith returns a fixture whose router has changed dependencies.
func newFixtureWith(t *testing.T, servers int, settings forwarder.Settings, change func(*forwarder.Dependencies)) *fixture {
	f := &fixture{t: t, ledger: &emulator.OpaqueRunLog{}, budgets: &fakeBudgets{verdict: treasurer.VerdictHeld}, clock: &offsetClock{}}
	d := masticway.Deployment{
		Version: 1,
		Pools:   map[string]masticway.Pool{"p": {Name: "p", MaxConnections: 100}, "llm": {Name: "llm", IsEngine: true, TokensPerEvent: 3, MaxConnections: 100}},
		Accounts: map[string]masticway.Account{
			"w": {Workspace: "w", Keys: []string{"k"}, HasLimit: true, Prepaid: 1 << 40},
		},
		Limits: masticway.CallerLimits{MaxBodyBytes: 1000},
	}
	for _, r := range []masticway.Route{
		{Name: "freely", Prefix: "/freely/", RetryPolicy: masticway.RetryUnlimited, MaxServers: 2, LatencyObjective: 300 * time.Millisecond},
		{Name: "never", Prefix: "/never/", RetryPolicy: masticway.RetryNever, MaxServers: 1, LatencyObjective: 300 * time.Millisecond},
		{Name: "open", Prefix: "/open/", RetryPolicy: masticway.RetryUnlimited, MaxServers: 2, AllowsAnonymous: true},
		{Name: "brief", Prefix: "/brief/", RetryPolicy: masticway.RetryNever, MaxServers: 1, Timeout: 150 * time.Millisecond},
	} {
		r.Host, r.Shares = "h.example", []masticway.TrafficShare{{Pool: "p", Weight: 1}}
		d.Routes = append(d.Routes, r)
	}
	for _, r := range []masticway.Route{
		{Name: "stream", Prefix: "/stream/", RetryPolicy: masticway.RetryNever, MaxServers: 1, IsStream: true, LatencyObjective: 300 * time.Millisecond, MaxEventGap: 100 * time.Millisecond},
		{Name: "resume", Prefix: "/resume/", RetryPolicy: masticway.RetryByResuming, MaxServers: 2, IsStream: true, LatencyObjective: 300 * time.Millisecond, MaxEventGap: 100 * time.Millisecond},
	} {
		r.Host, r.Shares = "h.example", []masticway.TrafficShare{{Pool: "llm", Weight: 1}}
		d.Routes = append(d.Routes, r)
	}
	f.snapshot = follower.Snapshot{ConfigurationLoaded: true, ServersLoaded: true, Deployment: d.WithIndex(), Servers: map[string][]masticway.Server{}}
	for i := range servers {
		s, err := emulator.StartOpaqueServer(fmt.Sprintf("i-%d", i), f.ledger)
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(s.Close)
		f.servers = append(f.servers, s)
		for _, pool := range []string{"p", "llm"} {
			f.snapshot.Servers[pool] = append(f.snapshot.Servers[pool], masticway.Server{ID: s.ID, Pool: pool, Address: s.Address(), State: masticway.ServerReady})
		}
	}
	log, faults := test.NewNullLogger()
	t.Cleanup(func() {
		for _, line := range faults.AllEntries() {
			if line.Level <= logrus.ErrorLevel {
				t.Errorf("error logged: %s %v", line.Message, line.Data)
			}
		}
	})
	f.throttler = throttler.New(throttler.Dependencies{
		Members: f.budgets, Peers: func() []string { return nil }, Clock: f.clock, Log: log.WithField("", ""), Metrics: measurer.New(), Address: routerAddress,
	})
	dependencies := forwarder.Dependencies{
		Rotation: &f.rotation, Throttler: f.throttler, StreamVersions: &f.versions, Connections: &f.connections, OnDraining: func(masticway.Server) {}, Clock: f.clock, Log: log.WithField("", ""), Metrics: measurer.New(), Tally: tallier.New(f.clock, log.WithField("", ""), routerAddress), Codec: platform.HeaderCodec{},
		Budgets: f.budgets, Snapshot: f.currentSnapshot, Dial: (&net.Dialer{}).DialContext,
	}
	change(&dependencies)
	f.router = forwarder.New(settings, dependencies)
	// A router uses its fixed retries once those of its predecessor have left the window.
	f.clock.advance(settings.Retries.Window() * 11 / 10)
	f.callers.clock = f.clock
	f.frontend = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.router.ServeHTTP(w, r.WithContext(masticway.WithCallerConnection(r.Context(), &f.callers)))
	}))
	t.Cleanup(f.frontend.Close)
	return f
}

func (f *fixture) currentSnapshot() follower.Snapshot {
	f.snapshotMu.Lock()
	defer f.snapshotMu.Unlock()
	return f.snapshot
}

// setServers replaces the servers of a pool while requests may run.
func (f *fixture) setServers(pool string, servers []masticway.Server) {
	f.snapshotMu.Lock()
	defer f.snapshotMu.Unlock()
	f.snapshot.Servers = maps.Clone(f.snapshot.Servers)
	f.snapshot.Servers[pool] = servers
}

// answer is what a caller got; err is set if it was incomplete.
type answer struct {
	status int
	header http.Header
	body   string
	// closesConn is set if the answer closes the connection.
	closesConn bool
	err        error
}

func (f *fixture) do(ctx context.Context, method, path string, extra ...string) answer {
	request, err := http.NewRequestWithContext(ctx, method, f.frontend.URL+path, strings.NewReader("body"))
	qt.Assert(f.t, err, qt.IsNil)
	request.Host = "h.example"
	request.Header.Set("X-Attempt-Id", "a1")
	request.Header.Set("Authorization", "Token k")
	request.Header.Set("X-Deadline-Ms", "3000")
	if strings.HasPrefix(path, "/stream") || strings.HasPrefix(path, "/resume") {
		request.Header.Set("X-Token-Count", fmt.Sprintf("%d,%d", promptTokens, maxOutputTokens))
	}
	for i := 0; i < len(extra); i += 2 {
		request.Header.Set(extra[i], extra[i+1])
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body), closesConn: response.Close, err: err}
}

func eventStream(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return b.String()
}

func TestAnswersAndRuns(t *testing.T) {
	const (
		good, full, other, failing = emulator.OpaqueNoFault, emulator.OpaqueOverloaded, emulator.OpaqueWrongServer, emulator.OpaqueError
		reset, cut, forged         = emulator.OpaqueReset, emulator.OpaqueTruncated, emulator.OpaqueUnsigned
		foreign, extra             = emulator.OpaqueWrongRequest, emulator.OpaqueStrayAnswer
	)
	cases := map[string]struct {
		path string
		// first is the fault of the server that is asked first, second that of the other one.
		first, second emulator.OpaqueFault
		status        int
		body          string
		// broken is set if the caller's answer ends early.
		broken  bool
		runs    int
		settled []int64
		retry   bool
	}{
		"good":                                {path: "/freely/x", status: 200, body: "ok", runs: 1},
		"full, then good":                     {path: "/never/x", first: full, status: 200, body: "ok", runs: 1},
		"misdirected, then good":              {path: "/never/x", first: other, status: 200, body: "ok", runs: 1},
		"all full":                            {path: "/never/x", first: full, second: full, status: 503, retry: true},
		"own failure is passed on":            {path: "/freely/x", first: failing, status: 500, body: "oops", runs: 1},
		"reset, may run again":                {path: "/freely/x", first: reset, status: 200, body: "ok", runs: 2},
		"reset, must not run again":           {path: "/never/x", first: reset, status: 502, runs: 1},
		"cut, may run again":                  {path: "/freely/x", first: cut, status: 200, body: "ok", runs: 2},
		"cut, must not run again":             {path: "/never/x", first: cut, status: 502, runs: 1},
		"unsigned, may run again":             {path: "/freely/x", first: forged, status: 200, body: "ok", runs: 2},
		"unsigned, must not run again":        {path: "/never/x", first: forged, status: 502, runs: 1},
		"another request's answer":            {path: "/never/x", first: foreign, status: 502, runs: 1},
		"another request's answer first":      {path: "/never/x", first: extra, status: 200, body: "ok", runs: 1},
		"status 000, may run again":           {path: "/freely/x", first: emulator.OpaqueStatusZero, status: 200, body: "ok", runs: 2},
		"status 000, must not run again":      {path: "/never/x", first: emulator.OpaqueStatusZero, status: 502, runs: 1},
		"status 000 for a stream":             {path: "/stream/x", first: emulator.OpaqueStatusZero, status: 502, runs: 1, settled: []int64{0}},
		"blank in a name, may run again":      {path: "/freely/x", first: emulator.OpaqueBlankInName, status: 200, body: "ok", runs: 2},
		"blank in a name, must not run again": {path: "/never/x", first: emulator.OpaqueBlankInName, status: 502, runs: 1},
		"two framings, must not run again":    {path: "/never/x", first: emulator.OpaqueTwoFramings, status: 502, runs: 1},
		"twice reset, no third server":        {path: "/freely/x", first: reset, second: reset, status: 502, runs: 2},
		"reset after a refusal stays unknown": {path: "/never/x", first: full, second: reset, status: 502, runs: 1},
		"stream":                              {path: "/stream/x", status: 200, body: eventStream(1, 5), runs: 1, settled: []int64{promptTokens + 15}},
		"stream cut":                          {path: "/stream/x", first: cut, status: 200, body: eventStream(1, 3), broken: true, runs: 1, settled: []int64{promptTokens + 9}},
		"stream cut, resumed":                 {path: "/resume/x", first: cut, status: 200, body: eventStream(1, 5), runs: 2, settled: []int64{promptTokens + 15}},
		"stream reset before it began":        {path: "/stream/x", first: reset, status: 502, runs: 1, settled: []int64{0}},
		"stream refused by all":               {path: "/stream/x", first: full, second: full, status: 503, settled: []int64{0}, retry: true},
		"stream that fails":                   {path: "/stream/x", first: failing, status: 500, body: "oops", runs: 1, settled: []int64{0}},
		"stream reset, run again":             {path: "/resume/x", first: reset, status: 200, body: eventStream(1, 5), runs: 2, settled: []int64{promptTokens + 15}},
		"resumed stream fails":                {path: "/resume/x", first: cut, second: failing, status: 200, body: eventStream(1, 3), broken: true, runs: 2, settled: []int64{promptTokens + 9}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2)
			f.setFaults(tc.first, tc.second)
			got := f.do(t.Context(), "POST", tc.path)
			if tc.broken {
				qt.Assert(t, got.err, qt.IsNotNil)
			} else {
				qt.Assert(t, got.err, qt.IsNil)
			}
			qt.Assert(t, got.status, qt.Equals, tc.status)
			if tc.body != "" {
				qt.Assert(t, got.body, qt.Equals, tc.body)
			}
			qt.Assert(t, f.ledger.Runs(), qt.HasLen, tc.runs)
			qt.Assert(t, f.budgets.settledAmounts(), qt.DeepEquals, tc.settled)
			qt.Assert(t, got.header.Get("Retry-After") != "", qt.Equals, tc.retry)
			if got.status >= 502 {
				qt.Assert(t, got.header.Get("X-Server-Signature"), qt.Equals, "", qt.Commentf("a refusal by the router has a server's signature"))
			}
		})
	}
}

// TestResumedRequestIsChargedForPromptOnce guards against charging for the prompt again when a caller resumes an answer that
// broke off.
func TestResumedRequestIsChargedForPromptOnce(t *testing.T) {
	cases := map[string]struct {
		path, lastEventID string
		body              string
		held, used        int64
	}{
		"from the beginning":         {path: "/resume/x", body: eventStream(1, 5), held: promptTokens + maxOutputTokens, used: promptTokens + 15},
		"resumed":                    {path: "/resume/x", lastEventID: "2", body: eventStream(3, 5), held: maxOutputTokens, used: 9},
		"on a route without resumes": {path: "/stream/x", lastEventID: "2", body: eventStream(3, 5), held: promptTokens + maxOutputTokens, used: promptTokens + 9},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.versions.Record(t.Context(), "llm", "earlier", "")
			got := f.do(t.Context(), "POST", tc.path, "Last-Event-Id", tc.lastEventID, "Resumes", "earlier")
			qt.Assert(t, got.err, qt.IsNil)
			qt.Assert(t, got.body, qt.Equals, tc.body)
			qt.Check(t, f.budgets.held, qt.DeepEquals, []int64{tc.held})
			qt.Check(t, f.budgets.settledAmounts(), qt.DeepEquals, []int64{tc.used})
		})
	}
}

// setFaults sets a fault for the server that is asked first, and one for the other.
func (f *fixture) setFaults(first, second emulator.OpaqueFault) {
	// The chooser alternates between servers of equal cost, starting with the second.
	f.servers[1].InjectFaults(first)
	f.servers[0].InjectFaults(second)
}

func TestServerRequest(t *testing.T) {
	f := newFixture(t, 1)
	got := f.do(t.Context(), "POST", "/never/x?q=1", "X-Tenant", "forged", "X-Deadline-Ms", "1000")
	qt.Assert(t, got.status, qt.Equals, 200)
	runs := f.ledger.Runs()
	qt.Assert(t, runs, qt.HasLen, 1)
	qt.Assert(t, runs[0].Workspace, qt.Equals, "w")
	qt.Assert(t, runs[0].HasKey, qt.IsFalse, qt.Commentf("the caller's key was sent to a server"))
	qt.Assert(t, runs[0].Path, qt.Equals, "/never/x?q=1")
	qt.Assert(t, runs[0].Body, qt.Equals, "body")
	qt.Assert(t, runs[0].TimeLeft <= time.Second && runs[0].TimeLeft > 800*time.Millisecond, qt.IsTrue)
}

func TestRefusalsBeforeSending(t *testing.T) {
	cases := map[string]struct {
		path    string
		extra   []string
		verdict treasurer.Verdict
		ready   bool
		status  int
		retry   bool
	}{
		"no such route":      {path: "/nowhere/", status: 404, ready: true},
		"unknown key":        {path: "/never/x", extra: []string{"Authorization", "Token no"}, status: 401, ready: true},
		"no key":             {path: "/never/x", extra: []string{"Authorization", ""}, status: 401, ready: true},
		"anonymous route":    {path: "/open/x", extra: []string{"Authorization", ""}, status: 200, ready: true},
		"malformed head":     {path: "/never/x", extra: []string{"X-Deadline-Ms", "soon"}, status: 400, ready: true},
		"no configuration":   {path: "/never/x", status: 503, retry: true},
		"budget exhausted":   {path: "/stream/x", verdict: treasurer.VerdictExhausted, status: 402, ready: true},
		"budget not reached": {path: "/stream/x", verdict: treasurer.VerdictUnreachable, status: 503, ready: true, retry: true},
		"no budget needed":   {path: "/never/x", verdict: treasurer.VerdictExhausted, status: 200, ready: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.snapshot.ConfigurationLoaded = tc.ready
			f.budgets.verdict = tc.verdict
			got := f.do(t.Context(), "POST", tc.path, tc.extra...)
			qt.Assert(t, got.err, qt.IsNil)
			qt.Assert(t, got.status, qt.Equals, tc.status)
			qt.Assert(t, got.header.Get("Retry-After") != "", qt.Equals, tc.retry)
			if tc.status != 200 {
				qt.Assert(t, f.ledger.Runs(), qt.HasLen, 0)
			}
		})
	}
}

func TestOversizedBodyIsRefused(t *testing.T) {
	f := newFixture(t, 1)
	for name, chunked := range map[string]bool{"with a length": false, "in chunks": true} {
		t.Run(name, func(t *testing.T) {
			var body io.Reader = strings.NewReader(strings.Repeat("x", 2000))
			if chunked {
				body = io.MultiReader(body)
			}
			request, err := http.NewRequestWithContext(t.Context(), "POST", f.frontend.URL+"/never/x", body)
			qt.Assert(t, err, qt.IsNil)
			request.Host = "h.example"
			request.Header.Set("X-Attempt-Id", "a1")
			request.Header.Set("Authorization", "Token k")
			response, err := http.DefaultTransport.RoundTrip(request)
			qt.Assert(t, err, qt.IsNil)
			response.Body.Close()
			qt.Assert(t, response.StatusCode, qt.Equals, http.StatusRequestEntityTooLarge)
		})
	}
	qt.Assert(t, f.ledger.Runs(), qt.HasLen, 0)
}

func TestDeadlines(t *testing.T) {
	cases := map[string]struct {
		path       string
		deadlineMS string
		within     time.Duration
	}{
		"the caller's": {path: "/never/x", deadlineMS: "200", within: 600 * time.Millisecond},
		"the route's":  {path: "/brief/x", deadlineMS: "5000", within: 600 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.servers[0].InjectFaults(emulator.OpaqueHang)
			began := time.Now()
			got := f.do(t.Context(), "POST", tc.path, "X-Deadline-Ms", tc.deadlineMS)
			qt.Assert(t, got.status, qt.Equals, http.StatusGatewayTimeout)
			qt.Assert(t, time.Since(began) < tc.within, qt.IsTrue)
			f.failUnless("the server still works", func() bool { return f.ledger.Runs()[0].CallerDisconnected })
		})
	}
}

// failUnless fails the test with the message unless the condition holds within 3 s.
func (f *fixture) failUnless(failure string, holds func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(3 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	f.t.Fatal(failure)
}

func TestHandoverFromHungServer(t *testing.T) {
	for _, path := range []string{"/freely/x", "/resume/x"} {
		t.Run(path, func(t *testing.T) {
			f := newFixture(t, 2)
			f.setFaults(emulator.OpaqueHang, emulator.OpaqueNoFault)
			got := f.do(t.Context(), "POST", path)
			qt.Assert(t, got.status, qt.Equals, 200)
			f.failUnless("the first server still works", func() bool { return f.ledger.Runs()[0].CallerDisconnected })
		})
	}
}

// TestNoHandoverWithoutAllowance guards against giving up a slow but healthy server when the retry allowance does not permit
// another one: the request would fail with 502 although the server would have finished in time. The allowance must be checked
// before the server is given up.
func TestNoHandoverWithoutAllowance(t *testing.T) {
	f := newFixtureWithRetries(t, 2, forwarder.RetriesSettings{WindowSeconds: 10})
	for _, s := range f.servers {
		s.SetStream(3, 400*time.Millisecond)
	}
	got := f.do(t.Context(), "POST", "/resume/x")
	qt.Assert(t, got.err, qt.IsNil)
	qt.Assert(t, got.status, qt.Equals, 200)
	qt.Assert(t, got.body, qt.Equals, eventStream(1, 3))
	runs := f.ledger.Runs()
	qt.Assert(t, runs, qt.HasLen, 1)
	qt.Assert(t, runs[0].CallerDisconnected, qt.IsFalse)
}

// TestNoHandoverWhileDraining guards against breaking off a stream of a draining router whose server pauses for longer than the
// allowed event gap, when the other server is full.
func TestNoHandoverWhileDraining(t *testing.T) {
	for name, after := range map[string]time.Duration{"from the start on": 0, "in the middle": 550 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2)
			f.setFaults(emulator.OpaqueNoFault, emulator.OpaqueOverloaded)
			for _, s := range f.servers {
				s.SetStream(3, 400*time.Millisecond)
			}
			end := time.AfterFunc(after, func() { f.router.Drain(f.clock.Now(), f.clock.Now().Add(time.Minute)) })
			defer end.Stop()
			got := f.do(t.Context(), "POST", "/resume/x")
			qt.Assert(t, got.err, qt.IsNil)
			qt.Assert(t, got.body, qt.Equals, eventStream(1, 3))
			qt.Assert(t, f.ledger.Runs(), qt.HasLen, 1)
		})
	}
}

func TestCallerLeavingEndsAttempt(t *testing.T) {
	f := newFixture(t, 1)
	f.servers[0].SetStream(1000, 10*time.Millisecond)
	ctx, leave := context.WithTimeout(t.Context(), 150*time.Millisecond)
	defer leave()
	f.do(ctx, "POST", "/stream/x")
	f.failUnless("the server still works", func() bool { return f.ledger.Runs()[0].CallerDisconnected })
	f.failUnless("the money is still held", func() bool { return len(f.budgets.settledAmounts()) == 1 })
	qt.Assert(t, f.budgets.settledAmounts()[0] >= promptTokens, qt.IsTrue)
}

// TestGivenUpAnswersAreCharged guards against a workspace that gets more than its budget because its callers leave midway: whenever and
// however they leave, the prompt and each event that they got are charged.
func TestGivenUpAnswersAreCharged(t *testing.T) {
	const maxGap = 5 * time.Second
	cases := map[string]struct {
		path         string
		reset        bool
		maxGap       time.Duration
		timeLimit    string
		objective    time.Duration
		wholeAnswers int
	}{
		"given up":                      {path: "/stream/x", maxGap: maxGap, wholeAnswers: 2},
		"given up, may be resumed":      {path: "/resume/x", maxGap: maxGap, wholeAnswers: 2},
		"connection reset":              {path: "/resume/x", maxGap: maxGap, reset: true, wholeAnswers: 2},
		"given up after a long pause":   {path: "/stream/x", maxGap: time.Nanosecond, wholeAnswers: 2},
		"left as its time was over":     {path: "/stream/x", maxGap: maxGap, timeLimit: "1000", wholeAnswers: 2},
		"left late":                     {path: "/stream/x", maxGap: maxGap, objective: 100 * time.Millisecond, wholeAnswers: 2},
		"named no time limit":           {path: "/stream/x", maxGap: maxGap, timeLimit: "0", wholeAnswers: 2},
		"no answer was read to its end": {path: "/stream/x", maxGap: maxGap},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			for i := range f.snapshot.Deployment.Routes {
				f.snapshot.Deployment.Routes[i].MaxEventGap = tc.maxGap
				f.snapshot.Deployment.Routes[i].LatencyObjective = cmp.Or(tc.objective, time.Minute)
			}
			f.snapshot.Deployment = f.snapshot.Deployment.WithIndex()
			for range tc.wholeAnswers {
				f.do(t.Context(), "POST", tc.path)
			}
			f.servers[0].SetStream(1000, 10*time.Millisecond)
			f.callers.hasClosed.Store(!tc.reset)
			for i := range 3 {
				ctx, leave := context.WithTimeout(t.Context(), 150*time.Millisecond)
				defer leave()
				got := f.do(ctx, "POST", tc.path, "X-Deadline-Ms", cmp.Or(tc.timeLimit, "20000"))
				f.failUnless("the hold is open", func() bool { return len(f.budgets.settledAmounts()) == tc.wholeAnswers+1+i })
				delivered := int64(strings.Count(got.body, "\n\n"))
				qt.Assert(t, delivered > 0, qt.IsTrue)
				least := min(promptTokens+3*delivered, promptTokens+maxOutputTokens)
				qt.Assert(t, f.budgets.settledAmounts()[tc.wholeAnswers+i] >= least, qt.IsTrue, qt.Commentf("%d charged, %d delivered", f.budgets.settledAmounts()[tc.wholeAnswers+i], least))
			}
		})
	}
}

func TestAnswerWaitsForClearance(t *testing.T) {
	f := newFixture(t, 1)
	f.budgets.clearBlocked = true
	got := f.do(t.Context(), "POST", "/stream/x", "X-Deadline-Ms", "200")
	qt.Assert(t, got.status, qt.Equals, http.StatusGatewayTimeout)
	qt.Assert(t, got.body, qt.Not(qt.Contains), "piece")
	qt.Assert(t, f.budgets.settledAmounts(), qt.DeepEquals, []int64{0})
}

// TestNoHandoverWhileWaitingForClearance has a server that answered while the clearance takes longer than the silence timeout. It
// guards against asking another server, which would only process the prompt again.
func TestNoHandoverWhileWaitingForClearance(t *testing.T) {
	for _, path := range []string{"/freely/x", "/resume/x"} {
		t.Run(path, func(t *testing.T) {
			f := newFixture(t, 2)
			f.budgets.clearDelay = 800 * time.Millisecond
			got := f.do(t.Context(), "POST", path)
			qt.Assert(t, got.status, qt.Equals, 200)
			qt.Assert(t, f.ledger.Runs(), qt.HasLen, 1)
		})
	}
}

func TestUnreachableServerIsNotARun(t *testing.T) {
	f := newFixture(t, 2)
	f.servers[1].Close()
	got := f.do(t.Context(), "POST", "/never/x")
	qt.Assert(t, got.status, qt.Equals, 200)
}

// TestNothingIsForwardedWhileConnectionsClose guards against forwarding a request that arrives just before idle connections are
// closed: its connection would be closed and its answer lost.
func TestNothingIsForwardedWhileConnectionsClose(t *testing.T) {
	f := newFixture(t, 1)
	f.router.Drain(f.clock.Now(), f.clock.Now().Add(time.Minute))
	qt.Assert(t, f.do(t.Context(), "POST", "/never/x").status, qt.Equals, 200)
	f.router.StopForwarding()
	got := f.do(t.Context(), "POST", "/never/x")
	qt.Assert(t, got.status, qt.Equals, 503)
	qt.Assert(t, got.header.Get("Retry-After") != "", qt.IsTrue)
	qt.Assert(t, f.ledger.Runs(), qt.HasLen, 1)
}

func TestDrainClosesConnections(t *testing.T) {
	f := newFixture(t, 1)
	qt.Assert(t, f.router.Ready(), qt.IsTrue)
	f.router.Drain(time.Now(), time.Now().Add(time.Minute))
	qt.Assert(t, f.router.Ready(), qt.IsFalse)
	c, err := net.Dial("tcp", strings.TrimPrefix(f.frontend.URL, "http://"))
	qt.Assert(t, err, qt.IsNil)
	defer c.Close()
	fmt.Fprintf(c, "GET /open/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, response.StatusCode, qt.Equals, 200)
	qt.Assert(t, response.Close, qt.IsTrue)
}

// TestNoHandoverToFullServer guards against giving up a server that pauses for too long before another one has taken the request.
// If the other server is full, the caller would get 502 although the first server would have answered.
func TestNoHandoverToFullServer(t *testing.T) {
	f := newFixture(t, 2)
	f.setFaults(emulator.OpaqueNoFault, emulator.OpaqueOverloaded)
	for _, s := range f.servers {
		s.SetStream(3, 400*time.Millisecond)
	}
	got := f.do(t.Context(), "POST", "/resume/x")
	qt.Assert(t, got.err, qt.IsNil)
	qt.Assert(t, got.body, qt.Equals, eventStream(1, 3))
}

// TestHandoverIsAbortedWhenServerContinues has a server that delivers its next event while a candidate is being asked. The caller
// must get each event once, and the candidate must be given up.
func TestHandoverIsAbortedWhenServerContinues(t *testing.T) {
	const pause = 350 * time.Millisecond
	f := newFixture(t, 2)
	f.setFaults(emulator.OpaqueNoFault, emulator.OpaqueHang)
	for _, s := range f.servers {
		s.SetStream(3, pause)
	}
	got := f.do(t.Context(), "POST", "/resume/x")
	qt.Assert(t, got.err, qt.IsNil)
	qt.Assert(t, got.body, qt.Equals, eventStream(1, 3))
	runs := f.ledger.Runs()
	qt.Assert(t, len(runs) > 1, qt.IsTrue, qt.Commentf("no other server was asked"))
	qt.Assert(t, runs[0].CallerDisconnected, qt.IsFalse)
	f.failUnless("the server that was asked still works", func() bool { return f.ledger.Runs()[1].CallerDisconnected })
}
