package emulator

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/masticway/masticway/inspector"
)

// signaturePrefix is the prefix of a server's signature. The server's ID follows it.
const signaturePrefix = "signed-by-"

// OpaqueRun is one request that a server has started to run.
type OpaqueRun struct {
	// ID is the ID of the request, and Server that of the server. LastEvent is the ID of the last event that the caller
	// already has. It is empty if the request resumes no answer.
	ID, Server, Workspace, LastEvent, Path string
	// TimeLeft is the time that the request grants the server to answer.
	TimeLeft time.Duration
	// HasKey is set if the request carries an API key, which routers must remove.
	HasKey bool
	Body   string
	// Prompt is the list of the parts of the prompt, as the request declares it.
	Prompt string
	// HeadAt is when the head of the request had arrived, for the kernel, and StartedAt when it started to run the request. Fault is the
	// fault that was injected for it.
	HeadAt    time.Time
	StartedAt time.Time
	Fault     OpaqueFault
	// EndedAt is when the server ceased to work on the request. It is zero while the server does.
	EndedAt time.Time
	// Reservation is the reservation with which the request came, if any (see OpaqueServer.Reservations).
	Reservation string
	// CallerDisconnected is set if an event of a stream could not be written because the connection had ended. Under
	// OpaqueHang it is set when the connection ends.
	CallerDisconnected bool
}

// OpaqueRunLog records the requests that servers have started to run. Several servers can share it, and it outlives them.
type OpaqueRunLog struct {
	mu   sync.Mutex
	runs []OpaqueRun
}

// Runs returns the recorded requests in the order of their starts.
func (l *OpaqueRunLog) Runs() []OpaqueRun {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]OpaqueRun(nil), l.runs...)
}

// IsRunning reports whether a server works on a request.
func (l *OpaqueRunLog) IsRunning(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.runs, func(r OpaqueRun) bool { return r.ID == id && r.EndedAt.IsZero() })
}

// add appends a run and returns its index.
func (l *OpaqueRunLog) add(r OpaqueRun) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
	return len(l.runs) - 1
}

// markEnded records that a server has ceased to work on a request.
func (l *OpaqueRunLog) markEnded(i int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[i].EndedAt = time.Now()
}

func (l *OpaqueRunLog) markDisconnected(i int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[i].CallerDisconnected = true
}

// OpaqueArrival is a request that has reached a server, which may have rejected it.
type OpaqueArrival struct {
	ID, Path string
	// ReceivedAt is when the last byte of the request arrived, for the kernel.
	ReceivedAt time.Time
	// RetryAfter is the Retry-After value, in seconds, in the rejection of the request. It is empty if there was none.
	RetryAfter string
}

// OpaqueServer emulates a server of the users. It implements their protocol and injects faults of type OpaqueFault. Routers
// cannot look into such a server: they see only its row and its answers.
type OpaqueServer struct {
	ID string
	// Version is the software version in the server's registration. It must be set before the server is registered.
	Version  string
	runLog   *OpaqueRunLog
	listener net.Listener

	mu sync.Mutex
	// faults holds the faults of the next requests, one for each.
	faults []OpaqueFault
	// events is the number of events in a stream. pause is the time before each event.
	events int
	pause  time.Duration
	// echo makes answers repeat the request. Plain answers are then sent after workTime.
	echo     bool
	workTime time.Duration
	conns    map[net.Conn]bool
	// lateCopies is what SendLateCopies sets. owedCopies holds the refusals whose copies have not been sent, by connection.
	lateCopies LateCopies
	owedCopies map[net.Conn]string
	// A request crashes the server if its body contains crashText, or if one of crashParts is a part of its prompt, except the last
	// one. onCrash is called before the server closes.
	crashText  string
	crashParts []string
	onCrash    func(s *OpaqueServer)
	// rateLimit is the Server-Limit header of answers. draining adds the Server-Leaving header to them. Answers with status 421
	// have neither header, nor do those that a fault sends for another request.
	rateLimit string
	draining  bool
	// retryAfter is the Retry-After header of rejections, in seconds.
	retryAfter string
	// continuation is the fault of requests that resume a stream and have no other fault.
	continuation OpaqueFault
	// closeNotice is how the server notices that a caller has closed a connection, and stall how long it works before an answer with
	// OpaqueStall.
	closeNotice CloseNotice
	stall       time.Duration
	// reservations counts the requests for which the server reserved capacity.
	reservations int
	// onArrival is called with the ID of each request that arrives, before anything else is done for it.
	onArrival func(id string)
	arrivals  []OpaqueArrival
	// excesses holds the times at which more than maxConns connections were open after a new one; zero means no limit.
	maxConns int
	excesses []OpaqueExcess
}

