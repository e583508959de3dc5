package lender

import (
	"context"
	"net/http"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/messenger"
	"github.com/masticway/masticway/treasurer"
)

// Paths of the calls.
const (
	pathBorrow       = "/peer/borrow"
	pathRepay        = "/peer/repay"
	pathReport       = "/peer/testify"
	pathFinalReports = "/peer/recall"
)

// borrowResponse answers a question for money.
type borrowResponse struct {
	Amount int64 `cbor:"1,keyasint"`
	// Lender is who lends, which may be a successor of the one that was asked.
	Lender masticway.Incarnation `cbor:"2,keyasint,omitempty"`
}

// ack answers a message of which nothing but the arrival matters.
type ack struct{}

// reportResponse tells whether a statement was taken.
type reportResponse struct {
	Taken bool `cbor:"1,keyasint"`
}

// finalReportsRequest asks a witness, by incarnation, for an ended router's statements.
type finalReportsRequest struct {
	Witness masticway.Incarnation `cbor:"1,keyasint"`
	Ended   masticway.Incarnation `cbor:"2,keyasint"`
}

// Client asks other routers; it implements treasurer.Lender.
type Client struct {
	messages *messenger.Client
}

// NewClient returns a client that sends its calls with another.
func NewClient(m *messenger.Client) *Client { return &Client{messages: m} }

// Borrow asks the router at an address for money of a workspace.
func (c *Client) Borrow(ctx context.Context, address string, ask treasurer.LoanAsk) (treasurer.Loan, error) {
	answer, err := messenger.Call[borrowResponse](ctx, c.messages, address, pathBorrow, ask)
	return treasurer.Loan{Lender: answer.Lender, Amount: min(ask.Need, max(0, answer.Amount))}, err
}

// Repay gives a loan back.
func (c *Client) Repay(ctx context.Context, address string, r treasurer.Repayment) error {
	_, err := messenger.Call[ack](ctx, c.messages, address, pathRepay, r)
	return err
}

// Testify gives a statement to a witness and tells whether it took it.
func (c *Client) Testify(ctx context.Context, address string, s treasurer.Statement) (bool, error) {
	answer, err := messenger.Call[reportResponse](ctx, c.messages, address, pathReport, s)
	return answer.Taken, err
}

// Recall asks a witness what an ended incarnation has stated.
func (c *Client) Recall(ctx context.Context, address string, witness, ended masticway.Incarnation) (treasurer.Recollection, error) {
	return messenger.Call[treasurer.Recollection](ctx, c.messages, address, pathFinalReports, finalReportsRequest{Witness: witness, Ended: ended})
}

// PeerServer is what a router lends from, and what it remembers for others.
type PeerServer interface {
	// Self names the incarnation that lends.
	Self() masticway.Incarnation
	// Lend takes money out for another router and returns how much.
	Lend(ctx context.Context, ask treasurer.LoanAsk) int64
	// Repaid takes money back.
	Repaid(r treasurer.Repayment)
	// Testified takes another router's statement, unless that one has ended.
	Testified(s treasurer.Statement) bool
	// Recall tells what an ended incarnation has stated to a witness, and lets it state nothing more.
	Recall(witness, ended masticway.Incarnation) treasurer.Recollection
}

// Serve answers the calls of other routers.
func Serve(mux *http.ServeMux, p PeerServer) {
	messenger.Handle(mux, pathBorrow, func(ctx context.Context, ask treasurer.LoanAsk) borrowResponse {
		return borrowResponse{Amount: p.Lend(ctx, ask), Lender: p.Self()}
	})
	messenger.Handle(mux, pathRepay, func(_ context.Context, r treasurer.Repayment) ack {
		p.Repaid(r)
		return ack{}
	})
	messenger.Handle(mux, pathReport, func(_ context.Context, s treasurer.Statement) reportResponse {
		return reportResponse{Taken: p.Testified(s)}
	})
	messenger.Handle(mux, pathFinalReports, func(_ context.Context, r finalReportsRequest) treasurer.Recollection {
		return p.Recall(r.Witness, r.Ended)
	})
}
