package lender

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/masticway/masticway/treasurer"
)

// Paths of the calls.
const (
	pathBorrow = "/peer/borrow"
	pathRepay  = "/peer/repay"
)

const (
	// bodyLimit bounds a message; it names one workspace and a few numbers.
	bodyLimit = 4 << 10
	// idleTimeout ends connections between routers that have not lent for a while.
	idleTimeout = 20 * time.Second
)

// borrowRequest and borrowAnswer are the bodies of a question for money.
type borrowRequest struct {
	Workspace string `cbor:"1,keyasint"`
	Need      int64  `cbor:"2,keyasint"`
}

type borrowAnswer struct {
	Amount int64 `cbor:"1,keyasint"`
}

// Client asks other routers; it implements treasurer.Lender.
type Client struct {
	http *http.Client
}

// NewClient returns a client.
func NewClient() *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{IdleConnTimeout: idleTimeout, MaxIdleConnsPerHost: 2, DisableCompression: true}}}
}

// Borrow asks the router at an address for money of a workspace.
func (c *Client) Borrow(ctx context.Context, address, workspace string, need int64) (int64, error) {
	data, err := c.call(ctx, address, pathBorrow, borrowRequest{Workspace: workspace, Need: need})
	if err != nil {
		return 0, err
	}
	var answer borrowAnswer
	if err := cbor.Unmarshal(data, &answer); err != nil {
		return 0, fmt.Errorf("decoding a loan from %s: %w", address, err)
	}
	return min(need, max(0, answer.Amount)), nil
}

// Repay gives a loan back.
func (c *Client) Repay(ctx context.Context, address string, r treasurer.Repayment) error {
	_, err := c.call(ctx, address, pathRepay, r)
	return err
}

func (c *Client) call(ctx context.Context, address, path string, message any) ([]byte, error) {
	data, err := cbor.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("encoding for %s: %w", path, err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, fmt.Errorf("asking %s: %w", address, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, bodyLimit))
	if err != nil {
		return nil, fmt.Errorf("asking %s: %w", address, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("asking %s: status %d", address, response.StatusCode)
	}
	return body, nil
}

// Purse is what a router lends from.
type Purse interface {
	// Lend takes money out for another router and returns how much.
	Lend(ctx context.Context, workspace string, need int64) int64
	// Repaid takes money back.
	Repaid(r treasurer.Repayment)
}

// NewHandler serves the calls of other routers.
func NewHandler(p Purse) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathBorrow, func(w http.ResponseWriter, r *http.Request) {
		request, ok := read[borrowRequest](w, r)
		if !ok {
			return
		}
		data, err := cbor.Marshal(borrowAnswer{Amount: p.Lend(r.Context(), request.Workspace, request.Need)})
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		_, _ = w.Write(data)
	})
	mux.HandleFunc("POST "+pathRepay, func(w http.ResponseWriter, r *http.Request) {
		if request, ok := read[treasurer.Repayment](w, r); ok {
			p.Repaid(request)
		}
	})
	return mux
}

func read[T any](w http.ResponseWriter, r *http.Request) (T, bool) {
	var v T
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyLimit))
	if err == nil {
		err = cbor.Unmarshal(data, &v)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return v, false
	}
	return v, true
}
