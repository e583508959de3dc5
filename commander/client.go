package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/masticway/masticway/authenticator"
	"github.com/masticway/masticway/receiver"
)

// routerClient calls routers.
var routerClient = &http.Client{Transport: receiver.NewTransport(&http.Transport{DialContext: (&net.Dialer{}).DialContext})}

const (
	// clientTimeout is the longest time until a router's answer begins, and the longest pause in it. The duration of a whole
	// answer is not limited, because it grows with the configuration.
	clientTimeout = 10 * time.Second
	// noSizeLimit is a limit for the size of an answer in bytes that no answer reaches.
	noSizeLimit = math.MaxInt64
)

// client calls a router's operator API. Its fields are the flags of a command.
type client struct {
	router    string // base URL
	tokenFile string // file with the operator token
	output    string // text or json
}

// flags declares the flags of a command that calls the operator API.
func (c *client) flags(s *flaggy.Subcommand) {
	c.output = "text"
	s.String(&c.router, "", "router", "base URL of a router's operator listener")
	s.String(&c.tokenFile, "", "token-file", "file with the operator token")
	s.String(&c.output, "", "output", "text or json")
}

// apiError reports an answer whose status is not 200.
type apiError struct {
	status int
	body   []byte
}

func (e *apiError) Error() string {
	return fmt.Sprintf("status %d: %s", e.status, strings.TrimSpace(string(e.body)))
}

// header is one request header.
type header struct {
	name  string
	value string
}

// apiCall is one request to the operator API.
type apiCall struct {
	method  string
	path    string
	body    []byte
	headers []header
}

// callAndPrint makes a call and prints its answer: as JSON if the output flag says so, and with the function text otherwise.
func callAndPrint[T any](ctx context.Context, c *client, e env, call apiCall, text func(w io.Writer, v T)) error {
	data, err := c.call(ctx, call)
	if err != nil {
		return err
	}
	return printAnswer(c, e, data, text)
}

// call makes a call and returns the body of its answer. It returns a usageError if the flags are invalid, and an apiError if the
// status is not 200.
func (c *client) call(ctx context.Context, call apiCall) ([]byte, error) {
	if c.router == "" || c.tokenFile == "" {
		return nil, &usageError{reason: "--router and --token-file are needed"}
	}
	if c.output != "text" && c.output != "json" {
		return nil, &usageError{reason: "--output is text or json"}
	}
	token, err := authenticator.ReadSecret(c.tokenFile)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, call.method, strings.TrimSuffix(c.router, "/")+call.path, bytes.NewReader(call.body))
	if err != nil {
		return nil, fmt.Errorf("building request: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+token)
	for _, h := range call.headers {
		request.Header.Set(h.name, h.value)
	}
	answer, err := receiver.Do(routerClient, request, receiver.Limits{HeaderTimeout: clientTimeout, IdleTimeout: clientTimeout, MaxBytes: noSizeLimit})
	if err != nil {
		return nil, fmt.Errorf("calling the router: %w", err)
	}
	if answer.Status != http.StatusOK {
		return nil, &apiError{status: answer.Status, body: answer.Body}
	}
	return answer.Body, nil
}

// printAnswer prints an answer as indented JSON if the output flag says so. Otherwise it decodes the answer and passes it to
// text.
func printAnswer[T any](c *client, e env, data []byte, text func(w io.Writer, v T)) error {
	if c.output == "json" {
		var indented bytes.Buffer
		if err := json.Indent(&indented, data, "", "  "); err != nil {
			return fmt.Errorf("reading the answer: %w", err)
		}
		_, err := fmt.Fprintln(e.out, strings.TrimSpace(indented.String()))
		return err
	}
	var v T
	if err := json.Unmarshal(data, &v); err != nil {
		return fmt.Errorf("reading the answer: %w", err)
	}
	text(e.out, v)
	return nil
}
