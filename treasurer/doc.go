// Package treasurer keeps prepaid budgets on the row store for a router without
// a disk, which may die, freeze or be cut off at any moment.
//
// A workspace's row holds what is closed and what each router's incarnation has
// been granted, and never more in sum than what is prepaid. Spending from a grant
// needs no store, so a cut refuses nobody while the grant lasts. What would make
// a grant costly is a router that dies: nobody can tell what it had spent. So
// each router also keeps a book, one row of its own, with a promise for each
// workspace: it has taken so much, and until the book's next write it takes at
// most a burst more, and a rate for each second once the store has been silent
// for a while. The next incarnation on the instance closes its predecessor's
// grants at what the promise allows, and the rest goes back to the workspace.
//
// Purse decides and Treasurer carries out: the first reads no clock and opens no
// connection, so that a whole fleet is tested in one goroutine.
package treasurer
