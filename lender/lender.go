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
	pathBorrow  = "/peer/borrow"
	pathRepay   = "/peer/repay"
	pathTestify = "/peer/testify"
	pathRecall  = "/peer/recall"
)

// borrowAnswer answers a question for money.
type borrowAnswer struct {
	Amount int64 `cbor:"1,keyasint"`
	// Lender is who lends, which may be a successor of the one that was asked.
	Lender masticway.Incarnation `cbor:"2,keyasint,omitempty"`
}

// receipt answers a message of which nothing but the arrival matters.
type receipt struct{}

// testifyAnswer tells whether a statement was taken.
type testifyAnswer struct {
	Taken bool `cbor:"1,keyasint"`
}

// recallRequest asks a witness, by incarnation, for an ended router's statements.
type recallRequest struct {
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
func (c *Client) Borrow(ctx context.Context, address string, ask treasurer.LoanRequest) (treasurer.Loan, error) {
	answer, err := messenger.Call[borrowAnswer](ctx, c.messages, address, pathBorrow, ask)
	return treasurer.Loan{Lender: answer.Lender, Amount: min(ask.Need, max(0, answer.Amount))}, err
}

// Repay gives a loan back.
func (c *Client) Repay(ctx context.Context, address string, r treasurer.Repayment) error {
	_, err := messenger.Call[receipt](ctx, c.messages, address, pathRepay, r)
	return err
}

// SendReport gives a statement to a witness and tells whether it took it.
func (c *Client) SendReport(ctx context.Context, address string, s treasurer.SpendReport) (bool, error) {
	answer, err := messenger.Call[testifyAnswer](ctx, c.messages, address, pathTestify, s)
	return answer.Taken, err
}

// FinalReports asks a witness what an ended incarnation has stated.
func (c *Client) FinalReports(ctx context.Context, address string, witness, ended masticway.Incarnation) (treasurer.WitnessRecord, error) {
	return messenger.Call[treasurer.WitnessRecord](ctx, c.messages, address, pathRecall, recallRequest{Witness: witness, Ended: ended})
}

// Purse is what a router lends from, and what it remembers for others.
type Purse interface {
	// Self names the incarnation that lends.
	Self() masticway.Incarnation
	// Lend takes money out for another router and returns how much.
	Lend(ctx context.Context, ask treasurer.LoanRequest) int64
	// AcceptRepayment takes money back.
	AcceptRepayment(r treasurer.Repayment)
	// AcceptReport takes another router's statement, unless that one has ended.
	AcceptReport(s treasurer.SpendReport) bool
	// FinalReports tells what an ended incarnation has stated to a witness, and lets it state nothing more.
	FinalReports(witness, ended masticway.Incarnation) treasurer.WitnessRecord
}

// Serve answers the calls of other routers.
func Serve(mux *http.ServeMux, p Purse) {
	messenger.Handle(mux, pathBorrow, func(ctx context.Context, ask treasurer.LoanRequest) borrowAnswer {
		return borrowAnswer{Amount: p.Lend(ctx, ask), Lender: p.Self()}
	})
	messenger.Handle(mux, pathRepay, func(_ context.Context, r treasurer.Repayment) receipt {
		p.AcceptRepayment(r)
		return receipt{}
	})
	messenger.Handle(mux, pathTestify, func(_ context.Context, s treasurer.SpendReport) testifyAnswer {
		return testifyAnswer{Taken: p.AcceptReport(s)}
	})
	messenger.Handle(mux, pathRecall, func(_ context.Context, r recallRequest) treasurer.WitnessRecord {
		return p.FinalReports(r.Witness, r.Ended)
	})
}
