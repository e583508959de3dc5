package diverter

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// start is the time at which the tests of pure decisions begin.
var start = time.Unix(1_000_000, 0)

// after returns the time some seconds after start.
func after(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// TestSpanDoubles guards against a zone that is diverted for a short time again and again, and against one that stays diverted for
// long because it was overloaded long ago.
func TestSpanDoubles(t *testing.T) {
	type step struct {
		// at is when the conditions are met, and endAt when the diversion ends early; zero means that it does not.
		at, endAt, want time.Duration
	}
	const moment = 3 * time.Second
	cases := map[string][]step{
		"overloaded again at once": {
			{at: 0, want: minSpan}, {at: minSpan + moment, want: 2 * minSpan}, {at: 3*minSpan + 2*moment, want: maxSpan},
			{at: 3*minSpan + maxSpan + 3*moment, want: maxSpan},
		},
		"overloaded again within the span":    {{at: 0, want: minSpan}, {at: 2 * minSpan, want: 2 * minSpan}},
		"overloaded again after the span":     {{at: 0, want: minSpan}, {at: 2*minSpan + time.Second, want: minSpan}},
		"ended early, then overloaded again":  {{at: 0, endAt: moment, want: minSpan}, {at: minSpan + moment, want: 2 * minSpan}},
		"ended early, overloaded again later": {{at: 0, endAt: moment, want: minSpan}, {at: 2*minSpan + moment + time.Second, want: minSpan}},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			var v diversion
			for _, s := range steps {
				now := start.Add(s.at)
				qt.Assert(t, v.rested(now), qt.IsTrue)
				span := v.nextSpan(now)
				qt.Assert(t, span, qt.Equals, s.want)
				v.start(now, "c", span)
				qt.Assert(t, v.isActive(now), qt.IsTrue)
				if s.endAt > 0 {
					v.endEarly(start.Add(s.endAt))
					qt.Assert(t, v.isActive(start.Add(s.endAt)), qt.IsFalse)
					qt.Assert(t, v.rested(start.Add(s.endAt+minSpan-time.Second)), qt.IsFalse)
				}
			}
		})
	}
}

// TestAdoptDecision guards against routers that return later than the coordinator has decided, apply an old decision, or miss the
// early end of a diversion.
func TestAdoptDecision(t *testing.T) {
	known := Decision{Number: 3, Coordinator: "b", Span: minSpan, Left: 10 * time.Second}
	with := func(change func(d *Decision)) Decision {
		d := known
		change(&d)
		return d
	}
	cases := map[string]struct {
		sender string
		d      Decision
		// want is for how many seconds the zone is diverted afterwards.
		want float64
	}{
		"the same again":                       {sender: "b", d: known, want: 10},
		"longer, from the coordinator":         {sender: "b", d: with(func(d *Decision) { d.Left = 12 * time.Second }), want: 12},
		"longer, from the backup":              {sender: "a", d: with(func(d *Decision) { d.Left = 12 * time.Second }), want: 10},
		"shorter, because the reply took long": {sender: "b", d: with(func(d *Decision) { d.Left = 8 * time.Second }), want: 10},
		"ended early":                          {sender: "a", d: with(func(d *Decision) { d.Left, d.EndedEarly = -time.Second, true }), want: -1},
		"none known":                           {sender: "a", d: Decision{}, want: 10},
		"an older one":                         {sender: "a", d: with(func(d *Decision) { d.Number, d.Left = 2, 15*time.Second }), want: 10},
		"a newer one":                          {sender: "a", d: with(func(d *Decision) { d.Number, d.Left = 4, 15*time.Second }), want: 15},
		"the backup's with the same number":    {sender: "c", d: with(func(d *Decision) { d.Coordinator, d.Left = "c", 9*time.Second }), want: 9},
		"a time that no diversion may last":    {sender: "a", d: with(func(d *Decision) { d.Number, d.Span, d.Left = 4, time.Hour, time.Hour }), want: maxSpan.Seconds()},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var v diversion
			v.adopt(start, "b", known)
			v.adopt(start, tc.sender, tc.d)
			qt.Assert(t, v.until, qt.Equals, after(tc.want))
			qt.Assert(t, v.isActive(start), qt.Equals, tc.want > 0)
			// Another router that hears of it from this one must come to the same end.
			var o diversion
			o.adopt(after(1), "x", v.export(after(1)))
			qt.Assert(t, o, qt.Equals, v)
		})
	}
}

