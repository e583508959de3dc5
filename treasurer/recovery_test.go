package treasurer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// smallFleet is the load of a deployment with five routers in four availability zones: 110 requests a second for ten
// workspaces, and budgets for four times the duration.
var smallFleet = fleetLoad{routers: 5, zones: 4, workspaces: 10, perSecond: 110, span: 12 * time.Second, budgetFactor: 4}

// TestTwoPowerLossesInOneOutage has all routers lose power twice during an outage of the store.
//
// It guards against budgets that are presumed spent although they were not. The incarnations that ended first did not run
// long enough to spend at their rate, but only the third incarnation of each router reaches the store, and no witness is
// left to say what was spent, so the rate is presumed for the whole time in which both ended. When each holder's limit was
// three deviations above its own demand, two to four times that demand, 10% of all budgets went to an outage of 5.4 s,
// three times what the limits allow early, and hardly any request was served at the end. Holders lend to each other in an
// outage, so the deviation of all their demand together is enough.
func TestTwoPowerLossesInOneOutage(t *testing.T) {
	f := startFleet(smallFleet)
	f.schedule(5*time.Second, func() { f.storeDown = true })
	f.schedule(6*time.Second, func() { f.killAll(f.routers, time.Second) })
	f.schedule(9*time.Second, func() { f.killAll(f.routers, time.Second) })
	f.schedule(11*time.Second, func() { f.storeDown = false })
	f.run(f.load.span + 3*time.Second)
	lost := f.lostShare() * smallFleet.budgetFactor * smallFleet.span.Seconds()
	t.Logf("lost: %.1f s of all demand, %.3f of all budgets", lost, f.lostShare())
	// The loss was 13.7 s with the deviations of each holder's own demand, 10.1 s with those of all holders' demand
	// together; 3.4 s of it were in flight or allowed early.
	qt.Check(t, lost <= 11.5, qt.IsTrue)
	f.checkBudgets(t)
}

// TestSmallFleetServesDuringOutage has an outage that is longer than outageThreshold, so that routers serve at the rates of
// their spend limits, which must not be too low.
func TestSmallFleetServesDuringOutage(t *testing.T) {
	f := startFleet(smallFleet)
	f.schedule(3*time.Second, func() { f.storeDown = true })
	f.schedule(10*time.Second, func() { f.storeDown = false })
	f.run(f.load.span + 3*time.Second)
	refused := f.summary(0, len(f.seconds)).refusedShare()
	t.Logf("refused: %.4f", refused)
	qt.Check(t, refused <= 0.006, qt.IsTrue)
	f.checkBudgets(t)
}
