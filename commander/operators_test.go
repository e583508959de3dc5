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

// adminToken is an operators' token made up for these tests.
const adminToken = "token-for-tests-only"

func TestOperatorCommands(t *testing.T) {
	const change = `{"revision":7,"id":"order-17"}`
	cases := map[string]struct {
		args   []string
		calls  string
		id     string
		base   string
		body   string
		answer string
		says   string
	}{
		"contract put": {
			args:  []string{"contract", "put", "../examples/contract-tailoring.json", "--change-id", "order-17"},
			calls: "PUT /admin/v1/contracts/tailoring", id: "order-17", base: "*", body: `(?s)\{.*"workspace":"tailoring".*\}`,
			answer: change, says: "accepted as revision 7 (change order-17)\n",
		},
		"contract get": {
			args: []string{"contract", "get", "tailoring"}, calls: "GET /admin/v1/contracts/tailoring",
			answer: `{"revision":3,"contract":{"workspace":"tailoring","budget":"b","class":"c","priority":2}}`,
			says:   "revision   3\nworkspace  tailoring\nbudget     b\nclass      c\npriority   2\n",
		},
		"contract list": {
			args: []string{"contract", "list"}, calls: "GET /admin/v1/contracts",
			answer: `{"revision":3,"contracts":[{"workspace":"w","budget":"b"}]}`,
			says:   "w                    budget b                    models 0 services 0 keys 0\n",
		},
		"contract remove": {
			args: []string{"contract", "remove", "tailoring", "--base", "4"}, calls: "DELETE /admin/v1/contracts/tailoring", base: "4",
			answer: change, says: "accepted as revision 7 (change order-17)\n",
		},
		"catalog put": {
			args: []string{"catalog", "put", "../examples/catalog.json"}, calls: "PUT /admin/v1/catalog", base: "*",
			body: `(?s)\{.*"models".*\}\s*`, answer: change, says: "accepted as revision 7 (change order-17)\n",
		},
		"catalog get": {
			args: []string{"catalog", "get"}, calls: "GET /admin/v1/catalog", answer: `{"revision":3,"catalog":{}}`, says: "revision 3\n",
		},
		"config put": {
			args: []string{"config", "put", "../examples/catalog.json", "--base", "0"}, calls: "PUT /admin/v1/catalog", base: "0",
			body: `(?s)\{.*"models".*\}\s*`, answer: change, says: "accepted as revision 7 (change order-17)\n",
		},
		"config history": {
			args: []string{"config", "history"}, calls: "GET /admin/v1/config/history",
			answer: `{"changes":[{"revision":2,"id":"a","removed":"w"}]}`, says: "     2  a  removed w\n",
		},
		"config status": {
			args: []string{"config", "status"}, calls: "GET /admin/v1/config/status", answer: `{"head":2,"in_force":true}`,
			says: "head 2, in force everywhere: true\n",
		},
		"budget show": {
			args: []string{"budget", "show", "b", "--output", "json"}, calls: "GET /admin/v1/budgets/b", answer: `{"prepaid":1}`,
			says: "{\n  \"prepaid\": 1\n}\n",
		},
		"budget top-up": {
			args: []string{"budget", "top-up", "b", "5", "--change-id", "order-17"}, calls: "POST /admin/v1/budgets/b/top-ups", id: "order-17",
			body: `\{"amount":\d+\}`, answer: `{"prepaid":0}`, says: "prepaid is now 0 tokens\n",
		},
		"upstream list": {
			args: []string{"upstream", "list"}, calls: "GET /admin/v1/upstreams",
			answer: `{"upstreams":[{"instance":"i","state":"live","zone":"z","in_flight":2,"pools":["p"]}]}`,
			says:   "i                        live      zone z    in flight 2  [p]\n",
		},
		"upstream order": {
			args: []string{"upstream", "order", "i", "load_version", "draft:2"}, calls: "POST /admin/v1/upstreams/i/orders",
			body: `\{.*"action":"load_version".*\}`, answer: `{"action":"load_version","target":"draft:2","fence":9}`,
			says: "done: load_version draft:2 with fencing number 9\n",
		},
		"explain": {
			args: []string{"explain", "r1", "--output", "json"}, calls: "GET /admin/v1/requests/r1", answer: `{"request":"r1"}`,
			says: "{\n  \"request\": \"r1\"\n}\n",
		},
	}
	token := filepath.Join(t.TempDir(), "token")
	qt.Assert(t, os.WriteFile(token, []byte(adminToken+"\n"), 0o600), qt.IsNil)
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				body, err := io.ReadAll(r.Body)
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, r.Method+" "+r.URL.Path, qt.Equals, tc.calls)
				qt.Check(t, r.Header.Get("Authorization"), qt.Equals, "Bearer "+adminToken)
				qt.Check(t, r.Header.Get("Idempotency-Key"), qt.Equals, tc.id)
				qt.Check(t, r.Header.Get("If-Match"), qt.Equals, tc.base)
				qt.Check(t, string(body), qt.Matches, tc.body)
				_, _ = io.WriteString(w, tc.answer)
			}))
			defer server.Close()
			var out bytes.Buffer
			code := commander.Main(append(tc.args, "--router", server.URL, "--token-file", token), &out, &out)
			qt.Assert(t, code, qt.Equals, 0, qt.Commentf("%s", out.String()))
			qt.Assert(t, out.String(), qt.Equals, tc.says)
		})
	}
}

func TestOperatorCommandTellsARefusal(t *testing.T) {
	token := filepath.Join(t.TempDir(), "token")
	qt.Assert(t, os.WriteFile(token, []byte(adminToken+"\n"), 0o600), qt.IsNil)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "stale", http.StatusConflict) }))
	defer server.Close()
	var out bytes.Buffer
	code := commander.Main([]string{"config", "status", "--router", server.URL, "--token-file", token}, &out, &out)
	qt.Assert(t, code, qt.Not(qt.Equals), 0)
	qt.Assert(t, out.String(), qt.Matches, `(?s).*status 409: stale.*`)
}
