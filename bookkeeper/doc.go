// Package bookkeeper stores money in the table: budgets, grants, top-ups and refunds, and the rows that recoveries need.
//
// Every change of a budget is one conditional transaction that preserves
// prepaid >= settled + open grants. If the answer to a write is lost, the write
// is read back by its sequence number or change id and never assumed to have
// failed.
package bookkeeper
