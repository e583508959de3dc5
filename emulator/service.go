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

// ServiceFaults are the faults that can be injected into a plain service.
type ServiceFaults struct {
	// DelayMillis is how long a call waits after it has run and before it is answered, in milliseconds.
	DelayMillis int `json:"slow_ms"`
	// DropAnswers is the number of calls that run but get no answer, because their connection is aborted.
	DropAnswers int `json:"drop_answers"`
	// Down rejects every call with 503 without running it.
	Down bool `json:"down"`
}

// Service emulates a plain service, such as booking or stock, and counts the calls that it ran. Answers repeat the call's body.
type Service struct {
	mu        sync.Mutex
	faults    ServiceFaults
	runs      map[string]int
	totalRuns int
}

// NewService returns a service without faults.
func NewService() *Service { return &Service{runs: map[string]int{}} }

// SetFaults replaces the service's faults.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns the number of calls that were run, by body.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// Record counts a run that no request asked for. Tests use it to verify that checks detect this.
func (s *Service) Record(body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[body]++
}

// Handler returns the handler of the service's calls, load report, fault injection and counts.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	handleJSON(mux, "/faults", func(_ *http.Request, f ServiceFaults) (any, error) {
		s.SetFaults(f)
		return struct{}{}, nil
	})
	handleJSON(mux, "/counts", func(*http.Request, struct{}) (any, error) { return s.Runs(), nil })
	handleJSON(mux, "/load", func(*http.Request, struct{}) (any, error) {
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
	s.totalRuns++
	number := s.totalRuns
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
