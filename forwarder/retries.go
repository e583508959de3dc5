package forwarder

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/retrier"
)

// retryVerdict is what follows a failed attempt of a request, and why.
type retryVerdict string

const (
	// retryGranted allows another attempt, for which the allowance has granted a retry.
	retryGranted retryVerdict = "granted"
	// retryReserved allows the attempt to which the failed one was handed over. Its retry was granted for the handover.
	retryReserved retryVerdict = "reserved"
	// retryUncounted allows another attempt without a retry from the allowance, because the failed one was not sent.
	retryUncounted retryVerdict = "uncounted"
	// retryDenied means that the allowance has no retry left.
	retryDenied retryVerdict = "denied"
	// retryFinal means that the request may have no further attempt, whatever the allowance has left.
	retryFinal retryVerdict = "final"
)

// retryDecision is a verdict on a retry. allowance is set if the allowance was asked.
type retryDecision struct {
	verdict   retryVerdict
	allowance retrier.Decision
}

// isAllowed reports whether another attempt may be made.
func (d retryDecision) isAllowed() bool { return d.verdict != retryDenied && d.verdict != retryFinal }

// fields returns the log fields of a decision on a retry.
func (d retryDecision) fields() logrus.Fields {
	fields := logrus.Fields{"retry": d.verdict}
	if d.verdict == retryGranted || d.verdict == retryDenied {
		fields["retry_credit"], fields["retry_fixed"], fields["retry_sharers"] = d.allowance.Credit, d.allowance.Fixed, d.allowance.Routers
	}
	return fields
}

// decideRetry counts a failed attempt and decides whether another one may be made. It takes a retry from the allowance for the next
// attempt, unless the failed one was handed over. No retry is needed if the failed attempt was not sent.
func (x *exchange) decideRetry(ctx context.Context, out outcome) retryDecision {
	x.tries++
	if x.checkWanted(ctx) != nil || x.tries >= maxTries {
		return retryDecision{verdict: retryFinal}
	}
	if x.next.Load() == nil && !x.headWritten && x.checkTimeLeft() != nil {
		return retryDecision{verdict: retryFinal}
	}
	if out.fate != masticway.FateNotRun {
		if x.possibleRuns() >= x.q.route.MaxServers || !x.isRepeatable() {
			return retryDecision{verdict: retryFinal}
		}
	}
	if out.unsent {
		// No server has got the request, so another attempt adds no load.
		return retryDecision{verdict: retryUncounted}
	}
	retry := retryDecision{verdict: retryReserved}
	if x.next.Load() == nil {
		retry = x.takeRetry()
		x.retry = retry.allowance
	}
	if retry.isAllowed() {
		x.f.metrics.Add(metricRetries, 1)
		if x.headWritten {
			x.f.metrics.Add(metricResumed, 1)
		}
	}
	return retry
}

// takeHandoverRetry takes a retry from the allowance for a candidate of a handover. It returns false if there is none.
func (x *exchange) takeHandoverRetry() (retrier.Decision, bool) {
	retry := x.takeRetry()
	if !retry.isAllowed() {
		x.f.log.WithFields(retry.fields()).WithFields(logrus.Fields{"event": "handover_denied", "request": x.q.ID, "pool": x.q.pool.Name}).Info("no retry is left for a handover")
	}
	return retry.allowance, retry.isAllowed()
}

// takeRetry takes a retry from this router's allowance for the pool, if it has one left.
func (x *exchange) takeRetry() retryDecision {
	x.f.mu.Lock()
	defer x.f.mu.Unlock()
	d := retryDecision{verdict: retryGranted, allowance: x.f.allowance(x.q.pool.Name).TryTake(x.f.clock.Now(), x.f.budgets.RetrySharers())}
	if !d.allowance.Granted {
		d.verdict = retryDenied
		x.f.metrics.Add(metricRetriesDenied, 1)
	}
	return d
}
