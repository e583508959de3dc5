package commander

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/integrii/flaggy"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/router"
	"github.com/masticway/masticway/validator"
)

func catalogCommand() *command {
	return &command{
		name: "catalog", description: "put and get the catalog of models and services",
		subcommands: []*command{catalogPut(), catalogGet()},
	}
}

func catalogPut() *command {
	c, f, file := &client{}, &changeFlags{}, ""
	return &command{
		name: "put", description: "put the catalog",
		example: "masticway catalog put examples/catalog.json --router http://127.0.0.1:8101 --token-file examples/admin.token",
		flags: func(s *flaggy.Subcommand) {
			c.flags(s)
			f.flags(s, true)
			fileArgument(s, &file, "catalog file")
		},
		run: func(ctx context.Context, e env) error {
			if _, err := decodeFile[masticway.Catalog](validator.KindCatalog, file); err != nil {
				return err
			}
			body, err := os.ReadFile(file)
			if err != nil {
				return fmt.Errorf("reading %s: %w", file, err)
			}
			call := apiCall{method: http.MethodPut, path: "/admin/v1/catalog", body: body, headers: f.headers()}
			return callAndPrint(ctx, c, e, call, printChange)
		},
	}
}

func catalogGet() *command {
	c := &client{}
	return &command{
		name: "get", description: "show the catalog",
		example: "masticway catalog get --router http://127.0.0.1:8101 --token-file examples/admin.token",
		flags:   c.flags,
		run: func(ctx context.Context, e env) error {
			return callAndPrint(ctx, c, e, apiCall{method: http.MethodGet, path: "/admin/v1/catalog"}, func(w io.Writer, v struct {
				Revision masticway.Revision `json:"revision"`
				Catalog  masticway.Catalog  `json:"catalog"`
			}) {
				fmt.Fprintf(w, "revision %d\n", v.Revision)
				for _, m := range v.Catalog.Models {
					fmt.Fprintf(w, "model   %-20s prompt %s completion %s tokens a token\n", m.Name, formatTokens(m.PromptWeight), formatTokens(m.CompletionWeight))
				}
				for _, s := range v.Catalog.Services {
					fmt.Fprintf(w, "service %-20s %s tokens a call\n", s.Name, formatTokens(s.Price))
				}
			})
		},
	}
}

func configCommand() *command {
	return &command{
		name: "config", description: "put and get the catalog, and show the configuration's history and where it is in force",
		subcommands: []*command{configPut(), configGet(), configHistory(), configStatus()},
	}
}

// configPut returns the command "config put", which does what "catalog put" does.
func configPut() *command {
	put := catalogPut()
	put.example = "masticway config put examples/catalog.json --router http://127.0.0.1:8101 --token-file examples/admin.token"
	return put
}

// configGet returns the command "config get", which does what "catalog get" does.
func configGet() *command {
	get := catalogGet()
	get.example = "masticway config get --router http://127.0.0.1:8101 --token-file examples/admin.token"
	return get
}

func configHistory() *command {
	c := &client{}
	return &command{
		name: "history", description: "list the newest accepted changes",
		example: "masticway config history --router http://127.0.0.1:8101 --token-file examples/admin.token",
		flags:   c.flags,
		run: func(ctx context.Context, e env) error {
			return callAndPrint(ctx, c, e, apiCall{method: http.MethodGet, path: "/admin/v1/config/history"}, func(w io.Writer, v struct {
				Changes []masticway.Change `json:"changes"`
			}) {
				for _, k := range v.Changes {
					fmt.Fprintf(w, "%6d  %s  %s\n", k.Revision, k.ID, describeChange(k))
				}
			})
		},
	}
}

func describeChange(c masticway.Change) string {
	switch {
	case c.Contract != nil:
		return "contract " + c.Contract.Workspace
	case c.Removed != "":
		return "removed " + c.Removed
	}
	return "catalog"
}

func configStatus() *command {
	c := &client{}
	return &command{
		name: "status", description: "show where the newest revision is in force, and which routers are behind",
		example: "masticway config status --router http://127.0.0.1:8101 --token-file examples/admin.token",
		flags:   c.flags,
		run: func(ctx context.Context, e env) error {
			return callAndPrint(ctx, c, e, apiCall{method: http.MethodGet, path: "/admin/v1/config/status"}, func(w io.Writer, v router.ConfigStatus) {
				fmt.Fprintf(w, "head %d, in force everywhere: %t\n", v.Head, v.InForce)
				for _, d := range v.Leases {
					fmt.Fprintf(w, "  %-40s applied %d  %s  lease to %s\n", d.Incarnation, d.AppliedRevision, d.State, d.ExpiresAt.Format("15:04:05.000"))
				}
			})
		},
	}
}
