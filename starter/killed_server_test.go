package starter_test

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/forwarder"
	"github.com/masticway/masticway/sender"
	"github.com/masticway/masticway/starter"
)

// serverVariable and routerVariable are set in processes of the test binary that act as a server or as a router. They hold its settings.
const (
	serverVariable = "STARTER_TEST_SERVER"
	routerVariable = "STARTER_TEST_ROUTER"
)

const (
	// processEvents is the number of events in a stream of a server process, and callersOfProcess the number of callers.
	processEvents    = 10
	callersOfProcess = 16
	// maxProcessCallerTime is how long a caller goes on after requests that were refused or broke off.
	maxProcessCallerTime = 8 * time.Second
	// minHalted is the number of streams that a server process must have when it is killed.
	minHalted = 3
	// listenerCopy is a descriptor above those of a server's connections.
	listenerCopy = 200
)

// haltPoint is where a server process stops in each stream, so that it can be killed there.
type haltPoint string

const (
	haltNowhere       haltPoint = "at any moment"
	haltBeforeFirst   haltPoint = "before the first event"
	haltBetweenEvents haltPoint = "between two events"
	haltInsideEvent   haltPoint = "inside an event"
	haltAfterLast     haltPoint = "after the last event"
)

// serverSettings are the settings of a server process.
type serverSettings struct {
	ID      string
	Framing sender.Framing
	Halt    haltPoint
	Pause   time.Duration
	// LeavesBodies is set if the server doesn't read the bodies of requests, so that the kernel resets its connections.
	LeavesBodies bool
	// ListensLonger is set if the kernel closes the connections before the listener.
	ListensLonger bool
}

// serverProcess is what runs in a server process.
type serverProcess struct {
	serverSettings
	mu sync.Mutex
	// streams is the number of streams that have begun.
	streams int
}

// serveUntilKilled acts as a server. It writes its address to the standard output, then the path of each stream that it stops in, or of
// each that has had two events if it stops in none.
func serveUntilKilled(settings string) {
	s := &serverProcess{}
	if err := json.Unmarshal([]byte(settings), &s.serverSettings); err != nil {
		log.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		log.Fatal(err)
	}
	if s.ListensLonger {
		file, err := l.(*net.TCPListener).File()
		if err == nil {
			err = syscall.Dup3(int(file.Fd()), listenerCopy, syscall.O_CLOEXEC)
		}
		if err != nil {
			log.Fatal(err)
		}
	}
	fmt.Println(l.Addr())
	for {
		c, err := l.Accept()
		if err != nil {
			log.Fatal(err)
		}
		go s.serve(c)
	}
}

// serve serves the requests of a connection.
func (s *serverProcess) serve(c net.Conn) {
	defer c.Close()
	for {
		// Single bytes are read so that the body stays in the kernel.
		var head []byte
		for b := make([]byte, 1); !strings.HasSuffix(string(head), "\r\n\r\n"); head = append(head, b[0]) {
			if _, err := c.Read(b); err != nil {
				return
			}
		}
		r, err := http.ReadRequest(bufio.NewReader(io.MultiReader(strings.NewReader(string(head)), c)))
		if err != nil || r.ContentLength < 0 {
			return
		}
		if !s.LeavesBodies {
			if _, err := io.ReadAll(r.Body); err != nil {
				return
			}
		}
		if r.Header.Get("X-Expect-Instance") != s.ID {
			_, err = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-Attempt-Id"))
		} else {
			err = s.stream(c, r)
		}
		if err != nil || s.Framing == sender.FramingConnection || s.LeavesBodies {
			return
		}
	}
}

