package forwarder

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/chooser"
	"github.com/masticway/masticway/sender"
)

// maxEventBytes is the maximum size of one event in bytes. An attempt fails if its stream contains a larger event.
const maxEventBytes = 1 << 20

// relayStream relays an event stream as it arrives, in whole events, until the stream ends, fails or is handed over.
func (a *attempt) relayStream(answer *sender.Answer) outcome {
	out := a.relayEvents(answer)
	a.x.recordNumbering(a.part.numbering)
	a.logPart(answer, out)
	return out
}

func (a *attempt) relayEvents(answer *sender.Answer) outcome {
	x := a.x
	a.part.unnumberedLeft = x.unnumbered
	var pending []byte
	kept := x.f.answerBytes.account()
	defer kept.release()
	buffer := make([]byte, 4<<10)
	for {
		n, err := answer.Read(buffer)
		if len(pending)+n > cap(pending) {
			grown, ok := kept.grow(pending, min(max(len(buffer), 2*cap(pending)-len(pending)), maxEventBytes+len(buffer)-len(pending)))
			if !ok {
				return a.streamFailure(errAnswersTooLarge, len(pending))
			}
			pending = grown
		}
		pending = append(pending, buffer[:n]...)
		// The bytes before the new ones contain no more than the start of a delimiter.
		seen := max(0, len(pending)-n-maxDelimiter+1)
		complete := lastEventEnd(pending[seen:])
		if complete > 0 {
			complete += seen
		}
		if complete > 0 {
			if !a.recordProgress() {
				// The next server was asked to resume before these events, so it will send them.
				return a.streamFailure(errSilent, len(pending))
			}
			fault := a.writeEvents(answer, pending[:complete])
			if _, ok := errors.AsType[*gapError](fault); ok {
				// The missing events may come from another server.
				out := a.failure(fault)
				out.fate = masticway.FateRan
				return out
			}
			if fault != nil {
				return outcome{fate: masticway.FateRan, result: chooser.ResultNeutral, reason: fault.Error()}
			}
			pending = append(pending[:0], pending[complete:]...)
			a.recordAnswer(false)
			a.clearSuspect()
			a.setSilenceTimeout(x.eventGapTimeout())
		}
		isAtEnd := errors.Is(err, io.EOF) && len(bytes.TrimSpace(pending)) == 0
		if isAtEnd && a.part.isBehind {
			// The server has ended another run of the stream, which is shorter than what the caller has.
			return a.streamFailure(io.ErrUnexpectedEOF, 0)
		}
		if isAtEnd && x.headWritten && !a.isWhole(answer) {
			return a.streamFailure(errEndedWithServer, 0)
		}
		if isAtEnd && !x.headWritten && answer.IsFramed() && x.q.isResumption() {
			// The caller has all events of the stream already.
			if !a.awaitClearance() {
				return outcome{fate: masticway.FateRan, result: chooser.ResultNeutral, reason: errHoldNotCleared.Error()}
			}
			a.recordFirstPart()
			if err := a.beginStream(answer); err != nil {
				return outcome{fate: masticway.FateRan, result: chooser.ResultNeutral, reason: err.Error()}
			}
		}
		if isAtEnd && x.headWritten {
			x.fate = masticway.FateRan
			return outcome{done: true, fate: masticway.FateRan, result: chooser.ResultSuccess}
		}
		if err != nil || len(pending) > maxEventBytes {
			return a.streamFailure(err, len(pending))
		}
	}
}

// streamFailure returns the outcome of a stream that broke off. The pending bytes belong to an incomplete event.
func (a *attempt) streamFailure(err error, pending int) outcome {
	out := a.connectionFailure(fmt.Errorf("stream broke off after %d events, %d bytes of the next: %w", a.x.events, pending, err))
	out.fate = masticway.FateRan
	return out
}

