package linker

import (
	"context"
	"crypto/hmac"
	cryptorand "crypto/rand"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gorilla/websocket"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/receiver"
)

const (
	// Path is the HTTP path at which a process accepts links.
	Path             = "/link"
	nonceBytes       = 16
	handshakeTimeout = 2 * time.Second
	// minBackoff and maxBackoff bound the time between two attempts of KeepConnected to connect, before jitter. The jitter
	// makes each time half to one and a half times as long.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// bufferBytes is the size of a link's read buffer and of its write buffer. It is small because most of the many links are
	// idle. A larger message takes several reads.
	bufferBytes = 1024
	// The labels make the MACs of the two directions differ, so that one cannot be replayed as the other.
	labelServer = "masticway server"
	labelClient = "masticway client"
)

// writeBuffers is shared by all links because a link needs a write buffer only while it writes.
var writeBuffers sync.Pool

// HandshakeError reports that a peer could not be authenticated or has another protocol version.
type HandshakeError struct {
	Reason string
}

// Error returns a text with the reason.
func (e *HandshakeError) Error() string { return "handshake failed: " + e.Reason }

// Meter counts the bytes that links send and receive.
type Meter interface {
	Add(name string, n int64)
}

// Names of the counters passed to a Meter. They count the bytes of encoded messages.
const (
	CounterSent     = "link_bytes_sent"
	CounterReceived = "link_bytes_received"
)

// Identity is a process's identity and the key that authenticates it to its peers.
type Identity struct {
	Self masticway.Peer
	// Key is the fleet key, which all processes have.
	Key []byte
	// Meter counts the bytes of all links of the process. It may be nil.
	Meter Meter
}

func (i Identity) count(name string, n int) {
	if i.Meter != nil {
		i.Meter.Add(name, int64(n))
	}
}

func (i Identity) mac(label string, parts ...[]byte) []byte {
	h := hmac.New(sha256.New, i.Key)
	h.Write([]byte(label))
	for _, p := range parts {
		sum := sha256.Sum256(p)
		h.Write(sum[:])
	}
	return h.Sum(nil)
}

func peerBytes(p masticway.Peer) []byte {
	return []byte(string(p.Role) + "\x00" + p.Instance + "\x00" + string(p.Incarnation))
}

func newNonce() []byte {
	n := make([]byte, nonceBytes)
	_, _ = cryptorand.Read(n)
	return n
}

func writeHandshake(socket *websocket.Conn, v any) error {
	data, err := cbor.Marshal(v)
	if err != nil {
		return fmt.Errorf("encoding handshake: %w", err)
	}
	_ = socket.SetWriteDeadline(time.Now().Add(handshakeTimeout))
	return socket.WriteMessage(websocket.BinaryMessage, data)
}

func readHandshake(socket *websocket.Conn, v any) error {
	_ = socket.SetReadDeadline(time.Now().Add(handshakeTimeout))
	_, data, err := socket.ReadMessage()
	if err != nil {
		return fmt.Errorf("reading handshake: %w", err)
	}
	return cbor.Unmarshal(data, v)
}

// Listener is an http.Handler that accepts links from peers. It keeps at most one link for each incarnation.
type Listener struct {
	identity Identity
	handler  Handler
	onUp     func(*Conn)
	onDown   func(*Conn)
	upgrader websocket.Upgrader

	mu     sync.Mutex
	conns  map[masticway.Incarnation]*Conn
	wg     sync.WaitGroup
	closed bool
}

// NewListener returns a listener that calls onUp after a link is established and onDown after it is closed.
func NewListener(i Identity, h Handler, onUp, onDown func(*Conn)) *Listener {
	return &Listener{
		identity: i, handler: h, onUp: onUp, onDown: onDown,
		upgrader: websocket.Upgrader{
			HandshakeTimeout: handshakeTimeout, ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes, WriteBufferPool: &writeBuffers,
		},
		conns: map[masticway.Incarnation]*Conn{},
	}
}

// ServeHTTP upgrades a request to a link, and returns after the link has been closed. It refuses a peer that cannot be
// authenticated, and every peer after Close.
func (l *Listener) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	socket, err := l.upgrader.Upgrade(w, r, nil)
	if err != nil {
		return
	}
	peer, err := l.accept(socket)
	if err != nil {
		_ = socket.Close()
		return
	}
	c := newConn(socket, peer, l.identity)
	if !l.add(c) {
		c.Close()
		return
	}
	defer l.wg.Done()
	l.onUp(c)
	c.run(l.handler)
	l.remove(c)
	l.onDown(c)
}

