package chooser_test

import (
	"bytes"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/chooser"
)

var start = time.Unix(1_800_000_000, 0)

var twoCandidates = []chooser.Candidate{{Instance: "a", Zone: "z"}, {Instance: "b", Zone: "z"}}

func prompt(fill byte, n int) chooser.Request {
	data := bytes.Repeat([]byte{fill}, n)
	return chooser.Request{PromptBytes: n, Prefixes: chooser.Prefixes(data), Zone: "z"}
}

func loadReport(running, queued int) masticway.LoadReport {
	return masticway.LoadReport{Running: running, Queued: queued, Capacity: 4, PrefillTime: 0.001, TokenTime: 0.01}
}

func TestChoice(t *testing.T) {
	cases := map[string]struct {
		prepare func(c *chooser.Chooser)
		work    chooser.Request
		chosen  string
	}{
		"a queue at the other upstream": {func(c *chooser.Chooser) {
			c.RecordReport(start, "a", loadReport(4, 6))
			c.RecordReport(start, "b", loadReport(1, 0))
		}, prompt('x', 400), "b"},
		"a cached prefix": {func(c *chooser.Chooser) {
			c.RecordSent(start, "b", prompt('x', 8000))
			c.RecordFirstToken("b", prompt('x', 8000))
			c.RecordDone(start, "b", time.Second, true, prompt('x', 8000))
		}, prompt('x', 8000), "b"},
		"a reported prefix": {func(c *chooser.Chooser) {
			r := loadReport(0, 0)
			r.Prefixes = chooser.Prefixes(bytes.Repeat([]byte{'x'}, 8000))
			c.RecordReport(start, "b", r)
			c.RecordReport(start, "a", loadReport(0, 0))
		}, prompt('x', 8000), "b"},
		"load outweighs affinity": {func(c *chooser.Chooser) {
			c.RecordSent(start, "b", prompt('x', 8000))
			c.RecordReport(start, "b", loadReport(4, 20))
			c.RecordReport(start, "a", loadReport(0, 0))
		}, prompt('x', 8000), "a"},
		"an expired prefix": {func(c *chooser.Chooser) {
			c.RecordSent(start.Add(-time.Hour), "b", prompt('x', 8000))
			c.RecordFirstToken("b", prompt('x', 8000))
			c.RecordReport(start, "a", loadReport(0, 0))
			c.RecordReport(start, "b", loadReport(2, 0))
		}, prompt('x', 8000), "a"},
		"requests sent since the report count": {func(c *chooser.Chooser) {
			c.RecordReport(start, "a", loadReport(0, 0))
			c.RecordReport(start, "b", loadReport(0, 0))
			for range 8 {
				c.RecordSent(start, "a", prompt('y', 300))
			}
		}, prompt('x', 300), "b"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := chooser.New(chooser.PolicyForecast)
			tc.prepare(c)
			i, scores := c.Choose(start, tc.work, twoCandidates)
			qt.Assert(t, twoCandidates[i].Instance, qt.Equals, tc.chosen, qt.Commentf("%+v", scores))
		})
	}
}

func TestOwnZoneBreaksTies(t *testing.T) {
	c := chooser.New(chooser.PolicyForecast)
	i, _ := c.Choose(start, chooser.Request{PromptBytes: 10, Zone: "z"}, []chooser.Candidate{{Instance: "far", Zone: "y"}, {Instance: "near", Zone: "z"}})
	qt.Assert(t, i, qt.Equals, 1)
}

func TestNoCandidates(t *testing.T) {
	i, _ := chooser.New(chooser.PolicyForecast).Choose(start, prompt('x', 10), nil)
	qt.Assert(t, i, qt.Equals, -1)
}

func TestBaselines(t *testing.T) {
	roundRobin := chooser.New(chooser.PolicyRoundRobin)
	counts := map[int]int{}
	for range 10 {
		i, _ := roundRobin.Choose(start, prompt('x', 10), twoCandidates)
		counts[i]++
	}
	qt.Assert(t, counts, qt.DeepEquals, map[int]int{0: 5, 1: 5})
	leastInFlight := chooser.New(chooser.PolicyLeastInFlight)
	leastInFlight.RecordSent(start, "a", prompt('x', 10))
	i, _ := leastInFlight.Choose(start, prompt('x', 10), twoCandidates)
	qt.Assert(t, twoCandidates[i].Instance, qt.Equals, "b")
}

func TestMissedCacheHintsLoseWeight(t *testing.T) {
	c := chooser.New(chooser.PolicyForecast)
	work := prompt('w', 8000)
	c.RecordSent(start, "b", work)
	c.RecordFirstToken("b", work)
	c.RecordReport(start, "a", loadReport(1, 0))
	c.RecordReport(start, "b", loadReport(2, 0))
	before, _ := c.Choose(start, work, twoCandidates)
	qt.Assert(t, twoCandidates[before].Instance, qt.Equals, "b")
	// The engine has evicted the prefix each time, so the shorter queue outweighs the hint.
	for range 20 {
		c.RecordCacheHit("b", 2000, 0)
	}
	after, scores := c.Choose(start, work, twoCandidates)
	qt.Assert(t, twoCandidates[after].Instance, qt.Equals, "a", qt.Commentf("%+v", scores))
	for range 20 {
		c.RecordCacheHit("b", 2000, 2000)
	}
	again, _ := c.Choose(start, work, twoCandidates)
	qt.Assert(t, twoCandidates[again].Instance, qt.Equals, "b")
}

func TestRoutersAgreeOnEngineForPrefix(t *testing.T) {
	four := []chooser.Candidate{{Instance: "a"}, {Instance: "b"}, {Instance: "c"}, {Instance: "d"}}
	engines := map[byte]map[string]int{}
	routers := []*chooser.Chooser{chooser.New(chooser.PolicyForecast), chooser.New(chooser.PolicyForecast)}
	for round := range 20 {
		for group := byte('0'); group < '8'; group++ {
			work := prompt(group, 8000)
			c := routers[round%2]
			i, _ := c.Choose(start, work, four)
			expected := c.RecordSent(start, four[i].Instance, work)
			c.RecordCacheHit(four[i].Instance, expected, expected)
			c.RecordFirstToken(four[i].Instance, work)
			c.RecordDone(start, four[i].Instance, time.Second, true, work)
			if round < 6 {
				continue
			}
			if engines[group] == nil {
				engines[group] = map[string]int{}
			}
			engines[group][four[i].Instance]++
		}
	}
	for group, at := range engines {
		qt.Assert(t, at, qt.HasLen, 1, qt.Commentf("group %c at %v", group, at))
	}
}
