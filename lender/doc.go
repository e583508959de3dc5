// Package lender carries money between routers while the platform's store is away
// from some or all of them, or while the last of a budget lies in many hands.
//
// Every call is one CBOR body over a kept HTTP connection with a short timeout, so
// that a peer behind a cut costs no more than that.
package lender
