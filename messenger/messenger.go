package messenger

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/masticway/masticway/decoder"
	"github.com/masticway/masticway/receiver"
)

const (
	// maxMessageBytes is the maximum size of a received message. The largest one is a write to the row store: 1 MB of rows and
	// their keys.
	maxMessageBytes = 4 << 20
	// maxAnswerBytes is the maximum size of an answer. The largest one is an answer with rows of the row store, which operators
	// may have written.
	maxAnswerBytes = 16 << 20
	// maxHeaderBytes bounds the header of an answer.
	maxHeaderBytes = 64 << 10
	// beginTimeout is how long an answer may take to begin if the context of the call does not end earlier. It is a multiple of
	// the time that any caller waits.
	beginTimeout = 10 * time.Second
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 20 * time.Second
	// maxIdleConnsPerRouter is the maximum number of idle connections to one router, enough for a few concurrent calls.
	maxIdleConnsPerRouter = 4
	// dialTimeout is the timeout of a connection attempt. If a SYN is lost in a network partition, the kernel retransmits it only
	// after a second, so a new attempt reaches a recovered router sooner.
	dialTimeout = 350 * time.Millisecond
	// slowLinkDialTimeout is the timeout of a connection attempt over a congested link. It allows for one retransmission of the
	// SYN.
	slowLinkDialTimeout = 2500 * time.Millisecond
	contentType         = "application/cbor"
)

// StatusError reports an answer with a status other than 200.
type StatusError struct {
	Address string
	Path    string
	Status  int
}

// Error returns a message with the address, the path and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("router at %s answered %s with status %d", e.Address, e.Path, e.Status)
}

// Client calls other routers.
type Client struct {
	http *http.Client
	// observe is called as ObserveCalls describes.
	observe func(took time.Duration, answered bool)
}

// NewClient returns a client without open connections.
func NewClient() *Client { return newClient(dialTimeout) }

// NewSlowLinkClient returns a client with a longer dial timeout, which also reaches routers over a congested link.
func NewSlowLinkClient() *Client { return newClient(slowLinkDialTimeout) }

func newClient(dialTimeout time.Duration) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	return &Client{observe: func(time.Duration, bool) {}, http: &http.Client{Transport: receiver.NewTransport(&http.Transport{
		DialContext: dialer.DialContext, IdleConnTimeout: idleTimeout, MaxIdleConnsPerHost: maxIdleConnsPerRouter, DisableCompression: true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	})}}
}

// ObserveCalls sets a function that is called with the duration of each Call that succeeded or timed out. A Call times out if the
// deadline of its context or the dial timeout passes. answered is set if the Call succeeded. Other failed calls, and calls of
// Fetch, are not observed. ObserveCalls must be called before the first call.
func (c *Client) ObserveCalls(observe func(took time.Duration, answered bool)) { c.observe = observe }

// Call sends a message to the router at an address and decodes its answer. It fails with StatusError if the router answers with a
// status other than 200, and otherwise with an error that wraps that of the transport or the codec.
func Call[A any](ctx context.Context, c *Client, address, path string, message any) (A, error) {
	began := time.Now()
	answer, err := Fetch[A](ctx, c, address, path, beginTimeout, message)
	if err == nil || errors.Is(err, context.DeadlineExceeded) {
		c.observe(time.Since(began), err == nil)
	}
	return answer, err
}

// Fetch is like Call, but beginTimeout limits the time until the answer begins, and the call is not observed. It is for answers
// that may be large. The caller's context must allow for their transfer.
func Fetch[A any](ctx context.Context, c *Client, address, path string, beginTimeout time.Duration, message any) (A, error) {
	var answer A
	data, err := cbor.Marshal(message)
	if err != nil {
		return answer, fmt.Errorf("encoding the message for %s: %w", path, err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return answer, fmt.Errorf("calling %s: %w", address, err)
	}
	request.Header.Set("Content-Type", contentType)
	response, err := receiver.Do(c.http, request, receiver.Limits{HeaderTimeout: beginTimeout, IdleTimeout: receiver.DefaultIdleTimeout, MaxBytes: maxAnswerBytes})
	if err != nil {
		return answer, fmt.Errorf("calling %s: %w", address, err)
	}
	if response.Status != http.StatusOK {
		return answer, &StatusError{Address: address, Path: path, Status: response.Status}
	}
	if err := decoder.Unmarshal(response.Body, &answer); err != nil {
		return answer, fmt.Errorf("decoding the answer of %s to %s: %w", address, path, err)
	}
	return answer, nil
}

// Handle registers serve for the messages that arrive at a path. A message that is too large or cannot be decoded is answered
// with status 400, and one for which there is no room beside the others with status 503.
func Handle[M, A any](mux *http.ServeMux, path string, serve func(ctx context.Context, message M) A) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var message M
		var in inbound
		defer in.release()
		err := in.read(w, r)
		if err == nil {
			err = decoder.Unmarshal(in.data, &message)
		}
		if _, ok := errors.AsType[*MessagesTooLargeError](err); ok {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		answer, err := cbor.Marshal(serve(r.Context(), message))
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", contentType)
		// The error is ignored: a caller that went away repeats the call if it still needs the answer.
		_, _ = w.Write(answer)
	})
}
