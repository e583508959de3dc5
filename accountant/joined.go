package accountant

import (
	"strings"
	"time"
)

// joinedMost bounds the requests that are joined; the lines of later ones are counted as not joined.
const joinedMost = 1 << 20

// joint is what the lines of all routers tell of one request.
type joint struct {
	failed, ends int
	router, last string
	several      bool
	at           time.Time
}

// joints join lines by request id.
type joints struct {
	ids  map[string]*joint
	lost int64
}

// note takes an end, or without a family a failed attempt.
func (j *joints) note(l Line, family string) {
	id := l.Text("request")
	one, ok := j.ids[id]
	if !ok && (id == "" || len(j.ids) >= joinedMost) {
		j.lost++
		return
	}
	if !ok {
		one = &joint{router: l.Router, last: "no_end_line"}
		j.ids[strings.Clone(id)] = one
	}
	one.several = one.several || one.router != l.Router
	if family == "" {
		one.failed++
		return
	}
	one.ends++
	if !l.Time.Before(one.at) {
		one.last, one.at = family, l.Time
	}
}

// list counts the requests by what their lines have in common. One without a line for its end was served and not
// sampled, was still open, or was lost with its router.
func (j *joints) list() []Row {
	all := rows{}
	for _, one := range j.ids {
		if one.failed > 0 {
			all.at(Key{Name: "after_failed_attempts", Family: one.last}).Count++
		}
		if one.ends > 1 {
			all.at(Key{Name: "several_ends", Family: one.last}).Count++
		}
		if one.several {
			all.at(Key{Name: "several_routers", Family: one.last}).Count++
		}
	}
	if j.lost > 0 {
		all.at(Key{Name: "lines_not_joined"}).Count = j.lost
	}
	return all.list()
}
