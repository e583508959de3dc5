package emulator

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// The statuses of refusals: of a server without capacity, of one beyond its rate limit, and of one that the request is not meant for.
const (
	statusOverloaded  = "503 Service Unavailable"
	statusRateLimited = "429 Too Many Requests"
	statusMisdirected = "421 Misdirected Request"
)

// serveRequest serves one request, whose head arrived at headAt. It returns whether the connection stays open.
func (s *OpaqueServer) serveRequest(c net.Conn, r *http.Request, headAt time.Time, body string) bool {
	id := r.Header.Get("X-Attempt-Id")
	s.reportArrival(id)
	if r.URL.Path == reservationPath {
		return s.reserve(c)
	}
	fault, events, pause := s.recordArrival(arrivedAt(c), id, r.RequestURI, r.Header.Get("Last-Event-Id"), body, r.Header.Get("X-Prefix-Hash"))
	named := "X-Attempt-Id: " + id + "\r\n"
	switch {
	case fault == OpaqueOverloaded:
		return s.refuse(c, s.rejectionHeader(statusOverloaded)+named+"Content-Length: 0\r\n\r\n")
	case fault == OpaqueRateLimited:
		return s.refuse(c, s.rejectionHeader(statusRateLimited)+named+"Content-Length: 0\r\n\r\n")
	case fault == OpaqueAnonymousRejection:
		return s.refuse(c, s.rejectionHeader(statusOverloaded)+"Content-Length: 0\r\n\r\n")
	case fault == OpaqueWrongServer || r.Header.Get("X-Expect-Instance") != s.ID:
		return s.refuse(c, "HTTP/1.1 "+statusMisdirected+"\r\nX-Instance-Id: "+s.ID+"\r\n"+named+"Content-Length: 0\r\n\r\n")
	}
	timeLeft, _ := strconv.ParseInt(r.Header.Get("X-Deadline-Ms"), 10, 64)
	run := s.runLog.add(OpaqueRun{
		ID: id, Server: s.ID, Workspace: r.Header.Get("X-Tenant"), LastEvent: r.Header.Get("Last-Event-Id"), Path: r.RequestURI,
		TimeLeft: time.Duration(timeLeft) * time.Millisecond, HasKey: r.Header.Get("Authorization") != "", Body: body, Prompt: r.Header.Get("X-Prefix-Hash"),
		HeadAt: headAt, StartedAt: time.Now(), Fault: fault, Reservation: r.Header.Get("X-Kv-Hold"),
	})
	defer s.runLog.markEnded(run)
	s.sendLateCopies(c)
	header := named + "X-Server-Signature: " + signaturePrefix + s.ID + "\r\n" + s.serverHeader()
	switch fault {
	case OpaqueCrash:
		time.Sleep(crashDelay)
		s.crash()
		return false
	case OpaqueReset:
		resetOnClose(c)
		return false
	case OpaqueHang:
		s.awaitClose(c)
		s.runLog.markDisconnected(run)
		return false
	case OpaqueStall:
		if !s.work(c, s.stallTime()) {
			s.runLog.markDisconnected(run)
			return false
		}
	case OpaqueStrayRejection:
		s.write(c, s.rejectionHeader(statusOverloaded)+"Content-Length: 0\r\n\r\n")
	case OpaqueError:
		return s.write(c, "HTTP/1.1 500 Internal Server Error\r\n"+header+"Content-Length: 4\r\n\r\noops")
	case OpaqueStatusZero:
		const inner = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ninner"
		s.write(c, fmt.Sprintf("HTTP/1.1 000 Trouble\r\n%sContent-Length: %d\r\n\r\n%s", header, len(inner), inner))
		return false
	case OpaqueBlankInName:
		s.write(c, "HTTP/1.1 200 OK\r\n"+header+"Content-Length : 2\r\n\r\nok and more")
		return false
	case OpaqueTwoFramings:
		s.write(c, "HTTP/1.1 200 OK\r\n"+header+"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n")
		return false
	case OpaqueUnsigned:
		return s.write(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: "+id+"\r\n"+s.serverHeader()+"Content-Length: 4\r\n\r\nfake")
	case OpaqueWrongRequest, OpaqueStrayAnswer:
		s.write(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: another\r\nX-Server-Signature: s\r\nContent-Length: 7\r\n\r\nforeign")
		if fault == OpaqueWrongRequest {
			return false
		}
	}
	if fault == OpaqueUnframed || fault == OpaqueUnframedTruncated || fault == OpaqueUnframedEnded {
		s.answerUnframed(c, run, r, header, body, events, pause, fault)
		return false
	}
	if r.Header.Get("X-Token-Count") != "" {
		received := fault.received(r.Header.Get("Last-Event-Id"), events)
		return s.streamEvents(c, run, id, header, received, events, pause, fault == OpaqueTruncated)
	}
	if fault == OpaqueTruncated {
		s.write(c, "HTTP/1.1 200 OK\r\n"+header+"Content-Length: 100\r\n\r\nhalf")
		return false
	}
	text, ok := s.workOn(c, run, id, body)
	return ok && s.write(c, fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", header, len(text), text))
}

// answerUnframed sends an answer that ends with its connection, which the caller must close. The fault tells how the answer ends.
func (s *OpaqueServer) answerUnframed(c net.Conn, run int, r *http.Request, header, body string, events int, pause time.Duration, fault OpaqueFault) {
	id := r.Header.Get("X-Attempt-Id")
	if r.Header.Get("X-Token-Count") == "" {
		text, ok := s.workOn(c, run, id, body)
		if !ok {
			return
		}
		s.write(c, "HTTP/1.1 200 OK\r\n"+header+"Connection: close\r\n\r\n"+text)
		switch fault {
		case OpaqueUnframedTruncated:
			resetOnClose(c)
		case OpaqueUnframedEnded:
			s.crash()
		}
		return
	}
	s.write(c, "HTTP/1.1 200 OK\r\n"+header+"Content-Type: text/event-stream\r\nConnection: close\r\n\r\n")
	suffix := s.eventSuffix(id)
	received := fault.received(r.Header.Get("Last-Event-Id"), events)
	last := received + (events-received+1)/2
	for i := received + 1; i <= events; i++ {
		if !s.work(c, pause) {
			s.runLog.markDisconnected(run)
			return
		}
		event := fmt.Sprintf("id: %d\ndata: piece %d%s\n\n", i, i, suffix)
		switch {
		case fault == OpaqueUnframedTruncated && i > last:
			s.write(c, event[:len(event)/2])
			return
		case fault == OpaqueUnframedEnded && i > last:
			s.crash()
			return
		}
		if !s.write(c, event) {
			s.runLog.markDisconnected(run)
			return
		}
	}
}

// workOn works for the time of a plain answer and returns its text, or false if the caller has closed the connection meanwhile.
func (s *OpaqueServer) workOn(c net.Conn, run int, id, body string) (text string, ok bool) {
	echo, workTime := s.echoSettings()
	if !echo {
		return "ok", true
	}
	if !s.work(c, workTime) {
		s.runLog.markDisconnected(run)
		return "", false
	}
	return "ok " + id + " " + body, true
}

// eventSuffix returns the end of the data of each event of a stream.
func (s *OpaqueServer) eventSuffix(id string) string {
	if echo, _ := s.echoSettings(); echo {
		return " of " + id
	}
	return ""
}

// streamEvents sends the events after the number received, which is that of the last event that the caller has. If cut is set and
// more than one event is left, the stream ends in the middle of an event. It returns whether the connection stays open.
func (s *OpaqueServer) streamEvents(c net.Conn, run int, id, header string, received, events int, pause time.Duration, cut bool) bool {
	if !s.write(c, "HTTP/1.1 200 OK\r\n"+header+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n") {
		return false
	}
	suffix := s.eventSuffix(id)
	for i := received + 1; i <= events; i++ {
		if !s.work(c, pause) {
			s.runLog.markDisconnected(run)
			return false
		}
		event := fmt.Sprintf("id: %d\ndata: piece %d%s\n\n", i, i, suffix)
		if cut && i == received+(events-received+1)/2+1 {
			event = event[:len(event)/2]
			s.write(c, fmt.Sprintf("%x\r\n%s\r\n", len(event), event))
			return false
		}
		if !s.write(c, fmt.Sprintf("%x\r\n%s\r\n", len(event), event)) {
			s.runLog.markDisconnected(run)
			return false
		}
	}
	return s.write(c, "0\r\n\r\n")
}

func (s *OpaqueServer) write(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}
