// Package throttler keeps to what servers say in their answers of the requests
// that they take.
//
// A limit holds for all routers together, so one of them owns it: the first by
// rendezvous hash of the server. A router that knows of the limit asks the owner
// for a permit before it sends a request. The owner has a token bucket, which is
// empty at first; a permit that is not used in time lapses. What does not fit
// goes to another server, and the router does not ask again before the next
// token is due.
//
// Where the owner does not answer, the next router by the same hash is its
// backup and gives a part of the limit, so that both together stay within what
// the limit's window allows. An owner that has just started forwards questions
// to the backup: others may not have counted it yet and still ask that one.
//
// Every question and every reply carries the newest observation of the limit and
// its age. A router that hears a limit begin, change or end tells the owner, and
// the owner tells all others of the begin and the end. A server that takes
// nothing at all still gets a request from time to time, as its answer is the
// only sign of the end.
//
// A wish for rest binds only the router that it was said to.
//
// Limits and Rests decide and Throttler carries out: the first two read no clock
// and open no connection.
package throttler
