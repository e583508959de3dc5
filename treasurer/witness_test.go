package treasurer_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/treasurer"
)

// newOutageHarness returns a planner with a grant and three witnesses, and the witnesses, just before an outage of the
// store.
func newOutageHarness(t *testing.T) (*harness, map[string]*treasurer.Planner) {
	b := newHarness(t, 1_000_000)
	witnesses := map[string]*treasurer.Planner{}
	peers := []treasurer.Peer{{Witness: treasurer.Witness{Incarnation: "edge~1"}}}
	for _, instance := range []string{"one", "two", "three"} {
		i := masticway.NewIncarnation(instance, "1")
		witnesses[instance] = treasurer.NewPlanner(treasurer.Settings{Incarnation: i, Parts: 1})
		peers = append(peers, treasurer.Peer{Witness: treasurer.Witness{Incarnation: i, Address: instance}})
	}
	b.planner.SetPeers(4, peers)
	for range 10 {
		id := b.hold(100)
		b.run(150 * time.Millisecond)
		b.record(b.planner.Clear(b.now, id))
		b.record(b.planner.Settle(b.now, id, 100))
	}
	b.run(500 * time.Millisecond)
	return b, witnesses
}

// simulateOutage has the store fail for the given time, and then, while it still fails, asks for clearance of a new hold.
func simulateOutage(b *harness, d time.Duration) treasurer.HoldID {
	var id treasurer.HoldID
	for ; d > 0; d -= 30 * time.Millisecond {
		for _, s := range b.plan(30 * time.Millisecond) {
			replies, err := b.planner.CompleteStoreCall(b.now, s, masticway.RowReading{}, &masticway.UnavailableError{Service: "rows"})
			qt.Assert(b.t, err, qt.IsNil)
			b.record(replies)
		}
	}
	id = b.hold(100)
	b.record(b.planner.Clear(b.now, id))
	return id
}

func TestClearNeedsWitnessQuorum(t *testing.T) {
	cases := map[string]struct {
		accepted []bool
		cleared  bool
	}{
		"no witness answers":               {},
		"all refuse":                       {accepted: []bool{false, false, false}},
		"only the first accepts":           {accepted: []bool{true}},
		"only the second accepts":          {accepted: []bool{false, true, false}},
		"two of three accept":              {accepted: []bool{true, false, true}, cleared: true},
		"two accept, the third is pending": {accepted: []bool{true, true}, cleared: true},
		"all accept":                       {accepted: []bool{true, true, true}, cleared: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b, _ := newOutageHarness(t)
			id := simulateOutage(b, 3*time.Second)
			qt.Assert(t, b.verdicts[id], qt.DeepEquals, []treasurer.Verdict{treasurer.VerdictHeld})
			reports := b.planner.DueReports(b.now)
			qt.Assert(t, reports, qt.HasLen, 3)
			qt.Assert(t, reports[0].Taken["w"] >= 1100, qt.IsTrue)
			qt.Assert(t, b.planner.DueReports(b.now), qt.HasLen, 0, qt.Commentf("only one report to each witness may be in flight"))
			for i, taken := range tc.accepted {
				b.record(b.planner.CompleteReport(b.now, reports[i], taken))
			}
			cleared := len(b.verdicts[id]) == 2
			qt.Assert(t, cleared, qt.Equals, tc.cleared)
		})
	}
}

func TestQuorumIsCountedPerAmount(t *testing.T) {
	b, _ := newOutageHarness(t)
	simulateOutage(b, 3*time.Second)
	for _, s := range b.planner.DueReports(b.now)[:2] {
		b.record(b.planner.CompleteReport(b.now, s, true))
	}
	id := b.hold(100)
	b.record(b.planner.Clear(b.now, id))
	qt.Assert(t, b.verdicts[id], qt.DeepEquals, []treasurer.Verdict{treasurer.VerdictHeld})
	again := b.planner.DueReports(b.now)
	qt.Assert(t, again, qt.HasLen, 2, qt.Commentf("the third witness has not answered yet"))
	b.record(b.planner.CompleteReport(b.now, again[0], true))
	qt.Assert(t, b.verdicts[id], qt.HasLen, 1)
	b.record(b.planner.CompleteReport(b.now, again[1], true))
	qt.Assert(t, b.verdicts[id], qt.HasLen, 2)
}

