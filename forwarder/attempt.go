package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/chooser"
	"github.com/masticway/masticway/sender"
)

const (
	// answerLimit bounds an answer that is read in whole.
	answerLimit = 8 << 20
	// foreignAnswers bounds the answers to other requests that are skipped on one connection.
	foreignAnswers = 2
)

// attempt is one request at one server.
type attempt struct {
	x         *exchange
	server    masticway.Server
	placement *chooser.Placement
	// parent is the exchange's context.
	parent context.Context
	ctx    context.Context
	cancel context.CancelCauseFunc
	// sending brings the answer of a server that was asked while the one before was silent; else it is nil.
	sending chan sent
	// excluded are the servers that had been asked when the attempt began.
	excluded map[string]bool
	patience patience
	// apart tells that the request runs as a suspect, and is this router's to report on.
	apart bool
	// firstAt is when the first part of this server's answer came.
	firstAt time.Time
}

// try sends the request to one server and relays its answer.
func (x *exchange) try(ctx context.Context, a *attempt) outcome {
	defer a.cancel(nil)
	x.server = a.server.ID
	out := a.run()
	if errors.Is(ctx.Err(), context.Canceled) {
		out.verdict = chooser.VerdictNone
	}
	a.end(out.verdict)
	return out
}

// attempt returns the next attempt: at a server that has taken the request while the one before was silent, else at the
// best of those that were not asked. There may be none, for a reason.
func (x *exchange) attempt(ctx context.Context) (*attempt, outcome) {
	a := x.next.Swap(nil)
	if a == nil {
		c, none, ok := x.choose(ctx)
		if !ok {
			return nil, none
		}
		a = x.newAttempt(ctx, c.server)
		a.apart = c.apart
	}
	a.excluded = maps.Clone(x.exclude)
	return a, outcome{}
}

// newAttempt notes a request that goes to a server.
func (x *exchange) newAttempt(ctx context.Context, server masticway.Server) *attempt {
	x.f.metrics.Add(metricAttempts, 1)
	a := &attempt{x: x, server: server, parent: ctx}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	x.f.mu.Lock()
	a.placement = x.f.servers.Sent(x.f.clock.Now(), x.q.prompt, server.ID)
	x.f.mu.Unlock()
	return a
}

// end notes how an attempt ended, as far as it says something of its server.
func (a *attempt) end(v chooser.Verdict) {
	f := a.x.f
	f.mu.Lock()
	f.servers.Ended(f.clock.Now(), a.placement, v)
	f.mu.Unlock()
}

func (a *attempt) run() outcome {
	x := a.x
	a.expect(x.firstWait())
	defer a.expect(0)
	answer, err := a.answer()
	if err != nil {
		return a.unsent(err)
	}
	defer func() { answer.Close() }()
	head, own, err := a.own(answer)
	if err != nil {
		return a.failed(err)
	}
	answer = own
	answer.KeepIdle(head.IdleTimeout)
	return a.take(answer, head)
}

// answer sends the request, unless it is sent already, and returns the head of the answer.
func (a *attempt) answer() (*sender.Answer, error) {
	if a.sending != nil {
		r := <-a.sending
		return r.answer, r.err
	}
	return a.request(a.x.lastEvent)
}

// request sends the request to the attempt's server and returns the head of the answer; a stream goes on after the last event given.
func (a *attempt) request(last string) (*sender.Answer, error) {
	answer, err := a.x.f.sender.Send(a.ctx, a.server.Address, a.x.connections(), a.x.deliver(a.server, last))
	if err == nil {
		a.hear(answer)
	}
	return answer, err
}

// hear notes what the server says of itself in the head of an answer.
func (a *attempt) hear(answer *sender.Answer) {
	if answer.Status == http.StatusMisdirectedRequest {
		// A server that is not the one meant speaks of itself.
		return
	}
	head := a.x.f.dialect.ParseAnswer(answer.Status, answer.Header)
	a.x.f.throttler.Observe(a.server.Incarnation(), head)
	if head.Draining {
		a.x.f.leaves(a.server)
	}
}

// firstWait is how long the first bytes of an answer are waited for before another server is asked; zero is for ever.
func (x *exchange) firstWait() time.Duration {
	if x.ran()+1 >= x.q.route.MaxServers {
		return 0
	}
	switch x.q.route.RetryPolicy {
	case masticway.RetryUnlimited:
		return time.Duration(patienceShare * float64(x.q.route.LatencyObjective))
	case masticway.RetryByResuming:
		return time.Duration(firstPatience * float64(x.q.route.LatencyObjective))
	}
	return 0
}

// gapWait is the same for the pause between two events.
func (x *exchange) gapWait() time.Duration {
	if x.ran()+1 >= x.q.route.MaxServers || x.q.route.RetryPolicy != masticway.RetryByResuming {
		return 0
	}
	return time.Duration(gapPatience * float64(x.q.route.MaxEventGap))
}

