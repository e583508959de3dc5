package authenticator

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"net/http"
	"os"
	"strings"
)

const (
	// keyPrefix is the prefix of caller keys. It makes a leaked key recognizable.
	keyPrefix = "mw_"
	// keyBytes is the number of random bytes in a caller key.
	keyBytes = 24
	// minSecretBytes is the minimum length that ReadSecret requires of a secret.
	minSecretBytes = 16
)

// NewKey returns a new random caller key, with which callers authenticate themselves to a router.
func NewKey() string {
	b := make([]byte, keyBytes)
	_, _ = rand.Read(b)
	return keyPrefix + hex.EncodeToString(b)
}

// HashKey returns the hash that is stored instead of a caller key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Equal reports whether two secrets are equal. Its duration does not reveal where they differ.
func Equal(a, b string) bool {
	x := sha256.Sum256([]byte(a))
	y := sha256.Sum256([]byte(b))
	return subtle.ConstantTimeCompare(x[:], y[:]) == 1
}

// BearerToken returns the bearer token in the Authorization header of a request, or "" if there is none.
func BearerToken(r *http.Request) string {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return strings.TrimSpace(token)
}

// SecretError reports a secret file that cannot be used. It never contains the secret.
type SecretError struct {
	File   string
	Reason string
}

// Error returns a text that names the file and the reason.
func (e *SecretError) Error() string { return fmt.Sprintf("secret file %s: %s", e.File, e.Reason) }

// ReadSecret reads a secret from a file and trims white space around it. It fails with a SecretError if the file cannot be
// read or the secret is too short.
func ReadSecret(file string) (string, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return "", &SecretError{File: file, Reason: err.Error()}
	}
	secret := strings.TrimSpace(string(data))
	if len(secret) < minSecretBytes {
		return "", &SecretError{File: file, Reason: fmt.Sprintf("shorter than %d bytes", minSecretBytes)}
	}
	return secret, nil
}
