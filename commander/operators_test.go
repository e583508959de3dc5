package commander_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway/commander"
)

// adminToken is an operator token for these tests only.
const adminToken = "token-for-tests-only"

func TestOperatorCommands(t *testing.T) {
	const change = `{"revision":7,"id":"order-17"}`
	cases := map[string]struct {
		args               []string
		wantCall           string
		wantIdempotencyKey string
		wantIfMatch        string
		wantBody           string
		answer             string
		wantOutput         string
	}{
		"contract put": {
			args:     []string{"contract", "put", "../examples/contract-tailoring.json", "--change-id", "order-17"},
			wantCall: "PUT /admin/v1/contracts/tailoring", wantIdempotencyKey: "order-17", wantIfMatch: "*", wantBody: `(?s)\{.*"workspace":"tailoring".*\}`,
			answer: change, wantOutput: "accepted as revision 7 (change order-17)\n",
		},
		"contract get": {
			args: []string{"contract", "get", "tailoring"}, wantCall: "GET /admin/v1/contracts/tailoring",
			answer:     `{"revision":3,"contract":{"workspace":"tailoring","budget":"b","class":"c","priority":2}}`,
			wantOutput: "revision   3\nworkspace  tailoring\nbudget     b\nclass      c\npriority   2\n",
		},
		"contract list": {
			args: []string{"contract", "list"}, wantCall: "GET /admin/v1/contracts",
			answer:     `{"revision":3,"contracts":[{"workspace":"w","budget":"b"}]}`,
			wantOutput: "w                    budget b                    models 0 services 0 keys 0\n",
		},
		"contract remove": {
			args: []string{"contract", "remove", "tailoring", "--base", "4"}, wantCall: "DELETE /admin/v1/contracts/tailoring", wantIfMatch: "4",
			answer: change, wantOutput: "accepted as revision 7 (change order-17)\n",
		},
		"catalog put": {
			args: []string{"catalog", "put", "../examples/catalog.json"}, wantCall: "PUT /admin/v1/catalog", wantIfMatch: "*",
			wantBody: `(?s)\{.*"models".*\}\s*`, answer: change, wantOutput: "accepted as revision 7 (change order-17)\n",
		},
		"catalog get": {
			args: []string{"catalog", "get"}, wantCall: "GET /admin/v1/catalog", answer: `{"revision":3,"catalog":{}}`, wantOutput: "revision 3\n",
		},
		"config put": {
			args: []string{"config", "put", "../examples/catalog.json", "--base", "0"}, wantCall: "PUT /admin/v1/catalog", wantIfMatch: "0",
			wantBody: `(?s)\{.*"models".*\}\s*`, answer: change, wantOutput: "accepted as revision 7 (change order-17)\n",
		},
		"config history": {
			args: []string{"config", "history"}, wantCall: "GET /admin/v1/config/history",
			answer: `{"changes":[{"revision":2,"id":"a","removed":"w"}]}`, wantOutput: "     2  a  removed w\n",
		},
		"config status": {
			args: []string{"config", "status"}, wantCall: "GET /admin/v1/config/status", answer: `{"head":2,"in_force":true}`,
			wantOutput: "head 2, in force everywhere: true\n",
		},
		"budget show": {
			args: []string{"budget", "show", "b", "--output", "json"}, wantCall: "GET /admin/v1/budgets/b", answer: `{"prepaid":1}`,
			wantOutput: "{\n  \"prepaid\": 1\n}\n",
		},
		"budget top-up": {
			args: []string{"budget", "top-up", "b", "5", "--change-id", "order-17"}, wantCall: "POST /admin/v1/budgets/b/top-ups", wantIdempotencyKey: "order-17",
			wantBody: `\{"amount":\d+\}`, answer: `{"prepaid":0}`, wantOutput: "prepaid is now 0 tokens\n",
		},
		"upstream list": {
			args: []string{"upstream", "list"}, wantCall: "GET /admin/v1/upstreams",
			answer:     `{"upstreams":[{"instance":"i","state":"live","zone":"z","in_flight":2,"pools":["p"]}]}`,
			wantOutput: "i                        live      zone z    in flight 2  [p]\n",
		},
		"upstream order": {
			args: []string{"upstream", "order", "i", "load_version", "draft:2"}, wantCall: "POST /admin/v1/upstreams/i/orders",
			wantBody: `\{.*"action":"load_version".*\}`, answer: `{"action":"load_version","target":"draft:2","fence":9}`,
			wantOutput: "done: load_version draft:2 with fencing number 9\n",
		},
		"explain": {
			args: []string{"explain", "r1", "--output", "json"}, wantCall: "GET /admin/v1/requests/r1", answer: `{"request":"r1"}`,
			wantOutput: "{\n  \"request\": \"r1\"\n}\n",
		},
	}
	token := filepath.Join(t.TempDir(), "token")
	qt.Assert(t, os.WriteFile(token, []byte(adminToken+"\n"), 0o600), qt.IsNil)
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				body, err := io.ReadAll(r.Body)
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, r.Method+" "+r.URL.Path, qt.Equals, tc.wantCall)
				qt.Check(t, r.Header.Get("Authorization"), qt.Equals, "Bearer "+adminToken)
				qt.Check(t, r.Header.Get("Idempotency-Key"), qt.Equals, tc.wantIdempotencyKey)
				qt.Check(t, r.Header.Get("If-Match"), qt.Equals, tc.wantIfMatch)
				qt.Check(t, string(body), qt.Matches, tc.wantBody)
				_, _ = io.WriteString(w, tc.answer)
			}))
			defer server.Close()
			var out bytes.Buffer
			code := commander.Main(append(tc.args, "--router", server.URL, "--token-file", token), &out, &out)
			qt.Assert(t, code, qt.Equals, 0, qt.Commentf("%s", out.String()))
			qt.Assert(t, out.String(), qt.Equals, tc.wantOutput)
		})
	}
}

func TestOperatorCommandReportsErrorAnswer(t *testing.T) {
	token := filepath.Join(t.TempDir(), "token")
	qt.Assert(t, os.WriteFile(token, []byte(adminToken+"\n"), 0o600), qt.IsNil)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "stale", http.StatusConflict) }))
	defer server.Close()
	var out bytes.Buffer
	code := commander.Main([]string{"config", "status", "--router", server.URL, "--token-file", token}, &out, &out)
	qt.Assert(t, code, qt.Not(qt.Equals), 0)
	qt.Assert(t, out.String(), qt.Matches, `(?s).*status 409: stale.*`)
}