// unsent tells what became of a request without an answer.
func (a *attempt) unsent(err error) outcome {
	if _, ok := errors.AsType[*sender.FullError](err); ok {
		return outcome{fate: masticway.FateNotRun, verdict: chooser.VerdictNone, reason: err.Error(), full: true}
	}
	if failure, ok := errors.AsType[*sender.Error](err); ok && !failure.Sent {
		if errors.Is(err, syscall.ECONNREFUSED) {
			a.x.f.lookFor(a.server)
		}
		return outcome{fate: masticway.FateNotRun, verdict: chooser.VerdictUnreached, reason: err.Error()}
	}
	return a.lost(err)
}

// failed is an attempt that may have run and whose answer is missing or of no use.
func (a *attempt) failed(err error) outcome {
	cause := context.Cause(a.ctx)
	if cause != nil {
		err = fmt.Errorf("%w (%w)", cause, err)
	}
	return outcome{fate: masticway.FateUnknown, verdict: chooser.VerdictFailed, reason: err.Error(), abandoned: cause != nil}
}

// lost is a failed attempt whose connection ended before the answer did, unless it was this router that ended it.
func (a *attempt) lost(err error) outcome {
	out := a.failed(err)
	out.broken = !out.abandoned
	return out
}

// own finds the answer to this request, past answers to others that a faulty server sent twice.
func (a *attempt) own(answer *sender.Answer) (masticway.ServerAnswer, *sender.Answer, error) {
	for range foreignAnswers {
		head := a.x.f.dialect.ParseAnswer(answer.Status, answer.Header)
		if head.ID == a.x.q.ID || head.ID == "" {
			return head, answer, nil
		}
		next, err := answer.Next()
		if err != nil {
			return head, answer, err
		}
		answer = next
	}
	return masticway.ServerAnswer{}, answer, errors.New("the answers belong to other requests")
}

// take decides what an answer is worth and relays it.
func (a *attempt) take(answer *sender.Answer, head masticway.ServerAnswer) outcome {
	if head.NotRun {
		_, _ = io.Copy(io.Discard, answer)
		return a.notRun(answer.Status)
	}
	if head.ID == "" || !head.Signed {
		return a.failed(fmt.Errorf("status %d without the request's id or a signature", answer.Status))
	}
	a.x.step(eventAnswered)
	if a.x.q.route.IsStream && answer.Status == http.StatusOK {
		return a.relay(answer)
	}
	return a.pass(answer)
}

func (a *attempt) notRun(status int) outcome {
	out := outcome{fate: masticway.FateNotRun, verdict: chooser.VerdictNone, reason: "status " + strconv.Itoa(status) + ", not run"}
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		out.full = true
		out.verdict = chooser.VerdictFailed
	}
	if status == http.StatusMisdirectedRequest {
		out.verdict = chooser.VerdictUnreached
	}
	return out
}

// pass reads an answer in whole and hands it to the caller.
func (a *attempt) pass(answer *sender.Answer) outcome {
	x := a.x
	body, err := io.ReadAll(io.LimitReader(answer, answerLimit))
	if err != nil {
		return a.lost(fmt.Errorf("reading the answer: %w", err))
	}
	a.first()
	bad := answer.Status >= http.StatusInternalServerError
	if bad && x.q.route.RetryPolicy == masticway.RetryUnlimited && x.ran()+1 < x.q.route.MaxServers && x.suspect(a.server) {
		return outcome{fate: masticway.FateRan, verdict: chooser.VerdictFailed, reason: "status " + strconv.Itoa(answer.Status) + " of a suspect server"}
	}
	x.fate = masticway.FateRan
	if x.begun {
		// A stream that was to be resumed got another answer; the caller's stream cannot take it.
		return outcome{fate: masticway.FateRan, verdict: chooser.VerdictNone, reason: "status " + strconv.Itoa(answer.Status) + " to a resumption"}
	}
	if !a.clear() {
		return outcome{fate: masticway.FateRan, verdict: chooser.VerdictNone, reason: errNotCleared.Error()}
	}
	x.begin(answer)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(answer.Status)
	_, _ = x.w.Write(body)
	verdict := chooser.VerdictGood
	if bad {
		verdict = chooser.VerdictFailed
	}
	return outcome{done: true, fate: masticway.FateRan, verdict: verdict}
}

// begin copies an answer's headers to the caller; from here on it has this server's head.
func (x *exchange) begin(answer *sender.Answer) {
	x.begun = true
	x.charged = answer.Status < http.StatusMultipleChoices
	header := x.w.Header()
	for name, values := range x.f.dialect.CallerHeaders(answer.Header) {
		header[name] = values
	}
	x.f.keep(header)
	// What the server did not say is not added.
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := header[name]; !ok {
			header[name] = nil
		}
	}
}

// first notes the first sign of the answer.
func (a *attempt) first() {
	now := a.x.f.clock.Now()
	a.x.answered()
	if a.x.firstAt.IsZero() {
		a.x.firstAt = now
	}
	if a.firstAt.IsZero() {
		a.firstAt = now
	}
	a.x.f.mu.Lock()
	a.x.f.servers.First(now, a.placement)
	a.x.f.mu.Unlock()
}

func (x *exchange) suspect(s masticway.Server) bool {
	x.f.mu.Lock()
	defer x.f.mu.Unlock()
	return x.f.servers.Suspect(s.ID, x.f.beliefs().Servers[x.q.pool.Name])
}
