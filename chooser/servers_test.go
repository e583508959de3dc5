package chooser_test

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/chooser"
)

func pool(n int) []masticway.Server {
	servers := make([]masticway.Server, n)
	for i := range servers {
		servers[i] = masticway.Server{ID: fmt.Sprintf("i-%d", i), Zone: "z"}
	}
	return servers
}

func chat(session string) chooser.Prompt {
	return chooser.Prompt{Tokens: 7000, Zone: "z", Parts: []masticway.PromptPart{
		{ID: "template", Tokens: 2000}, {ID: session, Tokens: 4000}, {ID: "own-" + session, Tokens: 1000},
	}}
}

var testTime = time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)

func TestRoutersAgreeOnSessionHome(t *testing.T) {
	servers := pool(9)
	homes := map[int]int{}
	for i := range 90 {
		session := fmt.Sprintf("s%d", i)
		first, _ := chooser.NewServers(chooser.ServerPolicy{}).Choose(testTime, true, chat(session), servers)
		second, _ := chooser.NewServers(chooser.ServerPolicy{}).Choose(testTime, true, chat(session), servers)
		qt.Assert(t, second, qt.Equals, first)
		homes[first]++
	}
	qt.Assert(t, len(homes), qt.Equals, 9, qt.Commentf("homes are not spread over all servers: %v", homes))
}

func TestBusyHomeIsAvoided(t *testing.T) {
	s, servers := chooser.NewServers(chooser.ServerPolicy{}), pool(9)
	home, _ := s.Choose(testTime, true, chat("s"), servers)
	for i := range 12 {
		s.RecordSent(testTime, chat(fmt.Sprintf("other%d", i)), servers[home].ID)
	}
	next, _ := s.Choose(testTime, true, chat("s"), servers)
	qt.Assert(t, next, qt.Not(qt.Equals), home)
}

// TestRoutersAgreeOnOverflowServers guards against prefilling the parts of a popular prompt at many engines. Many callers request
// the same subject through several routers, which do not know each other's requests. Apart from the home, all routers must use
// the same few engines.
func TestRoutersAgreeOnOverflowServers(t *testing.T) {
	const routers, requests = 8, 12
	spread := func(p chooser.ServerPolicy) int {
		used := map[int]bool{}
		for r := range routers {
			s, servers := chooser.NewServers(p), pool(18)
			for i := range requests {
				prompt := chat("s")
				prompt.Parts[2].ID = fmt.Sprintf("own-%d-%d", r, i)
				k, _ := s.Choose(testTime, true, prompt, servers)
				s.RecordSent(testTime, prompt, servers[k].ID)
				used[k] = true
			}
		}
		return len(used)
	}
	ranked, unranked := spread(chooser.ServerPolicy{RankShare: 0.8}), spread(chooser.ServerPolicy{})
	qt.Assert(t, ranked <= 6, qt.IsTrue, qt.Commentf("%d engines prefilled the parts, %d without ranks", ranked, unranked))
	qt.Assert(t, unranked > ranked, qt.IsTrue, qt.Commentf("%d engines prefilled the parts, %d without ranks", ranked, unranked))
}

// TestLongAnswersToShortPromptsStayInZone compares two kinds of requests whose answers cost the same to transfer between zones:
// one with a hundred shared tokens, one with five thousand.
func TestLongAnswersToShortPromptsStayInZone(t *testing.T) {
	const output = 300
	cases := map[string]struct {
		shared     int
		wantNearby bool
	}{
		"few shared tokens":  {shared: 100, wantNearby: true},
		"many shared tokens": {shared: 5000},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			servers := pool(12)
			for i := range servers {
				servers[i].Zone = []string{"z", "y", "x"}[i%3]
			}
			sameAsUnweighted, nearby := 0, 0
			for i := range 60 {
				p := chooser.Prompt{Tokens: tc.shared + 400, Output: output, Zone: "z", Parts: []masticway.PromptPart{
					{ID: fmt.Sprintf("subject%d", i), Tokens: tc.shared}, {ID: fmt.Sprintf("own%d", i), Tokens: 400},
				}}
				s := chooser.NewServers(chooser.ServerPolicy{RankShare: 0.8, ZoneTokenCost: 0.04})
				k, _ := s.Choose(testTime, true, p, servers)
				unweighted, _ := chooser.NewServers(chooser.ServerPolicy{RankShare: 0.8}).Choose(testTime, true, p, servers)
				if k == unweighted {
					sameAsUnweighted++
				}
				if servers[k].Zone == "z" {
					nearby++
				}
			}
			if tc.wantNearby {
				// The home is still chosen if all nearby engines have high ranks.
				qt.Assert(t, nearby >= 50, qt.IsTrue, qt.Commentf("%d of 60", nearby))
				return
			}
			qt.Assert(t, sameAsUnweighted, qt.Equals, 60)
		})
	}
}