// TestConsentToOneZone guards against two zones that are diverted at the same time because a third one has consented to both, and
// against a consent that blocks all others for ever.
func TestConsentToOneZone(t *testing.T) {
	var c consents
	qt.Assert(t, c.give(start, "z1", "p", 1, 20*time.Second), qt.IsTrue)
	qt.Assert(t, c.give(start, "z1", "backup of p", 1, 10*time.Second), qt.IsTrue)
	qt.Assert(t, c.give(start, "z2", "q", 1, 20*time.Second), qt.IsFalse)
	c.release(after(1), "backup of p", 1)
	qt.Assert(t, c.give(after(2), "z2", "q", 1, 20*time.Second), qt.IsFalse)
	qt.Assert(t, c.export(after(5)), qt.DeepEquals, []Consent{{Zone: "z1", Proposer: "p", Left: 15 * time.Second, Number: 1}})

	// A successor learns of it from the routers, but not if it has been given back.
	var successor consents
	successor.adopt(after(5), c.export(after(5))[0])
	qt.Assert(t, successor.give(after(19), "z2", "q", 1, 20*time.Second), qt.IsFalse)
	successor.release(after(19), "p", 1)
	successor.adopt(after(19.5), Consent{Zone: "z1", Proposer: "p", Left: time.Second, Number: 1})
	qt.Assert(t, successor.give(after(19.5), "z2", "q", 1, 20*time.Second), qt.IsTrue)

	qt.Assert(t, c.give(after(20), "z2", "q", 1, 20*time.Second), qt.IsTrue)
	qt.Assert(t, c.givenTo(after(39)), qt.Equals, "z2")
	qt.Assert(t, c.givenTo(after(40)), qt.Equals, "")
}

// TestLateRelease guards against a release of an earlier proposal that ends the consent to a later one because it arrives late.
func TestLateRelease(t *testing.T) {
	var c consents
	qt.Assert(t, c.give(start, "z1", "p", 1, minSpan), qt.IsTrue)
	qt.Assert(t, c.give(after(1), "z1", "p", 2, minSpan), qt.IsTrue)
	c.release(after(2), "p", 1)
	qt.Assert(t, c.give(after(2), "z2", "q", 1, minSpan), qt.IsFalse)

	// A router's report of the newer consent counts, but not one of the older.
	var successor consents
	successor.release(after(2), "p", 1)
	successor.adopt(after(2), Consent{Zone: "z1", Proposer: "p", Left: minSpan, Number: 1})
	qt.Assert(t, successor.givenTo(after(2)), qt.Equals, "")
	successor.adopt(after(2), Consent{Zone: "z1", Proposer: "p", Left: minSpan, Number: 2})
	qt.Assert(t, successor.givenTo(after(2)), qt.Equals, "z1")

	// A late release does not make the release of a later proposal forgotten.
	c.release(after(3), "p", 2)
	c.release(after(3), "p", 1)
	c.adopt(after(3), Consent{Zone: "z1", Proposer: "p", Left: minSpan, Number: 2})
	qt.Assert(t, c.give(after(3), "z2", "q", 1, minSpan), qt.IsTrue)
}

// TestAllegiance guards against a coordinator and a backup that both have the allegiance of a majority at the same time.
func TestAllegiance(t *testing.T) {
	var a allegiance
	qt.Assert(t, a.echo(start, "x"), qt.Equals, int64(0))
	qt.Assert(t, a.recordReply(start, "x", 100), qt.IsTrue)
	qt.Assert(t, a.echo(after(0.3), "x"), qt.Equals, int64(100))
	qt.Assert(t, a.recordReply(after(0.5), "y", 7), qt.IsFalse)
	qt.Assert(t, a.echo(after(0.5), "y"), qt.Equals, int64(0))
	// An older reply that arrives late must not reduce what is reported.
	qt.Assert(t, a.recordReply(after(0.6), "x", 90), qt.IsTrue)
	qt.Assert(t, a.echo(after(0.6), "x"), qt.Equals, int64(100))
	qt.Assert(t, a.recordReply(after(1.9), "y", 8), qt.IsTrue)
	qt.Assert(t, a.echo(after(1.9), "x"), qt.Equals, int64(0))
	qt.Assert(t, a.echo(after(1.9), "y"), qt.Equals, int64(8))
	qt.Assert(t, a.echo(after(3.2), "y"), qt.Equals, int64(0))
}

// newReports returns reports of routers named r0 and so on, and the members.
func newReports(members int, all ...Report) (reports, map[string]bool) {
	r, names := reports{}, map[string]bool{}
	for i := range members {
		names[fmt.Sprintf("r%d", i)] = true
	}
	for i, o := range all {
		r[fmt.Sprintf("r%d", i)] = receivedReport{Report: o, at: start}
	}
	return r, names
}

