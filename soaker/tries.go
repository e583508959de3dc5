package soaker

import (
	"cmp"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/masticway/masticway/emulator"
)

const (
	// maxTries is how often a caller sends a request.
	maxTries = 3
	// retryAfterDivisor divides the time that a caller has left; it waits no longer than that before it tries again.
	retryAfterDivisor = 3
	// minRetryTime is the least time that a caller must have left to try again.
	minRetryTime = 200 * time.Millisecond
)

// parseRetryAfter returns the pause, in seconds and possibly with fractions, for which an answer asks. It returns zero if it asks for
// none.
func parseRetryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// tryAgain sends a request again within its caller's time, for as long as it fails and may be sent again. Callers that repeat IDs do so
// after refusals; all else gets a new ID and a new connection.
func (c *caller) tryAgain(q *request) {
	until := q.sentAt.Add(q.timeLimit)
	for range maxTries - 1 {
		pause, left, repeats := q.retryAfter, time.Until(until), c.repeatsID && q.isRefused()
		if repeats && c.keepsConn {
			pause = 0
		}
		if !c.mayTryAgain(q) || left < minRetryTime || pause > left/retryAfterDivisor {
			return
		}
		time.Sleep(pause)
		if left = time.Until(until); left < minRetryTime {
			// The soak had to wait for a processor.
			return
		}
		next := &request{
			route: q.route, prompt: q.prompt, declared: q.declared, workspace: q.workspace, firstTry: cmp.Or(q.firstTry, q.id),
			body: strings.Repeat("x", len(q.body)-len(q.id)), timeLimit: left.Truncate(time.Millisecond),
		}
		next.waitTimeout = min(next.timeLimit, emulator.DeploymentTimeout) + answerSlack
		if repeats {
			next.id, next.again = q.id, q.again+1
		}
		if !repeats || !c.keepsConn {
			c.transport.CloseIdleConnections()
		}
		c.send(next, q.name)
		q = next
	}
}

// isRefused reports whether the router promised with 503 or 429 that the request has not run.
func (q *request) isRefused() bool {
	return q.outcome == outcomeAnswered && (q.status == http.StatusServiceUnavailable || q.status == http.StatusTooManyRequests)
}

// mayTryAgain reports whether a request failed and may be sent again: if it is repeatable after any failure, otherwise only if the router
// promised that it has not run, or closed the connection without having read the request. The kernel tells that by a reset.
func (c *caller) mayTryAgain(q *request) bool {
	switch {
	case q.events > 0 || q.outcome == outcomeTimedOut:
		return false
	case q.outcome == outcomeAnswered:
		hasPromise := slices.Contains([]int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}, q.status)
		return hasPromise || q.repeatable && q.status >= http.StatusInternalServerError
	case q.repeatable:
		return true
	}
	isRefused := q.outcome == outcomeUnsent && errors.Is(q.err, syscall.ECONNREFUSED)
	// A fault that resets callers' connections says nothing about what the router has read.
	isUnread := q.status == 0 && errors.Is(q.err, syscall.ECONNRESET) && c.soak.isUndisturbed(q.sentAt.Add(-timingSlack), q.endedAt, callerLinkTarget(q.router))
	return isRefused || isUnread
}

// checkTries checks that a non-repeatable request ran at most once over all tries of its caller.
func (s *soakRun) checkTries(runs map[sending][]emulator.OpaqueRun) {
	tries := map[string][]*request{}
	for _, q := range s.requests {
		if !q.repeatable {
			first := cmp.Or(q.firstTry, q.id)
			tries[first] = append(tries[first], q)
		}
	}
	again := 0
	for _, all := range tries {
		again += len(all) - 1
		count := 0
		for _, q := range all {
			count += len(runs[q.sending()])
		}
		if count > 1 {
			slices.SortFunc(all, func(a, b *request) int { return a.sentAt.Compare(b.sentAt) })
			s.reportViolation(promiseOnce, "ran %d times in %d tries: %v", count, len(all), all)
		}
	}
	s.logf("%d non-repeatable requests were sent again; %d requests had the ID of a refused one", again, s.repeated)
}
