// Package bookkeeper stores money in the table: budgets, grants, top-ups and refunds, and the rows that recoveries need.
//
// Every change of a budget is one conditional transaction that preserves
// prepaid >= settled + open grants. A grant is money moved from a budget to one
// router, and is open until it is settled or returned. If the answer to a write
// is lost, the row is read again to find out whether the write succeeded, by its
// sequence number, change id or value; it is never assumed to have failed.
package bookkeeper