// OpaqueExcess is a time at which a server had more open connections than its limit (see RecordExcesses).
type OpaqueExcess struct {
	At   time.Time
	Open int
}

// StartOpaqueServer starts a server on a loopback port.
func StartOpaqueServer(id string, runLog *OpaqueRunLog) (*OpaqueServer, error) {
	return StartOpaqueServerAt("127.0.0.1:0", id, runLog)
}

// StartOpaqueServerAt starts a server on an address, such as the address of a server that has closed.
func StartOpaqueServerAt(address, id string, runLog *OpaqueRunLog) (*OpaqueServer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listening for %s: %w", id, err)
	}
	s := &OpaqueServer{ID: id, runLog: runLog, listener: listener, events: 5, pause: time.Millisecond, conns: map[net.Conn]bool{}, owedCopies: map[net.Conn]string{}}
	go s.accept()
	return s, nil
}

// Address returns the address on which the server listens.
func (s *OpaqueServer) Address() string { return s.listener.Addr().String() }

// InjectFaults replaces the faults of the next requests, one for each. Requests after these have no fault. A request that
// crashes the server (see CrashOn) takes no fault from the list.
func (s *OpaqueServer) InjectFaults(faults ...OpaqueFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// SetStream sets the number of events in a stream and the pause before each event.
func (s *OpaqueServer) SetStream(events int, pause time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events, s.pause = events, pause
}

// CrashOn makes every request with text in its body crash the server. onCrash is called only for the first crash. It runs
// before any connection is closed, so before a caller can notice the crash.
func (s *OpaqueServer) CrashOn(text string, onCrash func(s *OpaqueServer)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashText, s.onCrash = text, onCrash
}

// CrashOnParts makes every request crash the server whose prompt has one of the given parts, except as its last part. onCrash is
// called as by CrashOn.
func (s *OpaqueServer) CrashOnParts(onCrash func(s *OpaqueServer), parts ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashParts, s.onCrash = parts, onCrash
}

// isDeadly reports whether a request crashes the server. prompt is the list of the parts of its prompt. The caller must hold the
// lock.
func (s *OpaqueServer) isDeadly(body, prompt string) bool {
	if s.crashText != "" && strings.Contains(body, s.crashText) {
		return true
	}
	entries := strings.Split(prompt, ",")
	return slices.ContainsFunc(entries[:len(entries)-1], func(entry string) bool {
		id, _, _ := strings.Cut(strings.TrimSpace(entry), ":")
		return slices.Contains(s.crashParts, id)
	})
}

// crash calls onCrash if it has not been called, and closes the server.
func (s *OpaqueServer) crash() {
	s.mu.Lock()
	crashed := s.onCrash
	s.onCrash = nil
	s.mu.Unlock()
	if crashed != nil {
		crashed(s)
	}
	s.Close()
}

// EnableEcho makes answers repeat parts of the request, so that a caller can detect the answer to another request. Plain
// answers repeat the request's ID and body, and are sent after workTime. Events of streams repeat the ID.
func (s *OpaqueServer) EnableEcho(workTime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.echo, s.workTime = true, workTime
}

func (s *OpaqueServer) echoSettings() (bool, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.echo, s.workTime
}

// SetRateLimit sets the Server-Limit header of answers, in requests per second. An empty string removes it. Answers with
// status 421 do not carry it, nor do those that a fault sends for another request.
func (s *OpaqueServer) SetRateLimit(perSecond string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rateLimit = perSecond
}

// SetRetryAfter sets the Retry-After header of rejections, in seconds. An empty string removes it.
func (s *OpaqueServer) SetRetryAfter(seconds string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryAfter = seconds
}

// SetContinuation sets the fault of all requests that resume a stream and have no other fault.
func (s *OpaqueServer) SetContinuation(fault OpaqueFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.continuation = fault
}

// rejectionHeader returns the status line and headers of an answer that rejects a request without running it. status is the code and
// its text.
func (s *OpaqueServer) rejectionHeader(status string) string {
	header := "HTTP/1.1 " + status + "\r\nX-Not-Executed: 1\r\n" + s.serverHeader()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retryAfter != "" {
		header += "Retry-After: " + s.retryAfter + "\r\n"
	}
	return header
}

// StartDraining adds the Server-Leaving header to answers until StopDraining is called. The server continues to run
// requests. Answers with status 421 do not carry the header, nor do those that a fault sends for another request.
func (s *OpaqueServer) StartDraining() { s.setDraining(true) }

// StopDraining removes the Server-Leaving header from answers, as after a restart of the server.
func (s *OpaqueServer) StopDraining() { s.setDraining(false) }

func (s *OpaqueServer) setDraining(draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = draining
}

// RecordExcesses makes the server record when more than a number of connections are open. It still accepts them.
func (s *OpaqueServer) RecordExcesses(maxConns int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxConns = maxConns
}

// Excesses returns the recorded excesses in the order of time.
func (s *OpaqueServer) Excesses() []OpaqueExcess {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]OpaqueExcess(nil), s.excesses...)
}

