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

// eventLimit bounds the bytes of one event.
const eventLimit = 1 << 20

// relay passes an event stream on, whole events only, as they come.
func (a *attempt) relay(answer *sender.Answer) outcome {
	x := a.x
	var pending []byte
	buffer := make([]byte, 4<<10)
	for {
		n, err := answer.Read(buffer)
		pending = append(pending, buffer[:n]...)
		whole := lastEventEnd(pending)
		if whole > 0 {
			if !a.sign() {
				// The server that goes on was told which event was the last one.
				return a.brokenOff(errPatience, len(pending))
			}
			if fault := a.forward(answer, pending[:whole]); fault != nil {
				return outcome{fate: masticway.FateRan, verdict: chooser.VerdictNone, reason: fault.Error()}
			}
			pending = append(pending[:0], pending[whole:]...)
			a.clearIfProven()
			a.expect(x.gapWait())
		}
		if errors.Is(err, io.EOF) && len(bytes.TrimSpace(pending)) == 0 && x.begun {
			x.fate = masticway.FateRan
			return outcome{done: true, fate: masticway.FateRan, verdict: chooser.VerdictGood}
		}
		if err != nil || len(pending) > eventLimit {
			return a.brokenOff(err, len(pending))
		}
	}
}

// brokenOff is a stream that ended before its end.
func (a *attempt) brokenOff(err error, rest int) outcome {
	out := a.lost(fmt.Errorf("stream broke off after %d events, %d bytes of the next: %w", a.x.events, rest, err))
	out.fate = masticway.FateRan
	return out
}

// forward writes whole events to the caller.
func (a *attempt) forward(answer *sender.Answer, events []byte) error {
	x := a.x
	a.first()
	x.fate = masticway.FateRan
	if !a.clear() {
		return errNotCleared
	}
	if !x.begun {
		x.begin(answer)
		x.w.WriteHeader(answer.Status)
	}
	for len(events) > 0 {
		end := firstEventEnd(events)
		event := events[:end]
		events = events[end:]
		id, ok := eventID(event)
		if ok && x.lastEvent != "" && !later(id, x.lastEvent) {
			// A resumed server began before the point that it was given.
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

// errNotCleared ends an answer whose money could not be promised to the store before the time was over.
var errNotCleared = errors.New("the store did not take the promise for this answer's money in time")

// clear waits until the answer may go out; until then a death of this router would leave its money unaccounted for. No
// limit on the server runs meanwhile: it has answered, and another one's answer would wait for the same money.
func (a *attempt) clear() bool {
	a.expect(0)
	x := a.x
	if !x.held || x.cleared {
		return true
	}
	x.cleared = x.f.bank.Clear(a.ctx, x.money.ID)
	return x.cleared
}

// later tells that an event id follows another; ids that are no numbers always do.
func later(id, last string) bool {
	a, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return true
	}
	b, err := strconv.ParseInt(last, 10, 64)
	return err != nil || a > b
}

// eventEnds are the blank lines that end an event.
var eventEnds = [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")}

// firstEventEnd returns the length of the first whole event, or of everything.
func firstEventEnd(b []byte) int {
	first := len(b)
	for _, end := range eventEnds {
		if i := bytes.Index(b, end); i >= 0 {
			first = min(first, i+len(end))
		}
	}
	return first
}

// lastEventEnd returns the length of all whole events.
func lastEventEnd(b []byte) int {
	last := 0
	for _, end := range eventEnds {
		if i := bytes.LastIndex(b, end); i >= 0 {
			last = max(last, i+len(end))
		}
	}
	return last
}

// eventID returns an event's id, and whether it has one.
func eventID(event []byte) (string, bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}
