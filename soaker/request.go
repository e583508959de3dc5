package soaker

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

// Outcomes of a request for its caller.
const (
	outcomeUnsent   = "unsent"   // the connection broke while the request was written
	outcomeAnswered = "answered" // an answer that is complete by the protocol
	outcomeBroken   = "broken"   // the connection ended before a complete answer
	outcomeSilent   = "silent"   // nothing more came for answerSlack after the request's time
	outcomeLeft     = "left"     // the caller left early, as planned
)

const (
	// answerSlack is how much longer than the request's time a caller waits: twice what the rules of time allow.
	answerSlack = time.Second
	// spareOutput is the most output that a request declares beyond what a stream has, in tokens.
	spareOutput = 30
	// leaving is the part of the requests whose callers leave early, within leavesWithin.
	leaving      = 0.03
	leavesWithin = 300 * time.Millisecond
	// largestBody is the most that a body has; most are far smaller.
	largestBody = 40 << 10
	// statusForeign stands for a success whose body is not the request's own answer.
	statusForeign = -http.StatusOK
)

// request is one request of a caller and what came of it.
type request struct {
	route                     route
	id, path, workspace, body string
	prompt, declared          int
	limit                     time.Duration
	// leave is when the caller leaves after sending, zero for never.
	leave time.Duration
	// whole is the whole answer of a sound server.
	whole string

	router int
	// kept tells that the connection had carried a request before.
	kept              bool
	sentAt, writtenAt time.Time
	endedAt           time.Time
	outcome           string
	status, events    int
	answerID          string
	signature         string
	fault             string
	// last tells that the router ends the connection.
	last bool
}

func (q *request) String() string {
	return fmt.Sprintf("%s at router-%d, sent %s (kept %t), limit %s, %s with status %d and %d events after %s %s", q.path, q.router,
		q.sentAt.UTC().Format(clockFormat), q.kept, q.limit, q.outcome, q.status, q.events, q.endedAt.Sub(q.sentAt).Round(time.Millisecond), q.fault)
}

// timeout is how long the request may take.
func (q *request) timeout() time.Duration { return min(q.limit, routeTimeout) }

// draw makes a request for a route.
func draw(random *rand.Rand, r route, id string, events int) *request {
	q := &request{
		id: id, route: r, path: "/" + r.name + "/" + id, prompt: 20 + random.IntN(150), declared: events*tokensPerEvent + random.IntN(spareOutput),
		limit: time.Duration(1500+random.IntN(2000)) * time.Millisecond,
		body:  id + strings.Repeat("x", int(math.Pow(largestBody, random.Float64()))),
	}
	if !r.anonymous {
		q.workspace = workspaces[random.IntN(len(workspaces))]
	}
	if random.Float64() < leaving {
		q.leave = 1 + time.Duration(random.Int64N(int64(leavesWithin)))
	}
	q.whole = "ok " + id + " " + q.body
	if r.stream() {
		q.whole = ""
		for i := range events {
			q.whole += fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", i+1, i+1, id)
		}
	}
	return q
}

// wire is the request as it is sent.
func (q *request) wire() string {
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n", q.path, callerHost, q.id, q.limit.Milliseconds(), len(q.body))
	if q.workspace != "" {
		head += fmt.Sprintf("Authorization: Token %s\r\n", keyOf(q.workspace))
	}
	if q.route.stream() {
		head += fmt.Sprintf("X-Token-Count: %d,%d\r\n", q.prompt, q.declared)
	}
	return head + "\r\n" + q.body
}

// exchange sends the request on a connection and reads its answer.
func (q *request) exchange(c net.Conn, reader *bufio.Reader) {
	q.sentAt = time.Now()
	defer func() { q.endedAt = time.Now() }()
	until, late := q.sentAt.Add(q.timeout()+answerSlack), outcomeSilent
	if q.leave > 0 {
		until, late = q.sentAt.Add(q.leave), outcomeLeft
	}
	_ = c.SetDeadline(until)
	if _, err := io.WriteString(c, q.wire()); err != nil {
		q.end(outcomeUnsent, late, err)
		return
	}
	q.writtenAt = time.Now()
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		q.end(outcomeBroken, late, err)
		return
	}
	defer response.Body.Close()
	q.status, q.answerID, q.signature = response.StatusCode, response.Header.Get("X-Attempt-Id"), response.Header.Get("X-Server-Signature")
	q.last = response.Close
	body, err := io.ReadAll(response.Body)
	q.end(outcomeBroken, late, err)
	q.look(string(body))
}

// end notes how the request ended.
func (q *request) end(broken, late string, err error) {
	q.outcome = outcomeAnswered
	if err != nil {
		q.outcome, q.fault = broken, err.Error()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		q.outcome = late
	}
}

// look looks at the body of a success: a complete one is the whole answer, another is a beginning of it.
func (q *request) look(body string) {
	if q.status != http.StatusOK {
		return
	}
	if q.route.stream() {
		q.events = strings.Count(body, "\n\n")
	}
	if !strings.HasPrefix(q.whole, body) || q.outcome == outcomeAnswered && body != q.whole {
		q.status, q.fault = statusForeign, fmt.Sprintf("got %.200q for %.200q", body, q.whole)
	}
}

// tokens is what the workspace got by the request: the prompt once there is an event, and the events.
func (q *request) tokens() int64 {
	if !q.route.metered || q.events == 0 {
		return 0
	}
	return int64(q.prompt + q.events*tokensPerEvent)
}
