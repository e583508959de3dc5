package emulator

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/masticway/masticway"
)

// Platform emulates the platform's services and serves them over HTTP.
type Platform struct {
	Table     *Table
	Objects   *ObjectStore
	Instances *InstanceList
}

// NewPlatform returns an empty platform whose instance list lags behind by lag.
func NewPlatform(lag time.Duration) *Platform {
	return &Platform{Table: NewTable(), Objects: NewObjectStore(), Instances: NewInstanceList(lag)}
}

// Handler returns the handler of the platform's protocol and its fault injection.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	handleJSON(mux, "/table/get", func(r *http.Request, in struct {
		Key string `json:"key"`
	}) (any, error) {
		return p.Table.Get(r.Context(), in.Key)
	})
	handleJSON(mux, "/table/scan", func(r *http.Request, in struct {
		Prefix string `json:"prefix"`
	}) (any, error) {
		return p.Table.Scan(r.Context(), in.Prefix)
	})
	handleJSON(mux, "/table/commit", func(r *http.Request, tx masticway.Transaction) (any, error) {
		return struct{}{}, p.Table.Commit(r.Context(), tx)
	})
	handleJSON(mux, "/instances/list", func(r *http.Request, in struct {
		Known string `json:"known"`
	}) (any, error) {
		return p.Instances.Instances(r.Context(), in.Known)
	})
	handleJSON(mux, "/instances/set", func(_ *http.Request, i masticway.Instance) (any, error) {
		p.Instances.Set(i)
		return struct{}{}, nil
	})
	handleJSON(mux, "/instances/state", func(_ *http.Request, in struct {
		ID    string                  `json:"id"`
		State masticway.InstanceState `json:"state"`
	}) (any, error) {
		if !p.Instances.SetState(in.ID, in.State) {
			return nil, &masticway.NotFoundError{Kind: "instance", Name: in.ID}
		}
		return struct{}{}, nil
	})
	p.handleObjects(mux)
	p.handleFaults(mux)
	return mux
}

func (p *Platform) handleObjects(mux *http.ServeMux) {
	handleJSON(mux, "/objects/put", func(r *http.Request, in struct {
		Name string `json:"name"`
		Data []byte `json:"data"`
	}) (any, error) {
		return struct{}{}, p.Objects.Put(r.Context(), in.Name, in.Data)
	})
	handleJSON(mux, "/objects/get", func(r *http.Request, in struct {
		Name string `json:"name"`
	}) (any, error) {
		data, err := p.Objects.Get(r.Context(), in.Name)
		return struct {
			Data []byte `json:"data"`
		}{data}, err
	})
	handleJSON(mux, "/objects/list", func(r *http.Request, in struct {
		Prefix string `json:"prefix"`
	}) (any, error) {
		return p.Objects.List(r.Context(), in.Prefix)
	})
}

func (p *Platform) handleFaults(mux *http.ServeMux) {
	handleJSON(mux, "/faults/table", func(_ *http.Request, f TableFaults) (any, error) {
		p.Table.SetFaults(f)
		return struct{}{}, nil
	})
	handleJSON(mux, "/faults/objects", func(_ *http.Request, f struct {
		Down bool `json:"down"`
	}) (any, error) {
		p.Objects.SetDown(f.Down)
		return struct{}{}, nil
	})
	handleJSON(mux, "/faults/instances", func(_ *http.Request, f struct {
		Down bool `json:"down"`
	}) (any, error) {
		p.Instances.SetDown(f.Down)
		return struct{}{}, nil
	})
}

// handleJSON registers a handler for POST requests that decodes its request from JSON and encodes its answer as JSON. writeError
// writes its errors.
func handleJSON[T any](mux *http.ServeMux, path string, f func(*http.Request, T) (any, error)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var in T
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		out, err := f(r, in)
		if err != nil {
			writeError(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(out)
	})
}

// writeError answers with the status for an error: 409 for a conflict, 404 if something does not exist, and 503 otherwise.
// If the error is an OutcomeUnknownError, it aborts the connection instead.
func writeError(w http.ResponseWriter, err error) {
	if _, ok := errors.AsType[*masticway.OutcomeUnknownError](err); ok {
		// The outcome must remain unknown to the caller, so abort the connection without an answer.
		panic(http.ErrAbortHandler)
	}
	if conflict, ok := errors.AsType[*masticway.ConflictError](err); ok {
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(struct {
			Key string `json:"key"`
		}{conflict.Key})
		return
	}
	if _, ok := errors.AsType[*masticway.NotFoundError](err); ok {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	http.Error(w, err.Error(), http.StatusServiceUnavailable)
}
