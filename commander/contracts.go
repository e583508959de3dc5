package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/integrii/flaggy"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/router"
	"github.com/masticway/masticway/validator"
)

func contractCommand() *command {
	return &command{
		name: "contract", description: "put, get, list and remove contracts",
		subcommands: []*command{contractPut(), contractGet(), contractList(), contractRemove()},
	}
}

func contractPut() *command {
	c, f, file := &client{}, &changeFlags{}, ""
	return &command{
		name: "put", description: "put a contract",
		example: "masticway contract put examples/contract-tailoring.json --router http://127.0.0.1:8101 --token-file examples/admin.token",
		flags: func(s *flaggy.Subcommand) {
			c.flags(s)
			f.flags(s, true)
			fileArgument(s, &file, "contract file")
		},
		run: func(ctx context.Context, e env) error {
			contract, err := decodeFile[masticway.Contract](validator.KindContract, file)
			if err != nil {
				return err
			}
			body, err := json.Marshal(contract)
			if err != nil {
				return fmt.Errorf("encoding the contract: %w", err)
			}
			call := apiCall{method: http.MethodPut, path: "/admin/v1/contracts/" + contract.Workspace, body: body, headers: f.headers()}
			return callAndPrint(ctx, c, e, call, printChange)
		},
	}
}

func contractGet() *command {
	c, workspace := &client{}, ""
	return &command{
		name: "get", description: "show a contract and its revision",
		example: "masticway contract get tailoring --router http://127.0.0.1:8101 --token-file examples/admin.token",
		flags: func(s *flaggy.Subcommand) {
			c.flags(s)
			s.AddPositionalValue(&workspace, "workspace", 1, true, "workspace of the contract")
		},
		run: func(ctx context.Context, e env) error {
			return callAndPrint(ctx, c, e, apiCall{method: http.MethodGet, path: "/admin/v1/contracts/" + workspace}, func(w io.Writer, v router.ContractAnswer) {
				fmt.Fprintf(w, "revision   %d\nworkspace  %s\nbudget     %s\nclass      %s\npriority   %d\n", v.Revision, v.Contract.Workspace, v.Contract.Budget, v.Contract.Class, v.Contract.Priority)
				for _, m := range v.Contract.Models {
					fmt.Fprintf(w, "model      %s\n", m.Name)
				}
				for _, s := range v.Contract.Services {
					fmt.Fprintf(w, "service    %s (%d non-repeatable patterns)\n", s.Name, len(s.NonRepeatable))
				}
			})
		},
	}
}

func contractList() *command {
	c := &client{}
	return &command{
		name: "list", description: "list contracts",
		example: "masticway contract list --router http://127.0.0.1:8101 --token-file examples/admin.token",
		flags:   c.flags,
		run: func(ctx context.Context, e env) error {
			return callAndPrint(ctx, c, e, apiCall{method: http.MethodGet, path: "/admin/v1/contracts"}, func(w io.Writer, v router.ContractsAnswer) {
				for _, k := range v.Contracts {
					fmt.Fprintf(w, "%-20s budget %-20s models %d services %d keys %d\n", k.Workspace, k.Budget, len(k.Models), len(k.Services), len(k.KeyHashes))
				}
			})
		},
	}
}

func contractRemove() *command {
	c, f, workspace := &client{}, &changeFlags{}, ""
	return &command{
		name: "remove", description: "remove a contract",
		example: "masticway contract remove tailoring --router http://127.0.0.1:8101 --token-file examples/admin.token",
		flags: func(s *flaggy.Subcommand) {
			c.flags(s)
			f.flags(s, true)
			s.AddPositionalValue(&workspace, "workspace", 1, true, "workspace of the contract")
		},
		run: func(ctx context.Context, e env) error {
			call := apiCall{method: http.MethodDelete, path: "/admin/v1/contracts/" + workspace, headers: f.headers()}
			return callAndPrint(ctx, c, e, call, printChange)
		},
	}
}
