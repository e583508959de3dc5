package soaker

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// slowReadersKind is the name of the fault in which callers stop reading their answers.
	slowReadersKind = "slow_readers"
	// minReadPause and maxReadPause are the shortest and the longest time for which a slow reader stops reading.
	minReadPause, maxReadPause = 2 * time.Second, 3 * time.Second
	// slowReaderMemory is the memory of each router in megabytes in soaks with slow readers. Request bodies may use a quarter of it.
	slowReaderMemory = 16
	maxHeldBytes     = slowReaderMemory << 20 / 4
	// slowBodyBytes is the size of a slow reader's request. The answer repeats it, and is larger than the 100 KB that the kernel
	// buffers on a connection with readerBuffer and readerSegment, so that the router cannot write it while the caller does not read.
	slowBodyBytes = 200 << 10
	// readerBuffer is the receive buffer of a slow reader in bytes, and readerSegment its segment size. The send buffer of the router's
	// kernel grows with the segment size, which is 64 KB on loopback.
	readerBuffer, readerSegment = 4 << 10, 536
	// fewReaders is a number of slow readers whose requests take less than half of what a router may hold, so that other callers must
	// be served. manyReaders take almost twice as much as it may hold. A fault has many if its severity is above manySeverity.
	fewReaders, manyReaders = 8, 32
	manySeverity            = 0.5
	// settleBeforeProbes is the time in which slow readers have sent their requests. Then other requests must be served within
	// patientTimeout, which is far less than the pauses of the readers.
	settleBeforeProbes, patientTimeout = 300 * time.Millisecond, 1200 * time.Millisecond
	// slowStreamBase is the lowest number of the random streams (newCaller) of slow readers.
	slowStreamBase = 2 << 20
)

// slowRead is the time in which a router held a request because its caller did not read the answer.
type slowRead struct {
	router, bytes int
	interval
}

// readSlowly makes callers of one router stop reading their answers for the duration of the fault, at least two seconds. If they are
// few, other requests to the router must be served meanwhile. It does nothing while there are other slow readers.
func (s *soakRun) readSlowly(e faultEvent) {
	if !s.slowMu.TryLock() {
		return
	}
	defer s.slowMu.Unlock()
	router := e.target % s.Routers
	address := s.processes[router].settings.CallerAddress
	readers, pause := fewReaders, max(minReadPause, e.duration)
	if e.severity > manySeverity {
		readers = manyReaders
	}
	s.slowFaults++
	stream := slowStreamBase + s.slowFaults*(manyReaders+1)
	r := routes[plainRoute]
	var wg sync.WaitGroup
	for i := range readers {
		c := s.newCaller("s", stream+i)
		c.transport.DisableKeepAlives, c.transport.DialContext = true, s.slowReaderDial(address)
		wg.Go(func() { c.readSlowly(r, pause) })
	}
	if readers == fewReaders {
		c := s.newCaller("o", stream+manyReaders, address)
		c.transport.DisableKeepAlives = true
		time.Sleep(settleBeforeProbes)
		c.expectService(r, router, time.Now().Add(pause-settleBeforeProbes-patientTimeout))
	}
	wg.Wait()
}

// slowReaderDial returns a function that connects to an address, with a receive buffer and segments so small that the kernels buffer
// less than an answer.
func (s *soakRun) slowReaderDial(address string) func(ctx context.Context, network, _ string) (net.Conn, error) {
	d := &net.Dialer{Timeout: connectTimeout, Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		failed := raw.Control(func(fd uintptr) {
			err = errors.Join(
				unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, readerBuffer),
				unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, readerSegment),
			)
		})
		return errors.Join(failed, err)
	}}
	return func(ctx context.Context, network, _ string) (net.Conn, error) {
		return s.dial(ctx, d, network, address)
	}
}

// readSlowly sends a request with a large body, reads the head of the answer, stops reading for a time, and reads on.
func (c *caller) readSlowly(r route, pause time.Duration) {
	q := &request{route: r, body: strings.Repeat("x", slowBodyBytes), timeLimit: maxTimeLimit, waitTimeout: maxTimeLimit + pause, readPause: pause}
	c.send(q, r.name)
	if q.outcome == outcomeAnswered && q.status == http.StatusOK {
		c.soak.mu.Lock()
		defer c.soak.mu.Unlock()
		c.soak.slowReads = append(c.soak.slowReads, slowRead{router: q.router, bytes: len(q.body), interval: interval{from: q.headAt, to: q.headAt.Add(pause)}})
	}
}

// expectService sends requests until a time. It reports a violation if a request to an undisturbed router is not served within
// patientTimeout, unless a server failed.
func (c *caller) expectService(r route, router int, until time.Time) {
	for time.Now().Before(until) {
		q := &request{route: r, timeLimit: patientTimeout, waitTimeout: patientTimeout}
		c.send(q, r.name)
		if q.status != http.StatusOK || q.outcome != outcomeAnswered {
			// Starvation is recorded at the next poll.
			time.Sleep(2 * starvationPollInterval)
			undisturbed := c.soak.isUndisturbed(q.sentAt.Add(-stabilityPeriod), q.endedAt, routerTarget(router), plannedTarget(router))
			if undisturbed && c.soak.isUndisturbed(q.sentAt.Add(-timingSlack), q.endedAt, starvedTarget(router)) {
				c.soak.reportViolation(promisePatient, "not served while other callers of router-%d do not read: %s", router, q)
			}
		}
		time.Sleep(probeInterval)
	}
}

// checkSlowReads checks for each router that the requests that it held at the same time, because their callers did not read, fit in
// the share of its memory. Only requests whose callers got the whole answer count, because others may have ended with their router.
func (s *soakRun) checkSlowReads() {
	peaks := make([]int, s.Routers)
	for _, first := range s.slowReads {
		sum := 0
		for _, o := range s.slowReads {
			if o.router == first.router && !o.from.After(first.from) && o.to.After(first.from) {
				sum += o.bytes
			}
		}
		peaks[first.router] = max(peaks[first.router], sum)
	}
	for router, peak := range peaks {
		s.logf("router-%d held %d bytes of requests for slow readers, %d are allowed", router, peak, maxHeldBytes)
		if peak > maxHeldBytes {
			s.reportViolation(promiseBounded, "router-%d held %d bytes of requests for slow readers, %d are allowed", router, peak, maxHeldBytes)
		}
	}
}