// stream answers a request with the events after the one that it names.
func (s *serverProcess) stream(c net.Conn, r *http.Request) error {
	halt, at := s.Halt, processEvents/2
	s.mu.Lock()
	s.streams++
	order := s.streams
	s.mu.Unlock()
	received, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err == nil {
		halt = haltNowhere
	}
	switch halt {
	case haltBeforeFirst:
		at = 0
	case haltBetweenEvents, haltInsideEvent:
		at = 1 + order%(processEvents-1)
	case haltAfterLast:
		at = processEvents
	}
	if halt == haltBeforeFirst && order%2 == 0 {
		s.halt(r)
	}
	var text []string
	length := 0
	for n := received + 1; n <= processEvents; n++ {
		text = append(text, processEvent(r.URL.Path, n))
		length += len(text[len(text)-1])
	}
	head := "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + r.Header.Get("X-Attempt-Id") + "\r\nX-Server-Signature: 1\r\nContent-Type: text/event-stream\r\n"
	if halt == haltAfterLast && s.Framing != sender.FramingConnection {
		// The router must not send another request on a connection that is not read.
		head += "Connection: close\r\n"
	}
	switch s.Framing {
	case sender.FramingLength:
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n", length)
	case sender.FramingChunks:
		head += "Transfer-Encoding: chunked\r\n\r\n"
	default:
		head += "Connection: close\r\n\r\n"
	}
	if _, err := io.WriteString(c, head); err != nil {
		return err
	}
	for i, event := range text {
		n := received + i
		if halt != haltNowhere && n == at {
			if halt == haltInsideEvent {
				if err := s.write(c, event[:len(event)/2]); err != nil {
					return err
				}
			}
			s.halt(r)
		}
		time.Sleep(s.Pause)
		if err := s.write(c, event); err != nil {
			return err
		}
		if halt == haltNowhere && n == 1 {
			fmt.Println(r.URL.Path)
		}
	}
	if halt == haltAfterLast {
		s.halt(r)
	}
	if s.Framing == sender.FramingChunks {
		_, err = io.WriteString(c, "0\r\n\r\n")
		return err
	}
	return nil
}

// halt reports that a stream has come to where it stops, and stops it.
func (s *serverProcess) halt(r *http.Request) {
	fmt.Println(r.URL.Path)
	select {}
}

// write writes a part of the stream, as a chunk if the server sends chunks.
func (s *serverProcess) write(c net.Conn, text string) error {
	if s.Framing == sender.FramingChunks {
		text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
	}
	_, err := io.WriteString(c, text)
	return err
}

// processEvent returns an event of the stream for a path.
func processEvent(path string, n int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, path)
}

// routeUntilTerminated acts as a router, which shuts down at SIGTERM.
func routeUntilTerminated(settings string) {
	terminated := make(chan os.Signal, 1)
	signal.Notify(terminated, syscall.SIGTERM)
	var s forwarder.Settings
	if err := json.Unmarshal([]byte(settings), &s); err != nil {
		log.Fatal(err)
	}
	d, err := starter.BuildGateway(s, os.Stderr)
	if err == nil {
		err = d.Start()
	}
	if err != nil {
		log.Fatal(err)
	}
	<-terminated
	d.Drain()
	os.Exit(0)
}

// startProcess starts the test binary in the role that a variable selects. The process is killed at the end of the test.
func (c *crashPlatform) startProcess(variable string, settings any) (process *os.Process, lines *bufio.Scanner) {
	text, err := json.Marshal(settings)
	qt.Assert(c.t, err, qt.IsNil)
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), variable+"="+string(text))
	command.Stderr = c.log
	out, err := command.StdoutPipe()
	qt.Assert(c.t, err, qt.IsNil)
	qt.Assert(c.t, command.Start(), qt.IsNil)
	c.t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	return command.Process, bufio.NewScanner(out)
}

