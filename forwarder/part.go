package forwarder

import (
	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway/sender"
)

// streamPart describes what one attempt contributed to the stream that the caller gets.
type streamPart struct {
	// after is the ID of the event after which the server was asked to continue. It is empty if the stream began here.
	after string
	// first and last are the IDs of the first and the last event that were written. They are empty if no such event had an ID.
	first, last string
	// events counts the events that were written, unnumbered those of them without an ID, and skipped those that the caller had already.
	events, unnumbered, skipped int
	// numbering counts the steps between the events that the server sent, the last of which has the ID lastSent.
	numbering numbering
	lastSent  string
	// isBehind is set while the server sends what comes before the caller's last event. unnumberedLeft is the number of events without
	// an ID that the caller has already of those that follow its last event.
	isBehind       bool
	unnumberedLeft int
}

// recordSent records an event with an ID that the server sent.
func (p *streamPart) recordSent(id string) {
	if step, ok := eventStep(p.lastSent, id); ok && step >= 1 {
		p.numbering.steps++
		if step > 1 {
			p.numbering.jumps++
		}
	}
	p.lastSent = id
}

// skips reports whether the caller has an event already, because the server continues the stream earlier than it was asked to. last is
// the ID of the last event with an ID that the caller has.
func (p *streamPart) skips(id string, hasID bool, last string) bool {
	switch {
	case !hasID && p.isBehind:
		return true
	case !hasID && p.unnumberedLeft > 0:
		p.unnumberedLeft--
		return true
	case !hasID || last == "" || id != last && isLaterID(id, last):
		p.isBehind, p.unnumberedLeft = false, 0
		return false
	}
	p.isBehind = id != last
	return true
}

// add records an event that was written to the caller.
func (p *streamPart) add(id string, hasID bool) {
	p.events++
	if !hasID {
		p.unnumbered++
		return
	}
	if p.first == "" {
		p.first = id
	}
	p.last = id
}

// logPart logs where a part of a stream came from and how its end was detected. A stream that one server answered from its start to its
// framed end is logged only as its request is.
func (a *attempt) logPart(answer *sender.Answer, out outcome) {
	x, p := a.x, a.part
	if out.done && answer.IsFramed() && p.after == "" && x.tries == 0 {
		return
	}
	end := string(answer.Framing)
	if !out.done {
		end = out.reason
	}
	x.f.log.WithFields(logrus.Fields{
		"event": "stream_part", "request": x.q.ID, "resumes": x.q.Resumes, "pool": x.q.pool.Name, "server": a.server.ID, "version": a.server.Version,
		"try": x.tries, "after": p.after, "first": p.first, "last": p.last, "events": p.events, "unnumbered": p.unnumbered, "skipped": p.skipped,
		"framing": answer.Framing, "complete": out.done, "end": end, "ms": x.f.clock.Now().Sub(a.sentAt).Milliseconds(),
	}).Info("part of a stream relayed")
}
