package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// contendedEngines is the number of engines of a contended world. At 0.3 of the requests of a usual one, the mean time to the
	// first event there is twice that of light load. contendedLoad is 1.3 times as much.
	contendedEngines = 14
	contendedLoad    = 0.4
	contendedUntil   = 30 * time.Second
	workspaces       = 12
	// noisyFactor is how many times the load of each other workspace the noisy one has.
	noisyFactor = 7.5
	noisy       = "w-0"
)

// workspaceFigures are the results for the requests of some workspaces.
type workspaceFigures struct {
	requests, refused int
	// mean is the mean time to the first event in milliseconds, of those that got one. served is the share whose first event came
	// within the objective, by kind, and servedAll that of all.
	mean      float64
	served    [3]float64
	servedAll float64
}

func (f workspaceFigures) String() string {
	return fmt.Sprintf("%d requests, mean %.0f ms, served %.3f (%.3f), refused %d", f.requests, f.mean, f.servedAll, f.served, f.refused)
}

// contend runs a contended world in which one workspace has factor times the load of each other one, and returns the figures of the
// other workspaces and of the noisy one. load is the share of the requests of a usual world; they are the same for each factor. Without
// levels, the owner does not know the workspaces.
func contend(seed uint64, load, factor float64, withLevels bool) (others, own workspaceFigures) {
	w := newWorld(seed)
	w.servers, w.engines = w.servers[:contendedEngines], w.engines[:contendedEngines]
	rng := rand.New(rand.NewPCG(seed, 2))
	workspaceOf := map[*request]string{}
	w.requests = slices.DeleteFunc(w.requests, func(r *request) bool {
		kept := rng.Float64() < load
		k := pick(rng, workspaces, func(i int) float64 {
			if i == 0 {
				return factor
			}
			return 1
		})
		workspaceOf[r] = fmt.Sprint("w-", k)
		if withLevels {
			r.workspace = workspaceOf[r]
		}
		return !kept || r.arrival >= contendedUntil
	})
	w.urgency = func(rank, level int) int { return 3*rank + level }
	w.way = newSharedChoice(w)
	for _, r := range w.requests {
		w.after(r.arrival+requestKinds[r.kind].timeLimit, func() { w.giveUp(r) })
	}
	w.run()
	others = w.workspaceFigures(func(r *request) bool { return workspaceOf[r] != noisy })
	return others, w.workspaceFigures(func(r *request) bool { return workspaceOf[r] == noisy })
}

// giveUp ends a request that has no first event at its time limit, as engines do.
func (w *world) giveUp(r *request) {
	if r.firstEvent > 0 || r.ended || r.cut {
		return
	}
	r.cut = true
	if r.engine >= 0 {
		w.engines[r.engine].cancel(r)
		w.way.end(r)
	}
}

func (w *world) workspaceFigures(isCounted func(*request) bool) (f workspaceFigures) {
	var requests, served [3]int
	answered := 0
	for _, r := range w.requests {
		if r.arrival < warmUp || !isCounted(r) {
			continue
		}
		requests[r.kind]++
		if r.refused {
			f.refused++
		}
		if r.firstEvent == 0 {
			continue
		}
		answered++
		f.mean += (r.firstEvent - r.arrival).Seconds() * 1000
		if r.firstEvent-r.arrival <= requestKinds[r.kind].objective {
			served[r.kind]++
		}
	}
	total := 0
	for i, n := range requests {
		f.requests += n
		total += served[i]
		f.served[i] = float64(served[i]) / float64(n)
	}
	f.mean /= float64(answered)
	f.servedAll = float64(total) / float64(f.requests)
	return f
}

// TestNoisyWorkspaceWaits guards against a workspace with many times its usual load that delays the requests of the others, and
// against less urgent kinds of requests that are served before more urgent ones.
func TestNoisyWorkspaceWaits(t *testing.T) {
	for seed := uint64(1); seed <= 2; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			equal, _ := contend(seed, contendedLoad, 1, true)
			without, noisyWithout := contend(seed, contendedLoad, noisyFactor, false)
			with, noisyWith := contend(seed, contendedLoad, noisyFactor, true)
			t.Logf("equal demand: %v", equal)
			t.Logf("one at %g times, without levels: others %v; it %v", noisyFactor, without, noisyWithout)
			t.Logf("one at %g times, with levels: others %v; it %v", noisyFactor, with, noisyWith)
			qt.Check(t, with.mean <= equal.mean, qt.IsTrue)
			qt.Check(t, with.servedAll >= equal.servedAll, qt.IsTrue)
			qt.Check(t, with.mean < without.mean, qt.IsTrue)
			qt.Check(t, with.servedAll > without.servedAll, qt.IsTrue)
			for _, f := range []workspaceFigures{equal, with} {
				qt.Check(t, f.served[0] >= f.served[1] && f.served[1] >= f.served[2], qt.IsTrue, qt.Commentf("%v", f))
			}
		})
	}
}

// TestContentionIsDeterministic guards against levels that depend on the order of a map.
func TestContentionIsDeterministic(t *testing.T) {
	others, own := contend(3, contendedLoad, noisyFactor, true)
	for range 3 {
		othersAgain, ownAgain := contend(3, contendedLoad, noisyFactor, true)
		qt.Assert(t, othersAgain, qt.Equals, others)
		qt.Assert(t, ownAgain, qt.Equals, own)
	}
}

// TestLevelsWithoutContention guards against a workspace that waits longer than others although the engines are not contended.
func TestLevelsWithoutContention(t *testing.T) {
	const lightLoad = 0.08
	for seed := uint64(1); seed <= 2; seed++ {
		others, own := contend(seed, lightLoad, noisyFactor, false)
		othersWith, ownWith := contend(seed, lightLoad, noisyFactor, true)
		qt.Check(t, othersWith, qt.Equals, others)
		qt.Check(t, ownWith, qt.Equals, own)
	}
}