// startServerProcess starts and registers a server process. The channel gets the paths that it reports.
func (c *crashPlatform) startServerProcess(s serverSettings) (process *os.Process, reported <-chan string) {
	process, lines := c.startProcess(serverVariable, s)
	qt.Assert(c.t, lines.Scan(), qt.IsTrue, qt.Commentf("%s", c.log))
	c.rows.Put(masticway.RowKey{Table: "servers", Key: s.ID}, fmt.Appendf(nil, `{"service":"llm","address":%q,"zone":"z","version":"1","slots":32,"state":"ready"}`, lines.Text()))
	paths := make(chan string, 10*callersOfProcess)
	go func() {
		defer close(paths)
		for lines.Scan() {
			paths <- lines.Text()
		}
	}()
	return process, paths
}

// processCaller is a caller of one stream.
type processCaller struct {
	path string
	// minor is the minor version of its HTTP.
	minor int
	// events is the number of events that it has. tries is the number of its requests, without those that were refused as not run.
	events, tries int
	// complete is set if its last answer was complete. faults describes what is out of order, and failures how requests failed.
	complete         bool
	faults, failures []string
}

func (p *processCaller) isResumable() bool { return strings.HasPrefix(p.path, "/essay/") }

// run requests the stream until a request is not refused, and resumes it until the caller has all events or the time has passed. address
// returns the address of the router.
func (p *processCaller) run(address func() string) {
	for deadline := time.Now().Add(maxProcessCallerTime); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if err := p.try(address()); errors.Is(err, errNotRun) {
			continue
		}
		if p.complete || !p.isResumable() || p.events == processEvents {
			return
		}
	}
}

// errNotRun reports that a request was refused as not run.
var errNotRun = errors.New("not run")

// try sends one request and checks the events of the answer. The error is nil if the answer looks complete.
func (p *processCaller) try(address string) error {
	text, err := p.request(address)
	if !errors.Is(err, errNotRun) {
		p.tries++
	}
	if err != nil {
		p.failures = append(p.failures, err.Error())
	}
	for p.complete = err == nil; text != ""; {
		expected := processEvent(p.path, p.events+1)
		if !strings.HasPrefix(text, expected) {
			if p.complete || !strings.HasPrefix(expected, text) {
				p.faults = append(p.faults, fmt.Sprintf("try %d: %q instead of %q", p.tries, text, expected))
			}
			return err
		}
		p.events++
		text = strings.TrimPrefix(text, expected)
	}
	if p.complete && p.events != processEvents {
		p.faults = append(p.faults, fmt.Sprintf("try %d: complete after %d of %d events", p.tries, p.events, processEvents))
	}
	return err
}

// request returns the body of the answer. The error is nil if it looks complete.
func (p *processCaller) request(address string) (string, error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return "", err
	}
	defer c.Close()
	resumption := ""
	if p.events > 0 {
		resumption = fmt.Sprintf("Last-Event-Id: %d\r\n", p.events)
	}
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.%d\r\nHost: h.example\r\nX-Attempt-Id: %016x\r\nAuthorization: Token k\r\nX-Token-Count: 100,200\r\nX-Deadline-Ms: 5000\r\n%sContent-Length: 4\r\n\r\nbody", p.path, p.minor, rand.Uint64(), resumption)
	if err != nil {
		return "", err
	}
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "", err
	}
	text, err := io.ReadAll(a.Body)
	switch a.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable:
		return "", fmt.Errorf("%w: %s", errNotRun, text)
	default:
		return "", fmt.Errorf("status %d: %s", a.StatusCode, text)
	}
	isChunked := slices.Equal(a.TransferEncoding, []string{"chunked"})
	if p.minor == 0 && len(a.TransferEncoding) > 0 || p.minor == 1 && !isChunked && a.ContentLength < 0 {
		p.faults = append(p.faults, fmt.Sprintf("HTTP/1.%d: transfer encodings %v, length %d", p.minor, a.TransferEncoding, a.ContentLength))
	}
	return string(text), err
}

// processCallers are concurrent callers of one stream each, of both routes and of both versions of HTTP. The paths of the streams that
// have ended are sent to ended.
type processCallers struct {
	all     []*processCaller
	ended   chan string
	running sync.WaitGroup
}

