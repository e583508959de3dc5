package connector

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"syscall"
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/inspector"
	"github.com/masticway/masticway/receiver"
)

const (
	// lineLimit is the maximum length of a line of an event stream, in bytes.
	lineLimit = 1 << 20
	// noTimeout is longer than any process runs. It is for calls such as orders, which may take as long as loading a model.
	noTimeout = 100 * 365 * 24 * time.Hour
	// errorLimit is how much of the error that an upstream reports is kept, in bytes.
	errorLimit = 4096
	// probeTimeout is the timeout of a connection attempt to the upstream. A sidecar makes it after a run has broken off, to
	// check whether the upstream still listens.
	probeTimeout = 100 * time.Millisecond
)

// noTimeouts are the limits of calls that only the context of the caller ends. They still limit the size of the answer.
var noTimeouts = receiver.Limits{HeaderTimeout: noTimeout, IdleTimeout: noTimeout, MaxBytes: bodyLimit}

// Upstream is a client of a model engine or a plain service over HTTP.
type Upstream struct {
	base string
	// client sends no request twice, and each on a connection of its own. Answers name no request, and a server may send one again when the
	// next request has arrived on the connection.
	client *http.Client
	// dial and address are used to check whether the upstream still listens after a run that failed.
	dial    DialFunc
	address string
	// idleTimeout is the maximum time until the first piece of the answer to a run, and between two pieces. The total time is not
	// limited.
	idleTimeout time.Duration
}

var _ masticway.Upstream = Upstream{}

// NewUpstream returns a client of the upstream at a base URL. A run fails if the upstream sends nothing for idleTimeout.
func NewUpstream(base string, dial DialFunc, idleTimeout time.Duration) Upstream {
	u := Upstream{base: base, client: NewNoRetryHTTPClient(dial), dial: dial, idleTimeout: idleTimeout}
	if u.dial == nil {
		u.dial = (&net.Dialer{}).DialContext
	}
	// If the base is not a URL, each call fails.
	if parsed, err := url.Parse(base); err == nil {
		u.address = addressOf(parsed)
	}
	return u
}

// addressOf returns the address that a URL names, with its port.
func addressOf(base *url.URL) string {
	switch {
	case base.Host == "" || base.Port() != "":
		return base.Host
	case base.Scheme == "https":
		return net.JoinHostPort(base.Hostname(), "443")
	}
	return net.JoinHostPort(base.Hostname(), "80")
}

// Run performs a call and passes the answer to the sink. If a run fails that may have started, Run checks whether the upstream
// still listens, and sets the error's NotListening if not.
func (u Upstream) Run(ctx context.Context, c masticway.Call, s masticway.Sink) (masticway.Outcome, error) {
	run := u.runModel
	if c.Service != "" {
		run = u.runService
	}
	outcome, err := run(ctx, c, s)
	if failure, ok := errors.AsType[*masticway.UpstreamError](err); ok && failure.Started {
		failure.NotListening = u.refusesConnections(ctx)
	}
	return outcome, err
}