func TestUnackedReportsLimitAdmission(t *testing.T) {
	b, _ := newOutageHarness(t)
	simulateOutage(b, 3*time.Second)
	qt.Assert(t, b.planner.DueReports(b.now), qt.HasLen, 3)
	b.now = b.now.Add(500 * time.Millisecond)
	id := b.hold(100)
	b.now = b.now.Add(2 * time.Minute)
	b.record(b.planner.ServeQueues(b.now))
	qt.Assert(t, b.verdicts[id], qt.DeepEquals, []treasurer.Verdict{treasurer.VerdictUnreachable})
}

func TestSuccessorUsesWitnessRecords(t *testing.T) {
	cases := map[string]struct {
		// reported are the witnesses that receive the report, restarted those that have lost their record, unreachable
		// those that do not answer.
		reported, restarted, unreachable []string
		presumed                         bool
		spent                            int64
	}{
		"all accepted 1100":                {reported: []string{"one", "two", "three"}, spent: 1100},
		"two accepted, one is unreachable": {reported: []string{"one", "two"}, unreachable: []string{"one"}, spent: 1100},
		"two accepted, one is restarted":   {reported: []string{"one", "two"}, restarted: []string{"two"}, spent: 1100},
		"one accepted 1100":                {reported: []string{"three"}, spent: 1100},
		"nothing was reported":             {spent: 1000},
		"one was restarted":                {restarted: []string{"two"}, spent: 1000},
		"two were restarted":               {restarted: []string{"two", "one"}, presumed: true},
		"one restarted, one unreachable":   {reported: []string{"one", "two"}, restarted: []string{"two"}, unreachable: []string{"one"}, presumed: true},
		"all routers were restarted":       {restarted: []string{"one", "two", "three"}, presumed: true},
		"no witness is reachable":          {unreachable: []string{"one", "two", "three"}, presumed: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b, witnesses := newOutageHarness(t)
			simulateOutage(b, 3*time.Second)
			for _, s := range b.planner.DueReports(b.now) {
				if slices.Contains(tc.reported, s.Witness.Instance()) {
					qt.Assert(t, witnesses[s.Witness.Instance()].AcceptReport(b.now, s), qt.IsTrue)
				}
			}
			b.start("edge~2", 1_000_000)
			ended := b.planner.Predecessors()
			qt.Assert(t, ended, qt.HasLen, 1)
			var records []treasurer.WitnessRecord
			for _, w := range ended[0].Witnesses {
				instance := w.Incarnation.Instance()
				if slices.Contains(tc.unreachable, instance) {
					continue
				}
				p := witnesses[instance]
				if slices.Contains(tc.restarted, instance) {
					p = treasurer.NewPlanner(treasurer.Settings{Incarnation: masticway.NewIncarnation(instance, "2"), Parts: 1})
				}
				records = append(records, p.FinalReports(w.Incarnation, ended[0].Incarnation))
			}
			presumedSpent := ended[0].PresumedSpent(treasurer.Testimony{Records: records})["w"]
			if tc.presumed {
				qt.Assert(t, presumedSpent, qt.Equals, ended[0].MaxSpent["w"])
				qt.Assert(t, presumedSpent > 1100, qt.IsTrue)
				return
			}
			qt.Assert(t, presumedSpent, qt.Equals, tc.spent)
		})
	}
}

func TestWitnessRefusesReportsAfterFinalReports(t *testing.T) {
	w := treasurer.NewPlanner(treasurer.Settings{Incarnation: "one~1", Parts: 1})
	s := treasurer.SpendReport{Sender: "edge~1", Witness: "one~1", NewestCheckpoint: 3, Taken: map[string]int64{"w": 5}}
	qt.Assert(t, w.AcceptReport(epoch, s), qt.IsTrue)
	qt.Assert(t, w.FinalReports("one~1", "edge~1"), qt.DeepEquals, treasurer.WitnessRecord{IsNamedWitness: true, Reported: map[string]treasurer.ReportedSpend{"w": {Taken: 5, Checkpoint: 3}}})
	qt.Assert(t, w.AcceptReport(epoch, s), qt.IsFalse)
	s.Sender, s.Witness = "edge~2", "one~0"
	qt.Assert(t, w.AcceptReport(epoch, s), qt.IsFalse, qt.Commentf("the report is for an earlier incarnation"))
	qt.Assert(t, w.FinalReports("one~0", "edge~2").IsNamedWitness, qt.IsFalse)
}

