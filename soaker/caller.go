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
	outcomeSilent   = "silent"   // nothing more came while the caller waited
)

const (
	answerSlack             = time.Second                             // a caller waits so long beyond the request's time, twice what the rules allow
	leaving, leavesWithin   = 0.03, 300 * time.Millisecond            // so many callers leave early, and so early
	promptMost, spareOutput = 1500, 30                                // tokens of a prompt, and those declared beyond what a stream has
	limitLeast, limitMost   = time.Second, 8 * time.Second            // the time that a caller gives
	largestBody             = 40 << 10                                // bytes; most bodies have far fewer
	thinkMost, idleMost     = 120 * time.Millisecond, 8 * time.Second // a caller's usual pause, and one in which a router may end
	idleShare               = 0.04                                    // the part of the longer pauses
	connectTimeout          = time.Second                             // callers let a new connection take so long
	statusForeign           = -http.StatusOK                          // a success whose body is not the request's own answer
)

// request is one request of a caller and what came of it.
type request struct {
	route
	id, path, workspace, body string
	prompt, declared, router  int
	limit, patience           time.Duration // what the caller gives, and how long it waits: longer, unless it leaves early
	kept                      bool          // the connection had carried a request before
	fixed                     string        // what stays the same of a request that comes again, in place of its id in path and body
	after                     int           // the caller has the events up to this one from an earlier answer, and goes on
	written                   atomic.Bool   // the request was sent whole

	sentAt, endedAt             time.Time
	outcome, answerID, signedBy string
	status, events              int
	fault                       error
}

// String describes the request and what came of it.
func (q *request) String() string {
	return fmt.Sprintf("%s at router-%d, sent %s (kept %t), limit %s, %s with status %d and %d events after %s: %v", q.path, q.router,
		q.sentAt.UTC().Format(clockFormat), q.kept, q.limit, q.outcome, q.status, q.events, q.endedAt.Sub(q.sentAt).Round(time.Millisecond), q.fault)
}

// caller sends requests one after the other on a connection that it keeps for as long as it is open.
type caller struct {
	soak      *run
	random    *rand.Rand
	name      string
	sent      int
	transport http.Transport
}

// newCaller returns a caller whose new connections go to one of the addresses.
func (s *run) newCaller(name string, stream int, addresses ...string) *caller {
	c := &caller{soak: s, name: fmt.Sprintf("%s%d", name, stream), random: rand.New(rand.NewPCG(s.Seed, uint64(stream)))}
	c.transport.DialContext = func(ctx context.Context, network, _ string) (net.Conn, error) {
		return (&net.Dialer{Timeout: connectTimeout}).DialContext(ctx, network, addresses[rand.IntN(len(addresses))])
	}
	return c
}

// call sends requests until the soak ends.
func (c *caller) call(done <-chan struct{}) {
	for {
		pause := below(c.random, thinkMost)
		if c.random.Float64() < idleShare {
			pause = below(c.random, idleMost)
		}
		select {
		case <-done:
			return
		case <-time.After(pause):
		}
		c.ask(routes[c.random.IntN(len(routes))])
	}
}

func below(random *rand.Rand, most time.Duration) time.Duration {
	return 1 + time.Duration(random.Int64N(int64(most)))
}

// ask sends a request for a route and returns its status.
func (c *caller) ask(r route) int {
	q := &request{route: r, prompt: c.random.IntN(promptMost), declared: c.soak.events*emulator.DeploymentTokensPerEvent + c.random.IntN(spareOutput)}
	q.body = strings.Repeat("x", int(math.Pow(largestBody, c.random.Float64())))
	// Routers are told whole milliseconds.
	q.limit = (limitLeast + below(c.random, limitMost-limitLeast)).Truncate(time.Millisecond)
	q.patience = min(q.limit, emulator.DeploymentTimeout) + answerSlack
	if c.random.Float64() < leaving {
		q.patience = below(c.random, leavesWithin)
	}
	if !r.anonymous {
		q.workspace = workspaces[c.random.IntN(len(workspaces))]
	}
	c.send(q, r.name)
	for resumed := q; resumed.mayResume(c.soak.events); {
		resumed = resumed.rest()
		c.send(resumed, r.name)
	}
	return q.status
}

