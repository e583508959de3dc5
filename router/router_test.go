package router_test

import (
	"testing"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/router"
)

// FuzzParseChat checks that any body from a caller is either parsed, with at least one message, or refused as not run.
func FuzzParseChat(f *testing.F) {
	for _, seed := range []string{
		`{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":5}`,
		`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}],"stream":true}`,
		`{"model":"m","messages":[{}]}`, `{"messages":null}`, `{"max_tokens":1e99}`, `[]`, `"`, "\xff",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		_, n, err := router.ParseChat(body)
		if err == nil {
			if n < 1 {
				t.Fatalf("accepted %d messages", n)
			}
			return
		}
		refused, ok := err.(*masticway.RefusalError)
		if !ok || refused.Fate != masticway.FateNotRun {
			t.Fatalf("not a refusal as not run: %v", err)
		}
	})
}