func TestLateReportLowersNothing(t *testing.T) {
	w := treasurer.NewPlanner(treasurer.Settings{Incarnation: "one~1", Parts: 1})
	late := treasurer.SpendReport{Sender: "edge~1", Witness: "one~1", OldestCheckpoint: 7, NewestCheckpoint: 8, Taken: map[string]int64{"w": 50}}
	newer := treasurer.SpendReport{Sender: "edge~1", Witness: "one~1", OldestCheckpoint: 9, NewestCheckpoint: 10, Taken: map[string]int64{"w": 90}}
	qt.Assert(t, w.AcceptReport(epoch, newer), qt.IsTrue)
	qt.Assert(t, w.AcceptReport(epoch, late), qt.IsTrue)
	ended := treasurer.EndedIncarnation{
		MaxSpent: map[string]int64{"w": 500}, MaxUnwitnessed: map[string]int64{"w": 40}, Sequence: 10,
		Witnesses: []treasurer.Witness{{Incarnation: "one~1"}},
	}
	qt.Assert(t, ended.PresumedSpent(treasurer.Testimony{Records: []treasurer.WitnessRecord{w.FinalReports("one~1", "edge~1")}}), qt.DeepEquals, map[string]int64{"w": 90})
}

func TestReportDoesNotCountForLaterCheckpoint(t *testing.T) {
	b, _ := newOutageHarness(t)
	first := simulateOutage(b, 3*time.Second)
	reports := b.planner.DueReports(b.now)
	// The request ends without a response, the store takes the next checkpoint, and then fails again.
	b.record(b.planner.Settle(b.now, first, 0))
	b.run(300 * time.Millisecond)
	qt.Assert(t, b.planner.DueReports(b.now), qt.HasLen, 0)
	id := simulateOutage(b, 3*time.Second)
	for _, s := range reports {
		b.record(b.planner.CompleteReport(b.now, s, true))
	}
	b.record(b.planner.Clear(b.now, id))
	qt.Assert(t, b.verdicts[id], qt.DeepEquals, []treasurer.Verdict{treasurer.VerdictHeld})
}

func TestReportsOfReplacedCheckpointsAreDropped(t *testing.T) {
	w := treasurer.NewPlanner(treasurer.Settings{Incarnation: "one~1", Parts: 1})
	first := treasurer.SpendReport{Sender: "edge~1", Witness: "one~1", OldestCheckpoint: 2, NewestCheckpoint: 3, Taken: map[string]int64{"v": 50, "w": 70}}
	other := treasurer.SpendReport{Sender: "edge~1", Witness: "one~1", OldestCheckpoint: 2, NewestCheckpoint: 3, Taken: map[string]int64{"v": 60}}
	second := treasurer.SpendReport{Sender: "edge~1", Witness: "one~1", OldestCheckpoint: 4, NewestCheckpoint: 4, Taken: map[string]int64{"w": 20}}
	qt.Assert(t, w.AcceptReport(epoch, first), qt.IsTrue)
	qt.Assert(t, w.AcceptReport(epoch, other), qt.IsTrue)
	qt.Assert(t, w.FinalReports("one~1", "edge~1").Reported["w"], qt.Equals, treasurer.ReportedSpend{Taken: 70, Checkpoint: 3})
	w = treasurer.NewPlanner(treasurer.Settings{Incarnation: "one~1", Parts: 1})
	qt.Assert(t, w.AcceptReport(epoch, first), qt.IsTrue)
	qt.Assert(t, w.AcceptReport(epoch, second), qt.IsTrue)
	r := w.FinalReports("one~1", "edge~1")
	qt.Assert(t, r.Reported, qt.DeepEquals, map[string]treasurer.ReportedSpend{"w": {Taken: 20, Checkpoint: 4}})
	ended := treasurer.EndedIncarnation{
		MaxSpent: map[string]int64{"w": 100}, MaxUnwitnessed: map[string]int64{"w": 15}, Sequence: 5,
		Witnesses: []treasurer.Witness{{Incarnation: "one~1"}},
	}
	qt.Assert(t, ended.PresumedSpent(treasurer.Testimony{Records: []treasurer.WitnessRecord{r}}), qt.DeepEquals, map[string]int64{"w": 15})
	ended.Sequence = 4
	qt.Assert(t, ended.PresumedSpent(treasurer.Testimony{Records: []treasurer.WitnessRecord{r}}), qt.DeepEquals, map[string]int64{"w": 20})
}

