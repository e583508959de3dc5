package soaker

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/receiver"
)

// Outcomes of a request as its caller sees them.
const (
	outcomeUnsent   = "unsent"   // the whole request was not written: no connection, a broken one, or the caller gave up
	outcomeAnswered = "answered" // the answer is complete according to the protocol
	outcomeBroken   = "broken"   // the connection ended before the answer was complete
	outcomeTimedOut = "silent"   // the answer was not complete when the caller stopped waiting
)

const (
	// answerSlack is how long a caller waits beyond its time limit, or beyond the route's timeout if that is shorter. It is
	// twice the delay that a router may add.
	answerSlack = time.Second
	// abandonShare is the share of requests whose caller gives up early. maxAbandonDelay is the longest time that such a
	// caller waits.
	abandonShare, maxAbandonDelay = 0.03, 300 * time.Millisecond
	// maxPrompt bounds the tokens of a prompt. maxSpareOutput bounds the tokens that a request declares beyond the length of
	// a stream.
	maxPrompt, maxSpareOutput = 1500, 30
	// minTimeLimit and maxTimeLimit bound the time limit that a caller sets for a request.
	minTimeLimit, maxTimeLimit = time.Second, 8 * time.Second
	// maxBodyBytes is the largest length of the filler in a body. Most bodies are far smaller.
	maxBodyBytes = 40 << 10
	// maxThinkTime is the longest usual pause between two requests of a caller. maxIdleTime is the longest idle pause, in
	// which a router may restart.
	maxThinkTime, maxIdleTime = 120 * time.Millisecond, 8 * time.Second
	// idleShare is the share of pauses that are idle pauses.
	idleShare = 0.04
	// connectTimeout is the timeout for opening a caller's connection.
	connectTimeout = time.Second
	// statusWrongBody replaces the status of a success if its body is not the request's own answer.
	statusWrongBody = -http.StatusOK
)

// request is a request of a caller and its outcome.
type request struct {
	route
	id, path, workspace, body string
	// prompt is the number of tokens of the prompt, declared the maximum number of tokens of the answer, and router the
	// index of the router.
	prompt, declared, router int
	timeLimit, waitTimeout   time.Duration // the time limit that the caller sends; how long the caller waits
	reusedConn               bool          // the connection had carried an earlier request
	conn                     callerConn    // the connection that carried it
	// recurringName is the name in path and body of all sends of a deadly request. It is empty for other requests, which
	// have their id there.
	recurringName string
	// parts are the parts of the prompt.
	parts []string
	// resumeAfter is the number of the last event of the answer that the request resumes. It is zero if it resumes none.
	resumeAfter int
	// began is the request that began that answer.
	began *request
	// again is the number of times that the id was sent before, each of which was refused.
	again int
	// firstTry is the id of the first try of what this request tries again; it is empty for a first try. retryAfter is the pause for
	// which the answer asks.
	firstTry   string
	retryAfter time.Duration
	// readPause is how long the caller does not read after the head of the answer, which arrived at headAt.
	readPause time.Duration
	headAt    time.Time
	written   atomic.Bool // the whole request was written

	sentAt, endedAt             time.Time
	outcome, answerID, signedBy string // answerID and signedBy: the ids of the request and of the server that the answer names
	// status is the HTTP status, zero if there was none, or statusWrongBody. events is the number of events received.
	status, events int
	err            error
	// headStatus is the HTTP status; stream is what the caller got of a stream, and isComplete whether the answer was complete
	// according to the protocol.
	headStatus int
	stream     string
	isComplete bool
	// owed is set if the workspace had tokens left for the request. key is the key that it is sent with.
	owed bool
	key  string
	// refusedForCrashes is set if the router refused the request because it crashes servers.
	refusedForCrashes bool
}

// sending identifies one sending of a request, because callers may send an ID again. The path tells the sendings of an ID apart.
type sending struct{ id, path string }

func (q *request) sending() sending { return sending{q.id, q.path} }

// sendingOf returns the sending that a server ran.
func sendingOf(r emulator.OpaqueRun) sending { return sending{r.ID, r.Path} }

// resumes returns the id of the request that began the answer that the request resumes. It is empty if it resumes none.
func (q *request) resumes() string {
	if q.began == nil {
		return ""
	}
	return q.began.id
}

// String describes the request and its outcome.
func (q *request) String() string {
	return fmt.Sprintf("%s at router-%d, sent %s (connection reused %t), time limit %s, %s with status %d and %d events after %s: %v", q.path, q.router,
		q.sentAt.UTC().Format(clockFormat), q.reusedConn, q.timeLimit, q.outcome, q.status, q.events, q.endedAt.Sub(q.sentAt).Round(time.Millisecond), q.err)
}

