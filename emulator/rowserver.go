package emulator

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/masticway/masticway"
)

// rowJSON is the JSON encoding of a row, of a change of a row or of a row's expected version.
type rowJSON struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"row_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r rowJSON) key() masticway.RowKey {
	return masticway.RowKey{Table: r.Table, Part: r.Part, Key: r.Key}
}

// maxPageRows is the maximum number of rows in one answer to a read. It is small enough that tests get more than one page.
const maxPageRows = 500

// Handler returns the handler of the row store's protocol.
func (s *RowStore) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", s.serveRead)
	mux.HandleFunc("GET /-/rows-feed", s.serveWatch)
	mux.HandleFunc("POST /-/rows-tx", s.serveWrite)
	return mux
}

// inCurrentEra returns the version with a number of the current era. The store takes version numbers in calls for those of its
// current era, because calls do not name one. Number zero stands for an absent row.
func (s *RowStore) inCurrentEra(number int64) int64 {
	if number == 0 {
		return 0
	}
	return masticway.NewStoreVersion(masticway.StoreEra(s.currentVersion()), number)
}

func (s *RowStore) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	out, err := s.Read(r.Context(), query.Get("table"), query.Get("part"))
	hasMore := false
	if from := query.Get("from"); from != "" {
		for len(out.Rows) > 0 && out.Rows[0].Key < from {
			out.Rows = out.Rows[1:]
		}
	}
	if len(out.Rows) > maxPageRows {
		out.Rows, hasMore = out.Rows[:maxPageRows], true
	}
	s.writeRows(w, out, hasMore, err)
}

func (s *RowStore) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, _ := strconv.ParseInt(query.Get("since_rev"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	out, err := s.Watch(r.Context(), masticway.WatchRequest{Table: query.Get("table"), Since: masticway.NewStoreVersion(masticway.StoreEra(s.currentVersion()), since), MaxWait: time.Duration(wait) * time.Millisecond})
	s.writeRows(w, out, false, err)
}

func (s *RowStore) serveWrite(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Expected []rowJSON `json:"expected_rev"`
		Puts     []rowJSON `json:"puts"`
		Deletes  []rowJSON `json:"delete"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var write masticway.RowWrite
	parts := map[string]bool{}
	for _, e := range in.Expected {
		write.Expected = append(write.Expected, masticway.RowVersion{RowKey: e.key(), Version: s.inCurrentEra(e.Version)})
		parts[e.Part] = true
	}
	for _, p := range in.Puts {
		write.Puts = append(write.Puts, masticway.RowPut{RowKey: p.key(), Value: p.Value})
		parts[p.Part] = true
	}
	for _, d := range in.Deletes {
		write.Deletes = append(write.Deletes, d.key())
		parts[d.Part] = true
	}
	if len(parts) > 1 {
		http.Error(w, "more than one part", http.StatusBadRequest)
		return
	}
	out, err := s.Write(r.Context(), write)
	s.writeRows(w, out, false, err)
}

// writeRows answers with rows, or with the status for an error: 412 and the current rows for a conflict, 410 if the history
// is lost, 400 if the write is too large, and 503 otherwise. If the error is an OutcomeUnknownError, it aborts the connection instead.
func (s *RowStore) writeRows(w http.ResponseWriter, out masticway.RowReading, hasMore bool, err error) {
	status := http.StatusOK
	conflict, ok := errors.AsType[*masticway.RowConflictError](err)
	if ok {
		status, out.Rows, out.Version = http.StatusPreconditionFailed, conflict.Rows, conflict.Version
	} else if _, historyLost := errors.AsType[*masticway.HistoryLostError](err); historyLost {
		status = http.StatusGone
	} else if _, unknown := errors.AsType[*masticway.OutcomeUnknownError](err); unknown {
		// The outcome must remain unknown to the caller, so abort the connection without an answer.
		panic(http.ErrAbortHandler)
	} else if _, isRejected := errors.AsType[*masticway.WriteRejectedError](err); isRejected {
		status = http.StatusBadRequest
	} else if err != nil {
		status = http.StatusServiceUnavailable
	}
	if out.Version == 0 {
		out.Version = s.currentVersion()
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatInt(masticway.StoreEra(out.Version), 10))
	w.WriteHeader(status)
	// Encode one row at a time, so that no more rows are encoded after the caller has disconnected.
	if _, err := io.WriteString(w, `{"rows":[`); err != nil {
		return
	}
	for i, r := range out.Rows {
		row, err := json.Marshal(rowJSON{Table: r.Table, Part: r.Part, Key: r.Key, Value: r.Value, Version: masticway.StoreNumber(r.Version), Deleted: r.Deleted})
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if i > 0 {
			row = append([]byte{','}, row...)
		}
		if _, err := w.Write(row); err != nil {
			return
		}
	}
	fmt.Fprintf(w, `],"has_more":%t,"row_version":%d,"now_ms":%d}`, hasMore, masticway.StoreNumber(out.Version), out.StoreTime.Milliseconds())
}
