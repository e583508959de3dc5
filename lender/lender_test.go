package lender_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway/lender"
	"github.com/masticway/masticway/treasurer"
)

// purse lends what it has.
type purse struct {
	mu     sync.Mutex
	has    int64
	repaid []treasurer.Repayment
}

func (p *purse) Lend(_ context.Context, workspace string, need int64) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if workspace != "w" {
		return 0
	}
	amount := min(need, p.has)
	p.has -= amount
	return amount
}

func (p *purse) Repaid(r treasurer.Repayment) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.repaid = append(p.repaid, r)
}

func TestMoneyGoesToAnotherRouterAndBack(t *testing.T) {
	p := &purse{has: 100}
	server := httptest.NewServer(lender.NewHandler(p))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	client := lender.NewClient()
	cases := []struct {
		workspace  string
		need, want int64
	}{{"w", 60, 60}, {"w", 60, 40}, {"w", 60, 0}, {"other", 1, 0}}
	for _, tc := range cases {
		amount, err := client.Borrow(t.Context(), address, tc.workspace, tc.need)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, amount, qt.Equals, tc.want)
	}
	back := treasurer.Repayment{Number: 3, Borrower: "a~1", Lender: "b~2", Workspace: "w", Amount: 7}
	qt.Assert(t, client.Repay(t.Context(), address, back), qt.IsNil)
	qt.Assert(t, p.repaid, qt.DeepEquals, []treasurer.Repayment{back})
}

func TestUnreachedRouterIsAnError(t *testing.T) {
	server := httptest.NewServer(lender.NewHandler(&purse{}))
	address := strings.TrimPrefix(server.URL, "http://")
	server.Close()
	_, err := lender.NewClient().Borrow(t.Context(), address, "w", 1)
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, lender.NewClient().Repay(t.Context(), address, treasurer.Repayment{}), qt.IsNotNil)
}

func TestGarbledCallsAreRefused(t *testing.T) {
	server := httptest.NewServer(lender.NewHandler(&purse{has: 5}))
	defer server.Close()
	for _, path := range []string{"/peer/borrow", "/peer/repay"} {
		response, err := server.Client().Post(server.URL+path, "application/cbor", strings.NewReader("\xff"))
		qt.Assert(t, err, qt.IsNil)
		response.Body.Close()
		qt.Assert(t, response.StatusCode, qt.Equals, 400)
	}
}
