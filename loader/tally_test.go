package loader

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
)

func TestServiceOutcomesAreCheckedAgainstRuns(t *testing.T) {
	cases := map[string]struct {
		nonRepeatable bool
		runs          int
		answer        answer
		promises      Promises
	}{
		"answered once":                {true, 1, answer{outcome: outcomeOK, text: `{"echo":"b"}`}, Promises{}},
		"ran twice":                    {true, 2, answer{outcome: outcomeOK, text: `{"echo":"b"}`}, Promises{Doubled: 1}},
		"repeatable, ran twice":        {false, 2, answer{outcome: outcomeOK, text: `{"echo":"b"}`}, Promises{}},
		"reported as not run, but ran": {true, 1, answer{outcome: outcomeRefused, fate: masticway.FateNotRun}, Promises{FalseNotRun: 1}},
		"outcome unknown":              {true, 1, answer{outcome: outcomeRefused, fate: masticway.FateUnknown}, Promises{}},
		"ran and was not answered":     {true, 1, answer{outcome: outcomeBroken}, Promises{LostAnswers: 1}},
		"never ran, never answered":    {true, 0, answer{outcome: outcomeBroken}, Promises{}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			tally := newTally()
			p := plannedRequest{body: "b", nonRepeatable: tc.nonRepeatable, traffic: Traffic{Service: "s"}}
			tally.add(p, tc.answer, false)
			tally.checkServiceRuns(map[string]int{"b": tc.runs})
			qt.Assert(t, tally.promises, qt.Equals, tc.promises)
		})
	}
}
