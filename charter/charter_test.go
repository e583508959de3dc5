package charter_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway/charter"
)

func TestEmbeddedChartsAreValid(t *testing.T) {
	qt.Assert(t, charter.Check(), qt.IsNil)
}

func TestInvalidChartsAreRejected(t *testing.T) {
	cases := map[string]struct {
		chart string
		fault string
	}{
		"unreachable state": {`{"name":"c","initial":"a","events":["e"],"states":{"a":{"e":"a"},"b":{}}}`, `.*state "b" cannot be reached`},
		"unknown event":     {`{"name":"c","initial":"a","events":[],"states":{"a":{"e":"a"}}}`, `.*event "e" in state a is unknown`},
		"unused event":      {`{"name":"c","initial":"a","events":["e"],"states":{"a":{}}}`, `.*event "e" is never used`},
		"missing target":    {`{"name":"c","initial":"a","events":["e"],"states":{"a":{"e":"z"}}}`, `.*target "z" of a on e is missing`},
		"missing initial":   {`{"name":"c","initial":"q","events":[],"states":{"a":{}}}`, `.*initial state "q" is missing`},
		"not JSON":          {`{`, `parsing chart: .*`},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := charter.Parse([]byte(tc.chart))
			qt.Assert(t, err, qt.ErrorMatches, tc.fault)
		})
	}
}

func TestMissingTransitionIsAnError(t *testing.T) {
	c := charter.MustLoad(charter.Hold)
	held, err := c.Next(c.Initial(), "taken")
	qt.Assert(t, err, qt.IsNil)
	settled, err := c.Next(held, "settled")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, c.IsFinal(settled), qt.IsTrue)
	_, err = c.Next(settled, "settled")
	var transitionErr *charter.TransitionError
	qt.Assert(t, err, qt.ErrorAs, &transitionErr)
}