// TestZoneLoad guards against a zone that counts as overloaded because of a single router or a few refusals, and against decisions
// that are based on the reports of a minority.
func TestZoneLoad(t *testing.T) {
	calm, busy := Report{Requests: 10}, Report{Requests: 10, Overloaded: true}
	cases := map[string]struct {
		members   int
		reports   []Report
		at        float64
		want      ZoneLoad
		notEnough bool
	}{
		"calm":                              {members: 4, reports: []Report{calm, calm, calm, calm}, want: ZoneLoad{Requests: 40, Routers: 4}},
		"a quarter":                         {members: 8, reports: []Report{calm, calm, calm, calm, calm, calm, busy, busy}, want: ZoneLoad{Requests: 80, Routers: 8, Overloaded: true}},
		"two of nine":                       {members: 9, reports: []Report{calm, calm, calm, calm, calm, calm, calm, busy, busy}, want: ZoneLoad{Requests: 90, Routers: 9}},
		"a single router has a quarter":     {members: 4, reports: []Report{calm, calm, calm, busy}, want: ZoneLoad{Requests: 40, Routers: 4}},
		"one is out, one is overloaded":     {members: 3, reports: []Report{calm, busy, {Unready: true}}, want: ZoneLoad{Requests: 20, Routers: 2, Unready: 1, Overloaded: true}},
		"the only router":                   {members: 1, reports: []Report{busy}, want: ZoneLoad{Requests: 10, Routers: 1, Overloaded: true}},
		"one of five":                       {members: 5, reports: []Report{calm, calm, calm, calm, busy}, want: ZoneLoad{Requests: 50, Routers: 5}},
		"refusals":                          {members: 2, reports: []Report{{Requests: 10, Refused: 1}, {Requests: 10, Refused: 1}}, want: ZoneLoad{Requests: 19, Routers: 2, Overloaded: true}},
		"refusals by a single router":       {members: 2, reports: []Report{calm, {Requests: 10, Refused: 2}}, want: ZoneLoad{Requests: 19, Routers: 2}},
		"few refusals":                      {members: 2, reports: []Report{{Requests: 10, Refused: 0.5}, {Requests: 10, Refused: 0.5}}, want: ZoneLoad{Requests: 19.5, Routers: 2}},
		"refused connections":               {members: 2, reports: []Report{{Requests: 10, RefusedConnections: 1}, {Requests: 10, RefusedConnections: 1}}, want: ZoneLoad{Requests: 20, Routers: 2, Overloaded: true}},
		"no requests":                       {members: 2, reports: []Report{{Overloaded: true}, {Overloaded: true}}, want: ZoneLoad{Routers: 2}},
		"a minority reports":                {members: 4, reports: []Report{busy, busy}, notEnough: true, want: ZoneLoad{Requests: 20, Routers: 2, Overloaded: true}},
		"only one, overloaded, of five":     {members: 5, reports: []Report{busy}, notEnough: true, want: ZoneLoad{Requests: 10, Routers: 1}},
		"reports are outdated":              {members: 2, reports: []Report{busy, busy}, at: 2.5, notEnough: true},
		"one drains":                        {members: 3, reports: []Report{calm, calm, {Requests: 4, Unready: true}}, want: ZoneLoad{Requests: 24, Routers: 2, Unready: 1}},
		"all drain":                         {members: 1, reports: []Report{{Requests: 10, Unready: true}}, want: ZoneLoad{Requests: 10, Unready: 1}},
		"a starting router is not a member": {members: 1, reports: []Report{calm, calm}, want: ZoneLoad{Requests: 20, Routers: 2}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r, members := newReports(tc.members, tc.reports...)
			got, known := r.load(after(tc.at), members)
			qt.Check(t, got, qt.Equals, tc.want)
			qt.Check(t, known, qt.Equals, !tc.notEnough)
		})
	}
}

// TestUnreadyZoneDoesNotConsent guards against a diversion to a zone that cannot take any callers.
func TestUnreadyZoneDoesNotConsent(t *testing.T) {
	for name, tc := range map[string]struct {
		unready []bool
		want    Vote
	}{
		"all are ready":    {unready: []bool{false, false}, want: VoteConsent},
		"one is not ready": {unready: []bool{true, false}, want: VoteConsent},
		"none is ready":    {unready: []bool{true, true}, want: VoteAbstain},
	} {
		t.Run(name, func(t *testing.T) {
			var all []Report
			for _, u := range tc.unready {
				all = append(all, Report{Requests: 10, Echo: start.UnixNano(), Unready: u})
			}
			var s state
			s.reports, s.membership.members = newReports(len(all), all...)
			load, _ := s.reports.load(start, s.membership.members)
			vote, _ := s.vote(start, DivertRequest{Purpose: PurposeAsk, Zone: "z", Proposer: "p", Span: minSpan}, load)
			qt.Assert(t, vote, qt.Equals, tc.want)
		})
	}
}

// TestMajority guards against a consent by a router that too few routers of its zone follow.
func TestMajority(t *testing.T) {
	follows, old, none := Report{Echo: after(-1).UnixNano()}, Report{Echo: after(-1.2).UnixNano()}, Report{}
	cases := map[string]struct {
		members int
		reports []Report
		want    bool
	}{
		"all of one":      {members: 1, reports: []Report{follows}, want: true},
		"half of four":    {members: 4, reports: []Report{follows, follows, none, none}},
		"three of four":   {members: 4, reports: []Report{follows, follows, follows, none}, want: true},
		"with old ones":   {members: 4, reports: []Report{follows, follows, old, old}},
		"others are gone": {members: 5, reports: []Report{follows, follows}},
		"unknown routers": {members: 1, reports: []Report{none, follows, follows}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r, members := newReports(tc.members, tc.reports...)
			qt.Assert(t, r.hasMajority(start, members), qt.Equals, tc.want)
		})
	}
}
