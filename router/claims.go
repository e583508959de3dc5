package router

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"
	"unicode/utf8"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
)

const (
	claimPrefix = "claim/"
	// claimTimeout limits the time for inserting a claim row, after which the request is refused.
	claimTimeout = 2 * time.Second
	// recordTimeout limits the time for updating or deleting a claim row. The end of an answer waits until its outcome is
	// recorded or this time has passed.
	recordTimeout = 5 * time.Second
	// claimRetryInterval is the interval between attempts to read or write a claim row.
	claimRetryInterval = 100 * time.Millisecond
	// maxRecordedBody is the maximum size in bytes of a recorded answer. A longer answer is recorded without its body, so that it
	// cannot be replayed.
	maxRecordedBody = 256 << 10
)

// claimState is the state of a claim row: open until the outcome of its request is recorded.
type claimState string

const (
	claimOpen claimState = "open"
	claimDone claimState = "done"
)

// claimRow is the table row by which a non-repeatable request claims its identity. The claim prevents other requests with the
// identity from running. The outcome of the request is recorded in the row.
type claimRow struct {
	Request     string                `json:"request"`
	Sender      masticway.Incarnation `json:"sender"`
	State       claimState            `json:"state"`
	ClaimedAt   time.Time             `json:"at"`
	Status      int                   `json:"status,omitempty"`
	ContentType string                `json:"content_type,omitempty"`
	Reason      string                `json:"reason,omitempty"`
	Body        string                `json:"body,omitempty"`
	// Bytes is the answer instead of Body if it is no UTF-8, of which JSON would replace bytes.
	Bytes []byte `json:"bytes,omitempty"`
	// TooLarge is set if the answer is not recorded because it is longer than maxRecordedBody.
	TooLarge bool            `json:"too_large,omitempty"`
	Usage    masticway.Usage `json:"usage"`
}

// claim is the claim row of an exchange and the row's key in the table.
type claim struct {
	key string
	row claimRow
}

// claimRun claims the request's identity by a claim row. It must be called before the first dispatch. If another request has
// claimed the identity, it settles the hold, and replays the recorded outcome or joins the other run. done is set if out and err
// are the final answer of this request.
func (x *exchange) claimRun(ctx context.Context) (out result, done bool, err error) {
	c := &claim{
		key: claimPrefix + string(x.q.identity),
		row: claimRow{Request: x.q.id, Sender: x.r.self, State: claimOpen, ClaimedAt: x.r.clock.Now()},
	}
	existing, err := x.r.insertClaim(ctx, c)
	if err != nil {
		x.step(eventRefused)
		x.r.wg.Go(func() { x.r.deleteClaim(c) })
		return result{}, true, refusal(http.StatusServiceUnavailable, "claim_unavailable", "the request cannot be claimed now", time.Second)
	}
	if existing.Request == c.row.Request {
		x.claim = c
		return result{}, false, nil
	}
	x.settle()
	x.step(eventAttached)
	if existing.State == claimDone {
		out, err := x.replayClaim(existing)
		return out, true, err
	}
	if x.findRun(ctx) {
		x.state = x.chart.Initial()
		x.step(eventAdmitted)
		out, err := x.joinRun(ctx)
		return out, true, err
	}
	x.step(eventLost)
	return result{}, true, unknownOutcome()
}

// findRecorded reads the recorded outcome of an earlier request with this identity into x.replay. It returns false if the request
// is repeatable, or if no outcome is recorded or it cannot be read.
func (x *exchange) findRecorded(ctx context.Context) bool {
	if !x.q.nonRepeatable {
		return false
	}
	row, version, err := x.r.readClaim(ctx, claimPrefix+string(x.q.identity))
	if err != nil || version == 0 || row.State != claimDone {
		return false
	}
	x.replay = &row
	return true
}

// replayClaim answers the caller with the recorded outcome in a claim row. Its error is a RefusalError.
func (x *exchange) replayClaim(row claimRow) (result, error) {
	x.step(eventFinished)
	if x.q.call.Service == "" && row.Status != 0 {
		// Only a refusal has a status, since the engine's is not recorded. The answer broke off.
		return result{}, &masticway.RefusalError{
			Status: row.Status, Code: row.Reason, Fate: masticway.FateRan, Message: "the upstream did not finish the answer",
		}
	}
	if row.TooLarge {
		return result{}, &masticway.RefusalError{
			Status: http.StatusBadGateway, Code: "answer_not_kept", Fate: masticway.FateRan,
			Message: "the request has run, but its answer was too large to be kept",
		}
	}
	x.relay(masticway.Chunk{Text: row.Body + string(row.Bytes), Tokens: row.Usage.Completion})
	return result{
		outcome: masticway.Outcome{Status: row.Status, ContentType: row.ContentType, Reason: row.Reason},
		usage:   row.Usage,
	}, nil
}

