package accountant

import (
	"strings"
	"time"
)

// maxJoined limits the number of requests whose lines are joined. Lines of further requests are counted as not joined.
const maxJoined = 1 << 20

// joinedRequest is what the lines of all routers say about one request.
type joinedRequest struct {
	// failures is the number of the request's failed attempts, and ends is how often its end was logged.
	failures, ends int
	// router is the router of the first line. last is the family of the latest end, or "no_end_line" if there is none.
	router, last   string
	severalRouters bool
	// at is the time of the latest end.
	at time.Time
}

// joinedRequests joins lines by request id.
type joinedRequests struct {
	ids map[string]*joinedRequest
	// dropped is the number of lines that were not joined, because they have no request id or there are too many requests.
	dropped int64
}

// add adds the end of a request, which belongs to a family of outcomes. If family is empty, it adds a failed attempt of the
// request instead.
func (j *joinedRequests) add(l Line, family string) {
	id := l.Text("request")
	r, ok := j.ids[id]
	if !ok && (id == "" || len(j.ids) >= maxJoined) {
		j.dropped++
		return
	}
	if !ok {
		r = &joinedRequest{router: l.Router, last: "no_end_line"}
		j.ids[strings.Clone(id)] = r
	}
	r.severalRouters = r.severalRouters || r.router != l.Router
	if family == "" {
		r.failures++
		return
	}
	r.ends++
	if !l.Time.Before(r.at) {
		r.last, r.at = family, l.Time
	}
}

// list returns the numbers of requests with failed attempts, with several ends and with several routers, by the family of
// the last end.
//
// A request without a line for its end was served but not sampled, or was still in progress, or its router crashed or
// dropped the line.
func (j *joinedRequests) list() []Row {
	all := rows{}
	for _, r := range j.ids {
		if r.failures > 0 {
			all.at(Key{Name: "after_failed_attempts", Family: r.last}).Count++
		}
		if r.ends > 1 {
			all.at(Key{Name: "several_ends", Family: r.last}).Count++
		}
		if r.severalRouters {
			all.at(Key{Name: "several_routers", Family: r.last}).Count++
		}
	}
	if j.dropped > 0 {
		all.at(Key{Name: "lines_not_joined"}).Count = j.dropped
	}
	return all.list()
}
