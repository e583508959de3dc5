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
	"github.com/masticway/masticway/receiver"
)

const (
	// lineLimit bounds one line of an event stream, in bytes.
	lineLimit = 1 << 20
	// unbounded is longer than a process lives: an order may take as long as loading a model does.
	unbounded = 100 * 365 * 24 * time.Hour
	// endedTimeout bounds the connection by which an upstream beside the sidecar is checked after a run broke off.
	endedTimeout = 100 * time.Millisecond
)

// untilDone are the limits of an upstream's answers that only the caller's context bounds.
var untilDone = receiver.Limits{Begin: unbounded, Pause: unbounded, Bytes: bodyLimit}

// Upstream reaches a model engine or a plain service over HTTP.
type Upstream struct {
	base   string
	client *http.Client
	// dial and address reach the upstream without a call.
	dial    DialFunc
	address string
	// once sends service calls, which must never be sent twice.
	once *http.Client
	// silence is the longest time between two pieces of an answer; the total time is not bounded.
	silence time.Duration
}

var _ masticway.Upstream = Upstream{}

// NewUpstream returns a client of the upstream at a base URL.
func NewUpstream(base string, dial DialFunc, silence time.Duration) Upstream {
	u := Upstream{base: base, client: NewHTTP(dial), once: NewOnceHTTP(dial), dial: dial, silence: silence}
	if u.dial == nil {
		u.dial = (&net.Dialer{}).DialContext
	}
	// A base that is no URL fails with each call.
	if parsed, err := url.Parse(base); err == nil {
		u.address = parsed.Host
	}
	return u
}

// Run carries out a call and passes the answer to the sink.
func (u Upstream) Run(ctx context.Context, c masticway.Call, s masticway.Sink) (masticway.Outcome, error) {
	run := u.runModel
	if c.Service != "" {
		run = u.runService
	}
	outcome, err := run(ctx, c, s)
	if failure, ok := errors.AsType[*masticway.UpstreamError](err); ok && failure.Started {
		failure.NotListening = u.ended(ctx)
	}
	return outcome, err
}

// ended tells that nothing listens at the upstream's address.
func (u Upstream) ended(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, endedTimeout)
	defer cancel()
	n, err := u.dial(ctx, "tcp", u.address)
	if err == nil {
		_ = n.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// watch cancels a call after too long a silence; each call of the returned reset starts the time anew.
func (u Upstream) watch(ctx context.Context) (watched context.Context, reset func(), stop func()) {
	watched, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(u.silence, func() {
		cancel(&masticway.UpstreamError{Reason: "silent for " + u.silence.String(), Started: true})
	})
	return watched, func() { timer.Reset(u.silence) }, func() { timer.Stop(); cancel(nil) }
}

func failure(err error) error {
	return &masticway.UpstreamError{Reason: err.Error(), Started: !dialFailed(err)}
}

func (u Upstream) runModel(ctx context.Context, c masticway.Call, s masticway.Sink) (masticway.Outcome, error) {
	watched, reset, stop := u.watch(ctx)
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
		return masticway.Outcome{}, failure(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 4096))
		return masticway.Outcome{}, &masticway.UpstreamError{Reason: string(text), Status: response.StatusCode}
	}
	return readStream(response.Body, s, reset)
}

// event is one piece of an engine's stream.
type event struct {
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
}

func readStream(body io.Reader, s masticway.Sink, reset func()) (masticway.Outcome, error) {
	var outcome masticway.Outcome
	counted := false
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, lineLimit)
	for lines.Scan() {
		reset()
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return outcome, nil
		}
		var e event
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			return outcome, &masticway.UpstreamError{Reason: "unreadable event: " + err.Error(), Started: true}
		}
		if e.Usage != nil {
			outcome.Usage = e.Usage.Usage
			if !counted {
				counted = true
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
	reason := "stream ended early"
	if err := lines.Err(); err != nil {
		reason = err.Error()
	}
	return outcome, &masticway.UpstreamError{Reason: reason, Started: true}
}

func (u Upstream) runService(ctx context.Context, c masticway.Call, s masticway.Sink) (masticway.Outcome, error) {
	watched, reset, stop := u.watch(ctx)
	defer stop()
	request, err := http.NewRequestWithContext(watched, c.Method, u.base+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return masticway.Outcome{}, &masticway.UpstreamError{Reason: err.Error()}
	}
	if c.ContentType != "" {
		request.Header.Set("Content-Type", c.ContentType)
	}
	request.Header.Set("Idempotency-Key", c.Key)
	response, err := u.once.Do(request)
	if err != nil {
		return masticway.Outcome{}, failure(err)
	}
	defer response.Body.Close()
	body, err := readWhole(response.Body, reset)
	if err != nil {
		return masticway.Outcome{}, &masticway.UpstreamError{Reason: err.Error(), Started: true}
	}
	s.Chunk(masticway.Chunk{Text: string(body)})
	return masticway.Outcome{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type")}, nil
}

// readWhole reads a body, and calls reset for each piece of it; it fails with TooLargeError rather than leave some out.
func readWhole(body io.Reader, reset func()) ([]byte, error) {
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

// Count asks the engine for a prompt's true token count.
func (u Upstream) Count(ctx context.Context, prompt []byte) (int, error) {
	var answer struct {
		Count int `json:"count"`
	}
	_, err := post(ctx, u.client, u.base+"/tokenize", untilDone, struct {
		Messages json.RawMessage `json:"messages"`
	}{prompt}, &answer)
	if err != nil {
		return 0, fmt.Errorf("counting a prompt: %w", err)
	}
	return answer.Count, nil
}

// Load asks the upstream for its load report.
func (u Upstream) Load(ctx context.Context) (masticway.LoadReport, error) {
	var report masticway.LoadReport
	if _, err := post(ctx, u.client, u.base+"/load", untilDone, struct{}{}, &report); err != nil {
		return report, fmt.Errorf("asking for load: %w", err)
	}
	return report, nil
}

// Order passes an order on; an upstream that checks fencing numbers may refuse it.
func (u Upstream) Order(ctx context.Context, o masticway.Order) error {
	_, err := post(ctx, u.client, u.base+"/orders", untilDone, o, nil)
	if status, ok := errors.AsType[*statusError](err); ok {
		return &masticway.UpstreamError{Reason: string(status.body), Status: status.status}
	}
	if err != nil {
		return failure(err)
	}
	return nil
}
