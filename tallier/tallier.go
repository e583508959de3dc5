package tallier

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
)

const (
	// Interval is how often changed counts are logged. With maxLines, it bounds the lines that a router writes.
	Interval = time.Second
	// maxLines is the maximum number of lines in one Interval. Workspaces without a line wait for the next one, those that
	// have waited longest first.
	maxLines = 64
	// maxWorkspaces bounds the number of workspaces with counts of their own. Further ones are counted as OtherWorkspaces.
	maxWorkspaces = 4096
)

// OtherWorkspaces is the name under which the workspaces beyond maxWorkspaces are counted. No workspace has it, because it
// contains a space.
const OtherWorkspaces = "other workspaces"

// Names of the counts besides the codes of refusals.
const (
	Served = "served"
	// Late counts the served requests whose first part came after the route's latency objective.
	Late = "late"
	// Tokens is the sum of the tokens charged for served requests, and UnservedTokens of those charged for others.
	Tokens         = "tokens"
	UnservedTokens = "tokens_unserved"
)

// End is the end of a request.
type End struct {
	Workspace string
	// Outcome is Served or the code of a refusal.
	Outcome string
	// IsLate is set if the request was served and counts as Late.
	IsLate bool
	// Charged is the number of prepaid tokens that were charged.
	Charged int64
}

// counts has the counts of one workspace's requests by name. isListed is set while the workspace is in Tallier.changed.
type counts struct {
	byName   logrus.Fields
	isListed bool
}

func (c *counts) add(name string, n int64) {
	if n == 0 {
		return
	}
	before, _ := c.byName[name].(int64)
	c.byName[name] = before + n
}

// Tallier counts the ends of requests.
type Tallier struct {
	clock masticway.Clock
	log   *logrus.Entry

	mu          sync.Mutex
	byWorkspace map[string]*counts
	// changed lists the workspaces whose counts have changed since they were logged, the one that has waited longest first.
	changed []string
}

// New returns a Tallier without counts.
func New(clock masticway.Clock, log *logrus.Entry, self masticway.Incarnation) *Tallier {
	return &Tallier{clock: clock, log: log.WithField("incarnation", self), byWorkspace: map[string]*counts{}}
}

// Add counts the end of a request.
func (t *Tallier) Add(e End) {
	t.mu.Lock()
	defer t.mu.Unlock()
	workspace := e.Workspace
	c, ok := t.byWorkspace[workspace]
	if !ok && len(t.byWorkspace) >= maxWorkspaces {
		workspace = OtherWorkspaces
		c, ok = t.byWorkspace[workspace]
	}
	if !ok {
		c = &counts{byName: logrus.Fields{}}
		t.byWorkspace[workspace] = c
	}
	c.add(e.Outcome, 1)
	if e.IsLate {
		c.add(Late, 1)
	}
	if e.Outcome == Served {
		c.add(Tokens, e.Charged)
	} else {
		c.add(UnservedTokens, e.Charged)
	}
	if !c.isListed {
		c.isListed = true
		t.changed = append(t.changed, workspace)
	}
}

// Run logs changed counts until the context is done.
func (t *Tallier) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.clock.After(Interval):
		}
		t.logChanged(maxLines)
	}
}

// Flush logs all changed counts. A router calls it when it ends.
func (t *Tallier) Flush() { t.logChanged(maxWorkspaces + 1) }

// logChanged logs the counts of the workspaces that have waited longest, at most limit of them.
func (t *Tallier) logChanged(limit int) {
	for _, e := range t.takeChanged(limit) {
		e.Info("ends of the requests of a workspace")
	}
}

// takeChanged returns the entries to log and takes their workspaces off the list.
func (t *Tallier) takeChanged(limit int) []*logrus.Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := min(limit, len(t.changed))
	entries := make([]*logrus.Entry, 0, n)
	for _, workspace := range t.changed[:n] {
		c := t.byWorkspace[workspace]
		c.isListed = false
		// WithFields copies the counts.
		entries = append(entries, t.log.WithFields(c.byName).WithFields(logrus.Fields{"event": "workspace_requests", "workspace": workspace}))
	}
	t.changed = slices.Delete(t.changed, 0, n)
	return entries
}
