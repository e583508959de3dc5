package forwarder

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/charter"
	"github.com/masticway/masticway/chooser"
	"github.com/masticway/masticway/examiner"
	"github.com/masticway/masticway/sender"
	"github.com/masticway/masticway/treasurer"
)

const (
	// retrySoon is when a refused caller should come back: a router, a server or money is usually there by then.
	retrySoon = 250 * time.Millisecond
	// retryMoney is the same for money that could not be reached: a cut lasts seconds, and what may be taken grows meanwhile.
	retryMoney = 3000 * time.Millisecond
	// moneyShare is the part of a route's target that a request may wait for money; a refusal after a quarter is late.
	moneyShare = 0.22
	// leastMoneyWait is the wait for money on routes with a tight target, a few calls to the store.
	leastMoneyWait = 60 * time.Millisecond
	// connectTimeout bounds a connection to a server, a few times the way between availability zones.
	connectTimeout = 250 * time.Millisecond
	// freshIdle is how long a connection may have been idle for a request that must not run twice: a server that has
	// just closed it leaves the request's fate unknown.
	freshIdle = 400 * time.Millisecond
	// acknowledgedWithin is how long a server's kernel may take to acknowledge a request that may be repeated: three
	// retransmissions, so that a link which loses 3% of its packets breaks off three requests in 100,000. A machine
	// without power is left after it, instead of after most of the time that a caller waits.
	acknowledgedWithin = 700 * time.Millisecond
	// triesMost bounds the servers that are asked for one request, including those that did not take it.
	triesMost = 5
	// patienceShare is the part of the target after which a repeatable request without an answer goes elsewhere too.
	patienceShare = 0.7
	// firstPatience and gapPatience are the multiples of target and pause after which a stream that can go on elsewhere does.
	firstPatience = 2.0
	gapPatience   = 3.0
)

var deliveryChart = charter.MustLoad(charter.Delivery)

// Events of the delivery chart.
const (
	eventPaid     charter.Event = "paid"
	eventSent     charter.Event = "sent"
	eventNotRun   charter.Event = "not_run"
	eventFailed   charter.Event = "failed"
	eventAnswered charter.Event = "answered"
	eventFinished charter.Event = "finished"
	eventRefused  charter.Event = "refused"
	eventLost     charter.Event = "lost"
	eventLeft     charter.Event = "left"
)

// exchange carries one request from admission to the end of its answer.
type exchange struct {
	f     *Forwarder
	w     http.ResponseWriter
	q     request
	state charter.State
	// fate is the most that can be said of all attempts.
	fate masticway.Fate
	// money is the answer to the request for money, held tells that the hold is open.
	money   treasurer.Reply
	held    bool
	cleared bool
	// reserved tells that another try is allowed, for which the present one is left.
	reserved atomic.Bool
	// next is the attempt that goes on with the request once the present one is left for it.
	next  atomic.Pointer[attempt]
	tries int
	runs  int
	// asides counts the servers that may have run the request beside the present one and were dropped.
	asides  atomic.Int32
	exclude map[string]bool
	cause   string
	// carried tells that the request counts among those that wait for their answers.
	carried atomic.Bool
	// admitted tells that it was let in, with so many bytes.
	admitted bool
	bytes    int64
	// begun tells that the head of an answer has gone to the caller.
	begun bool
	// charged tells that the caller got at least a part of a good answer.
	charged   bool
	events    int
	lastEvent string
	firstAt   time.Time
	server    string
	// digestOnce makes the digest, which few requests are ever asked for.
	digestOnce sync.Once
	digested   masticway.RequestDigest
	// suspected tells that the request was a suspect when it was last sent.
	suspected bool
}

// step follows the chart; a step that it does not allow is a defect and is logged.
func (x *exchange) step(e charter.Event) {
	next, err := deliveryChart.Next(x.state, e)
	if err != nil {
		x.f.log.WithFields(logrus.Fields{"event": "chart_fault", "request": x.q.ID, "error": err}).Error("step outside the chart")
		return
	}
	x.state = next
}

// digest returns the request's digest.
func (x *exchange) digest() masticway.RequestDigest {
	x.digestOnce.Do(func() {
		x.digested = examiner.Digest(examiner.Source{
			Workspace: x.q.account.Workspace, Method: x.q.method, Host: x.q.host, Target: x.q.target, Body: x.q.body,
		})
	})
	return x.digested
}

// run serves the request.
func (x *exchange) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, x.q.deadline.Sub(x.f.clock.Now()))
	defer cancel()
	x.f.mu.Lock()
	x.f.allowance(x.q.pool.Name).Asked(x.q.received)
	x.f.mu.Unlock()
	if none, proven := x.proven(); proven {
		x.cause = none.reason
		x.step(eventRefused)
		x.f.refuse(x.w, x, x.giveUp(ctx, none))
		return
	}
	if refused := x.pay(ctx); refused != nil {
		x.step(eventRefused)
		x.f.refuse(x.w, x, refused)
		return
	}
	x.step(eventPaid)
	refused := x.attempts(ctx)
	x.settle()
	x.end(ctx, refused)
}

