package commander

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSlowAnswersAreReadCompletely guards against a timeout for the whole answer: a long list over a slow connection takes longer
// than clientTimeout, although it starts in time and never pauses for long.
func TestSlowAnswersAreReadCompletely(t *testing.T) {
	const (
		chunks        = 24
		chunkBytes    = 64 << 10
		chunkInterval = clientTimeout / 20
	)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for range chunks {
			_, _ = w.Write([]byte(strings.Repeat("x", chunkBytes)))
			w.(http.Flusher).Flush()
			time.Sleep(chunkInterval)
		}
	}))
	defer server.Close()
	token := filepath.Join(t.TempDir(), "token")
	qt.Assert(t, os.WriteFile(token, []byte("0123456789abcdef0123456789abcdef"), 0o600), qt.IsNil)
	c := client{router: server.URL, tokenFile: token, output: "json"}
	answer, err := c.call(t.Context(), apiCall{method: http.MethodGet, path: "/admin/v1/contracts"})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, answer, qt.HasLen, chunks*chunkBytes)
}
