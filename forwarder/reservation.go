package forwarder

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/masticway/masticway/chooser"
	"github.com/masticway/masticway/sender"
)

const (
	// reservationTimeout is how long a server may take to reserve capacity. Nothing runs meanwhile but the attempt that has been silent.
	reservationTimeout = 250 * time.Millisecond
	// reservationLifetime is for how long capacity is reserved. The request follows as soon as the connection to the server before is reset.
	reservationLifetime = 500 * time.Millisecond
	// maxReservationBytes is the maximum size in bytes of the answer to a reservation.
	maxReservationBytes = 4 << 10
)

// reserve makes the attempt's server reserve capacity for the request. If it does not, reserve returns the outcome of the attempt and
// false.
func (a *attempt) reserve() (outcome, bool) {
	x := a.x
	ctx, cancel := context.WithTimeout(a.ctx, reservationTimeout)
	defer cancel()
	call := x.f.codec.ReservationCall(x.q.prompt.Tokens+x.q.prompt.Output, min(reservationLifetime, x.q.pool.MaxReservation))
	answer, err := x.f.sender.Send(ctx, a.server.Address, x.maxConnections(), sender.Request{
		Method: call.Method, Target: call.Target, Host: x.q.host, Header: call.Header, Body: call.Body, ConnectTimeout: connectTimeout, AckTimeout: ackTimeout,
		Check: func() error { return x.checkWanted(ctx) },
	})
	if err != nil {
		return a.reservationFailure(err), false
	}
	defer answer.Close()
	body, err := io.ReadAll(io.LimitReader(answer, maxReservationBytes))
	if err != nil {
		return a.reservationFailure(err), false
	}
	reservation, ok := x.f.codec.ParseReservation(answer.Status, body)
	if !ok {
		out := outcome{result: chooser.ResultNeutral, reason: "status " + strconv.Itoa(answer.Status) + " to a reservation"}
		if answer.Status == http.StatusServiceUnavailable {
			out.result = chooser.ResultFailure
		}
		return out, false
	}
	a.reservation = reservation
	return outcome{}, true
}

// reservationFailure returns the outcome of a candidate that did not answer the call for a reservation. The silence of a server that was
// asked for a short time only says nothing about it, but a connection that it does not accept does.
func (a *attempt) reservationFailure(err error) outcome {
	out := outcome{result: chooser.ResultNeutral, reason: "asking for a reservation: " + err.Error()}
	if a.ctx.Err() == nil && a.isUnreachable(err) {
		out.result = chooser.ResultUnreachable
	}
	return out
}

// returnUnsent gives back what was taken for a candidate to which the request was not sent: its retry and its permit.
func (a *attempt) returnUnsent() {
	a.x.returnRetry(a.unusedRetry())
	if !a.sent.Load() {
		a.x.f.throttler.ReturnPermit(a.server.Incarnation(), a.sentAt)
	}
}