func TestUnreachableServerIsAvoided(t *testing.T) {
	s, servers := chooser.NewServers(chooser.ServerPolicy{}), pool(2)
	p := s.RecordSent(testTime, chooser.Prompt{}, servers[0].ID)
	s.RecordEnd(testTime, p, chooser.ResultUnreachable)
	for range 4 {
		i, _ := s.Choose(testTime.Add(100*time.Millisecond), false, chooser.Prompt{Zone: "z"}, servers)
		qt.Assert(t, i, qt.Equals, 1)
	}
}

func TestOutlierServer(t *testing.T) {
	cases := map[string]struct {
		fails map[int]bool
		want  bool
	}{
		"one fails":  {fails: map[int]bool{0: true}, want: true},
		"all fail":   {fails: map[int]bool{0: true, 1: true, 2: true}},
		"none fails": {},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s, servers := chooser.NewServers(chooser.ServerPolicy{}), pool(3)
			for range 10 {
				for i, server := range servers {
					result := chooser.ResultSuccess
					if tc.fails[i] {
						result = chooser.ResultFailure
					}
					s.RecordEnd(testTime, s.RecordSent(testTime, chooser.Prompt{}, server.ID), result)
				}
			}
			qt.Assert(t, s.IsOutlier(servers[0].ID, servers), qt.Equals, tc.want)
		})
	}
}

func TestEqualServersTakeTurns(t *testing.T) {
	s, servers := chooser.NewServers(chooser.ServerPolicy{}), pool(4)
	counts := map[int]int{}
	for range 40 {
		i, _ := s.Choose(testTime, false, chooser.Prompt{Zone: "z"}, servers)
		counts[i]++
	}
	qt.Assert(t, counts, qt.DeepEquals, map[int]int{0: 10, 1: 10, 2: 10, 3: 10})
}

func TestNoServers(t *testing.T) {
	i, _ := chooser.NewServers(chooser.ServerPolicy{}).Choose(testTime, true, chat("s"), nil)
	qt.Assert(t, i, qt.Equals, -1)
}

// TestRestartedServerHasNoState restarts a server under its ID. The new incarnation must have no cached parts and no load, and
// requests of the earlier incarnation that end late must not count against it.
func TestRestartedServerHasNoState(t *testing.T) {
	s := chooser.NewServers(chooser.ServerPolicy{})
	servers := []masticway.Server{{ID: "a"}, {ID: "b"}}
	startTimes := map[string]time.Time{"a": testTime, "b": testTime}
	qt.Assert(t, s.SyncIncarnations(startTimes), qt.HasLen, 0)
	var open []*chooser.Placement
	for range 20 {
		open = append(open, s.RecordSent(testTime, chooser.Prompt{}, "a"))
	}
	costs := func() (float64, float64) {
		_, a := s.Choose(testTime, false, chooser.Prompt{}, servers[:1])
		_, b := s.Choose(testTime, false, chooser.Prompt{}, servers[1:])
		return a, b
	}
	busy, idle := costs()
	qt.Assert(t, busy > idle, qt.IsTrue)
	qt.Assert(t, s.SyncIncarnations(map[string]time.Time{"a": testTime.Add(time.Second), "b": testTime}), qt.DeepEquals, []string{"a"})
	restarted, idle := costs()
	qt.Assert(t, restarted, qt.Equals, idle)
	for _, p := range open {
		s.RecordEnd(testTime, p, chooser.ResultUnreachable)
	}
	restarted, idle = costs()
	qt.Assert(t, restarted, qt.Equals, idle, qt.Commentf("the ends of the earlier incarnation's requests must not count"))
}

