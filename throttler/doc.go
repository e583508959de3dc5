// Package throttler keeps to what servers say in their answers of the requests
// that they take.
//
// A limit holds for all routers together, so one of them divides it: the first
// by rendezvous hash of the server. A router that knows of the limit asks the
// divider for a permit before it sends a request. The divider has a token bucket,
// which is empty at first; a permit that is not used in time is lost. What does
// not fit goes to another server, and the router does not ask again before the next token is due.
//
// Where the divider does not answer, the second by the same hash gives a part
// of the limit, so that two that divide at once stay within what the limit's
// window allows. A router that has just started passes questions on to the second:
// others may not have counted it yet and still ask that one.
//
// Every question and every reply carries the newest word on the limit and its
// age. A router that hears a limit begin, change or end tells the divider, and
// the divider tells all others of the begin and the end. A server that takes
// nothing at all still gets a request from time to time, as its answer is the
// only sign of the end.
//
// Limits decides and Throttler carries out: the first reads no clock and opens
// no connection.
package throttler
