package coordinator_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway/coordinator"
)

// TestOwners guards against routers that keep waiting for an owner that is gone or slow, that give up one which lost a single
// packet, and that return to one before it replies in time again.
func TestOwners(t *testing.T) {
	const owner, backup = "owner", "backup"
	type state struct {
		target   string
		mayQuery bool
	}
	type step struct {
		after time.Duration
		do    func(o *coordinator.Owners, now time.Time)
		want  state
		probe bool
	}
	fails := func(address string) func(*coordinator.Owners, time.Time) {
		return func(o *coordinator.Owners, now time.Time) { o.RecordFailure(now, address) }
	}
	timesOut := func(address string) func(*coordinator.Owners, time.Time) {
		return func(o *coordinator.Owners, now time.Time) { o.RecordQueryTimeout(now, address) }
	}
	replies := func(address string, took time.Duration, wasQuery bool) func(*coordinator.Owners, time.Time) {
		return func(o *coordinator.Owners, now time.Time) { o.RecordSuccess(now, address, took, wasQuery) }
	}
	probeTimesOut := func(o *coordinator.Owners, now time.Time) { o.RecordProbeTimeout(now, owner) }
	nothing := func(*coordinator.Owners, time.Time) {}
	for name, steps := range map[string][]step{
		"no failures": {{do: nothing, want: state{owner, true}}},
		"the owner is gone": {
			{do: fails(owner), want: state{backup, true}},
			{after: 1100 * time.Millisecond, do: nothing, want: state{backup, true}, probe: true},
			{do: fails(owner), want: state{backup, true}},
			{after: 1100 * time.Millisecond, do: nothing, want: state{backup, true}},
			{after: time.Second, do: nothing, want: state{backup, true}, probe: true},
			{do: replies(owner, fast, true), want: state{owner, true}},
		},
		"one unanswered query": {
			{do: timesOut(owner), want: state{owner, false}},
			{do: timesOut(owner), want: state{owner, false}},
			{after: 1100 * time.Millisecond, do: nothing, want: state{owner, true}},
			{do: replies(owner, fast, true), want: state{owner, true}},
			{do: timesOut(owner), want: state{owner, false}},
		},
		"two unanswered queries": {
			{do: timesOut(owner), want: state{owner, false}},
			{after: 1100 * time.Millisecond, do: timesOut(owner), want: state{backup, true}},
			{after: 1100 * time.Millisecond, do: probeTimesOut, want: state{backup, true}},
			{after: 1100 * time.Millisecond, do: nothing, want: state{backup, true}},
			{after: time.Second, do: replies(owner, fast, true), want: state{owner, true}},
		},
		"reports are acknowledged slowly": {
			{do: timesOut(owner), want: state{owner, false}},
			{after: 1100 * time.Millisecond, do: timesOut(owner), want: state{backup, true}},
			{do: replies(owner, 100*time.Millisecond, false), want: state{backup, true}},
		},
		"both are slow, so the owner gets reports and no queries": {
			{do: timesOut(owner), want: state{owner, false}},
			{do: timesOut(backup), want: state{owner, false}},
			{after: 1100 * time.Millisecond, do: timesOut(owner), want: state{backup, true}},
			{do: timesOut(backup), want: state{owner, false}},
			{do: replies(owner, fast, false), want: state{owner, true}},
		},
		"both are gone": {
			{do: fails(owner), want: state{backup, true}},
			{do: fails(backup), want: state{"", false}},
			{after: 1100 * time.Millisecond, do: nothing, want: state{owner, false}, probe: true},
		},
	} {
		t.Run(name, func(t *testing.T) {
			o, now := coordinator.NewOwners(), time.Unix(1_000_000, 0)
			for i, s := range steps {
				now = now.Add(s.after)
				s.do(o, now)
				got := state{target: o.Choose(now, []string{owner, backup})}
				got.mayQuery = got.target != "" && o.MayQuery(now, got.target)
				qt.Check(t, got, qt.Equals, s.want, qt.Commentf("step %d", i))
				if s.probe {
					qt.Check(t, o.DueForProbe(now, owner), qt.IsTrue, qt.Commentf("step %d", i))
				}
			}
		})
	}
}

// TestSkipTimeGrows guards against messages every second to a router that is gone for long, and against one that is skipped for
// so long that its return is not noticed.
func TestSkipTimeGrows(t *testing.T) {
	o, now := coordinator.NewOwners(), time.Unix(1_000_000, 0)
	var waits []time.Duration
	for range 6 {
		o.RecordFailure(now, "x")
		failedAt := now
		for !o.DueForProbe(now, "x") {
			now = now.Add(100 * time.Millisecond)
		}
		waits = append(waits, now.Sub(failedAt))
	}
	qt.Assert(t, waits, qt.DeepEquals, []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 8 * time.Second, 8 * time.Second})
}
