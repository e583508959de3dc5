package connector

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/receiver"
)

// bodyLimit is the largest answer that is read into memory, in bytes. A larger one is an error, because a truncated answer
// can pass for a complete one.
const bodyLimit = 64 << 20

// maxHeaderBytes bounds the head of an answer, together with the informational answers before it.
const maxHeaderBytes = 64 << 10

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewHTTPClient returns a client that dials with dial, or directly if dial is nil, and keeps idle connections for reuse.
func NewHTTPClient(dial DialFunc) *http.Client {
	return &http.Client{Transport: receiver.NewTransport(newTransport(dial))}
}

func newTransport(dial DialFunc) *http.Transport {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return &http.Transport{
		DialContext:            dial,
		MaxIdleConnsPerHost:    64,
		IdleConnTimeout:        30 * time.Second,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// NewNoRetryHTTPClient returns a client that sends every request at most once.
//
// The standard transport retries a request with an Idempotency-Key on its own if a reused connection breaks, even after the
// server has acted on it. A separate connection for each request rules that out.
func NewNoRetryHTTPClient(dial DialFunc) *http.Client {
	t := newTransport(dial)
	t.DisableKeepAlives = true
	return &http.Client{Transport: receiver.NewTransport(t)}
}

// statusError is an answer with a status other than 200.
type statusError struct {
	status int
	body   []byte
}

func (e *statusError) Error() string { return fmt.Sprintf("status %d: %s", e.status, e.body) }

// postJSON sends a JSON body and decodes a JSON answer; sent reports whether the server may have acted on the request.
//
// The limits bound the time until the answer begins and the pauses within it. They do not bound the total time, which grows with
// the size of the answer.
func postJSON(ctx context.Context, client *http.Client, url string, limits receiver.Limits, body, answer any) (sent bool, err error) {
	data, err := json.Marshal(body)
	if err != nil {
		return false, fmt.Errorf("encoding body for %s: %w", url, err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return false, fmt.Errorf("building request for %s: %w", url, err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := receiver.Do(client, request, limits)
	if err != nil {
		return !isDialError(err), fmt.Errorf("posting to %s: %w", url, err)
	}
	if response.Status != http.StatusOK {
		return true, &statusError{status: response.Status, body: response.Body}
	}
	if answer == nil {
		return true, nil
	}
	if err := json.Unmarshal(response.Body, answer); err != nil {
		return true, fmt.Errorf("decoding answer of %s: %w", url, err)
	}
	return true, nil
}

// isDialError reports whether the error is that of a failed dial. Nothing was sent then.
func isDialError(err error) bool {
	op, ok := errors.AsType[*net.OpError](err)
	return ok && op.Op == "dial"
}

// Platform is a client of the platform's table and instance list. Its method Objects returns a client of the object store.
type Platform struct {
	base    string
	client  *http.Client
	timeout time.Duration
}

var (
	_ masticway.Table        = Platform{}
	_ masticway.ObjectStore  = Objects{}
	_ masticway.InstanceList = Platform{}
)

// NewPlatform returns a client of the platform at a base URL. A call fails if its answer does not begin within timeout.
func NewPlatform(base string, client *http.Client, timeout time.Duration) Platform {
	return Platform{base: base, client: client, timeout: timeout}
}

func (p Platform) call(ctx context.Context, path string, body, answer any) (sent bool, err error) {
	limits := receiver.Limits{HeaderTimeout: p.timeout, IdleTimeout: receiver.DefaultIdleTimeout, MaxBytes: bodyLimit}
	return postJSON(ctx, p.client, p.base+path, limits, body, answer)
}

// Get reads a row. It returns a row with version zero if the key is absent.
func (p Platform) Get(ctx context.Context, key string) (masticway.Row, error) {
	var row masticway.Row
	_, err := p.call(ctx, "/table/get", struct {
		Key string `json:"key"`
	}{key}, &row)
	if err != nil {
		return row, &masticway.UnavailableError{Service: "table", Reason: err.Error()}
	}
	return row, nil
}

// Scan reads all rows whose keys have a prefix.
func (p Platform) Scan(ctx context.Context, prefix string) ([]masticway.Row, error) {
	var rows []masticway.Row
	_, err := p.call(ctx, "/table/scan", struct {
		Prefix string `json:"prefix"`
	}{prefix}, &rows)
	if err != nil {
		return nil, &masticway.UnavailableError{Service: "table", Reason: err.Error()}
	}
	return rows, nil
}

// Commit commits a transaction. It fails with the errors that masticway.Table lists.
func (p Platform) Commit(ctx context.Context, tx masticway.Transaction) error {
	sent, err := p.call(ctx, "/table/commit", tx, nil)
	if err == nil {
		return nil
	}
	status, ok := errors.AsType[*statusError](err)
	switch {
	case ok && status.status == http.StatusConflict:
		var conflict struct {
			Key string `json:"key"`
		}
		_ = json.Unmarshal(status.body, &conflict)
		return &masticway.ConflictError{Key: conflict.Key}
	case ok && (status.status == http.StatusServiceUnavailable || status.status == http.StatusTooManyRequests):
		return &masticway.UnavailableError{Service: "table", Reason: err.Error()}
	case !sent:
		return &masticway.UnavailableError{Service: "table", Reason: err.Error()}
	}
	return &masticway.OutcomeUnknownError{Service: "table", ID: tx.ID, Reason: err.Error()}
}

// Instances reads the instance list. If the list still has the known version, the reading has Unchanged set and no instances.
func (p Platform) Instances(ctx context.Context, known string) (masticway.InstanceReading, error) {
	var reading masticway.InstanceReading
	_, err := p.call(ctx, "/instances/list", struct {
		Known string `json:"known"`
	}{known}, &reading)
	if err != nil {
		return reading, &masticway.UnavailableError{Service: "instance list", Reason: err.Error()}
	}
	return reading, nil
}

// Objects returns a client of the platform's object store.
func (p Platform) Objects() Objects { return Objects{platform: p} }

// Objects is a client of the platform's object store.
type Objects struct {
	platform Platform
}

// Put writes an object. Every error is an OutcomeUnknownError, after which the object may have been written.
func (o Objects) Put(ctx context.Context, name string, data []byte) error {
	_, err := o.platform.call(ctx, "/objects/put", struct {
		Name string `json:"name"`
		Data []byte `json:"data"`
	}{name, data}, nil)
	if err != nil {
		return &masticway.OutcomeUnknownError{Service: "object store", ID: name, Reason: err.Error()}
	}
	return nil
}

// Get reads an object; it fails with NotFoundError if there is none.
func (o Objects) Get(ctx context.Context, name string) ([]byte, error) {
	var object struct {
		Data []byte `json:"data"`
	}
	_, err := o.platform.call(ctx, "/objects/get", struct {
		Name string `json:"name"`
	}{name}, &object)
	if status, ok := errors.AsType[*statusError](err); ok && status.status == http.StatusNotFound {
		return nil, &masticway.NotFoundError{Kind: "object", Name: name}
	}
	if err != nil {
		return nil, &masticway.UnavailableError{Service: "object store", Reason: err.Error()}
	}
	return object.Data, nil
}

// List returns the names of the objects with a prefix, in order.
func (o Objects) List(ctx context.Context, prefix string) ([]string, error) {
	var names []string
	_, err := o.platform.call(ctx, "/objects/list", struct {
		Prefix string `json:"prefix"`
	}{prefix}, &names)
	if err != nil {
		return nil, &masticway.UnavailableError{Service: "object store", Reason: err.Error()}
	}
	return names, nil
}
