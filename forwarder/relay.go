package forwarder

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/chooser"
	"github.com/masticway/masticway/sender"
)

// maxEventBytes bounds the size of one event.
const maxEventBytes = 1 << 20

// relayStream relays an event stream as it arrives, in whole events.
func (a *attempt) relayStream(answer *sender.Answer) outcome {
	x := a.x
	var pending []byte
	buffer := make([]byte, 4<<10)
	for {
		n, err := answer.Read(buffer)
		pending = append(pending, buffer[:n]...)
		complete := lastEventEnd(pending)
		if complete > 0 {
			if !a.recordProgress() {
				// The next server was asked to resume after the last event before this one.
				return a.streamFailure(errSilent, len(pending))
			}
			if fault := a.writeEvents(answer, pending[:complete]); fault != nil {
				return outcome{fate: masticway.FateRan, result: chooser.ResultNeutral, reason: fault.Error()}
			}
			pending = append(pending[:0], pending[complete:]...)
			a.clearSuspect()
			a.setSilenceTimeout(x.eventGapTimeout())
		}
		if errors.Is(err, io.EOF) && len(bytes.TrimSpace(pending)) == 0 && x.headWritten {
			x.fate = masticway.FateRan
			return outcome{done: true, fate: masticway.FateRan, result: chooser.ResultSuccess}
		}
		if err != nil || len(pending) > maxEventBytes {
			return a.streamFailure(err, len(pending))
		}
	}
}

// streamFailure returns the outcome of a stream that ended early.
func (a *attempt) streamFailure(err error, pending int) outcome {
	out := a.connectionFailure(fmt.Errorf("stream broke off after %d events, %d bytes of the next: %w", a.x.events, pending, err))
	out.fate = masticway.FateRan
	return out
}

// writeEvents writes whole events to the caller.
func (a *attempt) writeEvents(answer *sender.Answer, events []byte) error {
	x := a.x
	a.recordFirstPart()
	x.fate = masticway.FateRan
	if !a.awaitClearance() {
		return errHoldNotCleared
	}
	if !x.headWritten {
		x.beginAnswer(answer)
		x.w.WriteHeader(answer.Status)
	}
	for len(events) > 0 {
		end := firstEventEnd(events)
		event := events[:end]
		events = events[end:]
		id, ok := eventID(event)
		if ok && x.lastEvent != "" && !isLaterID(id, x.lastEvent) {
			// The server resumed before the point that was requested.
			continue
		}
		if _, err := x.w.Write(event); err != nil {
			return fmt.Errorf("writing to the caller: %w", err)
		}
		x.events++
		if ok {
			x.lastEvent = id
		}
	}
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		return fmt.Errorf("writing to the caller: %w", err)
	}
	return nil
}

// errHoldNotCleared ends an answer whose hold the store did not confirm before the deadline.
var errHoldNotCleared = errors.New("the store did not take the promise for this answer's money in time")

// awaitClearance waits until the answer may go out. Until then the tokens would be unaccounted for if this router died. The
// silence timeout is off meanwhile: the server has answered, and the answer of another one would wait for the same clearance.
func (a *attempt) awaitClearance() bool {
	a.setSilenceTimeout(0)
	x := a.x
	if !x.holdOpen || x.cleared {
		return true
	}
	x.cleared = x.f.budgets.Clear(a.ctx, x.holdReply.ID)
	return x.cleared
}

// isLaterID reports whether an event id follows another. Ids that are not numbers always do.
func isLaterID(id, last string) bool {
	a, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return true
	}
	b, err := strconv.ParseInt(last, 10, 64)
	return err != nil || a > b
}

// eventDelimiters are the blank lines that end an event.
var eventDelimiters = [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")}

// firstEventEnd returns the length of the first whole event, or of all of b if there is none.
func firstEventEnd(b []byte) int {
	first := len(b)
	for _, end := range eventDelimiters {
		if i := bytes.Index(b, end); i >= 0 {
			first = min(first, i+len(end))
		}
	}
	return first
}

// lastEventEnd returns the length of all whole events.
func lastEventEnd(b []byte) int {
	last := 0
	for _, end := range eventDelimiters {
		if i := bytes.LastIndex(b, end); i >= 0 {
			last = max(last, i+len(end))
		}
	}
	return last
}

// eventID returns the id of an event, if it has one.
func eventID(event []byte) (string, bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}
