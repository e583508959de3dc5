package forwarder

import (
	"encoding/json"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/sender"
	"github.com/masticway/masticway/tallier"
)

// writeRefusal writes a refusal to the caller.
func (f *Forwarder) writeRefusal(x *exchange, refused *masticway.RefusalError) {
	w := x.w
	f.codec.SetRefusal(w.Header(), x.q.ID, refused.RetryAfter)
	body, err := json.Marshal(struct {
		Error any `json:"error"`
	}{struct {
		Code         string         `json:"code"`
		Message      string         `json:"message"`
		Run          masticway.Fate `json:"run"`
		RetryAfterMS int64          `json:"retry_after_ms,omitempty"`
	}{refused.Code, refused.Message, refused.Fate, refused.RetryAfter.Milliseconds()}})
	if err != nil {
		body = nil
		f.log.WithFields(logrus.Fields{"event": "refusal_unwritten", "request": x.q.ID, "error": err}).Error("encoding the body of a refusal failed")
	}
	f.setConnectionHeader(w.Header())
	if refused.Code == codeOverloaded {
		// The caller's next connection reaches another router.
		w.Header().Set("Connection", "close")
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(refused.Status)
	_, _ = w.Write(body)
}

// codeBrokenOff is the outcome of a request whose answer was begun and could not be completed.
const codeBrokenOff = "broken_off"

// recordRefused counts a refused request and logs it.
func (f *Forwarder) recordRefused(x *exchange, refused *masticway.RefusalError) {
	f.tally.Add(x.end(refused.Code))
	f.metrics.Add(metricRefused+"_"+refused.Code, 1)
	fields := logrus.Fields{"status": refused.Status, "run": refused.Fate, "cause": x.cause}
	if refused.Code == codeExhausted || refused.Code == codeUnreachable {
		fields["prepaid"], fields["left"], fields["free"], fields["own"] = x.holdReply.Prepaid, x.holdReply.Ungranted, x.holdReply.Free, x.holdReply.Available
		fields["row_age_ms"], fields["others_asked"] = x.holdReply.RowAge.Milliseconds(), x.holdReply.AskedPeers
	}
	x.logEntry(refused.Code).WithFields(fields).Info("request refused")
}

// logEntry returns the log entry for the end of a request. At most one is logged for each request.
func (x *exchange) logEntry(outcome string) *logrus.Entry {
	now := x.f.clock.Now()
	fields := logrus.Fields{"read_ms": x.q.readAt.Sub(x.q.arrivedAt).Milliseconds()}
	if age := x.sentAge.Load(); age > 0 {
		fields["sent_ms"] = time.Duration(age).Milliseconds()
	}
	return x.f.log.WithFields(fields).WithFields(logrus.Fields{
		"event": "request", "request": x.q.ID, "outcome": outcome, "workspace": x.q.account.Workspace, "route": x.q.route.Name,
		"pool": x.q.pool.Name, "server": x.server, "tries": x.tries, "events": x.events, "configuration": x.q.configurationVersion,
		"hold": x.maxTokens(), "used": x.usedTokens(), "money_ms": x.holdReply.Waited.Milliseconds(), "ms": now.Sub(x.q.arrivedAt).Milliseconds(),
		"left_ms": x.q.deadline.Sub(now).Milliseconds(), "state": x.state, "resumes_after": x.q.LastEvent, "resumes": x.q.Resumes, "version": x.version,
	})
}

// end returns the end of the request for the counts of its workspace.
func (x *exchange) end(outcome string) tallier.End {
	e := tallier.End{Workspace: x.q.account.Workspace, Outcome: outcome}
	if x.q.hasBudget() {
		e.Charged = x.usedTokens()
	}
	return e
}

// recordServed counts a served request, records its latency and logs one of every Settings.LogEvery served requests.
func (f *Forwarder) recordServed(x *exchange) {
	f.metrics.Add(metricServed, 1)
	now := f.clock.Now()
	end := x.end(tallier.Served)
	end.IsLate = x.q.route.LatencyObjective > 0 && x.firstAt.Sub(x.q.arrivedAt) > x.q.route.LatencyObjective
	f.tally.Add(end)
	f.metrics.Observe(histogramFirst, x.q.route.Name, x.firstAt.Sub(x.q.arrivedAt))
	f.metrics.Observe(histogramWhole, x.q.account.Workspace, now.Sub(x.q.arrivedAt))
	if f.settings.LogEvery > 0 && f.servedCount.Add(1)%int64(f.settings.LogEvery) == 0 {
		x.logEntry("served").Info("request served")
	}
}

func (f *Forwarder) recordCallerLeft(x *exchange) {
	f.metrics.Add(metricCallersLeft, 1)
	f.tally.Add(x.end(codeCallerLeft))
	x.logEntry(codeCallerLeft).WithFields(logrus.Fields{"cause": x.cause, "closed": x.caller.HasClosed()}).Info("caller left")
}

func (f *Forwarder) recordBroken(x *exchange, refused *masticway.RefusalError) {
	f.metrics.Add(metricBroken, 1)
	f.tally.Add(x.end(codeBrokenOff))
	x.logEntry(codeBrokenOff).WithFields(logrus.Fields{"run": refused.Fate, "cause": x.cause, "protocol": x.q.protocol}).Info("answer aborted")
}

func (x *exchange) logFailedAttempt(a *attempt, out outcome, retry retryDecision) {
	server := a.server
	x.f.log.WithFields(retry.fields()).WithFields(connectionFields(a.history)).WithFields(logrus.Fields{
		"event": "attempt_failed", "request": x.q.ID, "pool": x.q.pool.Name, "server": server.ID, "version": server.Version, "address": server.Address, "fate": out.fate,
		"cause": out.reason, "given_up": out.abandoned, "events": x.events, "digest": x.suspects().Request, "path": x.q.path(), "workspace": x.q.account.Workspace, "ms": x.f.clock.Now().Sub(x.q.arrivedAt).Milliseconds(),
	}).Info("attempt failed")
}

// logSkipped logs that an answer to another request came where the answer to the attempt's request was expected.
func (a *attempt) logSkipped(answer *sender.Answer, head masticway.ServerAnswer) {
	a.x.f.log.WithFields(connectionFields(answer.History)).WithFields(logrus.Fields{
		"event": "answer_skipped", "request": a.x.q.ID, "server": a.server.ID, "answers": head.ID, "status": answer.Status, "not_run": head.NotRun,
	}).Info("answer to another request skipped")
}

// connectionFields returns the log fields of the connection on which a request was sent. There are none if it was not sent.
func connectionFields(h sender.History) logrus.Fields {
	if h.Local == "" {
		return nil
	}
	return logrus.Fields{
		"connection": h.Local, "connection_requests": h.Requests, "connection_rejections": h.Rejections, "connection_repeated": h.Repeated,
	}
}
