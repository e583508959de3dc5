package soaker

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/masticway/masticway/emulator"
)

// endsKind is the fault in which a server is ended like a process that is killed, between two events of streams that end with their
// connections.
const endsKind = "server_ends"

// maxUnframed is the largest number of streams that one such fault makes end with their connections before it ends the server.
// maxContinuationCuts is the number of answers that a server breaks off while others go on at the wrong event.
const maxUnframed, maxContinuationCuts = 3, 6

// continuationPause is the time after which callers lose their connections to the next router while engines go on at the wrong event.
const continuationPause = 250 * time.Millisecond

// event is an event of a stream. id is empty if it has none.
type event struct{ id, data string }

// parseEvents splits a stream into its events and what follows the last whole one.
func parseEvents(stream string) (events []event, rest string) {
	blocks := strings.Split(stream, "\n\n")
	for _, block := range blocks[:len(blocks)-1] {
		var e event
		for line := range strings.SplitSeq(block, "\n") {
			name, value, _ := strings.Cut(line, ": ")
			switch name {
			case "id":
				e.id = value
			case "data":
				e.data = value
			}
		}
		events = append(events, e)
	}
	return events, blocks[len(blocks)-1]
}

// checkOrder checks, over all tries of their callers, that the events of streams come in order, none of them missing and none twice, and
// that a stream that looks complete has its last event. It counts the streams of which several tries brought events.
func (s *soakRun) checkOrder() {
	tries := map[string][]*request{}
	for _, q := range s.requests {
		if q.metered && q.headStatus == http.StatusOK {
			first := q.origin().id
			tries[first] = append(tries[first], q)
		}
	}
	events := 0
	for _, all := range tries {
		slices.SortFunc(all, func(a, b *request) int { return a.sentAt.Compare(b.sentAt) })
		brought, last := 0, 0
		for _, q := range all {
			received, rest := parseEvents(q.stream)
			if len(received) > 0 {
				brought++
			}
			events += len(received)
			if fault := q.orderFault(received, rest, last, s.events); fault != "" {
				s.reportViolation(promiseOrder, "%s, in try %d of the stream that %s began: %s", fault, 1+slices.Index(all, q), all[0].id, q)
				break
			}
			last += len(received)
		}
		if brought > 1 {
			s.continued++
		}
	}
	s.logf("%d events of %d streams were checked for their order, %d of these streams over several tries", events, len(tries), s.continued)
}

// orderFault returns what is wrong with a try that brought events to a caller that had those up to last, or an empty string. A whole
// stream has the given number of events. rest is what followed the last whole event.
func (q *request) orderFault(received []event, rest string, last, events int) string {
	for _, e := range received {
		want := event{id: strconv.Itoa(last + 1), data: fmt.Sprintf("piece %d of %s", last+1, q.id)}
		if e != want || last == events {
			return fmt.Sprintf("event %q (%.60q) came after event %d", e.id, e.data, last)
		}
		last++
	}
	if q.isComplete && (last != events || rest != "") {
		return fmt.Sprintf("the stream ended as complete after event %d of %d and %.60q", last, events, rest)
	}
	return ""
}

// engines returns the numbers of the slots of engines, which stream.
func engines() (slots []int) {
	for i, pool := range pools {
		if pool == "engine" {
			slots = append(slots, i)
		}
	}
	return slots
}

// endInStream makes some of the next streams of an engine end with their connections, and ends the engine in the middle of one.
func (s *soakRun) endInStream(e faultEvent) {
	slots := engines()
	e.target = slots[e.target%len(slots)]
	server, _ := s.targetServer(e)
	faults := slices.Repeat([]emulator.OpaqueFault{emulator.OpaqueUnframed}, e.scaled(maxUnframed))
	// The last event of a resumed stream alone does not end the server.
	server.InjectFaults(append(faults, emulator.OpaqueUnframedEnded, emulator.OpaqueUnframedEnded)...)
}

// continueWrongly returns a fault in which some of the engines go on at the wrong event when they resume streams. One of them breaks
// answers off, and callers lose their connections to one router after the other.
func continueWrongly(f emulator.OpaqueFault) func(s *soakRun, e faultEvent) {
	return func(s *soakRun, e faultEvent) {
		slots := engines()
		first := e.target % len(slots)
		var affected []*emulator.OpaqueServer
		s.mu.Lock()
		for i := range e.scaled(len(slots) - 1) {
			affected = append(affected, s.servers[slots[(first+i)%len(slots)]])
		}
		s.mu.Unlock()
		for _, server := range affected {
			s.logf("%s: %s", server.ID, f)
			server.SetContinuation(f)
			defer server.SetContinuation(emulator.OpaqueNoFault)
		}
		affected[0].InjectFaults(slices.Repeat([]emulator.OpaqueFault{emulator.OpaqueTruncated}, maxContinuationCuts)...)
		for i := range s.processes {
			defer s.beginDisturbance(e.kind, routerTarget(i), 0)()
			defer s.beginDisturbance(e.kind, callerLinkTarget(i), 0)()
		}
		until := time.Now().Add(e.duration)
		for i := e.target; time.Now().Before(until); i++ {
			time.Sleep(continuationPause)
			s.processes[i%s.Routers].proxies[callerProxy].reset()
		}
	}
}
