package linker

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gorilla/websocket"

	"github.com/masticway/masticway"
)

const (
	// queueLength bounds the messages that wait for the socket.
	queueLength = 8192
	// batchMost bounds the messages packed into one WebSocket message.
	batchMost = 128
	// readLimit bounds one WebSocket message in bytes.
	readLimit = 16 << 20
	// batchBytes bounds what is packed into one WebSocket message, 1 MB, unless one message alone is larger: many large
	// ones together are over the reader's limit.
	batchBytes = 1 << 20
	// pieceBytes is what has to pass within a timeout, 16 KB: the time that a whole message takes grows with its size, and
	// a link that is ended in the middle of one begins it again.
	pieceBytes = 16 << 10
	// writeTimeout ends a link whose peer does not take the next piece.
	writeTimeout = 5 * time.Second
	// readTimeout ends a link that has been silent over several heartbeats, or on which the next piece doesn't come.
	readTimeout = 5 * time.Second
)

// DownError reports a message that could not be sent or answered because the link is down.
type DownError struct {
	Peer   string
	Reason string
}

// Error names the peer.
func (e *DownError) Error() string { return fmt.Sprintf("link to %s is down: %s", e.Peer, e.Reason) }

// LateError reports a question on which nothing came within its pause, neither the answer nor parts of large messages.
type LateError struct {
	Peer  string
	Pause time.Duration
}

// Error names the peer.
func (e *LateError) Error() string {
	return fmt.Sprintf("nothing came from %s for %s", e.Peer, e.Pause)
}

// question is one that waits for its answer.
type question struct {
	answer chan Message
	// late ends the wait after a pause; it is nil where the context alone does.
	late  *time.Timer
	pause time.Duration
}

// Handler takes a message from a link, in order; it must not block.
type Handler func(c *Conn, m Message)

// Conn is one authenticated link.
type Conn struct {
	socket *websocket.Conn
	peer   masticway.Peer
	self   Identity
	done   chan struct{}
	once   sync.Once
	calls  atomic.Uint64

	mu      sync.Mutex
	answers map[uint64]question
	// queue grows with what waits, because most of many links are idle.
	queue []Message
	wake  chan struct{}
}

var _ masticway.Link[Message] = (*Conn)(nil)

func newConn(socket *websocket.Conn, peer masticway.Peer, self Identity) *Conn {
	socket.SetReadLimit(readLimit)
	return &Conn{
		socket: socket, peer: peer, self: self,
		wake:    make(chan struct{}, 1),
		done:    make(chan struct{}),
		answers: map[uint64]question{},
	}
}

// Peer names the process at the other end.
func (c *Conn) Peer() masticway.Peer { return c.peer }

// Done is closed when the link has ended.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Bind returns a context that also ends with the link.
func (c *Conn) Bind(ctx context.Context) (context.Context, context.CancelFunc) {
	bound, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-c.done:
			cancel()
		case <-bound.Done():
		}
	}()
	return bound, cancel
}

// Close ends the link.
func (c *Conn) Close() {
	c.once.Do(func() {
		close(c.done)
		_ = c.socket.Close()
	})
}

// Send queues a message; it fails with DownError, and ends the link when the queue is full.
func (c *Conn) Send(m Message) error {
	select {
	case <-c.done:
		return &DownError{Peer: c.peer.Instance, Reason: "closed"}
	default:
	}
	c.mu.Lock()
	full := len(c.queue) >= queueLength
	if !full {
		c.queue = append(c.queue, m)
	}
	c.mu.Unlock()
	if full {
		c.Close()
		return &DownError{Peer: c.peer.Instance, Reason: "queue full"}
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return nil
}

// Call sends a question and waits for its answer.
//
// When it fails after sending, the peer may have acted on the question.
func (c *Conn) Call(ctx context.Context, m Message) (Message, error) {
	return c.ask(ctx, m, question{})
}

// CallLarge is Ask for an answer of any size: it fails with LateError once nothing large has come for a pause.
//
// The time that a large answer takes grows with its size, and so does that of others that come before it on the link.
func (c *Conn) CallLarge(ctx context.Context, m Message, pause time.Duration) (Message, error) {
	asking, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	late := time.AfterFunc(pause, func() { cancel(&LateError{Peer: c.peer.Instance, Pause: pause}) })
	defer late.Stop()
	return c.ask(asking, m, question{late: late, pause: pause})
}

func (c *Conn) ask(ctx context.Context, m Message, q question) (Message, error) {
	m.CallID = c.calls.Add(1)
	q.answer = make(chan Message, 1)
	c.mu.Lock()
	c.answers[m.CallID] = q
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.answers, m.CallID)
		c.mu.Unlock()
	}()
	if err := c.Send(m); err != nil {
		return Message{}, err
	}
	select {
	case a := <-q.answer:
		return a, nil
	case <-c.done:
		return Message{}, &DownError{Peer: c.peer.Instance, Reason: "closed while asking"}
	case <-ctx.Done():
		return Message{}, fmt.Errorf("asking %s: %w", c.peer.Instance, context.Cause(ctx))
	}
}

