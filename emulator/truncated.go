package emulator

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// attemptMark stands for the ID of the request in the text of a truncated answer.
const attemptMark = "{attempt}"

// TruncatedAnswer is an answer of which a server sends only the first bytes before it ends the connection.
type TruncatedAnswer struct {
	// Text is the whole answer. It may contain attemptMark, which is replaced by the ID of the request.
	Text string
	// Length is the number of bytes that are sent.
	Length int
	// Resets is set if the connection is reset and not closed.
	Resets bool
}

// TruncatedAnswers returns whole answers with a body, by how they delimit it.
func TruncatedAnswers(body string) map[string]string {
	const head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attemptMark + "\r\nX-Server-Signature: s\r\nContent-Type: text/event-stream\r\n"
	half := len(body) / 2
	chunks := strconv.FormatInt(int64(half), 16) + ";note=1\r\n" + body[:half] + "\r\n" + strconv.FormatInt(int64(len(body)-half), 16) + "\r\n" + body[half:] + "\r\n0\r\n"
	return map[string]string{
		"length":                        head + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body,
		"chunks":                        head + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "\r\n",
		"chunks and a trailer":          head + "Trailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + "X-Sum: 1\r\n\r\n",
		"after an informational answer": "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + head + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body,
	}
}

// StartTruncatedServer starts a server on a loopback port that answers each request with a truncated answer, and returns its listener.
func StartTruncatedServer(a TruncatedAnswer) (net.Listener, error) {
	return listen(a.serve)
}

// listen starts a server on a loopback port that calls serve for each connection.
func listen(serve func(c net.Conn)) (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l, nil
}

func (a TruncatedAnswer) serve(c net.Conn) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	text := strings.ReplaceAll(a.Text, attemptMark, r.Header.Get("X-Attempt-Id"))
	_, _ = io.WriteString(c, text[:min(len(text), a.Length)])
	if a.Resets {
		resetOnClose(c)
	}
}

// EarlyAnswer is an answer that a server sends when it has read the head of a request, and no more of it.
type EarlyAnswer struct {
	Text string
	// After is how long after the answer the server resets the connection. If it is zero and Keeps is set, the server reads the rest of the
	// request and closes the connection in order.
	After time.Duration
	Keeps bool
}

// StartEarlyServer starts a server on a loopback port that answers each request with an early answer, and returns its listener.
func StartEarlyServer(a EarlyAnswer) (net.Listener, error) {
	return listen(a.serve)
}

func (a EarlyAnswer) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		if line == "\r\n" {
			break
		}
	}
	_, _ = io.WriteString(c, a.Text)
	if a.Keeps {
		_, _ = io.Copy(io.Discard, r)
		return
	}
	time.Sleep(a.After)
	resetOnClose(c)
}

// resetOnClose makes the kernel reset a connection when it is closed.
func resetOnClose(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}
