package emulator

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// signaturePrefix stands before a server's id in its signature.
const signaturePrefix = "signed-by-"

// OpaqueFault is how an opaque server treats a request.
type OpaqueFault string

// The faults of an opaque server; the last word of each says what was run.
const (
	// OpaqueNoFault answers as it should.
	OpaqueNoFault OpaqueFault = ""
	// OpaqueOverloaded refuses without running.
	OpaqueOverloaded OpaqueFault = "full"
	// OpaqueWrongServer answers that it is another server, without running.
	OpaqueWrongServer OpaqueFault = "other"
	// OpaqueError runs and fails with a 500 of its own.
	OpaqueError OpaqueFault = "error"
	// OpaqueReset runs and resets the connection without an answer.
	OpaqueReset OpaqueFault = "reset"
	// OpaqueTruncated runs and breaks off in the middle.
	OpaqueTruncated OpaqueFault = "cut"
	// OpaqueHang runs and never answers.
	OpaqueHang OpaqueFault = "hang"
	// OpaqueUnsigned runs and answers without its signature.
	OpaqueUnsigned OpaqueFault = "forged"
	// OpaqueWrongRequest runs and answers for another request.
	OpaqueWrongRequest OpaqueFault = "foreign"
	// OpaqueStrayAnswer runs and sends another request's answer first.
	OpaqueStrayAnswer OpaqueFault = "extra"
	// OpaqueCrash ends the server soon after it has begun to run the request, and with it all else that it runs.
	OpaqueCrash OpaqueFault = "crash"
)

// crashDelay is how long a server lasts once it runs a request that crashes it.
const crashDelay = 20 * time.Millisecond

// OpaqueRun is one request that a server has run.
type OpaqueRun struct {
	ID, Server, Workspace, LastEvent, Path string
	TimeLeft                               time.Duration
	HasKey                                 bool
	Body                                   string
	// StartedAt is when the server began to work on it, Fault how it treated it.
	StartedAt time.Time
	Fault     OpaqueFault
	// CallerDisconnected tells that the caller's connection ended before the answer was whole.
	CallerDisconnected bool
}

// OpaqueRunLog counts what all servers ran, over their lives.
type OpaqueRunLog struct {
	mu   sync.Mutex
	runs []OpaqueRun
}

// Runs returns what was run, in order.
func (l *OpaqueRunLog) Runs() []OpaqueRun {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]OpaqueRun(nil), l.runs...)
}

func (l *OpaqueRunLog) add(r OpaqueRun) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
	return len(l.runs) - 1
}

func (l *OpaqueRunLog) left(i int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[i].CallerDisconnected = true
}

// OpaqueArrival is a request that has reached a server, which may have turned it away.
type OpaqueArrival struct {
	ID         string
	ReceivedAt time.Time
	// RetryAfter is the time of rest that the server asked for when it turned the request away, in seconds as text.
	RetryAfter string
}

// OpaqueServer speaks the protocol of the users' servers, with every fault that they show.
type OpaqueServer struct {
	ID     string
	ledger *OpaqueRunLog
	l      net.Listener

	mu     sync.Mutex
	faults []OpaqueFault
	// Events is the number of events of a stream, Pause what separates them.
	events int
	pause  time.Duration
	// echo makes answers repeat the request, after the time that the work takes.
	echo  bool
	work  time.Duration
	conns map[net.Conn]bool
	// deadly is what bodies contain that crash the server, crashed is called as it ends.
	deadly  string
	crashed func(s *OpaqueServer)
	// limit is the limit that all answers name, leaving that they tell that the server leaves.
	limit   string
	leaving bool
	// rest is what a request that is turned away is told as the time to rest, in seconds.
	rest     string
	arrivals []OpaqueArrival
}

// StartOpaqueServer starts a server on a loopback port.
func StartOpaqueServer(id string, ledger *OpaqueRunLog) (*OpaqueServer, error) {
	return StartOpaqueServerAt("127.0.0.1:0", id, ledger)
}

