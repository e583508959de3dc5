package scheduler_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/scheduler"
)

// TestGroupCount guards against groups so large that their owner gets too many queries.
func TestGroupCount(t *testing.T) {
	for engines, want := range map[int]int{0: 1, 1: 1, 56: 1, 95: 1, 96: 2, 128: 2, 4200: 66} {
		qt.Assert(t, scheduler.GroupCount(engines), qt.Equals, want, qt.Commentf("%d engines", engines))
	}
}

// TestGroupsAreEven guards against groups of very different sizes.
func TestGroupsAreEven(t *testing.T) {
	const engines = 4200
	groups := scheduler.GroupCount(engines)
	sizes := make([]int, groups)
	prompts := make([]int, groups)
	for i := range engines {
		sizes[scheduler.GroupOf("model", fmt.Sprintf("e-%04d", i), groups)]++
		prompts[scheduler.PromptGroups(longRun("r", fmt.Sprint("subject", i)), groups)[0]]++
	}
	for g := range groups {
		qt.Assert(t, sizes[g] > 32 && sizes[g] < 100, qt.IsTrue, qt.Commentf("%d engines in group %d", sizes[g], g))
		qt.Assert(t, prompts[g] > 32 && prompts[g] < 100, qt.IsTrue, qt.Commentf("%d prompts for group %d", prompts[g], g))
	}
}

// TestAddedGroup guards against moving most engines when the number of groups changes.
func TestAddedGroup(t *testing.T) {
	moved := 0
	for i := range 1000 {
		id := fmt.Sprint("e-", i)
		before, after := scheduler.GroupOf("model", id, 9), scheduler.GroupOf("model", id, 10)
		if before != after {
			moved++
			qt.Assert(t, after, qt.Equals, 9)
		}
	}
	qt.Assert(t, moved < 150, qt.IsTrue, qt.Commentf("%d of 1000 engines moved", moved))
}

// TestPromptGroups guards against sending the runs that share a prompt part to the owners of different groups.
func TestPromptGroups(t *testing.T) {
	plain := func(id string) masticway.EngineRun { return masticway.EngineRun{ID: id} }
	cases := map[string]struct {
		first, second masticway.EngineRun
		groups        int
		wantCount     int
		wantSame      bool
	}{
		"one group":              {first: plain("a"), second: longRun("b", "s"), groups: 1, wantCount: 1, wantSame: true},
		"the same shared part":   {first: longRun("a", "s"), second: longRun("b", "s"), groups: 66, wantCount: 2, wantSame: true},
		"different shared parts": {first: longRun("a", "s1"), second: longRun("a", "s2"), groups: 66, wantCount: 2},
		"no parts":               {first: plain("a"), second: plain("b"), groups: 66, wantCount: 2},
		"two groups":             {first: plain("a"), second: plain("a"), groups: 2, wantCount: 2, wantSame: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			first, second := scheduler.PromptGroups(tc.first, tc.groups), scheduler.PromptGroups(tc.second, tc.groups)
			for _, got := range [][]int{first, second} {
				qt.Assert(t, got, qt.HasLen, tc.wantCount)
				qt.Assert(t, len(got) == 2 && got[0] == got[1], qt.IsFalse, qt.Commentf("the second group is the first"))
			}
			if tc.wantSame {
				qt.Assert(t, first, qt.DeepEquals, second)
				return
			}
			qt.Assert(t, first[0], qt.Not(qt.Equals), second[0])
		})
	}
}
