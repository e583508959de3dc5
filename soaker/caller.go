package soaker

import (
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
	"strings"
	"sync/atomic"
	"time"

	"github.com/masticway/masticway/emulator"
)

// Outcomes of a request for its caller.
const (
	outcomeUnsent   = "unsent"   // there was no connection, or it broke before all was written
	outcomeAnswered = "answered" // an answer that is complete by the protocol
	outcomeBroken   = "broken"   // the connection ended before a complete answer
	outcomeTimedOut = "silent"   // nothing more came while the caller waited
)

const (
	answerSlack                   = time.Second                             // a caller waits so long beyond the request's time, twice what the rules allow
	abandonShare, maxAbandonDelay = 0.03, 300 * time.Millisecond            // so many callers leave early, and so early
	maxPrompt, maxSpareOutput     = 1500, 30                                // tokens of a prompt, and those declared beyond what a stream has
	minTimeLimit, maxTimeLimit    = time.Second, 8 * time.Second            // the time that a caller gives
	maxBodyBytes                  = 40 << 10                                // bytes; most bodies have far fewer
	maxThinkTime, maxIdleTime     = 120 * time.Millisecond, 8 * time.Second // a caller's usual pause, and one in which a router may end
	idleShare                     = 0.04                                    // the part of the longer pauses
	connectTimeout                = time.Second                             // callers let a new connection take so long
	statusWrongBody               = -http.StatusOK                          // a success whose body is not the request's own answer
)

// request is one request of a caller and what came of it.
type request struct {
	route
	id, path, workspace, body string
	prompt, declared, router  int
	timeLimit, waitTimeout    time.Duration // what the caller gives, and how long it waits: longer, unless it leaves early
	reusedConn                bool          // the connection had carried a request before
	recurringName             string        // what stays the same of a request that comes again, in place of its id in path and body
	resumeAfter               int           // the caller has the events up to this one from an earlier answer, and goes on
	written                   atomic.Bool   // the request was sent whole

	sentAt, endedAt             time.Time
	outcome, answerID, signedBy string
	status, events              int
	err                         error
}

// String describes the request and what came of it.
func (q *request) String() string {
	return fmt.Sprintf("%s at router-%d, sent %s (kept %t), limit %s, %s with status %d and %d events after %s: %v", q.path, q.router,
		q.sentAt.UTC().Format(clockFormat), q.reusedConn, q.timeLimit, q.outcome, q.status, q.events, q.endedAt.Sub(q.sentAt).Round(time.Millisecond), q.err)
}

// caller sends requests one after the other on a connection that it keeps for as long as it is open.
type caller struct {
	soak      *soakRun
	random    *rand.Rand
	name      string
	sent      int
	transport http.Transport
}

// newCaller returns a caller whose new connections go to one of the addresses.
func (s *soakRun) newCaller(name string, stream int, addresses ...string) *caller {
	c := &caller{soak: s, name: fmt.Sprintf("%s%d", name, stream), random: rand.New(rand.NewPCG(s.Seed, uint64(stream)))}
	c.transport.DialContext = func(ctx context.Context, network, _ string) (net.Conn, error) {
		return (&net.Dialer{Timeout: connectTimeout}).DialContext(ctx, network, addresses[rand.IntN(len(addresses))])
	}
	return c
}

// sendUntil sends requests until the soak ends.
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

func randomUpTo(random *rand.Rand, most time.Duration) time.Duration {
	return 1 + time.Duration(random.Int64N(int64(most)))
}

// sendToRoute sends a request for a route and returns its status.
func (c *caller) sendToRoute(r route) int {
	q := &request{route: r, prompt: c.random.IntN(maxPrompt), declared: c.soak.events*emulator.DeploymentTokensPerEvent + c.random.IntN(maxSpareOutput)}
	q.body = strings.Repeat("x", int(math.Pow(maxBodyBytes, c.random.Float64())))
	// Routers are told whole milliseconds.
	q.timeLimit = (minTimeLimit + randomUpTo(c.random, maxTimeLimit-minTimeLimit)).Truncate(time.Millisecond)
	q.waitTimeout = min(q.timeLimit, emulator.DeploymentTimeout) + answerSlack
	if c.random.Float64() < abandonShare {
		q.waitTimeout = randomUpTo(c.random, maxAbandonDelay)
	}
	if !r.anonymous {
		q.workspace = workspaces[c.random.IntN(len(workspaces))]
	}
	c.send(q, r.name)
	for resumed := q; resumed.canResume(c.soak.events); {
		resumed = resumed.remainder()
		c.send(resumed, r.name)
	}
	return q.status
}