// insertClaim writes the claim row if the table has none for its key, and returns the row that is then in the table. It returns
// an error if the table is unavailable, or if that row is not known within claimTimeout.
func (r *Router) insertClaim(ctx context.Context, c *claim) (claimRow, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	value, err := json.Marshal(c.row)
	if err != nil {
		return claimRow{}, err
	}
	tx := masticway.Transaction{
		ID:         c.key + "/" + c.row.Request,
		Conditions: []masticway.Condition{{Key: c.key}},
		Puts:       []masticway.Put{{Key: c.key, Value: value}},
	}
	err = r.platform.Table.Commit(ctx, tx)
	if err == nil {
		return c.row, nil
	}
	if _, ok := errors.AsType[*masticway.UnavailableError](err); ok {
		return claimRow{}, err
	}
	for {
		row, version, readErr := r.readClaim(ctx, c.key)
		if readErr == nil && version != 0 {
			return row, nil
		}
		if readErr == nil {
			// The table has no row yet, but the write that failed with an unknown outcome may still arrive. It is repeated, on
			// the condition that there is no row.
			if err = r.platform.Table.Commit(ctx, tx); err == nil {
				return c.row, nil
			}
		}
		select {
		case <-ctx.Done():
			return claimRow{}, ctx.Err()
		case <-r.clock.After(claimRetryInterval):
		}
	}
}

// readClaim reads a claim row. The version is zero if there is none.
func (r *Router) readClaim(ctx context.Context, key string) (claimRow, int64, error) {
	row, err := r.platform.Table.Get(ctx, key)
	if err != nil || row.Version == 0 {
		return claimRow{}, 0, err
	}
	var c claimRow
	err = json.Unmarshal(row.Value, &c)
	return c, row.Version, err
}

// completeClaim records the outcome of the exchange in its claim row, if it has one. It deletes the row if the request did not
// run. It leaves the row open if it is unknown whether the request ran.
func (x *exchange) completeClaim(_ context.Context, out result, err error) {
	if x.claim == nil {
		return
	}
	refused, isRefusal := errors.AsType[*masticway.RefusalError](err)
	if isRefusal && refused.Fate == masticway.FateNotRun {
		x.r.deleteClaim(x.claim)
		return
	}
	if isRefusal && refused.Fate == masticway.FateUnknown {
		return
	}
	row := x.claim.row
	row.State = claimDone
	row.Status = out.outcome.Status
	row.ContentType = out.outcome.ContentType
	row.Reason = out.outcome.Reason
	row.Usage = out.usage
	switch body := x.text.String(); {
	case len(body) > maxRecordedBody:
		row.TooLarge = true
	case utf8.ValidString(body):
		row.Body = body
	default:
		row.Bytes = []byte(body)
	}
	if isRefusal {
		row.Status = refused.Status
		row.Reason = refused.Code
	}
	if !x.r.recordClaim(x.claim.key, row) {
		x.r.log.WithFields(logrus.Fields{"event": "outcome_not_recorded", "request": x.q.id}).Warn("outcome not recorded: a retry of this request gets an unknown outcome")
	}
}

// recordClaim replaces a request's claim row by row, which must hold the outcome. It retries until it succeeds or recordTimeout
// has passed, and returns true if an outcome is recorded.
func (r *Router) recordClaim(key string, row claimRow) bool {
	value, err := json.Marshal(row)
	if err != nil {
		return false
	}
	return r.updateClaim(key, row.Request, recordTimeout, value)
}

// deleteClaim deletes the claim row of a request. The caller must know that the request did not run. It gives up after
// recordTimeout.
func (r *Router) deleteClaim(c *claim) { r.updateClaim(c.key, c.row.Request, recordTimeout, nil) }

// updateClaim replaces the claim row of a request by value, or deletes it if value is nil. It does not replace an outcome that is
// already recorded, and leaves the row of another request as it is. It retries until it succeeds or the timeout has passed. It
// returns true if the table then has no row of the request (after a deletion), or if the row holds an outcome.
func (r *Router) updateClaim(key, request string, timeout time.Duration, value []byte) bool {
	ctx, cancel := context.WithTimeout(r.ctx, timeout)
	defer cancel()
	for {
		row, version, err := r.readClaim(ctx, key)
		if err == nil && (version == 0 || row.Request != request) {
			return value == nil
		}
		if err == nil && value != nil && row.State == claimDone {
			return true
		}
		if err == nil {
			err = r.platform.Table.Commit(ctx, masticway.Transaction{
				ID:         key + "/end",
				Conditions: []masticway.Condition{{Key: key, Version: version}},
				Puts:       []masticway.Put{{Key: key, Value: value}},
			})
			if err == nil {
				return true
			}
		}
		select {
		case <-ctx.Done():
			return false
		case <-r.clock.After(claimRetryInterval):
		}
	}
}
