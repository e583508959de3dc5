package loader

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/starter"
)

// outcome is the outcome of a request as its client sees it.
type outcome string

// The outcomes of a request. outcomeOK is a complete answer. outcomeRefused is an error with a code from the router, also in
// the middle of a stream. outcomeBroken is anything else, such as a broken connection.
const (
	outcomeOK      outcome = "ok"
	outcomeRefused outcome = "refused"
	outcomeBroken  outcome = "broken"
)

// answer is what the client got for the last attempt of a request.
type answer struct {
	outcome outcome
	// status is the HTTP status. It is zero if there was no answer, and 502 if a stream ended with an error.
	status int
	code   string
	fate   masticway.Fate
	text   string
	usage  masticway.Usage
	// id is the request id in the answer, which the explain command takes.
	id         string
	attempts   int
	retryAfter time.Duration
	// firstToken is the time from the planned arrival of the request to the first token, and whole the time to the end of
	// the answer. If the answer is not a stream, firstToken is the time until it has been read.
	firstToken time.Duration
	whole      time.Duration
	// tokenGaps holds the times between successive tokens of a stream.
	tokenGaps []time.Duration
	ended     time.Time
}

const (
	// maxRetryPause limits the pause before a retry that a refusal asks for (retry_after_ms).
	maxRetryPause = 2 * time.Second
	// brokenPause is the pause before a retry if no refusal asks for one, such as after a broken connection.
	brokenPause = 50 * time.Millisecond
)

// client sends the requests of one region to the region's ready routers at random, like a load balancer.
type client struct {
	fleet  *starter.Fleet
	region string
	http   *http.Client
	keys   map[string]string
}

// send sends a planned request and retries it with the same idempotency key. It stops if shouldRetry returns false for the
// answer, after as many retries as the traffic allows, or if ctx is done.
func (c *client) send(ctx context.Context, p plannedRequest, arrival time.Time) answer {
	var a answer
	for retries := 0; ; retries++ {
		a = c.sendOnce(ctx, p, arrival)
		a.attempts = retries + 1
		a.ended = time.Now()
		a.whole = a.ended.Sub(arrival)
		if !shouldRetry(a) || retries >= p.traffic.Retries || ctx.Err() != nil {
			return a
		}
		pause := brokenPause
		if a.retryAfter > 0 {
			pause = min(a.retryAfter, maxRetryPause)
		}
		select {
		case <-ctx.Done():
			return a
		case <-time.After(pause):
		}
	}
}

// shouldRetry reports whether a client retries after an answer.
func shouldRetry(a answer) bool {
	switch {
	case a.outcome == outcomeBroken:
		return true
	case a.outcome == outcomeOK:
		return false
	}
	return a.status == http.StatusServiceUnavailable || a.status == http.StatusGatewayTimeout || a.status == http.StatusConflict || a.status == http.StatusBadGateway
}

// sendOnce sends one attempt of a request to a random ready router. If no router is ready, the outcome is outcomeBroken.
func (c *client) sendOnce(ctx context.Context, p plannedRequest, arrival time.Time) answer {
	routers := c.routers()
	if len(routers) == 0 {
		return answer{outcome: outcomeBroken, code: "no_router"}
	}
	base := routers[rand.IntN(len(routers))].CallerURL
	url, body := base+"/v1/chat/completions", p.chatBody()
	if p.traffic.Service != "" {
		url, body = base+"/v1/services/"+p.traffic.Service+p.traffic.Path, []byte(p.body)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return answer{outcome: outcomeBroken, code: err.Error()}
	}
	request.Header.Set("Authorization", "Bearer "+c.keys[p.traffic.Workspace])
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Idempotency-Key", p.key)
	request.Header.Set("Masticway-Class", string(p.traffic.Class))
	response, err := c.http.Do(request)
	if err != nil {
		return answer{outcome: outcomeBroken, code: "connection"}
	}
	defer response.Body.Close()
	a := answer{status: response.StatusCode, id: response.Header.Get("Masticway-Request-Id")}
	switch {
	case p.traffic.Service == "" && strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream"):
		readEvents(response.Body, &a, arrival)
	case p.traffic.Service == "" && response.StatusCode == http.StatusOK:
		readCompletion(response.Body, &a, arrival)
	default:
		readErrorOrService(response, &a, p)
	}
	return a
}

