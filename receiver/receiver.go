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

// pieceBytes is how much of a body is read at once, 32 KB, a quarter of a second on a link of 1 Mbit/s: the transport fills
// what it is given before it returns, and a pause is only seen between two pieces.
const pieceBytes = 32 << 10

// errLate is the cause of a call that was ended because nothing came in time.
var errLate = errors.New("nothing came in time")

// Limits bound the receiving of one answer.
type Limits struct {
	// Begin is how long it may take until its head is there.
	Begin time.Duration
	// Pause is how long nothing may come once it has begun.
	Pause time.Duration
	// Bytes bounds its body.
	Bytes int64
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

// begunKey is the context's key for the function of WithBegun.
type begunKey struct{}

// WithBegun returns a context for requests, with a function that is called whenever a successful answer begins to arrive.
func WithBegun(ctx context.Context, begun func()) context.Context {
	return context.WithValue(ctx, begunKey{}, begun)
}

// Do sends a request and returns its whole answer; it fails with Error, which wraps TooLargeError or what the transport
// says. The request's context bounds it too.
func Do(client *http.Client, request *http.Request, l Limits) (Answer, error) {
	began := time.Now()
	ctx, cancel := context.WithCancelCause(request.Context())
	defer cancel(nil)
	late := time.AfterFunc(l.Begin, func() { cancel(errLate) })
	defer late.Stop()
	response, err := client.Do(request.WithContext(ctx))
	if err != nil {
		return Answer{}, &Error{Took: time.Since(began), Err: cause(ctx, err)}
	}
	defer response.Body.Close()
	if begun, ok := ctx.Value(begunKey{}).(func()); ok && response.StatusCode == http.StatusOK {
		begun()
	}
	if response.ContentLength > l.Bytes {
		return Answer{}, &Error{Took: time.Since(began), Err: &TooLargeError{Limit: l.Bytes}}
	}
	body, err := readAll(response, l, late)
	if err != nil {
		return Answer{}, &Error{Bytes: len(body), Took: time.Since(began), Err: cause(ctx, err)}
	}
	return Answer{Status: response.StatusCode, Body: body}, nil
}

// readAll reads a body; each piece that comes puts the end of the call off.
func readAll(response *http.Response, l Limits, late *time.Timer) ([]byte, error) {
	body := make([]byte, 0, max(pieceBytes, response.ContentLength))
	for {
		late.Reset(l.Pause)
		body = slices.Grow(body, pieceBytes)
		n, err := response.Body.Read(body[len(body) : len(body)+pieceBytes])
		body = body[:len(body)+n]
		if int64(len(body)) > l.Bytes {
			return body, &TooLargeError{Limit: l.Bytes}
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
