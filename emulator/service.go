package emulator

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/masticway/masticway"
)

// ServiceFaults are the faults of a plain service.
type ServiceFaults struct {
	// DelayMillis delays every call by so many milliseconds, after it has run.
	DelayMillis int `json:"slow_ms"`
	// DropAnswers breaks the connection after so many calls have run.
	DropAnswers int `json:"drop_answers"`
	// Down refuses everything before it runs.
	Down bool `json:"down"`
}

// Service is a booking or stock service stand-in that counts what it ran.
type Service struct {
	mu     sync.Mutex
	faults ServiceFaults
	runs   map[string]int
	total  int
}

// NewService returns a service that has run nothing.
func NewService() *Service { return &Service{runs: map[string]int{}} }

// SetFaults replaces the service's faults.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns how often each body was run.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// Record counts a run that no request asked for, so that tests can see the checks notice it.
func (s *Service) Record(body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[body]++
}

// Handler serves the service's calls, its load report and its fault switch.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	handle(mux, "/faults", func(_ *http.Request, f ServiceFaults) (any, error) {
		s.SetFaults(f)
		return struct{}{}, nil
	})
	handle(mux, "/counts", func(*http.Request, struct{}) (any, error) { return s.Runs(), nil })
	handle(mux, "/load", func(*http.Request, struct{}) (any, error) {
		return masticway.LoadReport{ReportedAt: time.Now(), Capacity: 64}, nil
	})
	mux.HandleFunc("/", s.serve)
	return mux
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	f := s.faults
	if f.Down {
		s.mu.Unlock()
		http.Error(w, "service down", http.StatusServiceUnavailable)
		return
	}
	s.runs[string(body)]++
	s.total++
	number := s.total
	drop := f.DropAnswers > 0
	if drop {
		s.faults.DropAnswers--
	}
	s.mu.Unlock()
	time.Sleep(time.Duration(f.DelayMillis) * time.Millisecond)
	if drop {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(struct {
		Number int    `json:"number"`
		Echo   string `json:"echo"`
		Path   string `json:"path"`
	}{number, string(body), r.URL.Path})
}
