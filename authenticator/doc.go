// Package authenticator generates, hashes and compares keys and tokens.
//
// Caller keys are stored only as hashes. The time of a comparison does not reveal
// where two secrets differ.
package authenticator
