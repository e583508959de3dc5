// Package examiner finds out which requests end the servers that run them, so
// that they are kept from the servers and all others are not.
//
// A server that ends takes with it all that it runs, so counting ends alone
// would blame the innocent that ran beside the one at fault. A request that had
// not begun its answer when its server ended, or that had more than one end
// under it, is a suspect: it is sent on, but one run at a time in the whole
// fleet, at a server where no other suspect runs. A good answer clears it. If
// servers go on ending under it there, it is at fault, and it is kept from
// servers for a time that grows with every further end.
//
// The evidence is a set of servers for each request, so that what two routers
// found is joined by their union, in any order and however often it comes. It
// stands in a row of the platform's store for each suspect, which all routers
// follow; the same row makes a run apart one router's. While the store is away
// routers tell each other directly.
//
// Register decides and Examiner carries out: the first reads no clock and opens
// no connection.
package examiner
