package coordinator_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/coordinator"
)

const (
	engineA = masticway.ServerIncarnation("a")
	engineB = masticway.ServerIncarnation("b")
)

// outboxFixture is an outbox whose target has acknowledged a full resync.
type outboxFixture struct {
	*coordinator.Outbox
	now time.Time
}

func newOutboxFixture() *outboxFixture {
	f := &outboxFixture{Outbox: coordinator.NewOutbox(), now: time.Unix(1_000_000, 0)}
	f.SetTarget("owner")
	f.Acknowledge(f.now, f.TakeAll(f.now))
	return f
}

func engineRun(id string) masticway.EngineRun {
	return masticway.EngineRun{ID: id, Tokens: 100, TimeLeft: 15 * time.Second}
}

// describe returns the run, the engine and the state of each report, with + if the report has details and - if it is neutral.
func describe(b coordinator.Batch) (all []string) {
	for _, r := range b.Reports {
		line := fmt.Sprintf("%s@%s:%d", r.Run, r.Server, r.State)
		if r.Details != nil {
			line += "+"
		}
		if r.IsNeutral {
			line += "-"
		}
		all = append(all, line)
	}
	return all
}

// TestReports guards against an owner that does not learn of a run because a report was lost, repeated or overtaken, and against
// reports that repeat what the owner knows.
func TestReports(t *testing.T) {
	take := func(f *outboxFixture) coordinator.Batch { return f.Take(f.now, 100) }
	for name, tc := range map[string]struct {
		do   func(f *outboxFixture)
		want []string
	}{
		"a local choice": {do: func(f *outboxFixture) { f.Begin(f.now, engineRun("r"), engineA) }, want: []string{"r@a:0+"}},
		"a choice of the owner": {do: func(f *outboxFixture) {
			f.Accept(f.Track(f.now, engineRun("r")), masticway.EngineChoice{Server: engineA}, f.Epoch())
			f.Begin(f.now, engineRun("r"), engineA)
		}, want: []string{"r@a:0"}},
		"a choice of the owner that was not used": {do: func(f *outboxFixture) {
			f.Accept(f.Track(f.now, engineRun("r")), masticway.EngineChoice{Server: engineA}, f.Epoch())
			f.Begin(f.now, engineRun("r"), engineB)
		}, want: []string{"r@b:0+"}},
		"a choice before a full resync": {do: func(f *outboxFixture) {
			r, epoch := f.Track(f.now, engineRun("r")), f.Epoch()
			f.Acknowledge(f.now, f.TakeAll(f.now))
			f.Accept(r, masticway.EngineChoice{Server: engineA}, epoch)
			f.Begin(f.now, engineRun("r"), engineA)
		}, want: []string{"r@a:0+"}},
		"a report in flight is not repeated": {do: func(f *outboxFixture) {
			f.Begin(f.now, engineRun("r"), engineA)
			take(f)
		}},
		"a change while a report is in flight": {do: func(f *outboxFixture) {
			f.Begin(f.now, engineRun("r"), engineA)
			b := take(f)
			f.FirstEvent(f.now, "r", time.Millisecond)
			f.Acknowledge(f.now, b)
		}, want: []string{"r@a:1"}},
		"a lost report": {do: func(f *outboxFixture) {
			f.Begin(f.now, engineRun("r"), engineA)
			f.Return(f.now, take(f))
		}, want: []string{"r@a:0+"}},
		"a lost report of an earlier state": {do: func(f *outboxFixture) {
			f.Begin(f.now, engineRun("r"), engineA)
			first := take(f)
			f.FirstEvent(f.now, "r", time.Millisecond)
			f.Acknowledge(f.now, take(f))
			f.Return(f.now, first)
		}},
		"an end in the next message": {do: func(f *outboxFixture) {
			f.Begin(f.now, engineRun("r"), engineA)
			f.Acknowledge(f.now, take(f))
			f.FirstEvent(f.now, "r", time.Millisecond)
			f.End(f.now, "r", 3, time.Millisecond, false)
		}, want: []string{"r@a:2-"}},
		"an acknowledged end": {do: func(f *outboxFixture) {
			f.Begin(f.now, engineRun("r"), engineA)
			f.End(f.now, "r", 0, 0, false)
			f.Acknowledge(f.now, take(f))
			f.FirstEvent(f.now, "r", time.Millisecond)
			f.End(f.now, "r", 0, 0, false)
		}},
		"another target does not know the run": {do: func(f *outboxFixture) {
			f.Begin(f.now, engineRun("r"), engineA)
			b := take(f)
			f.SetTarget("backup")
			f.Acknowledge(f.now, b)
			f.FirstEvent(f.now, "r", time.Millisecond)
		}, want: []string{"r@a:1+"}},
		"a run that was placed and not begun": {do: func(f *outboxFixture) {
			f.Accept(f.Track(f.now, engineRun("r")), masticway.EngineChoice{Server: engineA}, f.Epoch())
			f.End(f.now, "r", 0, 0, false)
		}, want: []string{"r@:2-"}},
		"a run that the engine failed": {do: func(f *outboxFixture) {
			f.Begin(f.now, engineRun("r"), engineA)
			f.Acknowledge(f.now, take(f))
			f.End(f.now, "r", 0, 0, true)
		}, want: []string{"r@a:2"}},
		"a run that no owner was queried for": {do: func(f *outboxFixture) {
			f.Track(f.now, engineRun("r"))
			f.End(f.now, "r", 0, 0, false)
		}},
		"an end that the owner has forgotten": {do: func(f *outboxFixture) {
			f.Begin(f.now, engineRun("r"), engineA)
			f.End(f.now, "r", 0, 0, false)
			f.now = f.now.Add(6 * time.Second)
			f.Expire(f.now)
		}},
		"a run whose end was not recorded": {do: func(f *outboxFixture) {
			f.Begin(f.now, engineRun("r"), engineA)
			f.now = f.now.Add(21 * time.Second)
			f.Expire(f.now)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newOutboxFixture()
			tc.do(f)
			qt.Assert(t, describe(take(f)), qt.DeepEquals, tc.want)
		})
	}
}

