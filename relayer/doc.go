// Package relayer gives a router access to the row store even if the store does not serve that router.
//
// A store may reject single routers, or a network partition may separate them from it, while other routers are served. A call
// that is not answered soon is therefore hedged: it is relayed, that is, made through another router as well. Hedging a write is
// safe because every write must expect versions of rows that the write itself changes. The second copy of a write then fails with
// a conflict, which shows the rows as the first copy left them.
package relayer
