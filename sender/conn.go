package sender

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/masticway/masticway/receiver"
)

// conn is a connection; it serves one request at a time.
type conn struct {
	sender  *Sender
	address string
	// local is the address of this router's side.
	local  string
	net    net.Conn
	reader *bufio.Reader
	// head limits what reader reads for the head of an answer.
	head *receiver.HeadConn
	// writeDone delivers the result of writing a large body concurrently; it is nil if there is none. requests is the number of
	// requests sent on the connection.
	writeDone chan error
	// failure is the error for which this process reset the connection while it waited for the server.
	failure  atomic.Pointer[error]
	requests int
	// rejections is the number of answers that were discarded as rejections.
	rejections int
	// carried holds the IDs of the requests, and unnamed is set if one had none. history is the connection's state before the current
	// request.
	carried     requestIDs
	unnamed     bool
	history     History
	idleSince   time.Time
	idleTimeout time.Duration
	// ackTimeout is the acknowledgement timeout that is set on the socket.
	ackTimeout time.Duration
	// stop cancels the function that closes the connection when the current request's context ends. It returns false if that
	// function has already been started. method is the method of the current request.
	stop   func() bool
	method string
	// willClose is set if the server announced that it closes the connection.
	willClose bool
	// tainted is set if anything unexpected happened on the connection.
	tainted bool
}

// isExhausted reports whether the connection must not carry further requests: it cannot remember them, or it has carried one whose answer
// names no request.
func (c *conn) isExhausted() bool { return c.unnamed || c.carried.isFull() }

// mayConfuse reports whether an answer to an earlier request on the connection may be taken for the answer to a request, or be read in the
// wrong way because answers to HEAD have no body. A server may send an answer again when the next request has arrived.
func (c *conn) mayConfuse(r Request) bool {
	if c.requests == 0 {
		return false
	}
	return r.ID == "" || c.isExhausted() || c.carried.has(r.ID) || (r.Method == http.MethodHead) != (c.method == http.MethodHead)
}

// begin records that a request is about to be sent on the connection.
func (c *conn) begin(r Request) {
	c.history = History{Local: c.local, Requests: c.requests, Rejections: c.rejections, Repeated: c.carried.has(r.ID)}
	c.requests++
	c.method = r.Method
	if r.ID == "" {
		c.unnamed = true
		return
	}
	c.carried.add(r.ID)
}

// write sends the request. It writes the head and up to maxInlineBody bytes of the body at once, and the rest of a larger body in a
// goroutine, so that the answer can be read meanwhile.
func (c *conn) write(head []byte, r Request) error {
	n := min(maxInlineBody, len(r.Body))
	if _, err := c.net.Write(append(head, r.Body[:n]...)); err != nil || n == len(r.Body) {
		return err
	}
	done := make(chan error, 1)
	c.writeDone = done
	go func() { done <- c.writeRest(r, r.Body[n:]) }()
	return nil
}

// writeRest writes the rest of a body. It resets the connection if the request is not wanted any more: writing may take long, or the
// process may have waited for a processor.
func (c *conn) writeRest(r Request, rest []byte) error {
	for len(rest) > 0 {
		if err := r.check(); err != nil {
			c.fail(err)
			return err
		}
		n := min(pieceBytes, len(rest))
		if _, err := c.net.Write(rest[:n]); err != nil {
			return err
		}
		rest = rest[n:]
	}
	return nil
}

// maxInformational is the most informational answers before one that are skipped.
const maxInformational = 8

// readAnswer reads the head of the next answer and skips informational ones. It fails with receiver.HeadTooLargeError if they are too large,
// and with receiver.InvalidAnswerError if they are not valid.
func (c *conn) readAnswer() (*Answer, error) {
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return nil, err
	}
	heads := c.head.BeginHead(buffered)
	defer c.head.EndHead()
	for range maxInformational + 1 {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: c.method})
		if err != nil {
			return nil, err
		}
		if err := heads.CheckNext(); err != nil {
			return nil, err
		}
		isFinal, err := receiver.CheckStatus(response.StatusCode)
		if err != nil {
			return nil, err
		}
		if isFinal {
			c.willClose = response.Close
			return &Answer{Status: response.StatusCode, Header: response.Header, Framing: framingOf(response), History: c.history, body: response.Body, conn: c}, nil
		}
	}
	return nil, &receiver.InvalidAnswerError{Reason: fmt.Sprintf("over %d informational answers", maxInformational)}
}

// release ends a request, whose answer may be complete and framed. It returns the connection to the pool if its state allows its
// reuse. Otherwise it closes the connection, or resets it if the server may still work on the request or wait for the rest of its body.
func (c *conn) release(complete, framed bool) {
	stopped := c.stop()
	if c.writeDone != nil {
		select {
		case err := <-c.writeDone:
			complete = complete && err == nil
		default:
			// The server answered before it read the whole body. It would read the rest of the body as the next request.
			complete = false
		}
		c.writeDone = nil
	}
	switch {
	case !complete:
		c.reset()
		c.forget()
	case !framed || !stopped || c.willClose || c.tainted || c.reader.Buffered() > 0:
		c.discard()
	default:
		c.keep()
	}
}
