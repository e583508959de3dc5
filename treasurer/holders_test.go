package treasurer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/treasurer"
)

// newPeers returns routers spread over availability zones, sorted by incarnation.
func newPeers(routers, zones int, generation string) []treasurer.Peer {
	var peers []treasurer.Peer
	for i := range routers {
		instance := fmt.Sprintf("edge-%03d", i)
		peers = append(peers, treasurer.Peer{
			Witness: treasurer.Witness{Incarnation: masticway.NewIncarnation(instance, generation), Address: instance},
			Zone:    fmt.Sprintf("zone-%d", i%zones),
		})
	}
	return peers
}

// newPlannerWithPeers returns the planner of a router that knows its peers and the workspaces' budgets.
func newPlannerWithPeers(router treasurer.Peer, peers []treasurer.Peer, workspaces int) *treasurer.Planner {
	p := treasurer.NewPlanner(treasurer.Settings{
		Incarnation: router.Incarnation, Address: router.Address, Zone: router.Zone, Parts: 1, Reserve: 10 * time.Second, Holders: 6,
	})
	accounts := map[string]masticway.Account{}
	for i := range workspaces {
		name := fmt.Sprintf("w%d", i)
		accounts[name] = masticway.Account{Workspace: name, Prepaid: 1_000_000, HasLimit: true}
	}
	p.Configure(1, accounts)
	p.SetPeers(len(peers), peers)
	return p
}

// lendersFor returns the routers that a planner without a grant asks for a loan; it is empty for a holder, which does not
// ask at first.
func lendersFor(p *treasurer.Planner, workspace string, now time.Time) []treasurer.Witness {
	p.Hold(now, workspace, 100, now.Add(time.Minute))
	for _, r := range p.DueBorrowRounds(now) {
		return r.Lenders
	}
	return nil
}

// TestRoutersAgreeOnHolders computes which routers each router of a fleet asks for each workspace. In deployments with 20
// to 103 routers, each router sees a request of a workspace only every two to four seconds, so a reserve at every router
// would be unused.
func TestRoutersAgreeOnHolders(t *testing.T) {
	const workspaces = 12
	cases := map[string]struct{ routers, zones, holders int }{
		"five routers in four zones: all":     {routers: 5, zones: 4, holders: 5},
		"thirty in four zones: two in each":   {routers: 30, zones: 4, holders: 8},
		"a hundred in six zones: one in each": {routers: 103, zones: 6, holders: 6},
		"three hundred in six zones":          {routers: 300, zones: 6, holders: 6},
		"a hundred in one zone":               {routers: 100, zones: 1, holders: 6},
		"eight zones: one in each":            {routers: 8, zones: 8, holders: 8},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			peers := newPeers(tc.routers, tc.zones, "1")
			holdersOf := map[string]map[string]bool{}
			load := map[string]int{}
			for _, router := range peers {
				p := newPlannerWithPeers(router, peers, workspaces)
				for i := range workspaces {
					workspace := fmt.Sprintf("w%d", i)
					if holdersOf[workspace] == nil {
						holdersOf[workspace] = map[string]bool{}
					}
					if len(lendersFor(p, workspace, epoch)) == 0 {
						holdersOf[workspace][router.Address] = true
						load[router.Address]++
					}
				}
			}
			for workspace, holders := range holdersOf {
				qt.Assert(t, holders, qt.HasLen, tc.holders, qt.Commentf("%s", workspace))
				for _, router := range peers {
					lenders := lendersFor(newPlannerWithPeers(router, peers, workspaces), workspace, epoch)
					if len(lenders) == 0 {
						continue
					}
					for _, l := range lenders[:tc.holders] {
						qt.Assert(t, holders[l.Address], qt.IsTrue, qt.Commentf("%s asks %s for %s", router.Address, l.Address, workspace))
					}
				}
			}
			for address, n := range load {
				qt.Check(t, n <= 2+4*workspaces*tc.holders/tc.routers, qt.IsTrue, qt.Commentf("%s holds %d of %d", address, n, workspaces))
			}
		})
	}
}

// TestLendersRotate has a router ask for loans of one workspace repeatedly: each holder must be asked first equally often,
// so that neither the crash nor the empty reserve of one holder affects all of the router's callers.
func TestLendersRotate(t *testing.T) {
	const rounds = 4
	peers := newPeers(103, 6, "1")
	for _, router := range peers {
		p := newPlannerWithPeers(router, peers, 1)
		first := map[string]int{}
		holders := len(lendersFor(p, "w0", epoch))
		if holders == 0 {
			continue
		}
		p.CompleteBorrowRound(epoch, treasurer.BorrowRound{Number: 1, Workspace: "w0", Need: 100}, nil, 0)
		for i := range rounds * 6 {
			now := epoch.Add(time.Duration(i+1) * time.Second)
			due := p.DueBorrowRounds(now)
			qt.Assert(t, due, qt.HasLen, 1)
			first[due[0].Lenders[0].Address]++
			p.CompleteBorrowRound(now, due[0], nil, 0)
		}
		qt.Assert(t, first, qt.HasLen, 6)
		for address, n := range first {
			qt.Assert(t, n, qt.Equals, rounds, qt.Commentf("%s asks %s", router.Address, address))
		}
	}
}