// startProcessCallers starts the callers. address returns the address of their router.
func startProcessCallers(address func() string) *processCallers {
	c := &processCallers{ended: make(chan string, callersOfProcess)}
	for i := range callersOfProcess {
		p := &processCaller{path: fmt.Sprintf("/%s/s-%d", []string{"draft", "essay"}[i%2], i), minor: i / 2 % 2}
		c.all = append(c.all, p)
		c.running.Go(func() {
			p.run(address)
			c.ended <- p.path
		})
	}
	return c
}

// check fails the test if a stream was out of order, or if one that may be resumed did not get all events although isResumed is set. It
// logs how many streams were not complete at the first try, and how many of those that may be resumed did not get all events.
func (c *crashPlatform) check(callers *processCallers, isResumed bool) {
	broken, unresumed := 0, 0
	for _, p := range callers.all {
		comment := qt.Commentf("%s, HTTP/1.%d, %d events, %d tries, %q\n%s", p.path, p.minor, p.events, p.tries, p.failures, c.logLines(p.path))
		qt.Check(c.t, p.faults, qt.HasLen, 0, comment)
		if p.tries > 1 || !p.complete {
			broken++
		}
		if p.isResumable() && p.events != processEvents {
			unresumed++
			qt.Check(c.t, isResumed, qt.IsFalse, comment)
		}
	}
	c.t.Logf("%d of %d streams not complete at once, %d not resumed", broken, len(callers.all), unresumed)
}

// awaitHalted waits until each stream has either stopped in a server process or ended, and returns the paths of the former.
func (c *crashPlatform) awaitHalted(reported <-chan string, all *processCallers) (halted []string) {
	timeout := time.After(10 * time.Second)
	settled := map[string]bool{}
	for len(settled) < callersOfProcess {
		select {
		case path, ok := <-reported:
			qt.Assert(c.t, ok, qt.IsTrue, qt.Commentf("the server ended by itself:\n%s", c.log))
			settled[path] = true
			halted = append(halted, path)
		case path := <-all.ended:
			settled[path] = true
		case <-timeout:
			c.t.Fatalf("of the streams, only %v have ended or stopped, the latter in %v:\n%s", settled, halted, c.log)
		}
	}
	qt.Assert(c.t, len(halted) >= minHalted, qt.IsTrue, qt.Commentf("%v\n%s", halted, c.log))
	return halted
}

// TestStreamsOfKilledServerProcessAreNeverCompleteAndShort kills server processes by SIGKILL during several streams each. It guards against
// streams that look complete although events are missing, and against gaps and repeats when they go on: a killed process does not choose
// how its connections end.
func TestStreamsOfKilledServerProcessAreNeverCompleteAndShort(t *testing.T) {
	ends := map[string]serverSettings{
		"orderly end":                   {},
		"reset":                         {LeavesBodies: true},
		"listener closed after streams": {ListensLonger: true},
	}
	for _, framing := range []sender.Framing{sender.FramingConnection, sender.FramingChunks, sender.FramingLength} {
		for _, halt := range []haltPoint{haltNowhere, haltBeforeFirst, haltBetweenEvents, haltInsideEvent, haltAfterLast} {
			for end, settings := range ends {
				t.Run(fmt.Sprintf("%s/%s/%s", framing, halt, end), func(t *testing.T) {
					t.Parallel()
					c := newCrashPlatform(t, 0)
					sound := serverSettings{ID: "i-sound", Framing: framing, Halt: haltNowhere, Pause: 5 * time.Millisecond}
					_, _ = c.startServerProcess(sound)
					settings.ID, settings.Framing, settings.Halt, settings.Pause = "i-killed", framing, halt, sound.Pause
					killed, reported := c.startServerProcess(settings)
					d := c.startRouters(1)[0]
					address, _ := d.Addresses()
					callers := startProcessCallers(func() string { return address })
					var halted []string
					if halt == haltNowhere {
						for range minHalted {
							<-reported
						}
						time.Sleep(rand.N(processEvents * sound.Pause))
					} else {
						halted = c.awaitHalted(reported, callers)
					}
					qt.Assert(t, killed.Kill(), qt.IsNil)
					callers.running.Wait()
					c.check(callers, true)
					// A router that cannot tell in time whether a server serves takes the answers without a framing for broken.
					if halt == haltNowhere || c.logLines("event=server_checked", "server=i-sound", "found=unreachable") != "" {
						return
					}
					for _, p := range callers.all {
						if !slices.Contains(halted, p.path) {
							comment := qt.Commentf("%s was at the other server: %q\n%s%s", p.path, p.failures, c.logLines(p.path), c.logLines("event=server_checked"))
							qt.Check(t, p.complete && p.tries == 1, qt.IsTrue, comment)
						}
					}
				})
			}
		}
	}
}

