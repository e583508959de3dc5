package tallier

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/logger"
)

// newTallier returns a tallier, and a function that returns the lines that it has logged since the last call.
func newTallier(t *testing.T) (*Tallier, func() []string) {
	var out bytes.Buffer
	log, err := logger.New("info", &out)
	qt.Assert(t, err, qt.IsNil)
	return New(masticway.SystemClock{}, log.WithField("instance", "edge-1"), "edge-1~1"), func() []string {
		defer out.Reset()
		return strings.FieldsFunc(out.String(), func(r rune) bool { return r == '\n' })
	}
}

// TestCountsAreCumulative guards against counts that are lost with a line that was dropped.
func TestCountsAreCumulative(t *testing.T) {
	tally, logged := newTallier(t)
	tally.Add(End{Workspace: "w1", Outcome: Served, Charged: 10})
	tally.Add(End{Workspace: "w1", Outcome: Served, IsLate: true})
	tally.Add(End{Workspace: "w1", Outcome: "broken_off", Charged: 3})
	tally.Flush()
	lines := logged()
	qt.Assert(t, lines, qt.HasLen, 1)
	for _, field := range []string{"event=workspace_requests", "workspace=w1", `incarnation="edge-1~1"`, "served=2", "late=1", "broken_off=1", "tokens=10", "tokens_unserved=3", "instance=edge-1"} {
		qt.Assert(t, lines[0], qt.Contains, field)
	}
	tally.Flush()
	qt.Assert(t, logged(), qt.HasLen, 0)
	tally.Add(End{Workspace: "w1", Outcome: Served, Charged: 10})
	tally.Flush()
	qt.Assert(t, logged()[0], qt.Contains, "served=3")
}

// TestLinesAndWorkspacesAreBounded guards against memory and lines that grow with the number of workspaces, and against workspaces
// that are never logged because others change more often.
func TestLinesAndWorkspacesAreBounded(t *testing.T) {
	tally, logged := newTallier(t)
	for i := range maxWorkspaces + 50 {
		tally.Add(End{Workspace: fmt.Sprint("w", i), Outcome: Served})
	}
	qt.Assert(t, tally.byWorkspace, qt.HasLen, maxWorkspaces+1)
	seen := map[string]bool{}
	for range maxWorkspaces/maxLines + 1 {
		tally.Add(End{Workspace: "w0", Outcome: Served})
		tally.logChanged(maxLines)
		lines := logged()
		qt.Assert(t, len(lines) <= maxLines, qt.IsTrue)
		for _, line := range lines {
			_, rest, _ := strings.Cut(line, "workspace=")
			seen[rest] = true
		}
	}
	qt.Assert(t, len(seen) > maxWorkspaces, qt.IsTrue)
	tally.Flush()
	tally.Add(End{Workspace: "w9999", Outcome: "no_server"})
	tally.Flush()
	qt.Assert(t, logged()[0], qt.Contains, `no_server=1 served=50 workspace="other workspaces"`)
}

func TestConcurrentEndsAreCountedOnce(t *testing.T) {
	tally, logged := newTallier(t)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 500 {
				tally.Add(End{Workspace: "w1", Outcome: Served, Charged: 10})
				tally.logChanged(1)
			}
		})
	}
	wg.Wait()
	tally.Flush()
	lines := logged()
	qt.Assert(t, strings.Join(lines, "\n"), qt.Contains, "served=4000")
}