// routers returns the ready routers of the client's region.
func (c *client) routers() []*starter.FleetRouter {
	var list []*starter.FleetRouter
	for _, r := range c.fleet.Routers() {
		if r.Region == c.region && r.Daemon.IsReady() {
			list = append(list, r)
		}
	}
	return list
}

// errorBody is the body of a refusal, and the data of an event that ends a stream with an error.
type errorBody struct {
	Error *struct {
		Code       string         `json:"code"`
		Run        masticway.Fate `json:"run"`
		RetryAfter int64          `json:"retry_after_ms"`
	} `json:"error"`
}

func (a *answer) setRefusal(e errorBody) {
	a.outcome = outcomeRefused
	a.code = e.Error.Code
	a.fate = e.Error.Run
	a.retryAfter = time.Duration(e.Error.RetryAfter) * time.Millisecond
}

// completionBody is the body of a completion, or the data of an event of a stream.
type completionBody struct {
	errorBody
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
	} `json:"choices"`
	Usage *masticway.Usage `json:"usage"`
}

// readEvents reads a stream of events into an answer. The outcome is outcomeBroken unless the stream is complete or ends with an
// error event.
func readEvents(body io.Reader, a *answer, arrival time.Time) {
	a.outcome = outcomeBroken
	a.code = "stream"
	var text strings.Builder
	var last time.Time
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			a.outcome = outcomeOK
			a.text = text.String()
			return
		}
		var e completionBody
		if json.Unmarshal([]byte(data), &e) != nil {
			return
		}
		if e.Error != nil {
			// The response's status was 200, because the error came after the headers.
			a.status = http.StatusBadGateway
			a.setRefusal(e.errorBody)
			return
		}
		if e.Usage != nil {
			a.usage = *e.Usage
		}
		for _, c := range e.Choices {
			if c.Delta.Content == "" {
				continue
			}
			now := time.Now()
			if last.IsZero() {
				a.firstToken = now.Sub(arrival)
			} else {
				a.tokenGaps = append(a.tokenGaps, now.Sub(last))
			}
			last = now
			text.WriteString(c.Delta.Content)
		}
	}
}

// readCompletion reads a completion that is not a stream into an answer.
func readCompletion(body io.Reader, a *answer, arrival time.Time) {
	var e completionBody
	if err := json.NewDecoder(body).Decode(&e); err != nil || len(e.Choices) == 0 {
		a.outcome = outcomeBroken
		return
	}
	a.outcome = outcomeOK
	a.firstToken = time.Since(arrival)
	a.text = e.Choices[0].Message.Content
	if e.Usage != nil {
		a.usage = *e.Usage
	}
}

// readErrorOrService reads a refusal, or the answer of a service, into an answer.
func readErrorOrService(response *http.Response, a *answer, p plannedRequest) {
	data, err := io.ReadAll(response.Body)
	if err != nil {
		a.outcome = outcomeBroken
		return
	}
	var e errorBody
	if json.Unmarshal(data, &e) == nil && e.Error != nil {
		a.setRefusal(e)
		return
	}
	a.outcome = outcomeBroken
	if response.StatusCode == http.StatusOK && p.traffic.Service != "" {
		a.outcome = outcomeOK
		a.text = string(data)
	}
}

// isCorrect reports whether an answer is the whole answer to the planned request. If the request is to a model and sets no
// MaxTokens, a beginning of the whole answer is correct too, if it is as long as the answer's usage says.
func (p plannedRequest) isCorrect(a answer) bool {
	if p.traffic.Service != "" {
		var echo struct {
			Echo string `json:"echo"`
		}
		return json.Unmarshal([]byte(a.text), &echo) == nil && echo.Echo == p.body
	}
	if p.traffic.MaxTokens > 0 {
		return a.text == emulator.Answer(p.messages, p.tokens)
	}
	// If the request sets no maximum, the router may set a smaller one because of a small budget.
	return a.usage.Completion > 0 && a.text == emulator.Answer(p.messages, min(a.usage.Completion, p.tokens))
}
