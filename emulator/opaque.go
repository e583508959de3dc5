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
	// OpaqueGood answers as it should.
	OpaqueGood OpaqueFault = ""
	// OpaqueFull refuses without running.
	OpaqueFull OpaqueFault = "full"
	// OpaqueOther answers that it is another server, without running.
	OpaqueOther OpaqueFault = "other"
	// OpaqueError runs and fails with a 500 of its own.
	OpaqueError OpaqueFault = "error"
	// OpaqueReset runs and resets the connection without an answer.
	OpaqueReset OpaqueFault = "reset"
	// OpaqueCut runs and breaks off in the middle.
	OpaqueCut OpaqueFault = "cut"
	// OpaqueHang runs and never answers.
	OpaqueHang OpaqueFault = "hang"
	// OpaqueForged runs and answers without its signature.
	OpaqueForged OpaqueFault = "forged"
	// OpaqueForeign runs and answers for another request.
	OpaqueForeign OpaqueFault = "foreign"
	// OpaqueExtra runs and sends another request's answer first.
	OpaqueExtra OpaqueFault = "extra"
	// OpaqueCrash ends the server soon after it has begun to run the request, and with it all else that it runs.
	OpaqueCrash OpaqueFault = "crash"
)

// crashDelay is how long a server lasts once it runs a request that crashes it.
const crashDelay = 20 * time.Millisecond

// OpaqueRun is one request that a server has run.
type OpaqueRun struct {
	ID, Server, Workspace, LastEvent, Path string
	TimeLeft                               time.Duration
	Key                                    bool
	Body                                   string
	// At is when the server began to work on it, Fault how it treated it.
	At    time.Time
	Fault OpaqueFault
	// Left tells that the caller's connection ended before the answer was whole.
	Left bool
}

// OpaqueLedger counts what all servers ran, over their lives.
type OpaqueLedger struct {
	mu   sync.Mutex
	runs []OpaqueRun
}

// Runs returns what was run, in order.
func (l *OpaqueLedger) Runs() []OpaqueRun {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]OpaqueRun(nil), l.runs...)
}

func (l *OpaqueLedger) add(r OpaqueRun) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
	return len(l.runs) - 1
}

func (l *OpaqueLedger) markDisconnected(i int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[i].Left = true
}

// OpaqueArrival is a request that has reached a server, which may have turned it away.
type OpaqueArrival struct {
	ID string
	At time.Time
	// Rest is the time of rest that the server asked for when it turned the request away, in seconds as text.
	Rest string
}

// OpaqueServer speaks the protocol of the users' servers, with every fault that they show.
type OpaqueServer struct {
	ID       string
	runLog   *OpaqueLedger
	listener net.Listener

	mu     sync.Mutex
	faults []OpaqueFault
	// Events is the number of events of a stream, Pause what separates them.
	events int
	pause  time.Duration
	// echo makes answers repeat the request, after the time that the work takes.
	echo     bool
	workTime time.Duration
	conns    map[net.Conn]bool
	// crashText is what bodies contain that crash the server, crashed is called as it ends.
	crashText string
	onCrash   func(s *OpaqueServer)
	// rateLimit is the limit that all answers name, leaving that they tell that the server leaves.
	rateLimit string
	draining  bool
	// retryAfter is what a request that is turned away is told as the time to rest, in seconds.
	retryAfter string
	arrivals   []OpaqueArrival
}

// StartOpaqueServer starts a server on a loopback port.
func StartOpaqueServer(id string, runLog *OpaqueLedger) (*OpaqueServer, error) {
	return StartOpaqueServerAt("127.0.0.1:0", id, runLog)
}

// StartOpaqueServerAt starts a server on an address, such as that of one that has ended.
func StartOpaqueServerAt(address, id string, runLog *OpaqueLedger) (*OpaqueServer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listening for %s: %w", id, err)
	}
	s := &OpaqueServer{ID: id, runLog: runLog, listener: listener, events: 5, pause: time.Millisecond, conns: map[net.Conn]bool{}}
	go s.accept()
	return s, nil
}

// Address is where the server listens.
func (s *OpaqueServer) Address() string { return s.listener.Addr().String() }

// Fail sets how the next requests are treated, one entry each; after them all is well.
func (s *OpaqueServer) Fail(faults ...OpaqueFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Stream sets how streams are answered.
func (s *OpaqueServer) Stream(events int, pause time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events, s.pause = events, pause
}

// CrashOn makes every request whose body contains a text crash the server; crashed is called as it ends, before any caller
// can know.
func (s *OpaqueServer) CrashOn(text string, onCrash func(s *OpaqueServer)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashText, s.onCrash = text, onCrash
}

// crash ends the server for a request that crashes it.
func (s *OpaqueServer) crash() {
	time.Sleep(crashDelay)
	s.mu.Lock()
	crashed := s.onCrash
	s.onCrash = nil
	s.mu.Unlock()
	if crashed != nil {
		crashed(s)
	}
	s.Close()
}

// Echo makes plain answers repeat the request's id and body, after the time that the work takes, and events repeat its id,
// so that an answer which is not the request's own shows in its body.
func (s *OpaqueServer) Echo(workTime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.echo, s.workTime = true, workTime
}

func (s *OpaqueServer) echoSettings() (bool, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.echo, s.workTime
}

// Limit makes all answers name a limit, in requests a second as text; an empty text ends it.
func (s *OpaqueServer) Limit(perSecond string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rateLimit = perSecond
}

// Rest makes the answers that turn requests away ask for a time of rest, in seconds as text; an empty text ends it.
func (s *OpaqueServer) Rest(seconds string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryAfter = seconds
}

// rejectionHeader returns the head of an answer to a request that is not run.
func (s *OpaqueServer) rejectionHeader() string {
	header := "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n" + s.serverHeader()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retryAfter != "" {
		header += "Retry-After: " + s.retryAfter + "\r\n"
	}
	return header
}

// Leave makes all answers tell that the server leaves, until it stays after all, as one that has started again does.
func (s *OpaqueServer) Leave() { s.setDraining(true) }

// Stay ends that.
func (s *OpaqueServer) Stay() { s.setDraining(false) }

func (s *OpaqueServer) setDraining(draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = draining
}

// Arrivals returns the requests that have reached the server, in order.
func (s *OpaqueServer) Arrivals() []OpaqueArrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]OpaqueArrival(nil), s.arrivals...)
}

