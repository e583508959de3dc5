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
	"github.com/masticway/masticway/decoder"
)

const (
	// maxQueuedMessages bounds the number of messages that wait to be written to a link.
	maxQueuedMessages = 8192
	// maxBatchMessages bounds the number of messages that are packed into one WebSocket message.
	maxBatchMessages = 128
	// maxMessageBytes is the size of the largest WebSocket message that is read: 16 MB.
	maxMessageBytes = 16 << 20
	// maxBatchBytes is the size, 1 MB, up to which messages are packed into one WebSocket message. A larger message is sent
	// alone. Without this bound, several large messages together could exceed the reader's limit, maxMessageBytes.
	maxBatchBytes = 1 << 20
	// pieceBytes is the size of a piece of a message: 16 KB. Each piece, not each message, must be written within
	// writeTimeout and read within readTimeout. A timeout for a whole message would be too short for a large message on a
	// slow connection. If a link is closed in the middle of a message, the message has to be sent again from the start.
	pieceBytes = 16 << 10
	// writeTimeout is the time within which the peer must accept the next piece. Otherwise the link is closed.
	writeTimeout = 5 * time.Second
	// readTimeout is the time within which the next message must begin and each piece of it must arrive. Otherwise the link
	// is closed. It is longer than several heartbeat intervals.
	readTimeout = 5 * time.Second
)

// DownError reports that a message could not be sent or answered because the link is down.
type DownError struct {
	Peer   string
	Reason string
}

// Error returns a text that names the peer and the reason.
func (e *DownError) Error() string { return fmt.Sprintf("link to %s is down: %s", e.Peer, e.Reason) }

// IdleTimeoutError reports that CallLarge gave up. Neither the reply nor a whole piece of any message had arrived for the idle
// timeout.
type IdleTimeoutError struct {
	Peer    string
	Timeout time.Duration
}

// Error returns a text that names the peer and the timeout.
func (e *IdleTimeoutError) Error() string {
	return fmt.Sprintf("no data from %s for %s", e.Peer, e.Timeout)
}

// pendingCall is a request whose reply has not arrived yet.
type pendingCall struct {
	reply chan Message
	// timer cancels the call if neither the reply nor a whole piece of any message arrives for timeout. It is nil if only the
	// context bounds the call.
	timer   *time.Timer
	timeout time.Duration
}

// Handler handles a message from a link. Messages are passed in the order of their arrival, and a Handler must not block.
type Handler func(c *Conn, m Message)

// Conn is one end of a link: a connection between two processes that have authenticated each other.
type Conn struct {
	socket   *websocket.Conn
	peer     masticway.Peer
	identity Identity
	// done is closed when the link is closed.
	done     chan struct{}
	once     sync.Once
	lastCall atomic.Uint64

	mu      sync.Mutex
	pending map[uint64]pendingCall
	// queue holds the messages to be written, at most maxQueuedMessages. It is a slice and not a channel, because most of
	// the many links are idle and need no space.
	queue []Message
	// wake has room for one value, which Send puts in after it has queued a message.
	wake chan struct{}
}

var _ masticway.Link[Message] = (*Conn)(nil)

func newConn(socket *websocket.Conn, peer masticway.Peer, self Identity) *Conn {
	socket.SetReadLimit(maxMessageBytes)
	return &Conn{
		socket: socket, peer: peer, identity: self,
		wake:    make(chan struct{}, 1),
		done:    make(chan struct{}),
		pending: map[uint64]pendingCall{},
	}
}

// Peer returns the identity of the process at the other end.
func (c *Conn) Peer() masticway.Peer { return c.peer }

// Done returns a channel that is closed when the link is closed.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Bind returns a copy of ctx that is also canceled when the link is closed. The caller must call the returned function.
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

// Close closes the link. Messages that have not been written are lost.
func (c *Conn) Close() {
	c.once.Do(func() {
		close(c.done)
		_ = c.socket.Close()
	})
}

