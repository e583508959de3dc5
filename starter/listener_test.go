package starter

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus/hooks/test"
)

// TestPausedListenerRefusesConnections pauses and resumes a listener. While it is paused, new connections must be refused at once
// and existing ones stay open; after it, the address must be the same.
func TestPausedListenerRefusesConnections(t *testing.T) {
	l, err := Listen("127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	log, _ := test.NewNullLogger()
	p := newPausableListener(l, log)
	accepted := make(chan net.Conn, 10)
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			conn, err := p.Accept()
			if err != nil {
				qt.Check(t, errors.Is(err, net.ErrClosed), qt.IsTrue)
				return
			}
			accepted <- conn
		}
	})
	dial := func() (net.Conn, error) { return net.Dial("tcp", p.Addr().String()) }
	kept, err := dial()
	qt.Assert(t, err, qt.IsNil)
	server := <-accepted
	for range 3 {
		p.Pause()
		p.Pause()
		_, err = dial()
		qt.Assert(t, errors.Is(err, syscall.ECONNREFUSED), qt.IsTrue, qt.Commentf("%v", err))
		qt.Assert(t, p.Resume(), qt.IsTrue)
		qt.Assert(t, p.Resume(), qt.IsTrue)
		conn, err := dial()
		qt.Assert(t, err, qt.IsNil)
		_ = conn.Close()
		_ = (<-accepted).Close()
	}
	_, err = kept.Write([]byte("x"))
	qt.Assert(t, err, qt.IsNil)
	_, err = server.Read(make([]byte, 1))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, p.Close(), qt.IsNil)
	wg.Wait()
	qt.Assert(t, p.Resume(), qt.IsTrue)
	_, err = dial()
	qt.Assert(t, errors.Is(err, syscall.ECONNREFUSED), qt.IsTrue)
}

// TestPauseKeepsEstablishedConnections guards against callers whose connections are reset, after they may have sent a request,
// because the router pauses its listener before it has accepted them.
func TestPauseKeepsEstablishedConnections(t *testing.T) {
	const callers = 20
	l, err := Listen("127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	log, _ := test.NewNullLogger()
	p := newPausableListener(l, log)
	defer p.Close()
	var conns []net.Conn
	for range callers {
		conn, err := net.Dial("tcp", p.Addr().String())
		qt.Assert(t, err, qt.IsNil)
		defer conn.Close()
		_, err = conn.Write([]byte("x"))
		qt.Assert(t, err, qt.IsNil)
		conns = append(conns, conn)
	}
	p.Pause()
	accepted := make(chan net.Conn, callers)
	go func() {
		for {
			conn, err := p.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	for i := range callers {
		select {
		case server := <-accepted:
			_, err := io.CopyN(server, server, 1)
			qt.Check(t, err, qt.IsNil)
			_ = server.Close()
		case <-time.After(5 * time.Second):
			t.Fatalf("%d of %d connections were accepted", i, callers)
		}
	}
	for _, conn := range conns {
		answer, err := io.ReadAll(conn)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, string(answer), qt.Equals, "x")
	}
}
