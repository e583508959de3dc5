package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/integrii/flaggy"

	"github.com/masticway/masticway"
)

func upstreamCommand() *command {
	return &command{name: "upstream", description: "list upstreams and send them orders", subcommands: []*command{upstreamList(), upstreamOrder()}}
}

func upstreamList() *command {
	c := &client{}
	return &command{
		name: "list", description: "list upstreams as one router sees them",
		example: "masticway upstream list --router http://127.0.0.1:8101 --token-file examples/admin.token",
		flags:   c.flags,
		run: func(ctx context.Context, e env) error {
			return callAndPrint(ctx, c, e, apiCall{method: http.MethodGet, path: "/admin/v1/upstreams"}, func(w io.Writer, v struct {
				Upstreams []struct {
					Instance string   `json:"instance"`
					State    string   `json:"state"`
					Zone     string   `json:"zone"`
					InFlight int      `json:"in_flight"`
					Pools    []string `json:"pools"`
				} `json:"upstreams"`
			}) {
				for _, u := range v.Upstreams {
					fmt.Fprintf(w, "%-24s %-9s zone %-4s in flight %d  %v\n", u.Instance, u.State, u.Zone, u.InFlight, u.Pools)
				}
			})
		},
	}
}

func upstreamOrder() *command {
	c, f, instance, action, target := &client{}, &changeFlags{}, "", "", ""
	return &command{
		name: "order", description: "order an upstream to load something or to change role",
		example: "masticway upstream order draft-1 load_version draft:2 --router http://127.0.0.1:8101 --token-file examples/admin.token",
		flags: func(s *flaggy.Subcommand) {
			c.flags(s)
			f.flags(s, false)
			s.AddPositionalValue(&instance, "instance", 1, true, "instance of the upstream")
			s.AddPositionalValue(&action, "action", 2, true, "load_model, load_adapter, load_version or change_role")
			s.AddPositionalValue(&target, "target", 3, true, "what to load, or the role")
		},
		run: func(ctx context.Context, e env) error {
			body, err := json.Marshal(masticway.Order{Action: action, Target: target})
			if err != nil {
				return fmt.Errorf("encoding the order: %w", err)
			}
			call := apiCall{method: http.MethodPost, path: "/admin/v1/upstreams/" + instance + "/orders", body: body, headers: f.headers()}
			return callAndPrint(ctx, c, e, call, func(w io.Writer, o masticway.Order) {
				fmt.Fprintf(w, "done: %s %s with fencing number %d\n", o.Action, o.Target, o.Fence)
			})
		},
	}
}