// TestTracesExcludeAcknowledgements guards against presuming the rate of the spend limits for all the time in which machines had no
// power: a quorum of witnesses cannot have acknowledged more than the limits allowed while a quorum ran without the store.
func TestTracesExcludeAcknowledgements(t *testing.T) {
	const basis, silence = 10 * time.Second, 5 * time.Second
	named := func(taken int64) treasurer.WitnessRecord {
		return treasurer.WitnessRecord{IsNamedWitness: true, Reported: map[string]treasurer.ReportedSpend{"w": {Taken: taken, Checkpoint: 3}}}
	}
	// inTouch is the trace of a witness that the store had answered until then, after the Basis, and lost until a process that was
	// started then.
	inTouch := func(until time.Duration) treasurer.WitnessTrace {
		return treasurer.WitnessTrace{IsKnown: true, Silent: basis + until + time.Second}
	}
	lost := func(inTouchUntil, endedBy time.Duration) treasurer.WitnessTrace {
		trace := inTouch(inTouchUntil)
		trace.HasEnded, trace.EndedBy = true, basis+endedBy
		return trace
	}
	acked := func(at time.Duration) treasurer.WitnessTrace {
		trace := inTouch(silence)
		trace.AckedAt = basis + at
		return trace
	}
	const all, unwitnessed = 600, 150
	cases := map[string]struct {
		records []treasurer.WitnessRecord
		traces  []treasurer.WitnessTrace
		want    int64
	}{
		"two lost power as well":             {[]treasurer.WitnessRecord{named(0), named(0)}, []treasurer.WitnessTrace{lost(0, silence), lost(0, silence)}, unwitnessed},
		"two lost power, others have more":   {[]treasurer.WitnessRecord{named(0), named(180)}, []treasurer.WitnessTrace{lost(0, silence), lost(0, silence)}, 180},
		"two lost power, two ran on":         {nil, []treasurer.WitnessTrace{lost(0, silence), lost(0, silence), inTouch(4500 * time.Millisecond), inTouch(silence)}, unwitnessed},
		"three lost power as well":           {nil, []treasurer.WitnessTrace{lost(0, silence), lost(0, silence), lost(0, silence), inTouch(silence)}, all},
		"all lost power as well":             {nil, []treasurer.WitnessTrace{lost(0, silence), lost(0, silence), lost(0, silence), lost(0, silence)}, all},
		"two lost power before":              {nil, []treasurer.WitnessTrace{lost(-9*time.Second, -time.Second), lost(-9*time.Second, -time.Second), lost(0, silence), lost(0, silence)}, unwitnessed},
		"two lost power soon after":          {nil, []treasurer.WitnessTrace{lost(-time.Second, 4*time.Second), lost(-time.Second, 4*time.Second), lost(0, silence), lost(0, silence)}, 500},
		"two were away from the store late":  {nil, []treasurer.WitnessTrace{inTouch(3 * time.Second), inTouch(3 * time.Second), lost(0, silence), lost(0, silence)}, all},
		"one had acknowledged reports":       {nil, []treasurer.WitnessTrace{acked(time.Second), inTouch(silence), lost(0, silence), lost(0, silence)}, all},
		"one had acknowledged earlier ones":  {nil, []treasurer.WitnessTrace{acked(-1), inTouch(silence), lost(0, silence), lost(0, silence)}, unwitnessed},
		"nothing is known of one":            {nil, []treasurer.WitnessTrace{{}, inTouch(silence), lost(0, silence), lost(0, silence)}, all},
		"nothing is known":                   {nil, nil, all},
		"three answer, one had acknowledged": {[]treasurer.WitnessRecord{named(0), named(0), named(400)}, nil, 400},
	}
	limit := treasurer.SpendLimit{Taken: 100, Burst: 20, Rate: 100, MaxUnwitnessed: 50, MaxEarly: 80}
	e := treasurer.EndedIncarnation{
		Incarnation: "edge~1", MaxSpent: map[string]int64{"w": all}, MaxUnwitnessed: map[string]int64{"w": unwitnessed},
		Limits: map[string]treasurer.SpendLimit{"w": limit}, Basis: basis, SinceBasis: silence, Sequence: 3,
		Witnesses: []treasurer.Witness{{Incarnation: "one~1"}, {Incarnation: "two~1"}, {Incarnation: "three~1"}, {Incarnation: "four~1"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			testimony := treasurer.Testimony{Records: tc.records, Traces: tc.traces}
			qt.Assert(t, e.PresumedSpent(testimony), qt.DeepEquals, map[string]int64{"w": tc.want})
		})
	}
}