// TestResync guards against a new owner that does not know the open runs of a router, or knows runs that have ended.
func TestResync(t *testing.T) {
	f := newOutboxFixture()
	for _, id := range []string{"open", "ended", "placed"} {
		f.Track(f.now, engineRun(id))
	}
	f.Begin(f.now, engineRun("open"), engineA)
	f.Begin(f.now, engineRun("ended"), engineA)
	f.Acknowledge(f.now, f.Take(f.now, 100))
	f.End(f.now, "ended", 0, 0, false)
	f.SetTarget("backup")
	qt.Assert(t, f.CanQuery(), qt.IsFalse)
	b := f.TakeAll(f.now)
	qt.Assert(t, b.Resync, qt.IsTrue)
	qt.Assert(t, describe(b), qt.DeepEquals, []string{"open@a:0+"})
	f.Return(f.now, b)
	b = f.TakeAll(f.now)
	qt.Assert(t, describe(b), qt.DeepEquals, []string{"open@a:0+"})
	f.Acknowledge(f.now, b)
	qt.Assert(t, describe(f.Take(f.now, 100)), qt.DeepEquals, []string{"ended@a:2+-"})
}

// TestReportsAreBounded guards against messages and memory that grow with the backlog.
func TestReportsAreBounded(t *testing.T) {
	f := newOutboxFixture()
	for i := range 2000 {
		f.Begin(f.now, engineRun(fmt.Sprint(i)), engineA)
	}
	total := 0
	for {
		b := f.Take(f.now, 256)
		if len(b.Reports) == 0 {
			break
		}
		qt.Assert(t, len(b.Reports) <= 256, qt.IsTrue)
		total += len(b.Reports)
	}
	qt.Assert(t, total, qt.Equals, 1024)
	qt.Assert(t, f.TakeAll(f.now).Reports, qt.HasLen, 1024)
}

// TestDueTimes guards against reports that are sent one by one, too late, or not at all, and against a silent router whose runs the
// owner drops.
func TestDueTimes(t *testing.T) {
	const delay = 50 * time.Millisecond
	for name, tc := range map[string]struct {
		do   func(f *outboxFixture)
		want time.Duration
		none bool
	}{
		"nothing to report": {do: func(*outboxFixture) {}, none: true},
		"a local choice":    {do: func(f *outboxFixture) { f.Begin(f.now, engineRun("r"), engineA) }, want: delay},
		"the first report counts": {do: func(f *outboxFixture) {
			f.Begin(f.now, engineRun("r"), engineA)
			f.FirstEvent(f.now.Add(20*time.Millisecond), "r", 0)
		}, want: delay},
		"a choice of the owner waits for the next message": {do: func(f *outboxFixture) {
			f.Accept(f.Track(f.now, engineRun("r")), masticway.EngineChoice{Server: engineA}, f.Epoch())
			f.Begin(f.now, engineRun("r"), engineA)
		}, want: time.Second},
		"an open run": {do: func(f *outboxFixture) {
			f.Begin(f.now, engineRun("r"), engineA)
			f.Acknowledge(f.now, f.Take(f.now, 100))
		}, want: time.Second},
		"a lost report": {do: func(f *outboxFixture) {
			f.Begin(f.now, engineRun("r"), engineA)
			f.Return(f.now, f.Take(f.now, 100))
		}, want: delay},
		"a resync": {do: func(f *outboxFixture) {
			f.Begin(f.now, engineRun("r"), engineA)
			f.RequireResync()
		}, want: delay},
		"no target": {do: func(f *outboxFixture) {
			f.SetTarget("")
			f.Begin(f.now, engineRun("r"), engineA)
		}, none: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newOutboxFixture()
			tc.do(f)
			at, ok := f.DueAt(delay)
			qt.Assert(t, ok, qt.Equals, !tc.none)
			if ok {
				qt.Assert(t, at.Sub(f.now), qt.Equals, tc.want)
			}
		})
	}
}