// serverHeader returns what an answer tells of the server itself, as header lines.
func (s *OpaqueServer) serverHeader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	lines := ""
	if s.rateLimit != "" {
		lines += "Server-Limit: " + s.rateLimit + "\r\n"
	}
	if s.draining {
		lines += "Server-Leaving: 1\r\n"
	}
	return lines
}

// Close ends the server and its connections.
func (s *OpaqueServer) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *OpaqueServer) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serveConn(c)
	}
}

func (s *OpaqueServer) serveConn(c net.Conn) {
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
		if err != nil || !s.serveRequest(c, r, string(body)) {
			return
		}
	}
}

func (s *OpaqueServer) recordArrival(id, body string) (fault OpaqueFault, events int, pause time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.crashText != "" && strings.Contains(body, s.crashText):
		fault = OpaqueCrash
	case len(s.faults) > 0:
		fault = s.faults[0]
		s.faults = s.faults[1:]
	}
	arrival := OpaqueArrival{ID: id, At: time.Now()}
	if fault == OpaqueFull {
		arrival.Rest = s.retryAfter
	}
	s.arrivals = append(s.arrivals, arrival)
	return fault, s.events, s.pause
}

// serveRequest serves one request and tells whether the connection goes on.
func (s *OpaqueServer) serveRequest(c net.Conn, r *http.Request, body string) bool {
	id := r.Header.Get("X-Attempt-Id")
	fault, events, pause := s.recordArrival(id, body)
	switch {
	case fault == OpaqueFull:
		return s.write(c, s.rejectionHeader()+"Content-Length: 0\r\n\r\n")
	case fault == OpaqueOther || r.Header.Get("X-Expect-Instance") != s.ID:
		return s.write(c, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: "+s.ID+"\r\nContent-Length: 0\r\n\r\n")
	}
	timeLeft, _ := strconv.ParseInt(r.Header.Get("X-Deadline-Ms"), 10, 64)
	run := s.runLog.add(OpaqueRun{
		ID: id, Server: s.ID, Workspace: r.Header.Get("X-Tenant"), LastEvent: r.Header.Get("Last-Event-Id"), Path: r.RequestURI,
		TimeLeft: time.Duration(timeLeft) * time.Millisecond, Key: r.Header.Get("Authorization") != "", Body: body,
		At: time.Now(), Fault: fault,
	})
	header := "X-Attempt-Id: " + id + "\r\nX-Server-Signature: " + signaturePrefix + s.ID + "\r\n" + s.serverHeader()
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
		s.runLog.markDisconnected(run)
		return false
	case OpaqueError:
		return s.write(c, "HTTP/1.1 500 Internal Server Error\r\n"+header+"Content-Length: 4\r\n\r\noops")
	case OpaqueForged:
		return s.write(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: "+id+"\r\n"+s.serverHeader()+"Content-Length: 4\r\n\r\nfake")
	case OpaqueForeign, OpaqueExtra:
		s.write(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: another\r\nX-Server-Signature: s\r\nContent-Length: 7\r\n\r\nforeign")
		if fault == OpaqueForeign {
			return false
		}
	}
	if r.Header.Get("X-Token-Count") != "" {
		return s.streamEvents(c, run, id, header, r.Header.Get("Last-Event-Id"), events, pause, fault == OpaqueCut)
	}
	if fault == OpaqueCut {
		s.write(c, "HTTP/1.1 200 OK\r\n"+header+"Content-Length: 100\r\n\r\nhalf")
		return false
	}
	text := "ok"
	if echo, workTime := s.echoSettings(); echo {
		time.Sleep(workTime)
		text = "ok " + id + " " + body
	}
	return s.write(c, fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", header, len(text), text))
}

// streamEvents sends events after the last one that the caller has; a cut one ends in the middle of an event.
func (s *OpaqueServer) streamEvents(c net.Conn, run int, id, header, lastEvent string, events int, pause time.Duration, cut bool) bool {
	if !s.write(c, "HTTP/1.1 200 OK\r\n"+header+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n") {
		return false
	}
	suffix := ""
	if echo, _ := s.echoSettings(); echo {
		suffix = " of " + id
	}
	received, _ := strconv.Atoi(lastEvent)
	for i := received + 1; i <= events; i++ {
		time.Sleep(pause)
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
