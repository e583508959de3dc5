package commander_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway/commander"
)

func TestExitCodes(t *testing.T) {
	directory := t.TempDir()
	bad := filepath.Join(directory, "bad.json")
	qt.Assert(t, os.WriteFile(bad, []byte(`{"workspace":"w","colour":"red"}`), 0o600), qt.IsNil)
	log := filepath.Join(directory, "edge-1.log")
	qt.Assert(t, os.WriteFile(log, []byte(`  0.1 edge-1 time="2026-01-02T03:04:05Z" event=request outcome=timeout instance=edge-1 request=a1`+"\n"), 0o600), qt.IsNil)
	cases := map[string]struct {
		args       []string
		wantCode   int
		wantOutput string
	}{
		"version":                  {[]string{"version"}, 0, `(?s)masticway \d+\.\d+\.\d+\n`},
		"overview":                 {nil, 0, `(?s).*commands:.*`},
		"help of a command":        {[]string{"budget", "top-up", "--help"}, 0, `(?s).*example:.*top-up tailoring.*`},
		"help of a group":          {[]string{"config", "--help"}, 0, `(?s).*history.*status.*`},
		"unknown command":          {[]string{"fly"}, 2, `(?s).*no command "fly".*`},
		"group without subcommand": {[]string{"budget"}, 2, `(?s).*show, top-up.*`},
		"missing file argument":    {[]string{"check"}, 2, `(?s).*file.*`},
		"unknown flag":             {[]string{"version", "--loud"}, 2, `(?s).*loud.*`},
		"router is required":       {[]string{"contract", "list"}, 2, `(?s).*--router.*`},
		"tokens must be whole":     {[]string{"budget", "top-up", "b", "ten"}, 2, `(?s).*whole number.*`},
		"good file":                {[]string{"check", "../examples/router-1.json"}, 0, `(?s).*valid router.*`},
		"bad file":                 {[]string{"check", bad}, 1, `(?s).*colour.*`},
		"nonexistent file":         {[]string{"check", filepath.Join(directory, "none")}, 1, `(?s).*none.*`},
		"invalid settings":         {[]string{"router", bad}, 1, `(?s).*caller_address.*`},
		"key":                      {[]string{"key"}, 0, `(?s)key   mw_[0-9a-f]+\nhash  [0-9a-f]{64}\n`},
		"load without scenario":    {[]string{"load"}, 2, `(?s).*--scenario.*`},
		"account":                  {[]string{"account", log, log, "--rows", "5"}, 0, `(?s)2 sources, 2 lines.*not_served_by_cause: 1 of 1 rows.*`},
		"account as JSON":          {[]string{"account", "--json", log}, 0, `(?s)\{.*"outcome": "timeout".*\}\n`},
		"account with buckets":     {[]string{"account", "--bucket=1m", log, "--json=false"}, 0, `(?s).*03:04:00.000.*`},
		"trace of a request":       {[]string{"account", "--request", "a1", log}, 0, `(?s).*ended: deadline timeout.*`},
		"trace as JSON":            {[]string{"account", log, "--json", "--request", "a1"}, 0, `(?s)\{.*"ends": .*"family": "deadline".*\}\n`},
		"no such request":          {[]string{"account", "--request", "a2", log}, 1, `(?s).*none of 1 lines is about request a2.*`},
		"account without log":      {[]string{"account", "--json"}, 2, `(?s).*a value is missing.*`},
		"unknown account flag":     {[]string{"account", log, "--loud", "x"}, 2, `(?s).*unknown flag --loud.*`},
		"zero bucket":              {[]string{"account", "--bucket", "0s", log}, 2, `(?s).*--bucket.*`},
		"nonexistent log":          {[]string{"account", log, filepath.Join(directory, "none")}, 1, `(?s).*none.*`},
		"log without events":       {[]string{"account", bad}, 1, `(?s).*none of 1 lines is an event.*`},
		"help of account":          {[]string{"account", "--help"}, 0, `(?s).*VALUE\.\.\..*--json.*example:.*`},
		"flag without value":       {[]string{"account", log, "--rows"}, 2, `(?s).*--rows needs a value.*`},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			code := commander.Main(tc.args, &out, &out)
			qt.Assert(t, code, qt.Equals, tc.wantCode, qt.Commentf("%s", out.String()))
			qt.Assert(t, out.String(), qt.Matches, tc.wantOutput)
		})
	}
}

func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../examples/*.json")
	qt.Assert(t, err, qt.IsNil)
	for _, f := range files {
		var out bytes.Buffer
		qt.Assert(t, commander.Main([]string{"check", f}, &out, &out), qt.Equals, 0, qt.Commentf("%s", out.String()))
	}
}
