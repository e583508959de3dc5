package emulator

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// OpaqueCall is what a caller declares in the headers of a request.
type OpaqueCall struct {
	ID string
	// TimeLeft is the time limit of the request.
	TimeLeft time.Duration
	// Key is the caller's API key. It is empty for routes that do not require one.
	Key string
	// Metered is set if the request declares its tokens: Prompt is the number in the prompt, and MaxOutput the maximum of
	// the answer.
	Metered           bool
	Prompt, MaxOutput int
	// LastEvent is the ID of the last event that the caller received of an interrupted answer. It is zero if the request
	// resumes no answer. Resumes is the ID of the attempt that brought the first event of that answer.
	LastEvent int
	Resumes   string
	// Parts are the parts of the prompt.
	Parts []string
}

// partTokens is the declared length of each part of a prompt, in tokens.
const partTokens = 16

// Prompt returns the declaration of a prompt with the given parts.
func Prompt(parts []string) string {
	var entries []string
	for _, part := range parts {
		entries = append(entries, fmt.Sprintf("%s:%d", part, partTokens))
	}
	return strings.Join(entries, ",")
}

// Header returns the request's headers.
func (c OpaqueCall) Header() http.Header {
	h := http.Header{"X-Attempt-Id": {c.ID}, "X-Deadline-Ms": {strconv.FormatInt(c.TimeLeft.Milliseconds(), 10)}}
	if c.Key != "" {
		h.Set("Authorization", "Token "+c.Key)
	}
	if c.Metered {
		h.Set("X-Token-Count", fmt.Sprintf("%d,%d", c.Prompt, c.MaxOutput))
	}
	if len(c.Parts) > 0 {
		h.Set("X-Prefix-Hash", Prompt(c.Parts))
	}
	if c.LastEvent > 0 {
		h.Set("Last-Event-Id", strconv.Itoa(c.LastEvent))
	}
	if c.Resumes != "" {
		h.Set("Resumes", c.Resumes)
	}
	return h
}

// AnswerOrigin returns the IDs that an answer's headers name: that of the request, and that of the opaque server that signed
// the answer. An ID is empty if its header is missing.
func AnswerOrigin(h http.Header) (request, server string) {
	return h.Get("X-Attempt-Id"), strings.TrimPrefix(h.Get("X-Server-Signature"), signaturePrefix)
}
