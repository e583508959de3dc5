// Package relayer reaches the row store for a router that the store does not serve.
//
// Stores turn single routers away and cuts part single routers from the store, while
// others are served. A call that is not answered soon is then made through another
// router as well. Making a write on two ways is safe, because every write expects
// versions that the first one made changes: the second finds a conflict, which shows
// the row as the first one left it.
package relayer
