package router

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/masticway/masticway"
)

// bufferedWriter collects the text of an answer and sends nothing.
type bufferedWriter struct {
	text strings.Builder
}

func (w *bufferedWriter) writeChunk(c masticway.Chunk) { w.text.WriteString(c.Text) }

// chatWriter writes a chat completion, either as a stream of events or as one body.
type chatWriter struct {
	to      http.ResponseWriter
	q       request
	stream  bool
	started bool
	created int64
	text    strings.Builder
}

func newChatWriter(to http.ResponseWriter, q request, stream bool) *chatWriter {
	return &chatWriter{to: to, q: q, stream: stream, created: q.receivedAt.Unix()}
}

type chatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type chatChoice struct {
	Index        int          `json:"index"`
	Delta        *chatMessage `json:"delta,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type chatUsage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

type chatAnswer struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   *chatUsage   `json:"usage,omitempty"`
}

func (w *chatWriter) newAnswer(object string, choice chatChoice, usage *chatUsage) chatAnswer {
	return chatAnswer{
		ID: "chatcmpl-" + w.q.id, Object: object, Created: w.created, Model: w.q.call.Model,
		Choices: []chatChoice{choice}, Usage: usage,
	}
}

func (w *chatWriter) writeChunk(c masticway.Chunk) {
	if !w.stream {
		w.text.WriteString(c.Text)
		return
	}
	w.startStream()
	delta := &chatMessage{Content: c.Text}
	if c.Index == 0 {
		delta.Role = "assistant"
	}
	w.writeEvent(w.newAnswer("chat.completion.chunk", chatChoice{Delta: delta}, nil))
}

// startStream writes the header of a streamed answer. Further calls have no effect.
func (w *chatWriter) startStream() {
	if w.started {
		return
	}
	w.started = true
	w.to.Header().Set("Content-Type", "text/event-stream")
	w.to.Header().Set("Cache-Control", "no-cache")
	w.to.WriteHeader(http.StatusOK)
}

// writeEvent writes one event of a stream. It ignores write errors, because the end of the request's context shows that the
// caller has disconnected.
func (w *chatWriter) writeEvent(v any) {
	data, err := json.Marshal(v)
	if err != nil {
		return
	}
	fmt.Fprintf(w.to, "data: %s\n\n", data)
	if f, ok := w.to.(http.Flusher); ok {
		f.Flush()
	}
}

// finish writes the rest of the answer. If err is set and the stream has started, it writes an error event instead, so that the
// stream does not look complete. If err is set and nothing has been written, it returns err. err must be nil or a RefusalError.
func (w *chatWriter) finish(out result, err error) error {
	if err != nil && !w.started {
		return err
	}
	if refused, ok := errors.AsType[*masticway.RefusalError](err); ok {
		w.writeEvent(errorBody(refused))
		return nil
	}
	reason := out.outcome.Reason
	if reason == "" {
		reason = "stop"
	}
	usage := &chatUsage{out.usage.Prompt, out.usage.Completion, out.usage.Prompt + out.usage.Completion}
	if !w.stream {
		return w.writeWhole(reason, usage)
	}
	w.startStream()
	w.writeEvent(w.newAnswer("chat.completion.chunk", chatChoice{Delta: &chatMessage{}, FinishReason: &reason}, usage))
	fmt.Fprint(w.to, "data: [DONE]\n\n")
	return nil
}

// writeWhole writes an answer that is not streamed.
func (w *chatWriter) writeWhole(reason string, usage *chatUsage) error {
	message := &chatMessage{Role: "assistant", Content: w.text.String()}
	data, err := json.Marshal(w.newAnswer("chat.completion", chatChoice{Message: message, FinishReason: &reason}, usage))
	if err != nil {
		return fmt.Errorf("encoding an answer: %w", err)
	}
	w.to.Header().Set("Content-Type", "application/json")
	w.to.Header().Set("Date", time.Now().UTC().Format(http.TimeFormat))
	writeBody(w.to, http.StatusOK, string(data))
	return nil
}
