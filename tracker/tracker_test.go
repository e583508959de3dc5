package tracker_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/tracker"
)

var start = time.Unix(1_800_000_000, 0)

func instanceList(state masticway.InstanceState) []masticway.Instance {
	return []masticway.Instance{{ID: "s", Role: masticway.RoleSidecar, State: state}}
}

func TestAnySourceStopsNewWork(t *testing.T) {
	cases := map[string]struct {
		events func(tr *tracker.Tracker)
		usable bool
	}{
		"linked":                    {func(*tracker.Tracker) {}, true},
		"list reports leaving":      {func(tr *tracker.Tracker) { tr.UpdateInstances(instanceList(masticway.InstanceLeaving)) }, false},
		"list reports ended":        {func(tr *tracker.Tracker) { tr.UpdateInstances(instanceList(masticway.InstanceEnded)) }, false},
		"sidecar announces leaving": {func(tr *tracker.Tracker) { tr.MarkLeaving("s") }, false},
		"sidecar announces leaving, list lags": {func(tr *tracker.Tracker) {
			tr.MarkLeaving("s")
			tr.UpdateInstances(instanceList(masticway.InstanceLive))
		}, false},
		"silence": {func(tr *tracker.Tracker) { tr.Tick(start.Add(3 * time.Second)) }, false},
		"silence, then a message": {func(tr *tracker.Tracker) {
			tr.Tick(start.Add(3 * time.Second))
			tr.ObserveMessage(start.Add(3*time.Second), "s")
		}, true},
		"link lost":                    {func(tr *tracker.Tracker) { tr.LinkDown(start, "s") }, false},
		"link re-established":          {func(tr *tracker.Tracker) { tr.LinkDown(start, "s"); tr.LinkUp(start, "s", "s~1") }, true},
		"leaving, link re-established": {func(tr *tracker.Tracker) { tr.MarkLeaving("s"); tr.LinkDown(start, "s"); tr.LinkUp(start, "s", "s~1") }, false},
		"restarted on its instance":    {func(tr *tracker.Tracker) { tr.MarkLeaving("s"); tr.LinkUp(start, "s", "s~2") }, true},
		"flapping is suppressed": {func(tr *tracker.Tracker) {
			for range 3 {
				tr.LinkDown(start, "s")
				tr.LinkUp(start, "s", "s~1")
			}
		}, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			tr := tracker.New(tracker.Settings{SilenceTimeout: 2 * time.Second})
			qt.Assert(t, tr.UpdateInstances(instanceList(masticway.InstanceLive)), qt.HasLen, 1)
			tr.LinkUp(start, "s", "s~1")
			tc.events(tr)
			qt.Assert(t, len(tr.Usable(start)) == 1, qt.Equals, tc.usable)
		})
	}
}

func TestFlappingUpstreamReturns(t *testing.T) {
	tr := tracker.New(tracker.Settings{SilenceTimeout: time.Hour})
	tr.UpdateInstances(instanceList(masticway.InstanceLive))
	for range 4 {
		tr.LinkUp(start, "s", "s~1")
		tr.LinkDown(start, "s")
	}
	tr.LinkUp(start, "s", "s~1")
	qt.Assert(t, tr.Usable(start), qt.HasLen, 0)
	qt.Assert(t, tr.Usable(start.Add(10*time.Second)), qt.HasLen, 1)
}