// progress puts off the end of the questions that may have large answers.
func (c *Conn) progress() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, q := range c.answers {
		if q.late != nil {
			q.late.Reset(q.pause)
		}
	}
}

// Reply sends the reply to a question.
func (c *Conn) Reply(question, reply Message) error {
	reply.ReplyTo = question.CallID
	return c.Send(reply)
}

// run reads until the link ends; the writer runs beside it.
func (c *Conn) run(h Handler) {
	var writer sync.WaitGroup
	writer.Go(c.write)
	for {
		data, err := c.readMessage()
		if err != nil {
			break
		}
		c.self.count(CounterReceived, len(data))
		var batch []Message
		if err := cbor.Unmarshal(data, &batch); err != nil {
			break
		}
		for _, m := range batch {
			c.deliver(m, h)
		}
	}
	c.Close()
	writer.Wait()
}

// readMessage reads one WebSocket message; each piece has its own deadline.
func (c *Conn) readMessage() ([]byte, error) {
	c.expectPiece()
	_, message, err := c.socket.NextReader()
	if err != nil {
		return nil, err
	}
	var data bytes.Buffer
	for {
		c.expectPiece()
		_, err := io.CopyN(&data, message, pieceBytes)
		if errors.Is(err, io.EOF) {
			return data.Bytes(), nil
		}
		if err != nil {
			return nil, err
		}
		c.progress()
	}
}

func (c *Conn) expectPiece() { _ = c.socket.SetReadDeadline(time.Now().Add(readTimeout)) }

func (c *Conn) deliver(m Message, h Handler) {
	if m.ReplyTo == 0 {
		h(c, m)
		return
	}
	c.mu.Lock()
	q, ok := c.answers[m.ReplyTo]
	c.mu.Unlock()
	if ok {
		q.answer <- m
	}
}

func (c *Conn) write() {
	for {
		select {
		case <-c.done:
			return
		case <-c.wake:
		}
		c.mu.Lock()
		waiting := c.queue
		c.queue = nil
		c.mu.Unlock()
		for batch := range slices.Chunk(waiting, batchMost) {
			if err := c.writeBatch(batch); err != nil {
				c.Close()
				return
			}
		}
	}
}

// writeBatch packs messages into one WebSocket message, or into several when they are large.
func (c *Conn) writeBatch(batch []Message) error {
	data, err := cbor.Marshal(batch)
	if err != nil {
		return fmt.Errorf("encoding %d messages: %w", len(batch), err)
	}
	if half := len(batch) / 2; half > 0 && len(data) > batchBytes {
		if err := c.writeBatch(batch[:half]); err != nil {
			return err
		}
		return c.writeBatch(batch[half:])
	}
	c.self.count(CounterSent, len(data))
	return c.writeMessage(data)
}

// writeMessage writes one WebSocket message; each piece has its own deadline.
func (c *Conn) writeMessage(data []byte) error {
	if len(data) <= pieceBytes {
		_ = c.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
		return c.socket.WriteMessage(websocket.BinaryMessage, data)
	}
	message, err := c.socket.NextWriter(websocket.BinaryMessage)
	if err != nil {
		return err
	}
	for piece := range slices.Chunk(data, pieceBytes) {
		_ = c.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := message.Write(piece); err != nil {
			return err
		}
	}
	return message.Close()
}

// Decode reads a batch of messages as a link does; it is exported for fuzzing.
func Decode(data []byte) ([]Message, error) {
	var batch []Message
	if err := cbor.Unmarshal(data, &batch); err != nil {
		return nil, fmt.Errorf("decoding messages: %w", err)
	}
	return batch, nil
}

// Encode writes a batch of messages as a link does.
func Encode(batch []Message) ([]byte, error) { return cbor.Marshal(batch) }

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)