func TestRestartsKeepHolders(t *testing.T) {
	before, after := newPeers(30, 3, "1"), newPeers(30, 3, "2")
	for i := range before {
		first, second := lendersFor(newPlannerWithPeers(before[i], before, 1), "w0", epoch), lendersFor(newPlannerWithPeers(after[i], after, 1), "w0", epoch)
		qt.Assert(t, len(first), qt.Equals, len(second))
		for k := range first {
			qt.Assert(t, first[k].Address, qt.Equals, second[k].Address)
		}
	}
}

// TestUnresponsiveHolderIsAskedLast has a holder that is frozen or unreachable. Each request to it costs the timeout, so it
// must be asked last for a second after it left one unanswered, and not first for each request.
func TestUnresponsiveHolderIsAskedLast(t *testing.T) {
	peers := newPeers(103, 6, "1")
	for _, router := range peers {
		p := newPlannerWithPeers(router, peers, 1)
		p.Hold(epoch, "w0", 100, epoch.Add(time.Minute))
		for _, r := range p.DueBorrowRounds(epoch) {
			unresponsive := r.Lenders[0]
			p.CancelRequest(epoch, r, unresponsive)
			p.CompleteBorrowRound(epoch, r, nil, 1)
			first := 0
			for i := range 18 {
				wait := time.Duration(i+1) * 100 * time.Millisecond
				again := p.DueBorrowRounds(epoch.Add(wait))
				qt.Assert(t, again, qt.HasLen, 1)
				place := slices.Index(again[0].Lenders, unresponsive)
				if wait < time.Second {
					qt.Assert(t, place, qt.Equals, len(again[0].Lenders)-1, qt.Commentf("after %v", wait))
				}
				if place == 0 {
					first++
				}
				p.CompleteBorrowRound(epoch.Add(wait), again[0], nil, 0)
			}
			qt.Assert(t, first > 0, qt.IsTrue, qt.Commentf("it must be asked first again after a second"))
			return
		}
	}
	t.Fatal("no router borrows")
}

// TestExhaustedNeedsAnswersFromAllPeers has a router with a row that has most of the budget granted to another one, and less
// ungranted than a request needs. It cannot know what others have unspent, so while one of them does not answer there may be
// tokens left.
func TestExhaustedNeedsAnswersFromAllPeers(t *testing.T) {
	cases := map[string]struct {
		unanswered int
		want       treasurer.Verdict
	}{
		"all have too little": {want: treasurer.VerdictExhausted},
		"one does not answer": {unanswered: 1, want: treasurer.VerdictUnreachable},
		"none answers":        {unanswered: 3, want: treasurer.VerdictUnreachable},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, 1000)
			row := masticway.RowKey{Table: "masticway_accounts", Part: "0", Key: "w"}
			b.rows.Put(row, []byte(`{"prepaid":1000,"version":1,"grants":{"one~1":{"granted":900}}}`))
			b.run(3 * time.Second)
			var peers []treasurer.Peer
			for _, instance := range []string{"edge", "one", "two", "three"} {
				peers = append(peers, treasurer.Peer{Witness: treasurer.Witness{Incarnation: masticway.NewIncarnation(instance, "1"), Address: instance}})
			}
			b.planner.SetPeers(4, peers)
			id, replies := b.planner.Hold(b.now, "w", 500, b.now.Add(400*time.Millisecond))
			b.record(replies)
			for range 20 {
				b.run(30 * time.Millisecond)
				for _, r := range b.planner.DueBorrowRounds(b.now) {
					b.record(b.planner.CompleteBorrowRound(b.now, r, nil, tc.unanswered))
				}
			}
			qt.Assert(t, b.verdicts[id], qt.DeepEquals, []treasurer.Verdict{tc.want})
		})
	}
}

// TestBorrowerLearnsOfExhaustedBudget guards against routers that borrow and, by an old row of their own, refuse requests as
// unreachable after a long wait, although all holders know that the budget is exhausted.
func TestBorrowerLearnsOfExhaustedBudget(t *testing.T) {
	cases := map[string]struct {
		budget treasurer.BudgetReading
		want   treasurer.Verdict
	}{
		"exhausted":                      {budget: treasurer.BudgetReading{IsKnown: true, Ungranted: 40, Version: 1}, want: treasurer.VerdictExhausted},
		"exhausted before a top-up":      {budget: treasurer.BudgetReading{IsKnown: true, Ungranted: 40}, want: treasurer.VerdictUnreachable},
		"enough is left":                 {budget: treasurer.BudgetReading{IsKnown: true, Ungranted: 100, Version: 1}, want: treasurer.VerdictUnreachable},
		"the lenders' rows are old, too": {want: treasurer.VerdictUnreachable},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			peers := newPeers(103, 6, "1")
			i := slices.IndexFunc(peers, func(o treasurer.Peer) bool {
				return len(lendersFor(newPlannerWithPeers(o, peers, 1), "w0", epoch)) > 0
			})
			p := newPlannerWithPeers(peers[i], peers, 1)
			now := epoch
			_, replies := p.Hold(now, "w0", 100, now.Add(400*time.Millisecond))
			for ; len(replies) == 0 && now.Sub(epoch) < time.Second; now = now.Add(30 * time.Millisecond) {
				for _, r := range p.DueBorrowRounds(now) {
					replies = append(replies, p.CompleteBorrowRound(now, r, []treasurer.Loan{{Lender: r.Lenders[0].Incarnation, Budget: tc.budget}}, 0)...)
				}
				replies = append(replies, p.ServeQueues(now)...)
			}
			qt.Assert(t, replies, qt.HasLen, 1)
			qt.Assert(t, replies[0].Verdict, qt.Equals, tc.want)
		})
	}
}

