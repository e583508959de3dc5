package commander

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/integrii/flaggy"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/explainer"
	"github.com/masticway/masticway/router"
)

// anyRevision is the base of a change that must be accepted whatever the current revision is.
const anyRevision = "*"

// formatTokens formats an amount as tokens at weight one.
func formatTokens(a masticway.Amount) string {
	return strconv.FormatFloat(float64(a)/float64(masticway.PerToken), 'f', -1, 64)
}

// changeFlags are the flags that all commands with a change have in common.
type changeFlags struct {
	id   string // idempotency key of the change
	base string // the revision that the change is based on, or empty if the command has no such flag
}

// flags declares the flags. withBase must be set for commands with a base revision.
func (f *changeFlags) flags(s *flaggy.Subcommand, withBase bool) {
	s.String(&f.id, "", "change-id", "idempotency key of the change, so that a retry is not a second change")
	if withBase {
		f.base = anyRevision
		s.String(&f.base, "", "base", "revision that the change is based on; 0 if it must not exist yet, * for any")
	}
}

func (f *changeFlags) headers() []header {
	var list []header
	if f.id != "" {
		list = append(list, header{"Idempotency-Key", f.id})
	}
	if f.base != "" {
		list = append(list, header{"If-Match", f.base})
	}
	return list
}

func printChange(w io.Writer, v router.ChangeAnswer) {
	fmt.Fprintf(w, "accepted as revision %d (change %s)\n", v.Revision, v.ID)
}

func explainCommand() *command {
	c, id := &client{}, ""
	return &command{
		name: "explain", description: "show the decisions that were made about a request",
		example: "masticway explain router-1~1f0c9a3e.7 --router http://127.0.0.1:8101 --token-file examples/admin.token",
		flags: func(s *flaggy.Subcommand) {
			c.flags(s)
			s.AddPositionalValue(&id, "request", 1, true, "Masticway-Request-Id of the request")
		},
		run: func(ctx context.Context, e env) error {
			return callAndPrint(ctx, c, e, apiCall{method: http.MethodGet, path: "/admin/v1/requests/" + id}, printTrace)
		},
	}
}

func printTrace(w io.Writer, t explainer.Trace) {
	fmt.Fprintf(w, "request   %s\nidentity  %s\ncontract  %s at revision %d\ntarget    %s (%s)\nstate     %s %s\n", t.Request, t.Identity, t.Workspace, t.Revision, t.Target, t.Class, t.State, t.Refusal)
	for _, h := range t.Holds {
		fmt.Fprintf(w, "hold      %s tokens of bound %s, paid by %s, waited %s\n", formatTokens(h.Amount), formatTokens(h.Bound), h.Payer, h.Waited.Std())
	}
	for _, a := range t.Attempts {
		fmt.Fprintf(w, "attempt %d at %s: %s %s, first token %s, took %s, cost %s\n", a.Number, a.Sidecar, a.Fate, a.Cause, a.FirstToken.Std(), a.Took.Std(), formatTokens(a.Cost))
		for _, s := range a.Candidates {
			fmt.Fprintf(w, "    %-24s %.4f s (queue %.4f prefill %.4f) cached %d in flight %d\n", s.Instance, s.Seconds, s.Queue, s.Prefill, s.Cached, s.InFlight)
		}
	}
	fmt.Fprintf(w, "bill      %s tokens (prompt %d, completion %d), took %s\n", formatTokens(t.Bill), t.Usage.Prompt, t.Usage.Completion, t.Took.Std())
}