// refusesConnections dials the upstream's address and reports whether the connection is refused, because nothing listens there.
func (u Upstream) refusesConnections(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := u.dial(ctx, "tcp", u.address)
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// serves reports whether the upstream accepts connections and does not end them at once. It may block for probeTimeout.
func (u Upstream) serves(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return inspector.CheckServing(ctx, u.dial, u.address) == nil
}

// isFramed reports whether an answer delimits its body by itself, so that its end is not known by that of the connection alone. A
// compressed body has an end mark.
func isFramed(r *http.Response) bool {
	return r.ContentLength >= 0 || r.Body == http.NoBody || len(r.TransferEncoding) > 0 || r.Uncompressed
}

// withIdleTimeout returns a context that is canceled if the upstream sends nothing for idleTimeout. Each call of reset restarts
// the timeout. stop ends it and cancels the context.
func (u Upstream) withIdleTimeout(ctx context.Context) (watched context.Context, reset func(), stop func()) {
	watched, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(u.idleTimeout, func() {
		cancel(&masticway.UpstreamError{Reason: "silent for " + u.idleTimeout.String(), Started: true})
	})
	return watched, func() { timer.Reset(u.idleTimeout) }, func() { timer.Stop(); cancel(nil) }
}

func asUpstreamError(err error) error {
	return &masticway.UpstreamError{Reason: err.Error(), Started: !isDialError(err)}
}

func (u Upstream) runModel(ctx context.Context, c masticway.Call, s masticway.Sink) (masticway.Outcome, error) {
	watched, reset, stop := u.withIdleTimeout(ctx)
	defer stop()
	body, err := json.Marshal(struct {
		Model        string          `json:"model"`
		Messages     json.RawMessage `json:"messages"`
		MaxTokens    int             `json:"max_tokens"`
		Stream       bool            `json:"stream"`
		Priority     int             `json:"priority"`
		ResumeTokens int             `json:"resume_tokens,omitempty"`
		ResumeText   string          `json:"resume_text,omitempty"`
	}{c.Model, c.Prompt, c.MaxOutput, true, c.Priority, c.Resumed, c.ResumedText})
	if err != nil {
		return masticway.Outcome{}, &masticway.UpstreamError{Reason: err.Error()}
	}
	request, err := http.NewRequestWithContext(watched, http.MethodPost, u.base+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return masticway.Outcome{}, &masticway.UpstreamError{Reason: err.Error()}
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := u.client.Do(request)
	if err != nil {
		return masticway.Outcome{}, asUpstreamError(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, errorLimit))
		return masticway.Outcome{}, &masticway.UpstreamError{Reason: string(text), Status: response.StatusCode}
	}
	return readStream(response.Body, s, reset)
}

// streamEvent is one event of an engine's answer stream.
type streamEvent struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		masticway.Usage
		Details struct {
			Cached int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
	// Error is set if the engine could not finish the answer. It is a text or an object.
	Error any `json:"error"`
}

// readStream passes the events of an answer to the sink. It fails with an UpstreamError, which is joined with a TooLargeError if the
// events together are larger than bodyLimit.
func readStream(body io.Reader, s masticway.Sink, reset func()) (masticway.Outcome, error) {
	var outcome masticway.Outcome
	promptCounted := false
	lines := bufio.NewScanner(&boundedReader{Reader: body, left: bodyLimit})
	lines.Buffer(nil, lineLimit)
	for lines.Scan() {
		reset()
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			if outcome.Reason == "" {
				return outcome, &masticway.UpstreamError{Reason: "stream ended without a finish reason", Started: true}
			}
			return outcome, nil
		}
		var e streamEvent
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			if broken := lines.Err(); broken != nil {
				// The event is the rest of what could be read.
				return outcome, brokenAnswer(broken)
			}
			return outcome, &masticway.UpstreamError{Reason: "unreadable event: " + err.Error(), Started: true}
		}
		if e.Error != nil {
			// Engines send the same last event after an error as after a whole answer.
			return outcome, &masticway.UpstreamError{Reason: "error event: " + strings.ToValidUTF8(data[:min(len(data), errorLimit)], ""), Started: true}
		}
		if e.Usage != nil {
			outcome.Usage = e.Usage.Usage
			if !promptCounted {
				promptCounted = true
				s.PromptCounted(e.Usage.Prompt, e.Usage.Details.Cached)
			}
		}
		for _, c := range e.Choices {
			if c.Delta.Content != "" {
				s.Chunk(masticway.Chunk{Text: c.Delta.Content, Tokens: 1})
			}
			if c.FinishReason != nil {
				outcome.Reason = *c.FinishReason
			}
		}
	}
	if err := lines.Err(); err != nil {
		return outcome, brokenAnswer(err)
	}
	return outcome, &masticway.UpstreamError{Reason: "stream ended early", Started: true}
}

