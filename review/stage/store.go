//go:build review2

package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// maxRowBytes is max_row_bytes of the pages' settings.
const maxRowBytes = 65536

// historyLength is how many changes the store keeps for rows-feed.
const historyLength = 20000

type rowKey struct{ Table, Part, Key string }

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"row_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowsAnswer struct {
	Rows    []row `json:"rows,omitempty"`
	More    bool  `json:"has_more"`
	Version int64 `json:"row_version"`
	NowMS   int64 `json:"now_ms"`
}

// rowStore is a stand-in for the platform's row store: linearizable, and never down.
type rowStore struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	history []row
	version int64
	began   time.Time
	changed chan struct{}
	// rejected counts the rows that were too large, by table, and largest is the largest one that was written.
	rejected map[string]int
	largest  map[string]int
}

// reject records a row that is larger than maxRowBytes.
func (s *rowStore) reject(r row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejected[r.Table]++
}

func newRowStore() *rowStore {
	return &rowStore{rows: map[rowKey]row{}, began: time.Now(), changed: make(chan struct{}), rejected: map[string]int{}, largest: map[string]int{}}
}

// put writes a row as the operator or a server does.
func (s *rowStore) put(table, part, key string, value any) int64 {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(row{Table: table, Part: part, Key: key, Value: data, Version: s.version})
	s.announce()
	return s.version
}

// set stores a row; s.mu must be held.
func (s *rowStore) set(r row) {
	k := rowKey{r.Table, r.Part, r.Key}
	s.largest[r.Table] = max(s.largest[r.Table], len(r.Value))
	if r.Deleted {
		delete(s.rows, k)
	} else {
		s.rows[k] = r
	}
	s.history = append(s.history, r)
	if len(s.history) > historyLength {
		s.history = s.history[len(s.history)-historyLength:]
	}
}

// announce wakes the watches; s.mu must be held.
func (s *rowStore) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *rowStore) now() int64 { return time.Since(s.began).Milliseconds() }

func (s *rowStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/-/rows-tx":
		s.transact(w, r)
	case "/-/rows-get":
		s.get(w, q.Get("table"), q.Get("part"), q.Get("from"), q.Get("to"), q.Get("limit"))
	case "/-/rows-feed":
		since, _ := strconv.ParseInt(q.Get("since_rev"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.feed(w, r, q.Get("table"), since, time.Duration(wait)*time.Millisecond)
	case "/-/rows-parts":
		answer(w, http.StatusOK, map[string]any{"parts": []string{}, "has_more": false})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *rowStore) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected []row `json:"expected_rev"`
		Puts     []row `json:"puts"`
		Deletes  []row `json:"delete"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, p := range tx.Puts {
		if len(p.Value) > maxRowBytes {
			s.reject(p)
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	time.Sleep(3 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	holds := true
	for _, e := range tx.Expected {
		have, ok := s.rows[rowKey{e.Table, e.Part, e.Key}]
		if have.Version != e.Version {
			holds = false
		}
		if ok {
			current = append(current, have)
		}
	}
	if !holds {
		answer(w, http.StatusPreconditionFailed, rowsAnswer{Rows: current, Version: s.version, NowMS: s.now()})
		return
	}
	s.version++
	for _, p := range tx.Puts {
		s.set(row{Table: p.Table, Part: p.Part, Key: p.Key, Value: p.Value, Version: s.version})
	}
	for _, d := range tx.Deletes {
		s.set(row{Table: d.Table, Part: d.Part, Key: d.Key, Version: s.version, Deleted: true})
	}
	s.announce()
	answer(w, http.StatusOK, rowsAnswer{Version: s.version, NowMS: s.now()})
}

func (s *rowStore) get(w http.ResponseWriter, table, part, from, to, limit string) {
	most := 500
	if n, err := strconv.Atoi(limit); err == nil && n > 0 {
		most = min(most, n)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out := rowsAnswer{Rows: []row{}, Version: s.version, NowMS: s.now()}
	for k, r := range s.rows {
		if k.Table == table && k.Part == part && k.Key >= from && (to == "" || k.Key < to) {
			out.Rows = append(out.Rows, r)
		}
	}
	slices.SortFunc(out.Rows, func(a, b row) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	if len(out.Rows) > most {
		out.Rows, out.More = out.Rows[:most], true
	}
	answer(w, http.StatusOK, out)
}

func (s *rowStore) feed(w http.ResponseWriter, r *http.Request, table string, since int64, wait time.Duration) {
	end := time.After(wait)
	for {
		s.mu.Lock()
		if len(s.history) > 0 && s.history[0].Version > since+1 && len(s.history) == historyLength {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		out := rowsAnswer{Version: s.version, NowMS: s.now()}
		for _, h := range s.history {
			if h.Table == table && h.Version > since {
				out.Rows = append(out.Rows, h)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(out.Rows) > 0 {
			answer(w, http.StatusOK, out)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			answer(w, http.StatusOK, out)
			return
		}
	}
}
