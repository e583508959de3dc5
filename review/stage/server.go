//go:build review2

package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// stride is the number of output tokens in one event of a stream.
const stride = 3

// kvTotal is the memory of a model server, in tokens.
const kvTotal = 273304

// needsMoreThan reports whether a request's X-Token-Count names more tokens than a number, in its prompt or as its output.
func needsMoreThan(count string, most int) bool {
	for text := range strings.SplitSeq(count, ",") {
		if n, err := strconv.ParseFloat(strings.TrimSpace(text), 64); err == nil && n > float64(most) {
			return true
		}
	}
	return false
}

// run is what a server did for one request.
type run struct {
	Attempt, Server, Tenant string
	Began, Ended            time.Time
	// Events counts the events that were written, and Whole is set if the answer was written to its end.
	Events int
	Whole  bool
}

// server is a stand-in for a model server or a plain server.
type server struct {
	id, service, address, zone string
	slots                      int
	// beforeFirst and betweenEvents are the pauses of a stream; work is how long a plain request takes.
	beforeFirst, betweenEvents, work time.Duration

	mu    sync.Mutex
	runs  []*run
	state string
	// hangs and lost are the disturbance (see disturb).
	hangs, lost float64
	http        *http.Server
}

func (s *server) start(store *rowStore) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.address, s.state = l.Addr().String(), "ready"
	s.http = &http.Server{Handler: s, IdleTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(l) }()
	go func() {
		for beat := 1; ; beat++ {
			s.register(store, beat)
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	return nil
}

func (s *server) register(store *rowStore, beat int) {
	s.mu.Lock()
	state := s.state
	s.mu.Unlock()
	store.put("servers", "", s.id, map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": state,
		"cold_left_ms": 0, "stage": "colocated", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}, "seq_no": beat,
	})
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	switch {
	case r.URL.Path == "/healthz":
		h.Set("X-Instance-Id", s.id)
		return
	case strings.HasPrefix(r.URL.Path, "/-/"):
		s.control(w, r)
		return
	}
	attempt := r.Header.Get("X-Attempt-Id")
	h.Set("X-Attempt-Id", attempt)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		h.Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	h.Set("X-Server-Signature", "sig."+s.id+"."+attempt)
	if needsMoreThan(r.Header.Get("X-Token-Count"), kvTotal) {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	this := &run{Attempt: attempt, Server: s.id, Tenant: r.Header.Get("X-Tenant"), Began: time.Now()}
	s.mu.Lock()
	s.runs = append(s.runs, this)
	s.mu.Unlock()
	events, whole := 0, false
	defer func() {
		s.mu.Lock()
		this.Ended, this.Events, this.Whole = time.Now(), events, whole
		s.mu.Unlock()
	}()
	if r.Header.Get("X-Token-Count") == "" {
		work, hangs, isLost := s.draw()
		if hangs {
			<-r.Context().Done()
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(work):
		}
		if isLost {
			whole = true
			reset(w)
			return
		}
		_, err := fmt.Fprintf(w, "done %s\n", attempt)
		whole = err == nil
		return
	}
	_, output, _ := strings.Cut(r.Header.Get("X-Token-Count"), ",")
	tokens, _ := strconv.Atoi(strings.TrimSpace(output))
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	h.Set("Content-Type", "text/event-stream")
	h.Set("X-Weight-Versions", "1")
	for id := after + 1; id <= (tokens+stride-1)/stride; id++ {
		pause := s.betweenEvents
		if events == 0 {
			pause = s.beforeFirst
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(pause):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s piece %d\n\n", id, attempt, id); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		events++
	}
	whole = true
}

// control answers the calls that are no requests of clients.
func (s *server) control(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/-/report":
		answer(w, http.StatusOK, map[string]any{
			"stage": "colocated", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}, "busy": false,
			"seq_no": 1, "queued": 0, "running": 0, "kv_used": 0, "kv_total": kvTotal, "kv_handles": 0, "pinned": 0, "held": 0, "runs": []any{},
		})
	case "/-/hold-take":
		w.WriteHeader(http.StatusServiceUnavailable)
	case "/-/kv-events":
		time.Sleep(200 * time.Millisecond)
		answer(w, http.StatusOK, map[string]any{"epoch": 1, "next": 0, "lost": false, "events": []any{}})
	case "/-/kv-list":
		answer(w, http.StatusOK, map[string]any{"epoch": 1, "next": 0, "held": []any{}})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// all returns copies of the server's runs.
func (s *server) all() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []run
	for _, r := range s.runs {
		out = append(out, *r)
	}
	return out
}

// reset resets the connection of a request.
func reset(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
