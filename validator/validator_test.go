package validator_test

import (
	"os"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/router"
	"github.com/masticway/masticway/validator"
)

const goodRouter = `{"instance":"r","platform_url":"http://127.0.0.1:1","fleet_key_file":"k","caller_address":"127.0.0.1:1",
	"admin_address":"127.0.0.1:2","link_address":"127.0.0.1:3","admin_token_file":"t"}`

func TestAllFaultsAreReportedAtOnce(t *testing.T) {
	bad := `{"instance":"a b","platform_url":"ftp://x","caller_address":"nowhere","admin_address":"127.0.0.1:2",
		"link_address":"127.0.0.1:3","lease":"soon","money":{"policy":"generous","slices":0,"unknown":1},
		"retry":{"limit":99},"queue":{"overcommit":9},"extra":true,"admin_token_file":""}`
	var faults *validator.FaultsError
	qt.Assert(t, validator.Check(validator.KindRouter, []byte(bad)), qt.ErrorAs, &faults)
	paths := map[string]bool{}
	for _, f := range faults.Faults {
		paths[f.Path] = true
	}
	for _, p := range []string{
		"/", "/instance", "/platform_url", "/caller_address", "/lease", "/money", "/money/policy", "/money/slices",
		"/retry/limit", "/queue/overcommit", "/admin_token_file",
	} {
		qt.Assert(t, paths[p], qt.IsTrue, qt.Commentf("%s missing in %v", p, faults))
	}
}

func TestDefaultsComeFromTheSchema(t *testing.T) {
	s, err := validator.Decode[router.Settings](validator.KindRouter, []byte(goodRouter))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, s.Retry.Limit, qt.Equals, 3)
	qt.Assert(t, s.Lease.Std() > 0, qt.IsTrue)
	qt.Assert(t, s.Money.Keepers, qt.IsTrue)
}

func TestContractFaults(t *testing.T) {
	cases := map[string]string{
		"negative rate":    `{"workspace":"w","budget":"b","requests_per_second":-1}`,
		"unknown field":    `{"workspace":"w","budget":"b","colour":"red"}`,
		"absurd maximum":   `{"workspace":"w","budget":"b","models":[{"name":"m","max_output":1e30}]}`,
		"key not hashed":   `{"workspace":"w","budget":"b","key_hashes":["secret"]}`,
		"slash in a name":  `{"workspace":"w/x","budget":"b"}`,
		"no budget":        `{"workspace":"w"}`,
		"not JSON":         `{"workspace":`,
		"a list":           `[]`,
		"unknown class":    `{"workspace":"w","budget":"b","class":"royal"}`,
		"relative pattern": `{"workspace":"w","budget":"b","services":[{"name":"s","non_repeatable":[{"method":"*","path":"x"}]}]}`,
	}
	for name, document := range cases {
		t.Run(name, func(t *testing.T) {
			var faults *validator.FaultsError
			qt.Assert(t, validator.Check(validator.KindContract, []byte(document)), qt.ErrorAs, &faults)
		})
	}
}

func TestSettingsPageIsUpToDate(t *testing.T) {
	page, err := validator.SettingsPage()
	qt.Assert(t, err, qt.IsNil)
	written, err := os.ReadFile("../docs/SETTINGS.md")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(written) == page, qt.IsTrue, qt.Commentf("run go generate ./..."))
}

func FuzzDecode(f *testing.F) {
	f.Add(goodRouter)
	f.Add(`{"workspace":"w","budget":"b","horizon":"5s"}`)
	f.Add(`{"models":[{"name":"m","prompt_weight":1,"completion_weight":2}]}`)
	f.Add(`{"horizon":{}}`)
	f.Add("\x00")
	f.Fuzz(func(t *testing.T, document string) {
		for _, k := range validator.Kinds {
			if validator.Check(k, []byte(document)) != nil {
				continue
			}
			// What the schema accepts must decode.
			var err error
			switch k {
			case validator.KindRouter:
				_, err = validator.Decode[router.Settings](k, []byte(document))
			case validator.KindContract:
				_, err = validator.Decode[masticway.Contract](k, []byte(document))
			case validator.KindCatalog:
				_, err = validator.Decode[masticway.Catalog](k, []byte(document))
			}
			if err != nil {
				t.Fatalf("%s accepted but not decoded: %v", k, err)
			}
		}
	})
}