// StartOpaqueServerAt starts a server on an address, such as that of one that has ended.
func StartOpaqueServerAt(address, id string, ledger *OpaqueRunLog) (*OpaqueServer, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listening for %s: %w", id, err)
	}
	s := &OpaqueServer{ID: id, ledger: ledger, l: l, events: 5, pause: time.Millisecond, conns: map[net.Conn]bool{}}
	go s.accept()
	return s, nil
}

// Address is where the server listens.
func (s *OpaqueServer) Address() string { return s.l.Addr().String() }

// InjectFaults sets how the next requests are treated, one entry each; after them all is well.
func (s *OpaqueServer) InjectFaults(faults ...OpaqueFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// SetStream sets how streams are answered.
func (s *OpaqueServer) SetStream(events int, pause time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events, s.pause = events, pause
}

// CrashOn makes every request whose body contains a text crash the server; crashed is called as it ends, before any caller
// can know.
func (s *OpaqueServer) CrashOn(text string, crashed func(s *OpaqueServer)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadly, s.crashed = text, crashed
}

// crash ends the server for a request that crashes it.
func (s *OpaqueServer) crash() {
	time.Sleep(crashDelay)
	s.mu.Lock()
	crashed := s.crashed
	s.crashed = nil
	s.mu.Unlock()
	if crashed != nil {
		crashed(s)
	}
	s.Close()
}

// EnableEcho makes plain answers repeat the request's id and body, after the time that the work takes, and events repeat its id,
// so that an answer which is not the request's own shows in its body.
func (s *OpaqueServer) EnableEcho(work time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.echo, s.work = true, work
}

func (s *OpaqueServer) echoes() (bool, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.echo, s.work
}

// SetRateLimit makes all answers name a limit, in requests a second as text; an empty text ends it.
func (s *OpaqueServer) SetRateLimit(perSecond string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = perSecond
}

// SetRetryAfter makes the answers that turn requests away ask for a time of rest, in seconds as text; an empty text ends it.
func (s *OpaqueServer) SetRetryAfter(seconds string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rest = seconds
}

// turnAway returns the head of an answer to a request that is not run.
func (s *OpaqueServer) turnAway() string {
	head := "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n" + s.says()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rest != "" {
		head += "Retry-After: " + s.rest + "\r\n"
	}
	return head
}

// StartDraining makes all answers tell that the server leaves, until it stays after all, as one that has started again does.
func (s *OpaqueServer) StartDraining() { s.setLeaving(true) }

// StopDraining ends that.
func (s *OpaqueServer) StopDraining() { s.setLeaving(false) }

func (s *OpaqueServer) setLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// Arrivals returns the requests that have reached the server, in order.
func (s *OpaqueServer) Arrivals() []OpaqueArrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]OpaqueArrival(nil), s.arrivals...)
}

// says returns what an answer tells of the server itself, as header lines.
func (s *OpaqueServer) says() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	lines := ""
	if s.limit != "" {
		lines += "Server-Limit: " + s.limit + "\r\n"
	}
	if s.leaving {
		lines += "Server-Leaving: 1\r\n"
	}
	return lines
}

// Close ends the server and its connections.
func (s *OpaqueServer) Close() {
	_ = s.l.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *OpaqueServer) accept() {
	for {
		c, err := s.l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.talk(c)
	}
}

func (s *OpaqueServer) talk(c net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		_ = c.Close()
	}()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || !s.answer(c, r, string(body)) {
			return
		}
	}
}

func (s *OpaqueServer) next(id, body string) (fault OpaqueFault, events int, pause time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.deadly != "" && strings.Contains(body, s.deadly):
		fault = OpaqueCrash
	case len(s.faults) > 0:
		fault = s.faults[0]
		s.faults = s.faults[1:]
	}
	arrival := OpaqueArrival{ID: id, ReceivedAt: time.Now()}
	if fault == OpaqueOverloaded {
		arrival.RetryAfter = s.rest
	}
	s.arrivals = append(s.arrivals, arrival)
	return fault, s.events, s.pause
}

