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

// pieceBytes is how much of a body is read at once: 16 KB, which takes an eighth of a second at 1 Mbit/s. The transport may fill
// the whole buffer before Read returns, so the idle timer is restarted only after a piece and not after each packet.
const pieceBytes = 16 << 10

// DefaultIdleTimeout is the idle timeout for responses between the machines of a deployment. It is 2 s because on a saturated
// network path a packet may be queued for up to half a second in each direction, and one packet may be lost.
const DefaultIdleTimeout = 2 * time.Second

// minRate is the lowest average rate, in bytes per second, at which a body may arrive. It is an eightieth of the rate of a
// router's slowest network path. If a body falls behind this rate by a whole idle timeout, Do cancels the call.
const minRate = 16 << 10

// errTimeout is the cause with which a call is canceled because of a timeout of its Limits or because of minRate.
var errTimeout = errors.New("nothing came in time")

// Limits bounds the receiving of one response.
type Limits struct {
	// HeaderTimeout is the longest time until the response's header has arrived.
	HeaderTimeout time.Duration
	// IdleTimeout is the longest time without data after the header has arrived. It becomes shorter for a body that arrives more
	// slowly than minRate.
	IdleTimeout time.Duration
	// MaxBytes is the largest size of the body in bytes.
	MaxBytes int64
}

// Response is a response that has been received completely.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Error reports a response that was not received completely.
type Error struct {
	// Bytes is the number of bytes of the body that have been received.
	Bytes int
	// Took is the duration of the call.
	Took time.Duration
	// Err is the cause.
	Err error
}

// Error returns a text with the cause and how much was received.
func (e *Error) Error() string {
	return fmt.Sprintf("%v (%d bytes in %d ms)", e.Err, e.Bytes, e.Took.Milliseconds())
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// TooLargeError reports a response whose body exceeds its limit in bytes.
type TooLargeError struct {
	Limit int64
}

// Error returns a text that names the limit.
func (e *TooLargeError) Error() string { return fmt.Sprintf("the answer has over %d bytes", e.Limit) }

// progressKey is the context key of the function passed to WithProgress.
type progressKey struct{}

// WithProgress returns a context that makes Do call progress while the body of a response is arriving, but only if the response
// has status 200 and its body has more than 16 KB (pieceBytes). Smaller bodies are complete almost as soon as they begin. Do
// calls progress as soon as it knows that the body is that large, and then after each piece. It knows this from the
// Content-Length header, or without that header once more than 16 KB have arrived.
func WithProgress(ctx context.Context, progress func()) context.Context {
	return context.WithValue(ctx, progressKey{}, progress)
}

// Do sends a request and returns its complete response, whatever its status is. It fails with an Error, which wraps a
// TooLargeError, the transport's error, or an error that reports a timeout of the Limits. The request's context bounds the
// call too.
func Do(client *http.Client, request *http.Request, l Limits) (Response, error) {
	start := time.Now()
	ctx, cancel := context.WithCancelCause(request.Context())
	defer cancel(nil)
	timer := time.AfterFunc(l.HeaderTimeout, func() { cancel(errTimeout) })
	defer timer.Stop()
	response, err := client.Do(request.WithContext(ctx))
	if err != nil {
		return Response{}, &Error{Took: time.Since(start), Err: cause(ctx, err)}
	}
	defer response.Body.Close()
	if response.ContentLength > l.MaxBytes {
		return Response{}, &Error{Took: time.Since(start), Err: &TooLargeError{Limit: l.MaxBytes}}
	}
	body, err := readAll(ctx, response, l, timer)
	if err != nil {
		return Response{}, &Error{Bytes: len(body), Took: time.Since(start), Err: cause(ctx, err)}
	}
	return Response{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}

// ReportProgress calls the function that was passed to WithProgress, if ctx has one. Callers use it if they receive a
// response under another context.
func ReportProgress(ctx context.Context) {
	if progress, ok := ctx.Value(progressKey{}).(func()); ok {
		progress()
	}
}

// readAll reads a body. Each piece that arrives restarts the idle timer. After an error it also returns what it has read.
func readAll(ctx context.Context, response *http.Response, l Limits, timer *time.Timer) ([]byte, error) {
	start := time.Now()
	body := make([]byte, 0, max(pieceBytes, response.ContentLength))
	for {
		if response.StatusCode == http.StatusOK && max(int64(len(body)), response.ContentLength) > pieceBytes {
			ReportProgress(ctx)
		}
		// slack is how far, in time, the body is ahead of minRate. It is negative if the body arrives more slowly. A negative
		// slack shortens the timeout, so the call is canceled when the body is a whole idle timeout behind.
		slack := time.Duration(len(body))*time.Second/minRate - time.Since(start)
		timer.Reset(min(l.IdleTimeout, l.IdleTimeout+slack))
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

// cause returns errTimeout if the call was canceled with that cause, and otherwise err.
func cause(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), errTimeout) {
		return errTimeout
	}
	return err
}