// TestRepaymentGoesToActualLender has a lender that was restarted after the borrower counted the routers. Its successor
// lends, so the unused part must be repaid to the successor; no router would accept a repayment to the predecessor.
func TestRepaymentGoesToActualLender(t *testing.T) {
	peers := newPeers(103, 6, "1")
	for _, router := range peers {
		p := newPlannerWithPeers(router, peers, 1)
		id, _ := p.Hold(epoch, "w0", 100, epoch.Add(time.Minute))
		for _, r := range p.DueBorrowRounds(epoch) {
			successor := masticway.NewIncarnation(r.Lenders[0].Incarnation.Instance(), "2")
			p.CompleteBorrowRound(epoch, r, []treasurer.Loan{{Lender: successor, Address: r.Lenders[0].Address, Amount: r.Need}}, 0)
			p.Clear(epoch, id)
			p.Settle(epoch, id, 60)
			repayments := p.DueRepayments(epoch.Add(2 * time.Second))
			qt.Assert(t, repayments, qt.HasLen, 1)
			qt.Assert(t, repayments[0].Lender, qt.Equals, successor)
			qt.Assert(t, repayments[0].Address, qt.Equals, r.Lenders[0].Address)
			qt.Assert(t, repayments[0].Amount, qt.Equals, int64(40))
			return
		}
	}
	t.Fatal("no router borrows")
}

// TestRowDropsEmptyGrants has a hundred routers that draw grants of a workspace before they know each other, and return
// them afterwards.
func TestRowDropsEmptyGrants(t *testing.T) {
	var row treasurer.Account
	for i := range 100 {
		row = row.WithGrant(masticway.NewIncarnation(fmt.Sprint(i), "1"), treasurer.Grant{Granted: 10, Demand: 1})
	}
	qt.Assert(t, row.Grants, qt.HasLen, 100)
	for i := range 99 {
		row = row.WithGrant(masticway.NewIncarnation(fmt.Sprint(i), "1"), treasurer.Grant{Demand: 1})
	}
	qt.Assert(t, row.Grants, qt.HasLen, 1)
	row = row.WithClosed(masticway.NewIncarnation("99", "1"), 7, 0)
	qt.Assert(t, row.Grants, qt.HasLen, 0)
	qt.Assert(t, row.Closed, qt.Equals, int64(7))
}

// TestNoReserveDuringStartup has a router that knows few peers yet. It computes that it holds every workspace, and so does
// each of a hundred routers that start with it.
func TestNoReserveDuringStartup(t *testing.T) {
	b := newHarness(t, 1_000_000)
	b.planner.SetPeers(2, newPeers(2, 1, "1"))
	b.run(1900 * time.Millisecond)
	qt.Assert(t, b.account().Grants, qt.HasLen, 0)
	b.run(300 * time.Millisecond)
	qt.Assert(t, b.account().Grants, qt.HasLen, 1)
}

// TestNoReserveWhilePeersChange has a router that starts with a fleet and counts a few more peers each second, until the
// store has accepted the presences of hundreds of routers. After each count it was the holder of workspaces without
// requests, drew grants for them and returned these after the next count; 84 of one router's first 152 store calls
// conflicted with another router's change.
func TestNoReserveWhilePeersChange(t *testing.T) {
	b := newHarness(t, 1_000_000)
	all := newPeers(356, 6, "1")
	grants := 0
	drive := func(span time.Duration) {
		for ; span > 0; span -= 50 * time.Millisecond {
			for _, s := range b.plan(50 * time.Millisecond) {
				if s.Workspace != "" {
					grants++
				}
				b.complete(s)
			}
		}
	}
	for known := 10; known <= 60; known += 10 {
		b.planner.SetPeers(known+1, all[:known])
		drive(time.Second)
	}
	qt.Assert(t, grants, qt.Equals, 0)
	// With a request waiting, the grant is drawn at once.
	id := b.hold(1000)
	drive(500 * time.Millisecond)
	qt.Assert(t, b.verdicts[id], qt.DeepEquals, []treasurer.Verdict{treasurer.VerdictHeld})
}
