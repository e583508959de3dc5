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

// verdict is how a request ended for its client.
type verdict string

const (
	verdictOK      verdict = "ok"
	verdictRefused verdict = "refused"
	verdictBroken  verdict = "broken"
)

// answer is what a client got, in the end.
type answer struct {
	verdict verdict
	status  int
	code    string
	run     masticway.Fate
	text    string
	usage   masticway.Usage
	// id names the request that was answered, for explain.
	id         string
	tries      int
	retryAfter time.Duration
	// firstToken and whole count from the planned arrival.
	firstToken time.Duration
	whole      time.Duration
	gaps       []time.Duration
	ended      time.Time
}

const (
	// retryMost bounds the pause that a client keeps before it asks again.
	retryMost = 2 * time.Second
	// brokenPause is the pause after a broken connection.
	brokenPause = 50 * time.Millisecond
)

// client sends the requests of one region to its routers, as a balancer would.
type client struct {
	fleet  *starter.Fleet
	region string
	http   *http.Client
	keys   map[string]string
}

// send carries out a planned request, asking again with the same key as the traffic says.
func (c *client) send(ctx context.Context, p planned, began time.Time) answer {
	var a answer
	for try := 0; ; try++ {
		a = c.once(ctx, p, began)
		a.tries = try + 1
		a.ended = time.Now()
		a.whole = a.ended.Sub(began)
		if !again(a) || try >= p.traffic.Retries || ctx.Err() != nil {
			return a
		}
		pause := brokenPause
		if a.retryAfter > 0 {
			pause = min(a.retryAfter, retryMost)
		}
		select {
		case <-ctx.Done():
			return a
		case <-time.After(pause):
		}
	}
}

// again tells whether a client asks again after an answer.
func again(a answer) bool {
	switch {
	case a.verdict == verdictBroken:
		return true
	case a.verdict == verdictOK:
		return false
	}
	return a.status == http.StatusServiceUnavailable || a.status == http.StatusGatewayTimeout || a.status == http.StatusConflict || a.status == http.StatusBadGateway
}

func (c *client) once(ctx context.Context, p planned, began time.Time) answer {
	routers := c.routers()
	if len(routers) == 0 {
		return answer{verdict: verdictBroken, code: "no_router"}
	}
	base := routers[rand.IntN(len(routers))].CallerURL
	url, body := base+"/v1/chat/completions", p.chatBody()
	if p.traffic.Service != "" {
		url, body = base+"/v1/services/"+p.traffic.Service+p.traffic.Path, []byte(p.body)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return answer{verdict: verdictBroken, code: err.Error()}
	}
	request.Header.Set("Authorization", "Bearer "+c.keys[p.traffic.Workspace])
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Idempotency-Key", p.key)
	request.Header.Set("Masticway-Class", string(p.traffic.Class))
	response, err := c.http.Do(request)
	if err != nil {
		return answer{verdict: verdictBroken, code: "connection"}
	}
	defer response.Body.Close()
	a := answer{status: response.StatusCode, id: response.Header.Get("Masticway-Request-Id")}
	switch {
	case p.traffic.Service == "" && strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream"):
		readEvents(response.Body, &a, began)
	case p.traffic.Service == "" && response.StatusCode == http.StatusOK:
		readWhole(response.Body, &a, began)
	default:
		readOther(response, &a, p)
	}
	return a
}

func (c *client) routers() []*starter.FleetRouter {
	var list []*starter.FleetRouter
	for _, r := range c.fleet.Routers() {
		if r.Region == c.region && r.Daemon.IsReady() {
			list = append(list, r)
		}
	}
	return list
}

// wireError is the error body.
type wireError struct {
	Error *struct {
		Code       string         `json:"code"`
		Run        masticway.Fate `json:"run"`
		RetryAfter int64          `json:"retry_after_ms"`
	} `json:"error"`
}

func (a *answer) refuse(e wireError) {
	a.verdict = verdictRefused
	a.code = e.Error.Code
	a.run = e.Error.Run
	a.retryAfter = time.Duration(e.Error.RetryAfter) * time.Millisecond
}

type wireEvent struct {
	wireError
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

func readEvents(body io.Reader, a *answer, began time.Time) {
	a.verdict = verdictBroken
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
			a.verdict = verdictOK
			a.text = text.String()
			return
		}
		var e wireEvent
		if json.Unmarshal([]byte(data), &e) != nil {
			return
		}
		if e.Error != nil {
			// The status said 200 before the stream broke off.
			a.status = http.StatusBadGateway
			a.refuse(e.wireError)
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
				a.firstToken = now.Sub(began)
			} else {
				a.gaps = append(a.gaps, now.Sub(last))
			}
			last = now
			text.WriteString(c.Delta.Content)
		}
	}
}

func readWhole(body io.Reader, a *answer, began time.Time) {
	var e wireEvent
	if err := json.NewDecoder(body).Decode(&e); err != nil || len(e.Choices) == 0 {
		a.verdict = verdictBroken
		return
	}
	a.verdict = verdictOK
	a.firstToken = time.Since(began)
	a.text = e.Choices[0].Message.Content
	if e.Usage != nil {
		a.usage = *e.Usage
	}
}

func readOther(response *http.Response, a *answer, p planned) {
	data, err := io.ReadAll(response.Body)
	if err != nil {
		a.verdict = verdictBroken
		return
	}
	var e wireError
	if json.Unmarshal(data, &e) == nil && e.Error != nil {
		a.refuse(e)
		return
	}
	a.verdict = verdictBroken
	if response.StatusCode == http.StatusOK && p.traffic.Service != "" {
		a.verdict = verdictOK
		a.text = string(data)
	}
}

// right tells whether an answer is the whole answer to its own request.
func (p planned) right(a answer) bool {
	if p.traffic.Service != "" {
		var echo struct {
			Echo string `json:"echo"`
		}
		return json.Unmarshal([]byte(a.text), &echo) == nil && echo.Echo == p.body
	}
	if p.traffic.MaxTokens > 0 {
		return a.text == emulator.Answer(p.messages, p.tokens)
	}
	// Without a named maximum a thin budget may cut an answer short, and its usage says so.
	return a.usage.Completion > 0 && a.text == emulator.Answer(p.messages, min(a.usage.Completion, p.tokens))
}
