// Package authenticator generates, hashes and compares keys and tokens.
//
// Caller keys are stored only as hashes, and comparisons take constant time.
package authenticator
