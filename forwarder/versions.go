package forwarder

import (
	"context"
	"net/http"
	"time"

	"github.com/masticway/masticway"
)

// retryAfterResumption is the retry hint if a stream cannot be resumed. Other routers know no more of it, unless they are out of reach
// at the moment.
const retryAfterResumption = time.Second

// isResumption reports whether the request resumes a stream that an earlier attempt of its caller began.
func (q request) isResumption() bool {
	return q.LastEvent != "" && q.route.RetryPolicy == masticway.RetryByResuming
}

// streamAttempt returns the ID of the caller's attempt that began the stream.
func (q request) streamAttempt() string {
	if q.isResumption() {
		return q.Resumes
	}
	return q.ID
}

// bindResumption binds a request that resumes a stream to the version that began the stream, and to the last event that its caller has.
// It returns a refusal if that version is unknown or has no server.
func (x *exchange) bindResumption(ctx context.Context) *masticway.RefusalError {
	if !x.q.isResumption() {
		return nil
	}
	version, ok := x.f.streamVersions.Find(ctx, x.q.pool.Name, x.q.Resumes)
	if !ok {
		return refusal(http.StatusServiceUnavailable, codeStreamUnknown, "it is not known which version began the stream", retryAfterResumption)
	}
	x.streamVersion.Store(&version)
	x.lastEvent = x.q.LastEvent
	if len(x.candidates(nil)) == 0 {
		return refusal(http.StatusServiceUnavailable, codeStreamVersionGone, "no server has the version that began the stream", retryAfterResumption)
	}
	return nil
}

// bindStream binds the continuation of the stream to the software version of the server that begins its answer, and makes it known to
// other routers. It must be called before the first event is written, which must not be written if it returns false.
func (x *exchange) bindStream(ctx context.Context, s masticway.Server) bool {
	if x.q.route.RetryPolicy != masticway.RetryByResuming {
		return true
	}
	x.streamVersion.CompareAndSwap(nil, &s.Version)
	return x.f.streamVersions.Record(ctx, x.q.pool.Name, x.q.streamAttempt(), s.Version)
}

// canContinueStream reports whether a server can continue the stream: it has the software version that began the stream, or no event
// has been written yet.
func (x *exchange) canContinueStream(s masticway.Server) bool {
	version := x.streamVersion.Load()
	return version == nil || s.Version == *version
}
