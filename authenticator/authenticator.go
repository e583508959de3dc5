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
	// keyPrefix marks caller keys, so that a leaked one is recognised.
	keyPrefix = "mw_"
	keyBytes  = 24
	// secretLeast is the shortest secret accepted from a file, in bytes.
	secretLeast = 16
)

// NewKey returns a random caller key.
func NewKey() string {
	b := make([]byte, keyBytes)
	_, _ = rand.Read(b)
	return keyPrefix + hex.EncodeToString(b)
}

// HashKey returns the form in which a key is stored.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Equal compares two secrets in constant time.
func Equal(a, b string) bool {
	x := sha256.Sum256([]byte(a))
	y := sha256.Sum256([]byte(b))
	return subtle.ConstantTimeCompare(x[:], y[:]) == 1
}

// BearerToken returns the token of an Authorization header, or nothing.
func BearerToken(r *http.Request) string {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return strings.TrimSpace(token)
}

// SecretError reports a secret file that cannot be used; it never holds the secret.
type SecretError struct {
	File   string
	Reason string
}

// Error names the file.
func (e *SecretError) Error() string { return fmt.Sprintf("secret file %s: %s", e.File, e.Reason) }

// ReadSecret reads a secret from a file.
func ReadSecret(file string) (string, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return "", &SecretError{File: file, Reason: err.Error()}
	}
	secret := strings.TrimSpace(string(data))
	if len(secret) < secretLeast {
		return "", &SecretError{File: file, Reason: fmt.Sprintf("shorter than %d bytes", secretLeast)}
	}
	return secret, nil
}