func (l *Listener) accept(socket *websocket.Conn) (masticway.Peer, error) {
	socket.SetReadLimit(1 << 16)
	var h hello
	if err := readHandshake(socket, &h); err != nil {
		return h.Peer, err
	}
	if h.Version != Version {
		return h.Peer, &HandshakeError{Reason: fmt.Sprintf("version %d, not %d", h.Version, Version)}
	}
	ownNonce := newNonce()
	w := welcome{Version: Version, Peer: l.identity.Self, Nonce: ownNonce}
	w.MAC = l.identity.mac(labelServer, h.Nonce, ownNonce, peerBytes(h.Peer), peerBytes(l.identity.Self))
	if err := writeHandshake(socket, w); err != nil {
		return h.Peer, err
	}
	var p proof
	if err := readHandshake(socket, &p); err != nil {
		return h.Peer, err
	}
	expected := l.identity.mac(labelClient, ownNonce, h.Nonce, peerBytes(h.Peer), peerBytes(l.identity.Self))
	if !hmac.Equal(expected, p.MAC) {
		return h.Peer, &HandshakeError{Reason: "wrong key"}
	}
	return h.Peer, nil
}

// add registers a link. It closes an older link of the peer's incarnation, so that no further messages are read from that
// one. It returns false if the listener is closed.
func (l *Listener) add(c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	if old, ok := l.conns[c.peer.Incarnation]; ok {
		old.Close()
	}
	l.conns[c.peer.Incarnation] = c
	l.wg.Add(1)
	return true
}

func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns[c.peer.Incarnation] == c {
		delete(l.conns, c.peer.Incarnation)
	}
}

// Get returns the link to an incarnation, or nil if there is none.
func (l *Listener) Get(inc masticway.Incarnation) *Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conns[inc]
}

// All returns the registered links.
func (l *Listener) All() []*Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]*Conn, 0, len(l.conns))
	for _, c := range l.conns {
		all = append(all, c)
	}
	return all
}

// Close closes all links and waits until onDown has returned for each of them. Later links are refused.
func (l *Listener) Close() {
	l.mu.Lock()
	l.closed = true
	for _, c := range l.conns {
		c.Close()
	}
	l.mu.Unlock()
	l.wg.Wait()
}

// Dialer opens links to peers.
type Dialer struct {
	Identity Identity
	Dial     DialFunc
	Handler  Handler
	// OnUp is called after a link is established.
	OnUp func(*Conn)
	// OnDown is called after a link is closed.
	OnDown func(*Conn)
}

// Connect opens a link and authenticates both ends. The caller must pass the link to Serve. Until then, no messages are read
// or written. Connect fails with an error that wraps receiver.HeadTooLargeError if the peer's answer does not end.
func (d Dialer) Connect(ctx context.Context, address string) (*Conn, error) {
	var head *receiver.HeadConn
	w := websocket.Dialer{
		NetDialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			n, err := d.Dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			head = receiver.NewHeadConn(n)
			return head, nil
		},
		HandshakeTimeout: handshakeTimeout,
		ReadBufferSize:   bufferBytes, WriteBufferSize: bufferBytes, WriteBufferPool: &writeBuffers,
	}
	socket, response, err := w.DialContext(ctx, "ws://"+address+Path, nil)
	if err != nil {
		return nil, fmt.Errorf("dialing link %s: %w", address, err)
	}
	_ = response.Body.Close()
	head.EndHead()
	peer, err := d.authenticate(socket)
	if err != nil {
		_ = socket.Close()
		return nil, fmt.Errorf("authenticating link %s: %w", address, err)
	}
	return newConn(socket, peer, d.Identity), nil
}

func (d Dialer) authenticate(socket *websocket.Conn) (masticway.Peer, error) {
	socket.SetReadLimit(1 << 16)
	ownNonce := newNonce()
	if err := writeHandshake(socket, hello{Version: Version, Peer: d.Identity.Self, Nonce: ownNonce}); err != nil {
		return masticway.Peer{}, err
	}
	var w welcome
	if err := readHandshake(socket, &w); err != nil {
		return masticway.Peer{}, err
	}
	expected := d.Identity.mac(labelServer, ownNonce, w.Nonce, peerBytes(d.Identity.Self), peerBytes(w.Peer))
	if !hmac.Equal(expected, w.MAC) {
		return w.Peer, &HandshakeError{Reason: "wrong key"}
	}
	mac := d.Identity.mac(labelClient, w.Nonce, ownNonce, peerBytes(d.Identity.Self), peerBytes(w.Peer))
	return w.Peer, writeHandshake(socket, proof{MAC: mac})
}

// KeepConnected connects to an address and serves the link until ctx is done. It reconnects with jittered exponential
// backoff.
func (d Dialer) KeepConnected(ctx context.Context, address string) {
	wait := minBackoff
	for ctx.Err() == nil {
		c, err := d.Connect(ctx, address)
		if err != nil {
			if !sleep(ctx, time.Duration(rand.Int64N(int64(wait)))+wait/2) {
				return
			}
			wait = min(2*wait, maxBackoff)
			continue
		}
		wait = minBackoff
		d.Serve(ctx, c)
	}
}

// Serve calls OnUp, runs a link and then calls OnDown. The link runs until it fails, it is closed or ctx is done.
func (d Dialer) Serve(ctx context.Context, c *Conn) {
	stop := context.AfterFunc(ctx, c.Close)
	defer stop()
	d.OnUp(c)
	c.run(d.Handler)
	d.OnDown(c)
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
