package soaker

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/masticway/masticway/emulator"
)

const (
	// singleWorkspace is a workspace whose callers all use one router. It has callers only during the fault that adds them.
	singleWorkspace = "single"
	// A hot workspace has up to hotCallers more callers, and singleWorkspace at least minSingleCallers. workspaceStreamBase is the
	// lowest number of their random streams (newCaller).
	hotCallers, minSingleCallers = 24, 3
	workspaceStreamBase          = 5 << 20
	// loweredBudget is what a workspace's budget is lowered to for a while.
	loweredBudget = 1000
	// A workspace is owed a request that fits into owedShare of its budget, as in the users' deployments.
	owedShare = 0.97
	// minServedRatio is the least ratio of the share of a workspace's owed requests that are served to that of all. It is judged for
	// workspaces with minJudged owed requests or more.
	minServedRatio, minJudged = 0.25, 40
)

// manyKind gives budgets to manyCount further workspaces, which have no callers, and manyTokens to each: more than have room in one row
// of the store at a router that keeps tokens of each.
const (
	manyKind              = "many_workspaces"
	manyCount, manyTokens = 2500, 1_000_000
)

func manyWorkspaces() []string {
	var all []string
	for i := range manyCount {
		all = append(all, fmt.Sprintf("idle-%04d", i))
	}
	return all
}

// sendAs adds callers of a workspace at the given addresses for the duration of the fault, with short pauses.
func (s *soakRun) sendAs(e faultEvent, workspace string, callers int, addresses ...string) {
	s.mu.Lock()
	stream := workspaceStreamBase + s.workspaceFaults*hotCallers
	s.workspaceFaults++
	s.mu.Unlock()
	s.logf("%d more callers of %s at %d routers", callers, workspace, len(addresses))
	var wg sync.WaitGroup
	until := time.Now().Add(e.duration)
	for i := range callers {
		c := s.newCaller("w", stream+i, addresses...)
		c.workspace = workspace
		wg.Go(func() {
			for time.Now().Before(until) {
				time.Sleep(randomUpTo(c.random, maxThinkTime))
				c.sendToRoute(routes[c.random.IntN(len(routes))])
			}
		})
	}
	wg.Wait()
}

// heatWorkspace makes a workspace send many times its usual for the duration of the fault.
func (s *soakRun) heatWorkspace(e faultEvent) {
	s.sendAs(e, workspaces[e.target%len(workspaces)], e.scaled(hotCallers-1), s.callerAddresses()...)
}

// sendToOneRouter gives singleWorkspace callers at one router for the duration of the fault.
func (s *soakRun) sendToOneRouter(e faultEvent) {
	p := s.processes[e.target%s.Routers]
	s.sendAs(e, singleWorkspace, max(minSingleCallers, e.scaled(hotCallers-1)), p.proxies[callerProxy].Addr().String())
}

// revokeKeys takes all keys from a workspace, and gives it a new one after the duration of the fault.
func (s *soakRun) revokeKeys(e faultEvent) {
	workspace := workspaces[e.target%len(workspaces)]
	s.changeWorkspace(e, workspace, func() { s.keys[workspace] = "" }, func() {
		s.keysIssued++
		s.keys[workspace] = emulator.DeploymentKey(workspace, s.keysIssued)
	})
}

// lowerBudget lowers the budget of a workspace far below what it has used, and restores it after the duration of the fault.
func (s *soakRun) lowerBudget(e faultEvent) {
	workspace := workspaces[e.target%len(workspaces)]
	var before int64
	s.changeWorkspace(e, workspace, func() { before, s.prepaid[workspace] = s.prepaid[workspace], loweredBudget }, func() {
		// What was paid meanwhile stays paid.
		s.prepaid[workspace] += before - loweredBudget
	})
}

// changeWorkspace changes a workspace in one version of the configuration, and again in another one after the duration of the fault.
// It is not owed anything until the second is in force. It does nothing while the workspace is being changed already.
func (s *soakRun) changeWorkspace(e faultEvent, workspace string, change, restore func()) {
	s.mu.Lock()
	if s.isChanging[workspace] {
		s.mu.Unlock()
		return
	}
	s.isChanging[workspace] = true
	change()
	s.mu.Unlock()
	s.configure(0, 0)
	time.Sleep(e.duration)
	s.mu.Lock()
	restore()
	s.mu.Unlock()
	s.configure(0, 0)
	time.Sleep(s.maxApplyTime())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isChanging[workspace] = false
}

// mostTokens returns the most tokens that the request may cost.
func (q *request) mostTokens() int64 {
	if !q.metered {
		return 0
	}
	if q.resumeAfter > 0 {
		return int64(q.declared)
	}
	return int64(q.prompt + q.declared)
}

// beginRequest records that a request is sent and whether its workspace is owed it: the budget covers it beside all that is in
// progress, and the workspace is not being changed. s.mu must be held.
func (s *soakRun) beginRequest(q *request) {
	s.pending[q.workspace] += q.mostTokens()
	q.owed = q.name != "" && q.workspace != "" && q.resumeAfter == 0 && q.readPause == 0 && q.recurringName == "" && !q.isBesideDeadlyPart() && !s.isChanging[q.workspace]
	if q.metered && float64(s.delivered[q.workspace]+s.pending[q.workspace]) > owedShare*float64(s.prepaid[q.workspace]) {
		q.owed = false
	}
	// A workspace that is changed while the request is in progress is not owed it either, see endRequest.
	q.key = s.keys[q.workspace]
}

// endRequest records that a request has ended. s.mu must be held.
func (s *soakRun) endRequest(q *request) {
	s.pending[q.workspace] -= q.mostTokens()
	q.owed = q.owed && !s.isChanging[q.workspace]
}

// checkStarvedWorkspaces checks that no workspace starves: with tokens left, it is served at least a quarter as often as all. Requests
// whose connection a router refused or broke count as not served.
func (s *soakRun) checkStarvedWorkspaces() {
	type count struct{ owed, served int }
	byWorkspace, all := map[string]count{}, count{}
	for _, q := range s.requests {
		hasRouter := q.conn != callerConn{}
		if !q.owed || !hasRouter || q.waitTimeout < min(q.timeLimit, emulator.DeploymentTimeout) {
			continue
		}
		// A router that shuts down is not ready, so that a load balancer sends its callers to others. The proxies do not.
		if !s.isUndisturbed(q.sentAt, q.endedAt, plannedTarget(q.router)) {
			continue
		}
		c := byWorkspace[q.workspace]
		c.owed, all.owed = c.owed+1, all.owed+1
		if q.outcome == outcomeAnswered && q.status == http.StatusOK {
			c.served, all.served = c.served+1, all.served+1
		}
		byWorkspace[q.workspace] = c
	}
	for _, workspace := range slices.Sorted(maps.Keys(byWorkspace)) {
		c := byWorkspace[workspace]
		s.logf("%s was served %d of %d owed requests, all %d of %d", workspace, c.served, c.owed, all.served, all.owed)
		if c.owed >= minJudged && float64(c.served)*float64(all.owed) < minServedRatio*float64(all.served)*float64(c.owed) {
			s.reportViolation(promiseFair, "%s was served %d of %d owed requests, all %d of %d", workspace, c.served, c.owed, all.served, all.owed)
		}
	}
}
