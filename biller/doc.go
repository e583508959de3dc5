// Package biller writes the details of bills and finds identities that were billed twice.
//
// The sums that limit spending are in the table; the details are written to the
// object store in batches. Two keepers that could not reach each other may both
// have let the same identity run: the auditor finds the second bill and returns a
// refund for it.
package biller
