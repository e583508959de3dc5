package lender_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/lender"
	"github.com/masticway/masticway/messenger"
	"github.com/masticway/masticway/treasurer"
)

// peerServer lends until its balance is zero and records repayments and reports.
type peerServer struct {
	mu      sync.Mutex
	balance int64
	repaid  []treasurer.Repayment
	reports []treasurer.SpendReport

	farewells []treasurer.Farewell
}

func (p *peerServer) AcceptReport(s treasurer.SpendReport) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reports = append(p.reports, s)
	return s.Sender != "gone~1"
}

func (p *peerServer) AcceptFarewell(f treasurer.Farewell) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.farewells = append(p.farewells, f)
	return f.Sender != "gone~1"
}

func (p *peerServer) FinalReports(witness, ended masticway.Incarnation) treasurer.WitnessRecord {
	if witness != "b~2" || ended != "a~1" {
		return treasurer.WitnessRecord{}
	}
	return treasurer.WitnessRecord{IsNamedWitness: true, Reported: map[string]treasurer.ReportedSpend{"w": {Taken: 9, Checkpoint: 4}}}
}

// serve starts an HTTP server for p and returns a client and the server's address.
func serve(t *testing.T, p *peerServer) (*lender.Client, string) {
	mux := http.NewServeMux()
	lender.Serve(mux, p)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return lender.NewClient(messenger.NewClient()), strings.TrimPrefix(server.URL, "http://")
}

// budget is what the lender knows of each workspace's budget.
var budget = treasurer.BudgetReading{IsKnown: true, Ungranted: 12, Version: 3}

func (p *peerServer) Lend(_ context.Context, request treasurer.LoanRequest) treasurer.Loan {
	p.mu.Lock()
	defer p.mu.Unlock()
	loan := treasurer.Loan{Lender: p.Self(), Budget: budget}
	if request.Workspace == "w" {
		loan.Amount = min(request.Need, p.balance)
		p.balance -= loan.Amount
	}
	return loan
}

func (p *peerServer) Self() masticway.Incarnation { return "b~2" }

func (p *peerServer) AcceptRepayment(r treasurer.Repayment) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.repaid = append(p.repaid, r)
}

func TestBorrowAndRepay(t *testing.T) {
	p := &peerServer{balance: 100}
	client, address := serve(t, p)
	cases := []struct {
		workspace  string
		need, want int64
	}{{"w", 60, 60}, {"w", 60, 40}, {"w", 60, 0}, {"other", 1, 0}}
	for _, tc := range cases {
		loan, err := client.Borrow(t.Context(), address, treasurer.LoanRequest{Number: 1, Borrower: "a~1", Workspace: tc.workspace, Need: tc.need})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, loan, qt.Equals, treasurer.Loan{Lender: "b~2", Amount: tc.want, Budget: budget})
	}
	back := treasurer.Repayment{Number: 3, Borrower: "a~1", Lender: "b~2", Workspace: "w", Amount: 7}
	qt.Assert(t, client.Repay(t.Context(), address, back), qt.IsNil)
	qt.Assert(t, p.repaid, qt.DeepEquals, []treasurer.Repayment{back})
}

func TestFarewellsAreAccepted(t *testing.T) {
	p := &peerServer{}
	client, address := serve(t, p)
	f := treasurer.Farewell{Sender: "a~1", Era: 2, Taken: map[string]int64{"w": 9}}
	accepted, err := client.SendFarewell(t.Context(), address, f)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, accepted, qt.IsTrue)
	qt.Assert(t, p.farewells, qt.DeepEquals, []treasurer.Farewell{f})
	accepted, err = client.SendFarewell(t.Context(), address, treasurer.Farewell{Sender: "gone~1"})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, accepted, qt.IsFalse)
}

func TestReportsAreAcceptedAndReturned(t *testing.T) {
	p := &peerServer{}
	client, address := serve(t, p)
	s := treasurer.SpendReport{Sender: "a~1", Witness: "b~2", OldestCheckpoint: 3, NewestCheckpoint: 4, Taken: map[string]int64{"w": 9}}
	accepted, err := client.SendReport(t.Context(), address, s)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, accepted, qt.IsTrue)
	qt.Assert(t, p.reports, qt.DeepEquals, []treasurer.SpendReport{s})
	accepted, err = client.SendReport(t.Context(), address, treasurer.SpendReport{Sender: "gone~1"})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, accepted, qt.IsFalse)
	r, err := client.FinalReports(t.Context(), address, "b~2", "a~1")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r, qt.DeepEquals, treasurer.WitnessRecord{IsNamedWitness: true, Reported: map[string]treasurer.ReportedSpend{"w": {Taken: 9, Checkpoint: 4}}})
	r, err = client.FinalReports(t.Context(), address, "b~1", "a~1")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.IsNamedWitness, qt.IsFalse)
}

func TestUnreachableRouterIsAnError(t *testing.T) {
	server := httptest.NewServer(http.NewServeMux())
	address := strings.TrimPrefix(server.URL, "http://")
	server.Close()
	client := lender.NewClient(messenger.NewClient())
	_, err := client.Borrow(t.Context(), address, treasurer.LoanRequest{Workspace: "w", Need: 1})
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, client.Repay(t.Context(), address, treasurer.Repayment{}), qt.IsNotNil)
	accepted, err := client.SendReport(t.Context(), address, treasurer.SpendReport{})
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, accepted, qt.IsFalse)
	_, err = client.FinalReports(t.Context(), address, "b~1", "a~1")
	qt.Assert(t, err, qt.IsNotNil)
}

func TestGarbledCallsAreRefused(t *testing.T) {
	_, address := serve(t, &peerServer{balance: 5})
	for _, path := range []string{"/peer/borrow", "/peer/repay", "/peer/testify", "/peer/recall"} {
		response, err := http.Post("http://"+address+path, "application/cbor", strings.NewReader("\xff"))
		qt.Assert(t, err, qt.IsNil)
		response.Body.Close()
		qt.Assert(t, response.StatusCode, qt.Equals, 400)
	}
}