// trace returns the trace of a witness on the harness's instance.
func (b *harness) trace(witness masticway.Incarnation) treasurer.WitnessTrace {
	return treasurer.TraceWitness(b.rows.Row(masticway.RowKey{Table: "masticway_books", Part: "0", Key: witness.Instance()}), witness, 0)
}

// TestCheckpointTracesWitness guards against a time by which a witness had not ended yet, or since which it has acknowledged reports:
// only a process that listens at its address shows the first, and a witness acknowledges nothing while the store answers it.
func TestCheckpointTracesWitness(t *testing.T) {
	b := newHarness(t, 1000)
	b.startAt("edge~2", "here", b.now, 1000)
	qt.Assert(t, b.trace("edge~1"), qt.Equals, treasurer.WitnessTrace{}, qt.Commentf("another address"))
	b.hold(100)
	b.run(3 * time.Second)
	report := treasurer.SpendReport{Sender: "other~1", Witness: "edge~2", OldestCheckpoint: 1, NewestCheckpoint: 1, Taken: map[string]int64{"w": 5}}
	qt.Assert(t, b.planner.AcceptReport(b.now, report), qt.IsFalse, qt.Commentf("the store answers"))
	qt.Assert(t, b.trace("edge~2").AckedAt, qt.Equals, time.Duration(0))
	simulateOutage(b, 1200*time.Millisecond)
	qt.Assert(t, b.planner.AcceptReport(b.now, report), qt.IsTrue)
	ackedAt := b.now.Sub(epoch)
	b.run(time.Second)
	trace := b.trace("edge~2")
	qt.Assert(t, trace.AckedAt >= ackedAt && trace.AckedAt < ackedAt+time.Second, qt.IsTrue, qt.Commentf("%v", trace))
	qt.Assert(t, trace.Silent > ackedAt+time.Second, qt.IsTrue, qt.Commentf("%v", trace))

	b.now = b.now.Add(10 * time.Second)
	listening := b.now.Add(-time.Second)
	b.startAt("edge~3", "here", listening, 1000)
	trace.HasEnded, trace.EndedBy = true, listening.Sub(epoch)
	qt.Assert(t, b.trace("edge~2"), qt.Equals, trace)
	qt.Assert(t, b.trace("edge~4"), qt.Equals, treasurer.WitnessTrace{}, qt.Commentf("not a predecessor"))
	b.now = b.now.Add(10 * time.Second)
	b.startAt("edge~4", "here", b.now, 1000)
	qt.Assert(t, b.trace("edge~2"), qt.Equals, trace, qt.Commentf("two incarnations later"))

	row := masticway.StoredRow{Value: []byte(`{"incarnation":"old~1","sequence":3,"basis_ns":5}`)}
	qt.Assert(t, treasurer.TraceWitness(row, "old~1", 0), qt.Equals, treasurer.WitnessTrace{}, qt.Commentf("an earlier build"))
}
