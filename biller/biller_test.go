package biller_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/biller"
	"github.com/masticway/masticway/emulator"
)

var start = time.Unix(1_800_000_000, 0)

func bill(identity, hold string, kind biller.Kind, cost masticway.Amount) biller.Bill {
	return biller.Bill{Identity: masticway.Identity(identity), Hold: masticway.HoldID(hold), Budget: "b", Kind: kind, Cost: cost, At: start}
}

func TestDoubleBillsAreFound(t *testing.T) {
	cases := map[string]struct {
		bills   []biller.Bill
		refunds []masticway.HoldID
	}{
		"one bill":                     {[]biller.Bill{bill("w/a", "1", biller.KindFinal, 5)}, nil},
		"two keepers let it run":       {[]biller.Bill{bill("w/a", "1", biller.KindFinal, 5), bill("w/a", "2", biller.KindFinal, 5)}, []masticway.HoldID{"2"}},
		"the same bill read twice":     {[]biller.Bill{bill("w/a", "1", biller.KindFinal, 5), bill("w/a", "1", biller.KindFinal, 5)}, nil},
		"a part and the rest":          {[]biller.Bill{bill("w/a", "1", biller.KindPart, 5), bill("w/a", "2", biller.KindFinal, 5)}, nil},
		"superseded work":              {[]biller.Bill{bill("w/a", "1", biller.KindSuperseded, 5), bill("w/a", "2", biller.KindFinal, 5)}, []masticway.HoldID{"1"}},
		"superseded work without cost": {[]biller.Bill{bill("w/a", "1", biller.KindSuperseded, 0)}, nil},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			a := biller.NewAuditor()
			var holds []masticway.HoldID
			for _, b := range tc.bills {
				for _, r := range a.FindRefunds(start, []biller.Bill{b}) {
					holds = append(holds, r.Hold)
				}
			}
			qt.Assert(t, holds, qt.DeepEquals, tc.refunds)
		})
	}
}

func TestJournalSurvivesAnOutage(t *testing.T) {
	store := emulator.NewObjectStore()
	j := biller.NewJournal("r~1")
	ctx := context.Background()
	j.Add(bill("w/a", "1", biller.KindFinal, 5))
	store.SetDown(true)
	qt.Assert(t, j.Flush(ctx, store, biller.Bucket(start)), qt.IsNotNil)
	j.Add(bill("w/b", "2", biller.KindFinal, 5))
	store.SetDown(false)
	qt.Assert(t, j.Flush(ctx, store, biller.Bucket(start)), qt.IsNil)
	qt.Assert(t, j.Flush(ctx, store, biller.Bucket(start)), qt.IsNil)
	qt.Assert(t, j.Pending(), qt.Equals, 0)
	a := biller.NewAuditor()
	bills, err := a.ReadNewBills(ctx, store, start)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, bills, qt.HasLen, 2)
	again, err := a.ReadNewBills(ctx, store, start)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, again, qt.HasLen, 0)
}

func TestFailedRefundIsRetried(t *testing.T) {
	a := biller.NewAuditor()
	refunds := a.FindRefunds(start, []biller.Bill{bill("w/a", "1", biller.KindSuperseded, 5)})
	a.RetryRefund(refunds[0])
	qt.Assert(t, a.FindRefunds(start, nil), qt.HasLen, 1)
	qt.Assert(t, a.FindRefunds(start, nil), qt.HasLen, 0)
}