// caller sends requests one after the other. It reuses its connection while that is open, unless keep-alive is disabled.
type caller struct {
	soak   *soakRun
	random *rand.Rand
	name   string
	sent   int
	// workspace is the workspace of all requests; if it is empty, each request is of one of workspaces.
	workspace string
	transport http.Transport
	// strict takes only valid answers over transport. It is set with the first request.
	strict *receiver.Transport
	// repeatsID is set if the caller sends what was refused again with the same ID, and keepsConn if it does so at once and on the same
	// connection.
	repeatsID, keepsConn bool
}

// newCaller returns a caller that opens each connection to one of the addresses at random. Its other random choices come
// from the seed and the number stream.
func (s *soakRun) newCaller(name string, stream int, addresses ...string) *caller {
	c := &caller{soak: s, name: fmt.Sprintf("%s%d", name, stream), random: rand.New(rand.NewPCG(s.Seed, uint64(stream)))}
	habit := (s.Seed + uint64(stream)) % 3
	c.repeatsID, c.keepsConn = habit > 0, habit > 1
	c.transport.DialContext = func(ctx context.Context, network, _ string) (net.Conn, error) {
		return s.dial(ctx, &net.Dialer{Timeout: connectTimeout}, network, addresses[rand.IntN(len(addresses))])
	}
	return c
}

// callerAddresses returns the addresses at which callers reach the routers.
func (s *soakRun) callerAddresses() (addresses []string) {
	for _, p := range s.processes {
		addresses = append(addresses, p.proxies[callerProxy].Addr().String())
	}
	return addresses
}

// sendUntil sends random requests until done is closed.
func (c *caller) sendUntil(done <-chan struct{}) {
	for {
		pause := randomUpTo(c.random, maxThinkTime)
		if c.random.Float64() < idleShare {
			pause = randomUpTo(c.random, maxIdleTime)
		}
		select {
		case <-done:
			return
		case <-time.After(pause):
		}
		c.sendToRoute(routes[c.random.IntN(len(routes))])
	}
}

// randomUpTo returns a random duration that is positive and at most max.
func randomUpTo(random *rand.Rand, max time.Duration) time.Duration {
	return 1 + time.Duration(random.Int64N(int64(max)))
}

// sendToRoute sends a random request to a route and resumes its answer if that breaks off and may be resumed. It returns the
// status of the first answer.
func (c *caller) sendToRoute(r route) int {
	q := &request{route: r, prompt: c.random.IntN(maxPrompt), declared: c.soak.events*emulator.DeploymentTokensPerEvent + c.random.IntN(maxSpareOutput)}
	q.body = strings.Repeat("x", int(math.Pow(maxBodyBytes, c.random.Float64())))
	// The header that carries the time limit has whole milliseconds.
	q.timeLimit = (minTimeLimit + randomUpTo(c.random, maxTimeLimit-minTimeLimit)).Truncate(time.Millisecond)
	q.waitTimeout = min(q.timeLimit, emulator.DeploymentTimeout) + answerSlack
	if c.random.Float64() < abandonShare {
		q.waitTimeout = randomUpTo(c.random, maxAbandonDelay)
	}
	if !r.anonymous {
		q.workspace = workspaces[c.random.IntN(len(workspaces))]
		if c.workspace != "" {
			q.workspace = c.workspace
		}
	}
	c.send(q, r.name)
	for resumed := q; resumed.canResume(c.soak.events); {
		resumed = resumed.remainder()
		c.send(resumed, r.name)
	}
	c.tryAgain(q)
	return q.status
}

// isAbandoned reports whether the caller gave up an answer that was arriving, before its time was over.
func (q *request) isAbandoned() bool {
	return q.outcome == outcomeTimedOut && q.status == http.StatusOK && q.waitTimeout < min(q.timeLimit, emulator.DeploymentTimeout)
}

// canResume reports whether the caller may resume the answer: the request is repeatable, and its answer is a stream that
// broke off after some of its events. events is the number of events of a whole stream.
func (q *request) canResume(events int) bool {
	return q.metered && q.repeatable && q.outcome == outcomeBroken && q.status == http.StatusOK && q.events > 0 && q.resumeAfter+q.events < events
}

// remainder returns the request for the events that are missing from a broken answer. Its prompt has already been paid for.
func (q *request) remainder() *request {
	return &request{
		route: q.route, workspace: q.workspace, declared: q.declared, timeLimit: q.timeLimit, waitTimeout: min(q.timeLimit, emulator.DeploymentTimeout) + answerSlack,
		resumeAfter: q.resumeAfter + q.events, began: cmp.Or(q.began, q), prompt: q.prompt,
	}
}