// Send queues a message to be written in the background. It fails with a DownError if the link is closed or the queue is
// full. A full queue also closes the link.
func (c *Conn) Send(m Message) error {
	select {
	case <-c.done:
		return &DownError{Peer: c.peer.Instance, Reason: "closed"}
	default:
	}
	c.mu.Lock()
	full := len(c.queue) >= maxQueuedMessages
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

// Call sends a request and waits for its reply, until ctx is done or the link is closed.
//
// If Call fails, the peer may nevertheless have acted on the request.
func (c *Conn) Call(ctx context.Context, m Message) (Message, error) {
	return c.call(ctx, m, pendingCall{})
}

// CallLarge sends a request with a reply that may be large, up to maxMessageBytes, and waits for the reply. It fails with an
// IdleTimeoutError if neither the reply nor a whole piece of any message arrives for idleTimeout.
//
// A fixed timeout would not be suitable, because the time for a reply grows with its size and with that of the messages
// before it on the link.
func (c *Conn) CallLarge(ctx context.Context, m Message, idleTimeout time.Duration) (Message, error) {
	callCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(idleTimeout, func() { cancel(&IdleTimeoutError{Peer: c.peer.Instance, Timeout: idleTimeout}) })
	defer timer.Stop()
	return c.call(callCtx, m, pendingCall{timer: timer, timeout: idleTimeout})
}

func (c *Conn) call(ctx context.Context, m Message, p pendingCall) (Message, error) {
	m.CallID = c.lastCall.Add(1)
	p.reply = make(chan Message, 1)
	c.mu.Lock()
	c.pending[m.CallID] = p
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.pending, m.CallID)
		c.mu.Unlock()
	}()
	if err := c.Send(m); err != nil {
		return Message{}, err
	}
	select {
	case reply := <-p.reply:
		return reply, nil
	case <-c.done:
		return Message{}, &DownError{Peer: c.peer.Instance, Reason: "closed while waiting for the reply"}
	case <-ctx.Done():
		return Message{}, fmt.Errorf("calling %s: %w", c.peer.Instance, context.Cause(ctx))
	}
}

// extendTimeouts restarts the idle timers of all pending calls of CallLarge.
func (c *Conn) extendTimeouts() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pending {
		if p.timer != nil {
			p.timer.Reset(p.timeout)
		}
	}
}

// Reply sends the reply to a request.
func (c *Conn) Reply(request, reply Message) error {
	reply.ReplyTo = request.CallID
	return c.Send(reply)
}

// run reads messages and passes them to h until the link fails or is closed. It starts a goroutine that writes the queued
// messages, and waits for it before it returns.
func (c *Conn) run(h Handler) {
	var writer sync.WaitGroup
	writer.Go(c.writeLoop)
	for {
		data, err := c.readMessage()
		if err != nil {
			break
		}
		c.identity.count(CounterReceived, len(data))
		var batch []Message
		if err := decoder.Unmarshal(data, &batch); err != nil {
			break
		}
		for _, m := range batch {
			c.deliver(m, h)
		}
	}
	c.Close()
	writer.Wait()
}

// readMessage reads one WebSocket message. Each piece of it has its own deadline (readTimeout).
func (c *Conn) readMessage() ([]byte, error) {
	c.extendReadDeadline()
	_, message, err := c.socket.NextReader()
	if err != nil {
		return nil, err
	}
	var data bytes.Buffer
	for {
		c.extendReadDeadline()
		_, err := io.CopyN(&data, message, pieceBytes)
		if errors.Is(err, io.EOF) {
			return data.Bytes(), nil
		}
		if err != nil {
			return nil, err
		}
		c.extendTimeouts()
	}
}

func (c *Conn) extendReadDeadline() { _ = c.socket.SetReadDeadline(time.Now().Add(readTimeout)) }

func (c *Conn) deliver(m Message, h Handler) {
	if m.ReplyTo == 0 {
		h(c, m)
		return
	}
	c.mu.Lock()
	p, ok := c.pending[m.ReplyTo]
	c.mu.Unlock()
	if ok {
		p.reply <- m
	}
}

func (c *Conn) writeLoop() {
	for {
		select {
		case <-c.done:
			return
		case <-c.wake:
		}
		c.mu.Lock()
		queued := c.queue
		c.queue = nil
		c.mu.Unlock()
		for batch := range slices.Chunk(queued, maxBatchMessages) {
			if err := c.writeBatch(batch); err != nil {
				c.Close()
				return
			}
		}
	}
}

// writeBatch writes messages as one WebSocket message. If this would exceed maxBatchBytes, it writes several.
func (c *Conn) writeBatch(batch []Message) error {
	data, err := cbor.Marshal(batch)
	if err != nil {
		return fmt.Errorf("encoding %d messages: %w", len(batch), err)
	}
	if half := len(batch) / 2; half > 0 && len(data) > maxBatchBytes {
		if err := c.writeBatch(batch[:half]); err != nil {
			return err
		}
		return c.writeBatch(batch[half:])
	}
	c.identity.count(CounterSent, len(data))
	return c.writeMessage(data)
}

// writeMessage writes one WebSocket message. Each piece of it has its own deadline (writeTimeout).
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

// Decode decodes a batch of messages as a link does. It is exported for fuzzing.
func Decode(data []byte) ([]Message, error) {
	var batch []Message
	if err := decoder.Unmarshal(data, &batch); err != nil {
		return nil, fmt.Errorf("decoding messages: %w", err)
	}
	return batch, nil
}

// Encode encodes a batch of messages as a link does.
func Encode(batch []Message) ([]byte, error) { return cbor.Marshal(batch) }

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)