// TestHomesFollowWeights guards against a slow engine that gets as many prompts as others, against a fast one that gets no more than
// others, and against moving the homes of prompts that have nothing to do with the engine whose class changes.
func TestHomesFollowWeights(t *testing.T) {
	const prompts = 2000
	cases := map[string]struct {
		weight float64
		// wantShare is the weight of the engine divided by the sum of all weights.
		wantShare float64
	}{
		"slow":   {weight: chooser.SlowShare, wantShare: 0.5 / 9.5},
		"normal": {weight: 1, wantShare: 1.0 / 10},
		"fast":   {weight: chooser.FastShare, wantShare: 2.0 / 11},
	}
	servers := pool(10)
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			before, after := 0, 0
			for i := range prompts {
				p := chat(fmt.Sprintf("s%d", i))
				home, _ := chooser.NewServers(chooser.ServerPolicy{}).Choose(testTime, true, p, servers)
				p.HomeWeights = map[string]float64{"i-3": tc.weight}
				next, _ := chooser.NewServers(chooser.ServerPolicy{}).Choose(testTime, true, p, servers)
				if home == 3 {
					before++
				}
				if next == 3 {
					after++
				}
				if next != home {
					qt.Assert(t, home == 3 && tc.weight < 1 || next == 3 && tc.weight > 1, qt.IsTrue, qt.Commentf("a home moved from %d to %d", home, next))
				}
			}
			qt.Assert(t, before > prompts/10*8/10 && before < prompts/10*12/10, qt.IsTrue, qt.Commentf("%d before", before))
			want := tc.wantShare * prompts
			qt.Assert(t, float64(after) > want*0.8 && float64(after) < want*1.2, qt.IsTrue, qt.Commentf("%d of %d, not %.0f", after, prompts, want))
		})
	}
}

// TestScaledWeights guards against weights that overflow or change the order of an engine's prompts, and against other ranks
// without classes than those of unscaled weights.
func TestScaledWeights(t *testing.T) {
	weights := []uint64{0, 1, 1 << 11, 1 << 32, 1 << 63, math.MaxUint64 - 1<<11, math.MaxUint64}
	for _, share := range []float64{chooser.SlowShare, 1, chooser.FastShare} {
		for i, w := range weights {
			scaled := chooser.ScaleWeight(w, share)
			qt.Check(t, share <= 1 || scaled >= w>>11<<11, qt.IsTrue, qt.Commentf("%d times %g: %d", w, share, scaled))
			qt.Check(t, share >= 1 || scaled <= w, qt.IsTrue, qt.Commentf("%d times %g: %d", w, share, scaled))
			qt.Check(t, share != 1 || scaled == w, qt.IsTrue, qt.Commentf("%d times %g: %d", w, share, scaled))
			if i > 0 {
				qt.Check(t, scaled >= chooser.ScaleWeight(weights[i-1], share), qt.IsTrue, qt.Commentf("%d times %g: %d", w, share, scaled))
			}
		}
	}
	qt.Check(t, chooser.ScaleWeight(1<<62, chooser.FastShare), qt.Equals, uint64(1<<63))
	qt.Check(t, chooser.ScaleWeight(1<<63, chooser.SlowShare), qt.Equals, uint64(1<<62))
}

// TestRanksWithoutClasses guards against homes that move when this version replaces the previous one, with the order of servers that
// the unscaled rendezvous weights give.
func TestRanksWithoutClasses(t *testing.T) {
	servers := pool(20)
	for i := range 100 {
		p := chat(fmt.Sprintf("s%d", i))
		left := slices.Clone(servers)
		for len(left) > 0 {
			want := slices.MaxFunc(left, func(x, y masticway.Server) int {
				h := xxhash.Sum64String(fmt.Sprintf("s%d", i))
				return cmp.Compare(chooser.RendezvousWeight(h, x.ID), chooser.RendezvousWeight(h, y.ID))
			})
			// The rank outweighs all other costs.
			k, _ := chooser.NewServers(chooser.ServerPolicy{RankShare: 40}).Choose(testTime, true, p, left)
			qt.Assert(t, left[k].ID, qt.Equals, want.ID)
			left = slices.Delete(left, k, k+1)
		}
	}
}
