package emulator

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// OpaqueCall is what a caller says in the head of a request.
type OpaqueCall struct {
	ID string
	// TimeLeft is how long the caller waits.
	TimeLeft time.Duration
	// Key is the caller's secret; none for routes that ask for none.
	Key string
	// Metered tells that the request names tokens: those of its prompt, and the most of its answer.
	Metered           bool
	Prompt, MaxOutput int
	// LastEvent is the event after which the caller goes on with an answer that broke off; zero for a new request.
	LastEvent int
}

// Header returns the request's head.
func (c OpaqueCall) Header() http.Header {
	h := http.Header{"X-Attempt-Id": {c.ID}, "X-Deadline-Ms": {strconv.FormatInt(c.TimeLeft.Milliseconds(), 10)}}
	if c.Key != "" {
		h.Set("Authorization", "Token "+c.Key)
	}
	if c.Metered {
		h.Set("X-Token-Count", fmt.Sprintf("%d,%d", c.Prompt, c.MaxOutput))
	}
	if c.LastEvent > 0 {
		h.Set("Last-Event-Id", strconv.Itoa(c.LastEvent))
	}
	return h
}

// AnswerOrigin returns the request that an answer's head names, and the opaque server that signed it.
func AnswerOrigin(h http.Header) (request, server string) {
	return h.Get("X-Attempt-Id"), strings.TrimPrefix(h.Get("X-Server-Signature"), signaturePrefix)
}
