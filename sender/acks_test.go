package sender_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"

	"github.com/masticway/masticway/sender"
)

// learnAcks sends a request that takes a while, so that the sender learns that the kernel tells when acknowledgements came.
func learnAcks(t *testing.T, s *sender.Sender, timeout time.Duration) {
	address := accept(t, func(c *net.TCPConn) {
		defer c.Close()
		_, _ = http.ReadRequest(bufio.NewReader(c))
		time.Sleep(4 * timeout)
		_, _ = io.WriteString(c, okAnswer)
	})
	a, err := s.Send(t.Context(), address, 0, sender.Request{ID: nextID(), Method: "GET", Target: "/", Host: "h", ConnectTimeout: time.Second, AckTimeout: timeout})
	qt.Assert(t, err, qt.IsNil)
	a.Close()
}

// TestSlowReaderIsNotUnacknowledged guards against giving up servers as dark that do not read a large body for a while.
func TestSlowReaderIsNotUnacknowledged(t *testing.T) {
	const timeout = 600 * time.Millisecond
	body := strings.Repeat("x", 8<<20)
	read := make(chan int64, 1)
	address := accept(t, func(c *net.TCPConn) {
		defer c.Close()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		time.Sleep(3 * timeout)
		n, _ := io.Copy(io.Discard, r.Body)
		read <- n
		_, _ = io.WriteString(c, okAnswer)
	})
	for name, learned := range map[string]bool{"on the first connection": false, "later": true} {
		t.Run(name, func(t *testing.T) {
			s := sender.New((&net.Dialer{}).DialContext, time.Now)
			if learned {
				learnAcks(t, s, timeout)
			}
			a, err := s.Send(t.Context(), address, 0, sender.Request{ID: nextID(), Method: "POST", Target: "/", Host: "h", Body: []byte(body), ConnectTimeout: time.Second, AckTimeout: timeout})
			qt.Assert(t, err, qt.IsNil)
			a.Close()
			qt.Assert(t, <-read, qt.Equals, int64(len(body)))
		})
	}
}

// dropAllButResets makes the kernel drop what arrives on a connection before it is acknowledged, except resets.
func dropAllButResets(c *net.TCPConn) error {
	const offsetOfFlags, flagReset = 13, 4
	program := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: offsetOfFlags},
		{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, K: flagReset, Jt: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: 1 << 16},
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
	})
	return errors.Join(controlErr, err)
}

// TestUnacknowledgedRequestIsReset guards against servers that work on although this side has given the connection up, since the kernel
// drops a connection with unacknowledged bytes without telling the other side.
func TestUnacknowledgedRequestIsReset(t *testing.T) {
	const timeout = 300 * time.Millisecond
	accepted, filtered := make(chan *net.TCPConn, 1), make(chan error, 1)
	address := accept(t, func(c *net.TCPConn) {
		// Send checks the request again if the first check took long.
		time.Sleep(50 * time.Millisecond)
		filtered <- dropAllButResets(c)
		accepted <- c
	})
	check := sync.OnceValue(func() error { return receive(filtered) })
	s := sender.New((&net.Dialer{}).DialContext, time.Now)
	learnAcks(t, s, timeout)
	began := time.Now()
	_, err := s.Send(t.Context(), address, 0, sender.Request{
		ID: nextID(), Method: "GET", Target: "/", Host: "h", ConnectTimeout: time.Second, AckTimeout: timeout, Check: check,
	})
	qt.Assert(t, err, qt.IsNotNil)
	took := time.Since(began)
	qt.Assert(t, took >= timeout, qt.IsTrue, qt.Commentf("%s", took))
	_, isUnacknowledged := errors.AsType[*sender.UnacknowledgedError](err)
	qt.Assert(t, isUnacknowledged, qt.IsTrue, qt.Commentf("%v", err))
	c := <-accepted
	defer c.Close()
	qt.Assert(t, awaitReset(c), qt.IsTrue)
}

// receive returns the error that comes on a channel, or one that tells that none came.
func receive(results chan error) error {
	select {
	case err := <-results:
		return err
	case <-time.After(10 * time.Second):
		return errors.New("the server has not accepted the connection")
	}
}

// TestIdleTimeIsNotUnacknowledged guards against giving up a request on a connection that was idle, since the last acknowledgement is
// that of an earlier request.
func TestIdleTimeIsNotUnacknowledged(t *testing.T) {
	const timeout = 150 * time.Millisecond
	address := accept(t, func(c *net.TCPConn) {
		defer c.Close()
		for r := bufio.NewReader(c); ; {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			time.Sleep(2 * timeout)
			_, _ = io.WriteString(c, okAnswer)
		}
	})
	s := sender.New((&net.Dialer{}).DialContext, time.Now)
	for range 2 {
		a, err := s.Send(t.Context(), address, 0, sender.Request{ID: nextID(), Method: "GET", Target: "/", Host: "h", ConnectTimeout: time.Second, AckTimeout: timeout})
		qt.Assert(t, err, qt.IsNil)
		_, _ = io.Copy(io.Discard, a)
		a.Close()
		time.Sleep(3 * timeout)
	}
	qt.Assert(t, s.Dials(), qt.Equals, int64(1))
}
