package linker

import (
	"context"
	"crypto/hmac"
	cryptorand "crypto/rand"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gorilla/websocket"

	"github.com/masticway/masticway"
)

const (
	// Path is where a process takes links.
	Path             = "/link"
	nonceBytes       = 16
	handshakeTimeout = 2 * time.Second
	backoffLeast     = 50 * time.Millisecond
	backoffMost      = time.Second
	// bufferBytes is small because most of many links are idle; a longer message takes several reads.
	bufferBytes = 1024
	// MAC labels keep the two directions apart.
	labelServer = "masticway server"
	labelClient = "masticway client"
)

// writeBuffers are shared by all links, since each needs one only while it writes.
var writeBuffers sync.Pool

// HandshakeError reports a peer that did not prove who it is.
type HandshakeError struct {
	Reason string
}

// Error gives the reason.
func (e *HandshakeError) Error() string { return "handshake failed: " + e.Reason }

// Meter counts what links carry.
type Meter interface {
	Add(name string, n int64)
}

// Names of the counters that a Meter is given, in bytes of messages.
const (
	CounterSent     = "link_bytes_sent"
	CounterReceived = "link_bytes_received"
)

// Identity is what a process proves on its links.
type Identity struct {
	Self masticway.Peer
	Key  []byte
	// Meter counts the bytes of all its links; it may be nil.
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

func nonce() []byte {
	n := make([]byte, nonceBytes)
	_, _ = cryptorand.Read(n)
	return n
}

func writeOne(socket *websocket.Conn, v any) error {
	data, err := cbor.Marshal(v)
	if err != nil {
		return fmt.Errorf("encoding handshake: %w", err)
	}
	_ = socket.SetWriteDeadline(time.Now().Add(handshakeTimeout))
	return socket.WriteMessage(websocket.BinaryMessage, data)
}

func readOne(socket *websocket.Conn, v any) error {
	_ = socket.SetReadDeadline(time.Now().Add(handshakeTimeout))
	_, data, err := socket.ReadMessage()
	if err != nil {
		return fmt.Errorf("reading handshake: %w", err)
	}
	return cbor.Unmarshal(data, v)
}

// Listener takes links from peers as an http.Handler.
type Listener struct {
	identity Identity
	handler  Handler
	up       func(*Conn)
	down     func(*Conn)
	upgrader websocket.Upgrader

	mu    sync.Mutex
	conns map[masticway.Incarnation]*Conn
	wg    sync.WaitGroup
	ended bool
}

// NewListener returns a listener that calls up and down as links come and go.
func NewListener(i Identity, h Handler, up, down func(*Conn)) *Listener {
	return &Listener{
		identity: i, handler: h, up: up, down: down,
		upgrader: websocket.Upgrader{
			HandshakeTimeout: handshakeTimeout, ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes, WriteBufferPool: &writeBuffers,
		},
		conns: map[masticway.Incarnation]*Conn{},
	}
}

// ServeHTTP upgrades a request to a link and serves it until it ends.
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
	l.up(c)
	c.run(l.handler)
	l.remove(c)
	l.down(c)
}

func (l *Listener) accept(socket *websocket.Conn) (masticway.Peer, error) {
	socket.SetReadLimit(1 << 16)
	var h hello
	if err := readOne(socket, &h); err != nil {
		return h.Peer, err
	}
	if h.Version != Version {
		return h.Peer, &HandshakeError{Reason: fmt.Sprintf("version %d, not %d", h.Version, Version)}
	}
	own := nonce()
	w := welcome{Version: Version, Peer: l.identity.Self, Nonce: own}
	w.MAC = l.identity.mac(labelServer, h.Nonce, own, peerBytes(h.Peer), peerBytes(l.identity.Self))
	if err := writeOne(socket, w); err != nil {
		return h.Peer, err
	}
	var p proof
	if err := readOne(socket, &p); err != nil {
		return h.Peer, err
	}
	expected := l.identity.mac(labelClient, own, h.Nonce, peerBytes(h.Peer), peerBytes(l.identity.Self))
	if !hmac.Equal(expected, p.MAC) {
		return h.Peer, &HandshakeError{Reason: "wrong key"}
	}
	return h.Peer, nil
}

// add replaces an older link of the same incarnation, whose unread messages must not be acted on.
func (l *Listener) add(c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
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

// Get returns the link of an incarnation, or nil.
func (l *Listener) Get(inc masticway.Incarnation) *Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conns[inc]
}

// All returns the links that are up.
func (l *Listener) All() []*Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]*Conn, 0, len(l.conns))
	for _, c := range l.conns {
		all = append(all, c)
	}
	return all
}

// Close ends all links and waits for them.
func (l *Listener) Close() {
	l.mu.Lock()
	l.ended = true
	for _, c := range l.conns {
		c.Close()
	}
	l.mu.Unlock()
	l.wg.Wait()
}

// Dialer keeps links to peers.
type Dialer struct {
	Identity Identity
	Dial     DialFunc
	Handler  Handler
	// OnUp and Down are called as the link comes and goes.
	OnUp   func(*Conn)
	OnDown func(*Conn)
}

// Connect opens one link and proves both ends; the caller must run it.
func (d Dialer) Connect(ctx context.Context, address string) (*Conn, error) {
	w := websocket.Dialer{
		NetDialContext: d.Dial, HandshakeTimeout: handshakeTimeout,
		ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes, WriteBufferPool: &writeBuffers,
	}
	socket, response, err := w.DialContext(ctx, "ws://"+address+Path, nil)
	if err != nil {
		return nil, fmt.Errorf("dialing link %s: %w", address, err)
	}
	_ = response.Body.Close()
	peer, err := d.prove(socket)
	if err != nil {
		_ = socket.Close()
		return nil, fmt.Errorf("proving link %s: %w", address, err)
	}
	return newConn(socket, peer, d.Identity), nil
}

func (d Dialer) prove(socket *websocket.Conn) (masticway.Peer, error) {
	socket.SetReadLimit(1 << 16)
	own := nonce()
	if err := writeOne(socket, hello{Version: Version, Peer: d.Identity.Self, Nonce: own}); err != nil {
		return masticway.Peer{}, err
	}
	var w welcome
	if err := readOne(socket, &w); err != nil {
		return masticway.Peer{}, err
	}
	expected := d.Identity.mac(labelServer, own, w.Nonce, peerBytes(d.Identity.Self), peerBytes(w.Peer))
	if !hmac.Equal(expected, w.MAC) {
		return w.Peer, &HandshakeError{Reason: "wrong key"}
	}
	mac := d.Identity.mac(labelClient, w.Nonce, own, peerBytes(d.Identity.Self), peerBytes(w.Peer))
	return w.Peer, writeOne(socket, proof{MAC: mac})
}

// KeepConnected holds a link to an address until the context ends, dialing again with jittered backoff.
func (d Dialer) KeepConnected(ctx context.Context, address string) {
	wait := backoffLeast
	for ctx.Err() == nil {
		c, err := d.Connect(ctx, address)
		if err != nil {
			if !sleep(ctx, time.Duration(rand.Int64N(int64(wait)))+wait/2) {
				return
			}
			wait = min(2*wait, backoffMost)
			continue
		}
		wait = backoffLeast
		d.Serve(ctx, c)
	}
}

// Serve runs a link until it or the context ends.
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