// TestStreamsOfKilledRouterProcessAreNeverCompleteAndShort ends router processes during streams. It guards against streams that look
// complete although events are missing, and against gaps and repeats when they are resumed at another router.
func TestStreamsOfKilledRouterProcessAreNeverCompleteAndShort(t *testing.T) {
	cases := map[string]struct {
		signal syscall.Signal
		grace  float64
		pause  time.Duration
		// The signal is sent within this time after a stream has had two events.
		within time.Duration
		// killed is set if the router is killed a little after the signal.
		killed bool
	}{
		"killed":                              {signal: syscall.SIGKILL, grace: 5, pause: 30 * time.Millisecond, within: 240 * time.Millisecond},
		"terminated":                          {signal: syscall.SIGTERM, grace: 5, pause: 30 * time.Millisecond, within: 240 * time.Millisecond},
		"terminated, streams outlast it":      {signal: syscall.SIGTERM, grace: 3.6, pause: 450 * time.Millisecond, within: 100 * time.Millisecond},
		"killed after it had been terminated": {signal: syscall.SIGTERM, grace: 5, pause: 100 * time.Millisecond, within: 500 * time.Millisecond, killed: true},
	}
	for name, tc := range cases {
		for _, framing := range []sender.Framing{sender.FramingConnection, sender.FramingChunks, sender.FramingLength} {
			t.Run(fmt.Sprintf("%s/%s", name, framing), func(t *testing.T) {
				t.Parallel()
				c := newCrashPlatform(t, 0)
				var reported <-chan string
				for _, id := range []string{"i-1", "i-2"} {
					_, reported = c.startServerProcess(serverSettings{ID: id, Framing: framing, Halt: haltNowhere, Pause: tc.pause})
				}
				other := c.startRouters(1)[0]
				settings := c.settings("edge-2")
				settings.GraceSeconds = tc.grace
				router, _ := c.startProcess(routerVariable, settings)
				c.awaitReady(settings)
				var mu sync.Mutex
				address := settings.CallerAddress
				callers := startProcessCallers(func() string {
					mu.Lock()
					defer mu.Unlock()
					return address
				})
				<-reported
				time.Sleep(rand.N(tc.within))
				mu.Lock()
				address, _ = other.Addresses()
				mu.Unlock()
				qt.Assert(t, router.Signal(tc.signal), qt.IsNil)
				if tc.killed {
					time.Sleep(rand.N(2 * tc.pause))
					qt.Assert(t, router.Kill(), qt.IsNil)
				}
				callers.running.Wait()
				// Whether a resumption is refused as not run depends on what the other router knows.
				c.check(callers, false)
			})
		}
	}
}

// awaitReady waits until the router process with the given settings is ready.
func (c *crashPlatform) awaitReady(s forwarder.Settings) {
	for range 800 {
		response, err := http.Get("http://" + s.ReadinessAddress + "/")
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.t.Fatalf("%s did not become ready:\n%s", s.Instance, c.log)
}