// Arrivals returns all requests that have reached the server, rejected ones included, in the order of arrival.
func (s *OpaqueServer) Arrivals() []OpaqueArrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]OpaqueArrival(nil), s.arrivals...)
}

// serverHeader returns the header lines of an answer that describe the server's state.
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

// Close closes the server and its connections.
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
		if s.maxConns > 0 && len(s.conns) > s.maxConns {
			s.excesses = append(s.excesses, OpaqueExcess{At: time.Now(), Open: len(s.conns)})
		}
		s.mu.Unlock()
		go s.serveConn(c)
	}
}

func (s *OpaqueServer) serveConn(c net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		delete(s.owedCopies, c)
		s.mu.Unlock()
		_ = c.Close()
	}()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		headAt := arrivedAt(c)
		body, err := io.ReadAll(r.Body)
		if err != nil || !s.serveRequest(c, r, headAt, string(body)) {
			return
		}
	}
}

// arrivedAt returns when the last data on a connection arrived, for the kernel. A test process on a busy machine reads it late.
func arrivedAt(c net.Conn) time.Time {
	i, _ := inspector.Inspect(c)
	return time.Now().Add(-i.SinceData)
}

// recordArrival records that a request arrived at a time and takes the request's fault from the list. It returns the fault and the
// current settings for streams.
func (s *OpaqueServer) recordArrival(at time.Time, id, path, lastEvent, body, prompt string) (fault OpaqueFault, events int, pause time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.isDeadly(body, prompt):
		fault = OpaqueCrash
	case len(s.faults) > 0:
		fault = s.faults[0]
		s.faults = s.faults[1:]
	}
	if fault == OpaqueNoFault && lastEvent != "" {
		fault = s.continuation
	}
	arrival := OpaqueArrival{ID: id, Path: path, ReceivedAt: at}
	if fault == OpaqueOverloaded || fault == OpaqueRateLimited {
		arrival.RetryAfter = s.retryAfter
	}
	s.arrivals = append(s.arrivals, arrival)
	return fault, s.events, s.pause
}
