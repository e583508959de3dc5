package receiver

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"
)

// pieceBytes is how much of a body is read at once, 16 KB, an eighth of a second on a link of 1 Mbit/s: the transport fills
// what it is given before it returns, and a pause is only seen between two pieces.
const pieceBytes = 16 << 10

// DefaultIdleTimeout is how long an answer between the machines of a deployment may pause once it has begun, 2 s: packets wait for
// up to half a second on a full link, each way, and one of them may be lost.
const DefaultIdleTimeout = 2 * time.Second

// leastRate is how fast an answer has to arrive on the whole, in bytes a second: an eightieth of the slowest link of a
// router. One that is slower is as good as silent.
const leastRate = 16 << 10

// errLate is the cause of a call that was ended because nothing came in time.
var errLate = errors.New("nothing came in time")

// Limits bound the receiving of one answer.
type Limits struct {
	// HeaderTimeout is how long it may take until its head is there.
	HeaderTimeout time.Duration
	// IdleTimeout is how long nothing may come once it has begun.
	IdleTimeout time.Duration
	// MaxBytes bounds its body.
	MaxBytes int64
}

// Answer is an answer that has arrived whole.
type Answer struct {
	Status int
	Body   []byte
}

// Error reports an answer that did not arrive, with how much of its body had.
type Error struct {
	Bytes int
	Took  time.Duration
	Err   error
}

// Error tells how far the answer came.
func (e *Error) Error() string {
	return fmt.Sprintf("%v (%d bytes in %d ms)", e.Err, e.Bytes, e.Took.Milliseconds())
}

// Unwrap returns what ended it.
func (e *Error) Unwrap() error { return e.Err }

// TooLargeError reports an answer whose body is over its limit, in bytes.
type TooLargeError struct {
	Limit int64
}

// Error names the limit.
func (e *TooLargeError) Error() string { return fmt.Sprintf("the answer has over %d bytes", e.Limit) }

// progressKey is the context's key for the function of WithProgress.
type progressKey struct{}

// WithProgress returns a context for requests, with a function that is called whenever more of a successful answer has
// arrived that has over 16 KB. Smaller ones are there as soon as they begin.
func WithProgress(ctx context.Context, progress func()) context.Context {
	return context.WithValue(ctx, progressKey{}, progress)
}

// Do sends a request and returns its whole answer; it fails with Error, which wraps TooLargeError or what the transport
// says. The request's context bounds it too.
func Do(client *http.Client, request *http.Request, l Limits) (Answer, error) {
	began := time.Now()
	ctx, cancel := context.WithCancelCause(request.Context())
	defer cancel(nil)
	late := time.AfterFunc(l.HeaderTimeout, func() { cancel(errLate) })
	defer late.Stop()
	response, err := client.Do(request.WithContext(ctx))
	if err != nil {
		return Answer{}, &Error{Took: time.Since(began), Err: cause(ctx, err)}
	}
	defer response.Body.Close()
	if response.ContentLength > l.MaxBytes {
		return Answer{}, &Error{Took: time.Since(began), Err: &TooLargeError{Limit: l.MaxBytes}}
	}
	body, err := readAll(ctx, response, l, late)
	if err != nil {
		return Answer{}, &Error{Bytes: len(body), Took: time.Since(began), Err: cause(ctx, err)}
	}
	return Answer{Status: response.StatusCode, Body: body}, nil
}

// ReportProgress calls the function of WithProgress, if the context has one, for an answer that arrives under another context.
func ReportProgress(ctx context.Context) {
	if progress, ok := ctx.Value(progressKey{}).(func()); ok {
		progress()
	}
}

// readAll reads a body; each piece that comes puts the end of the call off.
func readAll(ctx context.Context, response *http.Response, l Limits, late *time.Timer) ([]byte, error) {
	began := time.Now()
	body := make([]byte, 0, max(pieceBytes, response.ContentLength))
	for {
		if response.StatusCode == http.StatusOK && max(int64(len(body)), response.ContentLength) > pieceBytes {
			ReportProgress(ctx)
		}
		// What a link that is only just fast enough would have taken less than this, beyond a pause.
		spared := time.Duration(len(body))*time.Second/leastRate - time.Since(began)
		late.Reset(min(l.IdleTimeout, l.IdleTimeout+spared))
		body = slices.Grow(body, pieceBytes)
		n, err := response.Body.Read(body[len(body) : len(body)+pieceBytes])
		body = body[:len(body)+n]
		if int64(len(body)) > l.MaxBytes {
			return body, &TooLargeError{Limit: l.MaxBytes}
		}
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return body, err
		}
	}
}

// cause tells that the call was ended here, rather than with which words the transport noticed.
func cause(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), errLate) {
		return errLate
	}
	return err
}
