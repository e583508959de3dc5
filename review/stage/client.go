//go:build review2

package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// body is that of all requests that have one.
const body = "{}"

// call is a request of a client and what the client saw of its answer.
type call struct {
	// Method is POST if it is empty; GET has no body.
	Method                            string
	Attempt, Host, Path, Key, Gateway string
	Prompt, Output                    int
	Deadline                          time.Duration
	// LastEvent is sent if it isn't empty.
	LastEvent string
	// LeaveAfter is the number of events after which the client closes its channel; zero means never.
	LeaveAfter int

	SentAt, EndedAt time.Time
	Status          int
	Events          int
	Whole, Left     bool
	Err             string
}

// do sends the call to a gateway on a new channel and reads the answer.
func (c *call) do(address string) {
	c.Gateway, c.SentAt = address, time.Now()
	defer func() { c.EndedAt = time.Now() }()
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		c.Err = err.Error()
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(c.SentAt.Add(c.Deadline))
	method := cmp.Or(c.Method, http.MethodPost)
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Token %s\r\n", method, c.Path, c.Host, c.Attempt, c.Deadline.Milliseconds(), c.Key)
	if c.Output > 0 {
		fmt.Fprintf(&b, "X-Model: m\r\nX-Token-Count: %d,%d\r\nX-Prefix-Hash: %s:%d\r\n", c.Prompt, c.Output, c.Attempt[len(c.Attempt)-8:], c.Prompt)
	}
	if c.LastEvent != "" {
		fmt.Fprintf(&b, "Last-Event-Id: %s\r\n", c.LastEvent)
	}
	if method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	} else {
		b.WriteString("\r\n")
	}
	if _, err := io.WriteString(conn, b.String()); err != nil {
		c.Err = err.Error()
		return
	}
	r, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		c.Err = err.Error()
		return
	}
	c.Status = r.StatusCode
	reader := bufio.NewReader(r.Body)
	for {
		line, err := reader.ReadString('\n')
		if err == io.EOF {
			c.Whole = true
			return
		}
		if err != nil {
			c.Err = err.Error()
			return
		}
		if strings.HasPrefix(line, "id:") {
			continue
		}
		if line == "\n" && c.Status == http.StatusOK {
			c.Events++
			if c.LeaveAfter > 0 && c.Events >= c.LeaveAfter {
				c.Left = true
				return
			}
		}
	}
}
