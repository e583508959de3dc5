package apportioner_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/apportioner"
)

// TestBasesAndDemandPartFitLimit guards against a division that exceeds the limit before any lease is granted, and against routers
// with less than two or more than half of the connections.
func TestBasesAndDemandPartFitLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit, members := rapid.IntRange(1, 600).Draw(t, "limit"), rapid.IntRange(1, 400).Draw(t, "members")
		base, part := apportioner.Base(limit, members), apportioner.DemandPart(limit, members)
		if total := members*base + part; total > max(limit, 2*members) || part > limit/4 || part < 0 {
			t.Fatalf("%d in all, %d for each, %d by demand", total, base, part)
		}
		if base < 2 || base > max(2, limit/2) {
			t.Fatalf("a router may have %d of %d", base, limit)
		}
		if !apportioner.IsDivided(limit, members) && part == 0 && base != max(2, limit/max(2, members)) {
			t.Fatalf("%d connections without a demand part, an equal share is %d", base, max(2, limit/max(2, members)))
		}
	})
}

func TestDivisionOfUsualPools(t *testing.T) {
	cases := map[string]struct {
		limit, members int
		isDivided      bool
		base, part     int
	}{
		"230 connections, 28 routers":        {230, 28, true, 6, 57},
		"250 connections, 31 routers":        {250, 31, true, 6, 62},
		"equal share of 16":                  {230, 14, false, 12, 57},
		"equal share of 15":                  {230, 15, true, 11, 57},
		"two connections for each, and more": {60, 28, true, 2, 4},
		"two connections for each":           {60, 30, false, 2, 0},
		"fewer than two for each":            {60, 100, false, 2, 0},
		"one router":                         {20, 1, true, 10, 5},
		"unknown number of routers":          {60, 0, false, 30, 15},
		"no limit":                           {0, 28, false, 2, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			qt.Check(t, apportioner.IsDivided(tc.limit, tc.members), qt.Equals, tc.isDivided)
			qt.Check(t, apportioner.Base(tc.limit, tc.members), qt.Equals, tc.base)
			qt.Check(t, apportioner.DemandPart(tc.limit, tc.members), qt.Equals, tc.part)
		})
	}
}

// TestDivideIsProportional guards against shares that exceed the total, that differ from the proportional ones by more than rounding,
// and against routers that get nothing while others get more than their share rounded up.
func TestDivideIsProportional(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(0, 150).Draw(t, "total")
		wanted, sum := map[masticway.Incarnation]int{}, 0
		for i, w := range rapid.SliceOfN(rapid.IntRange(0, 120), 0, 40).Draw(t, "wanted") {
			wanted[masticway.Incarnation(fmt.Sprint(i))] = w
			sum += w
		}
		shares, given := apportioner.Divide(total, wanted), 0
		hasNone, hasRoundedUp := false, false
		for r, w := range wanted {
			given += shares[r]
			switch {
			case shares[r] < 0 || shares[r] > w:
				t.Fatalf("%d of the %d that it wants", shares[r], w)
			case sum <= total:
			case shares[r] < total*w/sum || shares[r] > total*w/sum+1:
				t.Fatalf("%d for %d of %d out of %d", shares[r], w, sum, total)
			default:
				hasNone = hasNone || w > 0 && shares[r] == 0
				hasRoundedUp = hasRoundedUp || total*w/sum > 0 && shares[r] > total*w/sum
			}
		}
		if given != min(sum, total) {
			t.Fatalf("gave %d of %d, %d are wanted", given, total, sum)
		}
		if hasNone && hasRoundedUp {
			t.Fatalf("a router has none while another's share is rounded up: %v of %v", shares, wanted)
		}
	})
}