// pay holds the most that the request may consume.
func (x *exchange) pay(ctx context.Context) *masticway.RefusalError {
	if !x.q.metered() {
		return nil
	}
	wait := max(leastMoneyWait, time.Duration(moneyShare*float64(x.q.route.LatencyObjective))-x.f.clock.Now().Sub(x.q.received))
	x.money = x.f.bank.Hold(ctx, x.q.account.Workspace, x.most(), wait)
	switch x.money.Verdict {
	case treasurer.VerdictHeld:
		x.held = true
		return nil
	case treasurer.VerdictExhausted:
		return refusal(http.StatusPaymentRequired, codeExhausted, "the prepaid budget does not cover the request at its most", 0)
	}
	return refusal(http.StatusServiceUnavailable, codeUnreachable, "the prepaid budget cannot be reached now", retryMoney)
}

// settle ends the hold with what was used: nothing if the caller got nothing, else the prompt and what was delivered.
// Work whose answer was lost on the way is not charged to the workspace.
func (x *exchange) settle() {
	if !x.held {
		return
	}
	x.held = false
	x.f.bank.Settle(x.money.ID, x.used())
}

// most is the most that the request may consume.
func (x *exchange) most() int64 { return int64(x.duePrompt() + x.q.MaxOutput) }

// duePrompt is the part of the prompt that the workspace has not been charged for. A caller that resumes an answer was
// charged for all of it with the events that came before; where the router of these died, its successor has counted them at
// their most. Charged again, it used up budgets after losses of power: over 25 days with trouble of five routers 8.5% of
// the requests were refused for 5.9%.
func (x *exchange) duePrompt() int {
	if x.q.LastEvent != "" && x.q.route.RetryPolicy == masticway.RetryByResuming {
		return 0
	}
	return x.q.Prompt
}

func (x *exchange) used() int64 {
	if !x.charged {
		return 0
	}
	return int64(x.duePrompt() + min(x.q.MaxOutput, x.events*max(1, x.q.pool.TokensPerEvent)))
}

// outcome is how one attempt ended.
type outcome struct {
	fate    masticway.Fate
	verdict chooser.Verdict
	// done tells that the caller has its whole answer.
	done   bool
	reason string
	// full tells that the server has no room now, rather than being at fault.
	full bool
	// broken tells that the connection ended before the answer did, abandoned that this router ended it.
	broken, abandoned bool
	// after is when a server that takes none now may take the request, and code why it does not; zero when none is known to.
	after time.Duration
	code  string
	// suspicion tells why the request may not run now, and for how long.
	suspicion masticway.SuspectStatus
}

// attempts tries servers until the answer is there or the rules say to stop.
func (x *exchange) attempts(ctx context.Context) *masticway.RefusalError {
	defer x.dropNext()
	for {
		if x.late() {
			return x.giveUp(ctx, outcome{fate: masticway.FateNotRun, verdict: chooser.VerdictNone, reason: "its time was over before it was sent"})
		}
		a, none := x.attempt(ctx)
		if a == nil {
			return x.giveUp(ctx, none)
		}
		x.step(eventSent)
		out := x.try(ctx, a)
		a.examine(ctx, out)
		if out.done {
			x.step(eventFinished)
			return nil
		}
		x.note(out)
		x.logAttempt(a.server, out)
		if out.fate == masticway.FateNotRun {
			x.step(eventNotRun)
		} else {
			x.step(eventFailed)
		}
		x.exclude[a.server.ID] = true
		if !x.again(ctx, out) {
			return x.giveUp(ctx, out)
		}
	}
}

// note keeps the most that can be said of all attempts: once one may have run, "not run" is never said again.
func (x *exchange) note(out outcome) {
	x.cause = out.reason
	if out.fate != masticway.FateNotRun {
		x.runs++
	}
	if out.fate == masticway.FateRan || out.fate == masticway.FateUnknown && x.fate == masticway.FateNotRun {
		x.fate = out.fate
	}
}

// ran is on how many servers the request may have run.
func (x *exchange) ran() int { return x.runs + int(x.asides.Load()) }

// again decides whether another server may be asked.
func (x *exchange) again(ctx context.Context, out outcome) bool {
	x.tries++
	if ctx.Err() != nil || x.tries >= triesMost {
		return false
	}
	if out.fate != masticway.FateNotRun {
		if x.ran() >= x.q.route.MaxServers || !x.repeatable() {
			return false
		}
	}
	if out.verdict == chooser.VerdictUnreached {
		// Nothing arrived, so nothing is added to what the servers get.
		return true
	}
	if !x.reserved.Swap(false) && !x.allowed() {
		return false
	}
	x.f.metrics.Add(metricAgain, 1)
	if x.begun {
		x.f.metrics.Add(metricResumed, 1)
	}
	return true
}