// mayResume tells that an answer broke off amid its events, and that its caller may go on where it did.
func (q *request) mayResume(events int) bool {
	return q.metered && q.repeatable && q.outcome == outcomeBroken && q.status == http.StatusOK && q.events > 0 && q.after+q.events < events
}

// rest is the request for what an answer that broke off had still to bring; its prompt has been paid for.
func (q *request) rest() *request {
	return &request{
		route: q.route, workspace: q.workspace, declared: q.declared, limit: q.limit, patience: min(q.limit, emulator.DeploymentTimeout) + answerSlack,
		after: q.after + q.events, prompt: q.prompt,
	}
}

// askUntil asks until a request of a route is served.
func (c *caller) askUntil(ctx context.Context, r route, until time.Time) {
	for c.ask(r) != http.StatusOK && ctx.Err() == nil {
		if time.Now().After(until) {
			c.soak.violate(promiseRecovered, "%s served no %q within %s after all faults", c.name, r.name, recoveryBound)
			return
		}
		time.Sleep(probePause)
	}
}

// send sends a request to a path and judges what can be judged at once.
func (c *caller) send(q *request, path string) {
	c.sent++
	q.id = fmt.Sprintf("%s-%d", c.name, c.sent)
	name := q.id
	if q.fixed != "" {
		name = q.fixed
	}
	q.path, q.body = "/"+path+"/"+name, name+q.body
	c.soak.mu.Lock()
	c.soak.requests[q.id] = q
	c.soak.mu.Unlock()
	q.sentAt, q.outcome = time.Now(), outcomeAnswered
	q.fault = c.exchange(q)
	q.endedAt = time.Now()
	switch {
	case !q.written.Load():
		q.outcome = outcomeUnsent
	case errors.Is(q.fault, context.DeadlineExceeded):
		q.outcome = outcomeSilent
	case q.fault != nil:
		q.outcome = outcomeBroken
	}
	c.soak.judgeNow(q)
}

// exchange sends a request and reads its answer.
func (c *caller) exchange(q *request) error {
	ctx, cancel := context.WithTimeout(context.Background(), q.patience)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			q.kept, q.router = i.Reused, c.soak.routers[i.Conn.RemoteAddr().String()]
		},
		WroteRequest: func(i httptrace.WroteRequestInfo) { q.written.Store(i.Err == nil) },
	})
	// Without a way to read the body anew, the transport sends nothing once more by itself.
	out := &http.Request{Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: emulator.DeploymentHost, Path: q.path}, ContentLength: int64(len(q.body))}
	out.Body = io.NopCloser(strings.NewReader(q.body))
	call := emulator.OpaqueCall{ID: q.id, TimeLeft: q.limit, Metered: q.metered, Prompt: q.prompt, MaxOutput: q.declared, LastEvent: q.after}
	if q.workspace != "" {
		call.Key = emulator.DeploymentKeyPrefix + q.workspace
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
	if q.fixed == "" && q.status == http.StatusServiceUnavailable && blames(body) {
		c.soak.violate(promiseSpared, "taken for the cause of servers' ends: %s", q)
	}
	if q.status == http.StatusOK {
		err = q.take(string(body), c.soak.events, err)
	}
	return err
}

// take holds what a success brought against a sound server's whole answer: one that ends early is a beginning of it.
func (q *request) take(body string, events int, err error) error {
	whole := "ok " + q.id + " " + q.body
	if q.metered {
		whole, q.events = "", strings.Count(body, "\n\n")
		for i := q.after; i < events; i++ {
			whole += fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", i+1, i+1, q.id)
		}
	}
	if !strings.HasPrefix(whole, body) || err == nil && body != whole {
		q.status, err = statusForeign, fmt.Errorf("got %.200q for %.200q", body, whole)
	}
	return err
}