// sendUntilServed sends requests to a route until one is served. It reports a violation if none is served by the time until.
func (c *caller) sendUntilServed(ctx context.Context, r route, until time.Time) {
	for c.sendToRoute(r) != http.StatusOK && ctx.Err() == nil {
		if time.Now().After(until) {
			c.soak.reportViolation(promiseRecovered, "%s served no %q within %s after all faults", c.name, r.name, recoveryTimeout)
			return
		}
		time.Sleep(probeInterval)
	}
}

// send sends a request to a path, records it with its outcome and checks what can be checked at once.
func (c *caller) send(q *request, path string) {
	if q.again == 0 {
		c.sent++
		q.id = fmt.Sprintf("%s-%d", c.name, c.sent)
	}
	name := cmp.Or(q.recurringName, q.id)
	q.path, q.body = "/"+path+"/"+name, name+q.body
	if q.again > 0 {
		q.path += fmt.Sprintf("-again-%d", q.again)
	}
	if q.parts == nil {
		q.parts = commonParts
	}
	q.parts = append(slices.Clone(q.parts), q.id)
	c.soak.mu.Lock()
	c.soak.requests[q.sending()] = q
	c.soak.beginRequest(q)
	c.soak.mu.Unlock()
	q.sentAt, q.outcome = time.Now(), outcomeAnswered
	q.err = c.exchange(q)
	q.endedAt = time.Now()
	switch {
	case !q.written.Load():
		q.outcome = outcomeUnsent
	case errors.Is(q.err, context.DeadlineExceeded):
		q.outcome = outcomeTimedOut
	case q.err != nil:
		q.outcome = outcomeBroken
	}
	c.soak.checkResponse(q)
}

// exchange sends a request and reads its answer into it.
func (c *caller) exchange(q *request) error {
	ctx, cancel := context.WithTimeout(context.Background(), q.waitTimeout)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			q.reusedConn, q.conn = i.Reused, newCallerConn(i.Conn.LocalAddr(), i.Conn.RemoteAddr())
			q.router = c.soak.routers[q.conn.remote]
			c.soak.routerOf.Store(q.id, q.router)
		},
		WroteRequest: func(i httptrace.WroteRequestInfo) { q.written.Store(i.Err == nil) },
	})
	// The request has no GetBody, so the transport does not retry it by itself.
	out := &http.Request{Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: emulator.DeploymentHost, Path: q.path}, ContentLength: int64(len(q.body))}
	out.Body = io.NopCloser(strings.NewReader(q.body))
	call := emulator.OpaqueCall{ID: q.id, TimeLeft: q.timeLimit, Metered: q.metered, Prompt: q.prompt, MaxOutput: q.declared, LastEvent: q.resumeAfter, Resumes: q.resumes(), Parts: q.parts}
	call.Key = q.key
	out.Header = call.Header()
	if c.strict == nil {
		c.strict = receiver.NewTransport(&c.transport)
	}
	in, err := c.strict.RoundTrip(out.WithContext(ctx))
	if _, ok := errors.AsType[*receiver.InvalidAnswerError](err); ok {
		c.soak.reportViolation(promiseWhole, "what came is no answer: %s: %v", q, err)
	}
	if err != nil {
		return err
	}
	defer in.Body.Close()
	q.status, q.retryAfter = in.StatusCode, parseRetryAfter(in.Header)
	q.answerID, q.signedBy = emulator.AnswerOrigin(in.Header)
	if q.readPause > 0 && q.status == http.StatusOK {
		q.headAt = time.Now()
		time.Sleep(q.readPause)
	}
	body, err := io.ReadAll(in.Body)
	q.refusedForCrashes = q.status == http.StatusServiceUnavailable && isCrashRefusal(body)
	if q.refusedForCrashes && q.recurringName == "" && !q.isBesideDeadlyPart() {
		c.soak.reportViolation(promiseSpared, "refused as a request that crashes servers, but it does not: %s", q)
	}
	q.headStatus, q.isComplete = q.status, err == nil
	if q.metered {
		q.stream = string(body)
	}
	if q.status == http.StatusOK {
		err = q.checkBody(string(body), c.soak.events, err)
	}
	return err
}

// checkBody compares the body of a success with the answer of a server without faults. If the body differs, it sets the
// status to statusWrongBody and returns an error. Otherwise it returns err. If err is not nil, the body ended early and may
// be any prefix of the answer.
func (q *request) checkBody(body string, events int, err error) error {
	want := "ok " + q.id + " " + q.body
	if q.metered {
		want, q.events = "", strings.Count(body, "\n\n")
		for i := q.resumeAfter; i < events; i++ {
			want += fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", i+1, i+1, q.id)
		}
	}
	if !strings.HasPrefix(want, body) || err == nil && body != want {
		q.status, err = statusWrongBody, fmt.Errorf("got %.200q for %.200q", body, want)
	}
	return err
}
