package loader_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway/loader"
	"github.com/masticway/masticway/logger"
	"github.com/masticway/masticway/starter"
)

// smallScenario takes about two seconds.
const smallScenario = `{"name":"small","duration":"1500ms","regions":[{"name":"r","zones":["a","b"],"routers":2}],
	"engines":[{"model":"m","count":2,"token_time":"1ms","prefill_time":"1us"}],"services":[{"name":"s"}],
	"catalog":{"models":[{"name":"m","prompt_weight":1000,"completion_weight":3000}],"services":[{"name":"s","price":10000}]},
	"contracts":[{"workspace":"w","budget":"b","models":[{"name":"m"}],"services":[{"name":"s","non_repeatable":[{"method":"POST","path":"/book"}]}]}],
	"budgets":[{"id":"b","prepaid":900000000}],
	"traffic":[{"name":"chat","workspace":"w","rate":30,"model":"m","output_tokens":10,"max_tokens":30},
		{"name":"book","workspace":"w","rate":10,"service":"s","path":"/book"}],
	"faults":[{"at":"300ms","kind":"table_loses_answers","for":"500ms","value":3},{"at":"500ms","kind":"config_change","target":"w"}]}`

func newRunner(t *testing.T, scenario string) loader.Runner {
	s, err := loader.Parse([]byte(scenario))
	qt.Assert(t, err, qt.IsNil)
	return loader.Runner{Scenario: s, Progress: io.Discard, Log: logger.Discard()}
}

func TestPromisesAreKept(t *testing.T) {
	report, err := newRunner(t, smallScenario).Run(context.Background())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, report.Promises.Kept(), qt.IsTrue, qt.Commentf("%+v %v", report.Promises, report.Examples))
	qt.Assert(t, report.Failures, qt.HasLen, 0)
	qt.Assert(t, report.Money.Settled, qt.Equals, report.Money.Ran)
	qt.Assert(t, report.InForceMS, qt.HasLen, 1)
	var text bytes.Buffer
	report.Print(&text)
	qt.Assert(t, text.String(), qt.Contains, "promises: overspend 0.000")
}

// TestOracleNoticesBrokenPromises guards against checks that find nothing: it changes what the emulated upstreams report as run,
// and the report must show the broken promise.
func TestOracleNoticesBrokenPromises(t *testing.T) {
	cases := map[string]struct {
		inject func(f *starter.Fleet)
		broken func(p loader.Promises) bool
	}{
		"a run beyond the prepaid amount": {
			func(f *starter.Fleet) {
				for _, s := range f.Sidecars() {
					if s.Engine != nil {
						s.Engine.Record("w", 0, 1_000_000)
					}
				}
			},
			func(p loader.Promises) bool { return p.Overspend > 0 },
		},
		"a non-repeatable request that ran twice": {
			func(f *starter.Fleet) {
				for _, s := range f.Sidecars() {
					if s.Service != nil {
						for body := range s.Service.Runs() {
							s.Service.Record(body)
						}
					}
				}
			},
			func(p loader.Promises) bool { return p.Doubled > 0 },
		},
		"a charge for which nothing ran": {
			func(f *starter.Fleet) {
				for _, s := range f.Sidecars() {
					if s.Engine != nil {
						s.Engine.Record("w", -100, 0)
					}
				}
			},
			func(p loader.Promises) bool { return p.Overbilled > 0 },
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRunner(t, smallScenario)
			r.InjectViolation = tc.inject
			report, err := r.Run(context.Background())
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, tc.broken(report.Promises), qt.IsTrue, qt.Commentf("%+v", report.Promises))
			qt.Assert(t, report.Failures, qt.HasLen, 1)
		})
	}
}

func TestShippedScenariosAreValid(t *testing.T) {
	files, err := filepath.Glob("../examples/load/*.json")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(files) > 30, qt.IsTrue)
	for _, f := range files {
		data, err := os.ReadFile(f)
		qt.Assert(t, err, qt.IsNil)
		_, err = loader.Parse(data)
		qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", f))
	}
}

func TestInvalidScenariosAreRejected(t *testing.T) {
	cases := map[string]string{
		"unknown fault":   strings.Replace(smallScenario, "table_loses_answers", "meteor", 1),
		"invalid catalog": strings.Replace(smallScenario, `"prompt_weight":1000,`, "", 1),
		"no traffic":      `{"name":"x","regions":[{"name":"r","zones":["a"]}],"traffic":[]}`,
	}
	for name, scenario := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := loader.Parse([]byte(scenario))
			qt.Assert(t, err, qt.IsNotNil)
		})
	}
}

func TestCompareShowsRatios(t *testing.T) {
	before := loader.Runs{Runs: []loader.Report{{TableWrites: 10}, {TableWrites: 30}, {TableWrites: 20}}}
	after := loader.Runs{Runs: []loader.Report{{TableWrites: 5}}}
	file := filepath.Join(t.TempDir(), "before.json")
	data, err := json.Marshal(before)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, os.WriteFile(file, data, 0o600), qt.IsNil)
	read, err := loader.ReadRuns(file)
	qt.Assert(t, err, qt.IsNil)
	var out bytes.Buffer
	loader.Compare(&out, read, after)
	qt.Assert(t, out.String(), qt.Matches, `(?s).*table_writes_per_1000 +20 \(10 to 30\) +5 \(5 to 5\) +0.250.*`)
}
