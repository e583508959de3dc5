package measurer_test

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway/measurer"
)

func TestLabelsAreBounded(t *testing.T) {
	s := measurer.New()
	for i := range 100 {
		s.Observe("whole_time", fmt.Sprint("workspace ", i), time.Duration(i)*time.Millisecond)
	}
	labels := s.Summaries()["whole_time"]
	qt.Assert(t, len(labels) <= 33, qt.IsTrue, qt.Commentf("%d labels", len(labels)))
	qt.Assert(t, labels["other"].Count, qt.Equals, int64(68))
}

func TestServesJSON(t *testing.T) {
	s := measurer.New()
	s.Add("requests", 3)
	s.Gauge("holds_open", 2)
	s.Gauge("holds_open", 1)
	s.Observe("queue_time", "interactive", 5*time.Millisecond)
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest("GET", "/debug/vars", nil))
	var page struct {
		Masticway  map[string]int64                       `json:"masticway"`
		Histograms map[string]map[string]measurer.Summary `json:"histograms"`
	}
	qt.Assert(t, json.Unmarshal(w.Body.Bytes(), &page), qt.IsNil)
	qt.Assert(t, page.Masticway, qt.DeepEquals, map[string]int64{"requests": 3, "holds_open": 1})
	qt.Assert(t, page.Histograms["queue_time"]["interactive"].Count, qt.Equals, int64(1))
}