// answer serves one request and tells whether the connection goes on.
func (s *OpaqueServer) answer(c net.Conn, r *http.Request, body string) bool {
	id := r.Header.Get("X-Attempt-Id")
	fault, events, pause := s.next(id, body)
	switch {
	case fault == OpaqueOverloaded:
		return s.write(c, s.turnAway()+"Content-Length: 0\r\n\r\n")
	case fault == OpaqueWrongServer || r.Header.Get("X-Expect-Instance") != s.ID:
		return s.write(c, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: "+s.ID+"\r\nContent-Length: 0\r\n\r\n")
	}
	left, _ := strconv.ParseInt(r.Header.Get("X-Deadline-Ms"), 10, 64)
	run := s.ledger.add(OpaqueRun{
		ID: id, Server: s.ID, Workspace: r.Header.Get("X-Tenant"), LastEvent: r.Header.Get("Last-Event-Id"), Path: r.RequestURI,
		TimeLeft: time.Duration(left) * time.Millisecond, HasKey: r.Header.Get("Authorization") != "", Body: body,
		StartedAt: time.Now(), Fault: fault,
	})
	head := "X-Attempt-Id: " + id + "\r\nX-Server-Signature: " + signaturePrefix + s.ID + "\r\n" + s.says()
	switch fault {
	case OpaqueCrash:
		s.crash()
		return false
	case OpaqueReset:
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		return false
	case OpaqueHang:
		// Until the caller leaves.
		_, _ = c.Read(make([]byte, 1))
		s.ledger.left(run)
		return false
	case OpaqueError:
		return s.write(c, "HTTP/1.1 500 Internal Server Error\r\n"+head+"Content-Length: 4\r\n\r\noops")
	case OpaqueUnsigned:
		return s.write(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: "+id+"\r\n"+s.says()+"Content-Length: 4\r\n\r\nfake")
	case OpaqueWrongRequest, OpaqueStrayAnswer:
		s.write(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: another\r\nX-Server-Signature: s\r\nContent-Length: 7\r\n\r\nforeign")
		if fault == OpaqueWrongRequest {
			return false
		}
	}
	if r.Header.Get("X-Token-Count") != "" {
		return s.stream(c, run, id, head, r.Header.Get("Last-Event-Id"), events, pause, fault == OpaqueTruncated)
	}
	if fault == OpaqueTruncated {
		s.write(c, "HTTP/1.1 200 OK\r\n"+head+"Content-Length: 100\r\n\r\nhalf")
		return false
	}
	text := "ok"
	if echo, work := s.echoes(); echo {
		time.Sleep(work)
		text = "ok " + id + " " + body
	}
	return s.write(c, fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(text), text))
}

// stream sends events after the last one that the caller has; a cut one ends in the middle of an event.
func (s *OpaqueServer) stream(c net.Conn, run int, id, head, last string, events int, pause time.Duration, cut bool) bool {
	if !s.write(c, "HTTP/1.1 200 OK\r\n"+head+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n") {
		return false
	}
	suffix := ""
	if echo, _ := s.echoes(); echo {
		suffix = " of " + id
	}
	first, _ := strconv.Atoi(last)
	for i := first + 1; i <= events; i++ {
		time.Sleep(pause)
		event := fmt.Sprintf("id: %d\ndata: piece %d%s\n\n", i, i, suffix)
		if cut && i == first+(events-first+1)/2+1 {
			event = event[:len(event)/2]
			s.write(c, fmt.Sprintf("%x\r\n%s\r\n", len(event), event))
			return false
		}
		if !s.write(c, fmt.Sprintf("%x\r\n%s\r\n", len(event), event)) {
			s.ledger.left(run)
			return false
		}
	}
	return s.write(c, "0\r\n\r\n")
}

func (s *OpaqueServer) write(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}
