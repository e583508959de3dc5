package authenticator_test

import (
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway/authenticator"
)

func TestBearerToken(t *testing.T) {
	cases := map[string]struct{ header, token string }{
		"token":         {"Bearer mw_1", "mw_1"},
		"spaces around": {"Bearer  mw_1 ", "mw_1"},
		"no header":     {"", ""},
		"other scheme":  {"Basic mw_1", ""},
		"no scheme":     {"mw_1", ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := httptest.NewRequest("GET", "/", nil)
			r.Header.Set("Authorization", tc.header)
			qt.Assert(t, authenticator.BearerToken(r), qt.Equals, tc.token)
		})
	}
}

func TestKeysAndSecrets(t *testing.T) {
	a, b := authenticator.NewKey(), authenticator.NewKey()
	qt.Assert(t, a == b, qt.IsFalse)
	qt.Assert(t, strings.Contains(authenticator.HashKey(a), a), qt.IsFalse)
	qt.Assert(t, authenticator.Equal(a, a), qt.IsTrue)
	qt.Assert(t, authenticator.Equal(a, b), qt.IsFalse)
	qt.Assert(t, authenticator.Equal("", a), qt.IsFalse)
	file := filepath.Join(t.TempDir(), "secret")
	qt.Assert(t, os.WriteFile(file, []byte("too short\n"), 0o600), qt.IsNil)
	_, err := authenticator.ReadSecret(file)
	var secretErr *authenticator.SecretError
	qt.Assert(t, err, qt.ErrorAs, &secretErr)
	qt.Assert(t, strings.Contains(err.Error(), "too short\n"), qt.IsFalse)
	qt.Assert(t, os.WriteFile(file, []byte(a+"\n"), 0o600), qt.IsNil)
	secret, err := authenticator.ReadSecret(file)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, secret, qt.Equals, a)
}
