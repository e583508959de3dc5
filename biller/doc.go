// Package biller writes the details of bills and finds identities that were billed twice.
//
// The sums that limit spending are in the table; the details are written to the
// object store in batches. If two routers that hold money for the same budget
// cannot reach each other, requests with the same identity may run at both. The
// auditor finds the second bill and returns a refund for it.
package biller