// canResume tells that an answer broke off amid its events, and that its caller may go on where it did.
func (q *request) canResume(events int) bool {
	return q.metered && q.repeatable && q.outcome == outcomeBroken && q.status == http.StatusOK && q.events > 0 && q.resumeAfter+q.events < events
}

// remainder is the request for what an answer that broke off had still to bring; its prompt has been paid for.
func (q *request) remainder() *request {
	return &request{
		route: q.route, workspace: q.workspace, declared: q.declared, timeLimit: q.timeLimit, waitTimeout: min(q.timeLimit, emulator.DeploymentTimeout) + answerSlack,
		resumeAfter: q.resumeAfter + q.events, prompt: q.prompt,
	}
}

// sendUntilServed asks until a request of a route is served.
func (c *caller) sendUntilServed(ctx context.Context, r route, until time.Time) {
	for c.sendToRoute(r) != http.StatusOK && ctx.Err() == nil {
		if time.Now().After(until) {
			c.soak.reportViolation(promiseRecovered, "%s served no %q within %s after all faults", c.name, r.name, recoveryTimeout)
			return
		}
		time.Sleep(probeInterval)
	}
}

// send sends a request to a path and judges what can be judged at once.
func (c *caller) send(q *request, path string) {
	c.sent++
	q.id = fmt.Sprintf("%s-%d", c.name, c.sent)
	name := q.id
	if q.recurringName != "" {
		name = q.recurringName
	}
	q.path, q.body = "/"+path+"/"+name, name+q.body
	c.soak.mu.Lock()
	c.soak.requests[q.id] = q
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

// exchange sends a request and reads its answer.
func (c *caller) exchange(q *request) error {
	ctx, cancel := context.WithTimeout(context.Background(), q.waitTimeout)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			q.reusedConn, q.router = i.Reused, c.soak.routers[i.Conn.RemoteAddr().String()]
		},
		WroteRequest: func(i httptrace.WroteRequestInfo) { q.written.Store(i.Err == nil) },
	})
	// Without a way to read the body anew, the transport sends nothing once more by itself.
	out := &http.Request{Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: emulator.DeploymentHost, Path: q.path}, ContentLength: int64(len(q.body))}
	out.Body = io.NopCloser(strings.NewReader(q.body))
	call := emulator.OpaqueCall{ID: q.id, TimeLeft: q.timeLimit, Metered: q.metered, Prompt: q.prompt, MaxOutput: q.declared, LastEvent: q.resumeAfter}
	if q.workspace != "" {
		call.Key = emulator.DeploymentKey + q.workspace
	}
	out.Header = call.Header()
	in, err := c.transport.RoundTrip(out.WithContext(ctx))
	if err != nil {
		return err
	}
	defer in.Body.Close()
	q.status = in.StatusCode
	q.answerID, q.signedBy = emulator.AnswerOrigin(in.Header)
	body, err := io.ReadAll(in.Body)
	if q.recurringName == "" && q.status == http.StatusServiceUnavailable && isCrashRefusal(body) {
		c.soak.reportViolation(promiseSpared, "taken for the cause of servers' ends: %s", q)
	}
	if q.status == http.StatusOK {
		err = q.checkBody(string(body), c.soak.events, err)
	}
	return err
}

// checkBody holds what a success brought against a sound server's whole answer: one that ends early is a beginning of it.
func (q *request) checkBody(body string, events int, err error) error {
	whole := "ok " + q.id + " " + q.body
	if q.metered {
		whole, q.events = "", strings.Count(body, "\n\n")
		for i := q.resumeAfter; i < events; i++ {
			whole += fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", i+1, i+1, q.id)
		}
	}
	if !strings.HasPrefix(whole, body) || err == nil && body != whole {
		q.status, err = statusWrongBody, fmt.Errorf("got %.200q for %.200q", body, whole)
	}
	return err
}