// brokenAnswer returns an UpstreamError for an answer that could not be read to its end, joined with the cause if that is a
// TooLargeError.
func brokenAnswer(cause error) error {
	failure := &masticway.UpstreamError{Reason: cause.Error(), Started: true}
	if tooLarge, ok := errors.AsType[*receiver.TooLargeError](cause); ok {
		return errors.Join(failure, tooLarge)
	}
	return failure
}

// boundedReader fails with TooLargeError instead of reading more than bodyLimit.
type boundedReader struct {
	io.Reader
	// left is how many bytes may still be read.
	left int
}

func (r *boundedReader) Read(data []byte) (int, error) {
	if r.left <= 0 {
		return 0, &receiver.TooLargeError{Limit: bodyLimit}
	}
	n, err := r.Reader.Read(data[:min(len(data), r.left)])
	r.left -= n
	return n, err
}

func (u Upstream) runService(ctx context.Context, c masticway.Call, s masticway.Sink) (masticway.Outcome, error) {
	watched, reset, stop := u.withIdleTimeout(ctx)
	defer stop()
	request, err := http.NewRequestWithContext(watched, c.Method, u.base+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return masticway.Outcome{}, &masticway.UpstreamError{Reason: err.Error()}
	}
	if c.ContentType != "" {
		request.Header.Set("Content-Type", c.ContentType)
	}
	request.Header.Set("Idempotency-Key", c.Key)
	response, err := u.client.Do(request)
	if err != nil {
		return masticway.Outcome{}, asUpstreamError(err)
	}
	defer response.Body.Close()
	body, err := readAll(response.Body, reset)
	if err != nil {
		return masticway.Outcome{}, brokenAnswer(err)
	}
	if !isFramed(response) && !u.serves(ctx) {
		// The kernel of an upstream that was killed ends the answer as the upstream does at its end.
		return masticway.Outcome{}, &masticway.UpstreamError{Reason: "the connection ended, and the upstream does not serve any more", Started: true}
	}
	s.Chunk(masticway.Chunk{Text: string(body)})
	return masticway.Outcome{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type")}, nil
}

// readAll reads a body, and calls reset after each read. It fails with TooLargeError if the body is larger than bodyLimit.
func readAll(body io.Reader, reset func()) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(resettingReader{Reader: body, reset: reset}, bodyLimit+1))
	if err == nil && len(content) > bodyLimit {
		err = &receiver.TooLargeError{Limit: bodyLimit}
	}
	return content, err
}

// resettingReader calls reset after each read.
type resettingReader struct {
	io.Reader
	reset func()
}

func (r resettingReader) Read(data []byte) (int, error) {
	n, err := r.Reader.Read(data)
	r.reset()
	return n, err
}

// Count returns the exact number of tokens of a prompt, as counted by the engine.
func (u Upstream) Count(ctx context.Context, prompt []byte) (int, error) {
	var answer struct {
		Count int `json:"count"`
	}
	_, err := postJSON(ctx, u.client, u.base+"/tokenize", noTimeouts, struct {
		Messages json.RawMessage `json:"messages"`
	}{prompt}, &answer)
	if err != nil {
		return 0, fmt.Errorf("counting a prompt: %w", err)
	}
	return answer.Count, nil
}

// Load returns the upstream's load report.
func (u Upstream) Load(ctx context.Context) (masticway.LoadReport, error) {
	var report masticway.LoadReport
	if _, err := postJSON(ctx, u.client, u.base+"/load", noTimeouts, struct{}{}, &report); err != nil {
		return report, fmt.Errorf("requesting the load report: %w", err)
	}
	return report, nil
}

// Order sends an order to the upstream, which may refuse it if it checks fencing numbers.
func (u Upstream) Order(ctx context.Context, o masticway.Order) error {
	_, err := postJSON(ctx, u.client, u.base+"/orders", noTimeouts, o, nil)
	if status, ok := errors.AsType[*statusError](err); ok {
		return &masticway.UpstreamError{Reason: string(status.body), Status: status.status}
	}
	if err != nil {
		return asUpstreamError(err)
	}
	return nil
}
