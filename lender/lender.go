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
	pathFarewell     = "/peer/farewell"
)

// borrowResponse is the answer to a loan request. Amount is the number of tokens that are lent.
type borrowResponse struct {
	Amount int64 `cbor:"1,keyasint"`
	// Lender is the incarnation that lends. It may be another one than the caller expects if the router has been restarted.
	Lender masticway.Incarnation `cbor:"2,keyasint,omitempty"`
	// Budget is what the lender knows of the workspace's budget.
	Budget treasurer.BudgetReading `cbor:"3,keyasint,omitempty"`
}

// ack is the answer to a message that only needs to be confirmed.
type ack struct{}

// reportResponse is the answer to a report. Accepted is set if the witness has accepted the report.
type reportResponse struct {
	Accepted bool `cbor:"1,keyasint"`
}

// farewellResponse is the answer to a farewell. Accepted is set if the router will close the sender's grants.
type farewellResponse struct {
	Accepted bool `cbor:"1,keyasint"`
}

// finalReportsRequest asks the router Witness for what the incarnation Ended reported to it. The router has no such record
// if it has been restarted since then and is no longer the incarnation Witness.
type finalReportsRequest struct {
	Witness masticway.Incarnation `cbor:"1,keyasint"`
	Ended   masticway.Incarnation `cbor:"2,keyasint"`
}

// Client calls other routers. It implements the interface treasurer.PeerClient.
type Client struct {
	messages *messenger.Client
}

// NewClient returns a client that sends its calls with m.
func NewClient(m *messenger.Client) *Client { return &Client{messages: m} }

// Borrow requests a loan of a workspace's tokens from the router at an address. The amount of the loan is at most the need
// in the request. It is zero if the router lends nothing.
func (c *Client) Borrow(ctx context.Context, address string, request treasurer.LoanRequest) (treasurer.Loan, error) {
	answer, err := messenger.Call[borrowResponse](ctx, c.messages, address, pathBorrow, request)
	return treasurer.Loan{Lender: answer.Lender, Amount: min(request.Need, max(0, answer.Amount)), Budget: answer.Budget}, err
}

// Repay sends a repayment, or the cancellation of a loan request, to the router at an address.
func (c *Client) Repay(ctx context.Context, address string, r treasurer.Repayment) error {
	_, err := messenger.Call[ack](ctx, c.messages, address, pathRepay, r)
	return err
}

// SendReport sends a report to a witness and reports whether the witness accepted it.
func (c *Client) SendReport(ctx context.Context, address string, s treasurer.SpendReport) (bool, error) {
	answer, err := messenger.Call[reportResponse](ctx, c.messages, address, pathReport, s)
	return answer.Accepted, err
}

// FinalReports asks the incarnation witness, at an address, for what an ended incarnation reported to it. The witness then
// refuses further reports of the ended incarnation.
func (c *Client) FinalReports(ctx context.Context, address string, witness, ended masticway.Incarnation) (treasurer.WitnessRecord, error) {
	return messenger.Call[treasurer.WitnessRecord](ctx, c.messages, address, pathFinalReports, finalReportsRequest{Witness: witness, Ended: ended})
}

// SendFarewell asks the router at an address to close the grants of an incarnation that shuts down, and reports whether it will.
func (c *Client) SendFarewell(ctx context.Context, address string, f treasurer.Farewell) (bool, error) {
	answer, err := messenger.Call[farewellResponse](ctx, c.messages, address, pathFarewell, f)
	return answer.Accepted, err
}

// PeerServer handles the calls that other routers make to this router.
type PeerServer interface {
	// Lend lends tokens to another router and returns the loan. Its amount is zero if there is nothing to lend.
	Lend(ctx context.Context, request treasurer.LoanRequest) treasurer.Loan
	// AcceptRepayment takes back tokens that another router has borrowed, or cancels its loan request.
	AcceptRepayment(r treasurer.Repayment)
	// AcceptReport records another router's report and returns true. It returns false, without recording the report, if this router
	// is no witness of the sender or must not be one now.
	AcceptReport(s treasurer.SpendReport) bool
	// FinalReports returns what an ended incarnation reported to a witness. The record is empty if the witness is another
	// incarnation than this one; otherwise AcceptReport refuses later reports of the ended incarnation.
	FinalReports(witness, ended masticway.Incarnation) treasurer.WitnessRecord
	// AcceptFarewell makes this router close the grants of an incarnation that shuts down, and returns true. It returns false if this
	// router will not.
	AcceptFarewell(f treasurer.Farewell) bool
}

// Serve registers handlers on mux that pass the calls of other routers to p.
func Serve(mux *http.ServeMux, p PeerServer) {
	messenger.Handle(mux, pathBorrow, func(ctx context.Context, request treasurer.LoanRequest) borrowResponse {
		loan := p.Lend(ctx, request)
		return borrowResponse{Amount: loan.Amount, Lender: loan.Lender, Budget: loan.Budget}
	})
	messenger.Handle(mux, pathRepay, func(_ context.Context, r treasurer.Repayment) ack {
		p.AcceptRepayment(r)
		return ack{}
	})
	messenger.Handle(mux, pathReport, func(_ context.Context, s treasurer.SpendReport) reportResponse {
		return reportResponse{Accepted: p.AcceptReport(s)}
	})
	messenger.Handle(mux, pathFarewell, func(_ context.Context, f treasurer.Farewell) farewellResponse {
		return farewellResponse{Accepted: p.AcceptFarewell(f)}
	})
	messenger.Handle(mux, pathFinalReports, func(_ context.Context, r finalReportsRequest) treasurer.WitnessRecord {
		return p.FinalReports(r.Witness, r.Ended)
	})
}