// reserve takes the allowance for another try before the present one is left; it is called beside the exchange.
func (x *exchange) reserve() bool {
	if !x.allowed() {
		return false
	}
	x.reserved.Store(true)
	return true
}

// allowed takes one try from the allowance that all routers share.
func (x *exchange) allowed() bool {
	x.f.mu.Lock()
	defer x.f.mu.Unlock()
	if x.f.allowance(x.q.pool.Name).Take(x.f.clock.Now(), x.f.bank.Members()) {
		return true
	}
	x.f.metrics.Add(metricNoAllowance, 1)
	return false
}

// repeatable tells that a request which may have run may run again, or go on where it stopped.
func (x *exchange) repeatable() bool {
	switch x.q.route.RetryPolicy {
	case masticway.RetryUnlimited:
		return !x.begun
	case masticway.RetryByResuming:
		return !x.begun || x.events == 0 || x.lastEvent != ""
	}
	return false
}

// giveUp turns the last failure into the caller's answer.
func (x *exchange) giveUp(ctx context.Context, out outcome) *masticway.RefusalError {
	expired := errors.Is(ctx.Err(), context.DeadlineExceeded) || x.late()
	if out.full {
		// The server that turned the request away may have said for how long.
		if held, ok := x.heldBack(); ok {
			out = held
		}
	}
	switch {
	case x.fate == masticway.FateNotRun && out.suspicion.Suspicion == masticway.SuspicionProven:
		return refusal(http.StatusServiceUnavailable, codeProven, out.reason, out.suspicion.Remaining)
	case x.fate == masticway.FateNotRun && out.suspicion.Suspicion == masticway.SuspicionQuarantined:
		return refusal(http.StatusServiceUnavailable, codeSuspect, out.reason, retrySoon)
	case x.fate == masticway.FateNotRun && expired:
		return refusal(http.StatusServiceUnavailable, codeNotInTime, "no server took the request in time: "+out.reason, retrySoon)
	case x.fate == masticway.FateNotRun && out.after > 0:
		return refusal(http.StatusServiceUnavailable, out.code, "the servers take nothing now: "+out.reason, max(retrySoon, out.after))
	case x.fate == masticway.FateNotRun && out.full:
		return refusal(http.StatusServiceUnavailable, codeServersFull, "the servers are full: "+out.reason, retrySoon)
	case x.fate == masticway.FateNotRun:
		return refusal(http.StatusServiceUnavailable, codeNoServer, "no server took the request: "+out.reason, retrySoon)
	case expired:
		return &masticway.RefusalError{Status: http.StatusGatewayTimeout, Code: codeTimeout, Fate: x.fate, Message: "the time is over: " + out.reason}
	case x.fate == masticway.FateUnknown:
		return &masticway.RefusalError{Status: http.StatusBadGateway, Code: codeUnknown, Fate: x.fate, Message: "it cannot be told whether the request ran: " + out.reason}
	}
	return &masticway.RefusalError{Status: http.StatusBadGateway, Code: codeFailed, Fate: x.fate, Message: "the server did not finish the answer: " + out.reason}
}

// late tells that the request's time is over. Its timer alone does not: it stands still while the machine is suspended.
func (x *exchange) late() bool { return !x.f.clock.Now().Before(x.q.deadline) }

// end answers a request that got none, or breaks off an answer that cannot be finished.
func (x *exchange) end(ctx context.Context, refused *masticway.RefusalError) {
	if refused == nil {
		x.f.served(x)
		return
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		x.step(eventLeft)
		x.f.left(x)
		return
	}
	if refused.Fate == masticway.FateNotRun {
		x.step(eventRefused)
	} else {
		x.step(eventLost)
	}
	if !x.begun {
		x.f.refuse(x.w, x, refused)
		return
	}
	x.f.broken(x, refused)
	// The server library ends the connection without the mark of a whole answer.
	panic(http.ErrAbortHandler)
}

// deliver builds what a server is sent; a stream goes on after the last event given, if there is one.
func (x *exchange) deliver(server masticway.Server, last string) sender.Request {
	q := x.q
	if last == "" {
		last = q.LastEvent
	}
	r := sender.Request{
		Method: q.method, Target: q.target, Host: q.host, Body: q.body, Connect: connectTimeout,
		Header: x.f.dialect.ServerHeaders(q.header, masticway.Delivery{
			Server: server.ID, Workspace: q.account.Workspace, TimeLeft: q.deadline.Sub(x.f.clock.Now()),
			Urgency: q.rank(), HasUrgency: q.pool.IsEngine, LastEvent: last,
		}),
	}
	if q.route.RetryPolicy == masticway.RetryNever {
		r.Fresh = freshIdle
	} else {
		r.Acknowledged = acknowledgedWithin
	}
	return r
}

// connections is this router's share of a server's connections.
func (x *exchange) connections() int {
	if x.q.pool.MaxConnections == 0 {
		return 0
	}
	return max(2, x.q.pool.MaxConnections/max(2, x.f.bank.Members()))
}