// writeEvents waits until the hold is cleared and writes whole events to the caller, without those that the caller already has.
func (a *attempt) writeEvents(answer *sender.Answer, events []byte) error {
	x := a.x
	a.recordFirstPart()
	x.fate = masticway.FateRan
	if !a.awaitClearance() {
		return errHoldNotCleared
	}
	for len(events) > 0 {
		end := firstEventEnd(events)
		event := events[:end]
		events = events[end:]
		id, ok := eventID(event)
		if ok {
			a.part.recordSent(id)
		}
		isComment := !ok && isCommentBlock(event)
		if !isComment && a.part.skips(id, ok, x.lastEvent) {
			a.part.skipped++
			continue
		}
		if ok && a.part.first == "" && x.hasGap(x.lastEvent, id) {
			return &gapError{after: x.lastEvent, first: id}
		}
		if err := a.beginStream(answer); err != nil {
			return err
		}
		if _, err := x.w.Write(event); err != nil {
			return fmt.Errorf("writing to the caller: %w", err)
		}
		x.events++
		a.part.add(id, ok)
		switch {
		case ok:
			x.lastEvent, x.unnumbered = id, 0
		case !isComment:
			x.unnumbered++
		}
	}
	if !x.headWritten {
		return nil
	}
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		return fmt.Errorf("writing to the caller: %w", err)
	}
	return nil
}

// errVersionUnrecorded ends a stream whose version no other router had recorded before the attempt's context ended.
var errVersionUnrecorded = errors.New("no other router has recorded the stream's software version in time")

// beginStream writes the head of the caller's answer, unless that has been done.
func (a *attempt) beginStream(answer *sender.Answer) error {
	x := a.x
	if x.headWritten {
		return nil
	}
	if !x.bindStream(a.ctx, a.server) {
		return errVersionUnrecorded
	}
	x.beginAnswer(answer)
	x.w.WriteHeader(answer.Status)
	return nil
}

// errHoldNotCleared ends an answer whose hold was not cleared before the attempt's context ended.
var errHoldNotCleared = errors.New("the store did not take the promise for this answer's money in time")

// awaitClearance waits until the answer that the hold pays for may go to the caller (see Budgets). If the answer were written
// earlier and this router then crashed, its tokens would be unaccounted for. It returns false if the attempt's context ends
// first. It turns the silence timeout off: the server has answered, and another server's answer would have to wait for the
// clearance as well.
func (a *attempt) awaitClearance() bool {
	a.setSilenceTimeout(0)
	x := a.x
	if !x.holdOpen || x.cleared {
		return true
	}
	x.cleared = x.f.budgets.Clear(a.ctx, x.holdReply.ID)
	return x.cleared
}

// isLaterID reports whether an event's ID comes after the ID last: whether it is the larger number. It returns true if either ID
// is not a number.
func isLaterID(id, last string) bool {
	a, b, ok := eventNumbers(last, id)
	return !ok || b > a
}

// eventDelimiters are the blank lines that end an event, of at most maxDelimiter bytes.
var eventDelimiters = [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")}

const maxDelimiter = 4

// firstEventEnd returns the length of the first whole event in b, or the length of b if there is none.
func firstEventEnd(b []byte) int {
	first := len(b)
	for _, end := range eventDelimiters {
		if i := bytes.Index(b, end); i >= 0 {
			first = min(first, i+len(end))
		}
	}
	return first
}

// lastEventEnd returns the length of the whole events at the start of b.
func lastEventEnd(b []byte) int {
	last := 0
	for _, end := range eventDelimiters {
		if i := bytes.LastIndex(b, end); i >= 0 {
			last = max(last, i+len(end))
		}
	}
	return last
}

// eventID returns the ID of an event, if it has one.
func eventID(event []byte) (string, bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}

// isCommentBlock reports whether a part of a stream that looks like an event holds comments only, which keep a connection in use.
func isCommentBlock(event []byte) bool {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if line = bytes.TrimSpace(line); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}
