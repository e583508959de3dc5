// Package biller defines detailed bills, writes them to the object store in batches, and finds requests that were billed
// twice.
//
// The sums that limit spending are kept elsewhere, in a table of the row store. Each request has an identity, which it keeps
// when it is sent again. If two routers that hold money for the same budget cannot reach each other, requests with one
// identity may run at both. The auditor finds the second bill of the identity and returns a refund for it.
package biller
