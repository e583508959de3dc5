// Package receiver takes in the answers to HTTP calls, however large they are and however slow the link is.
//
// A limit on the whole of an answer fails the larger ones on slow links again and
// again, each time after most of it has arrived. So what is bounded is how long
// an answer takes to begin and how long it may pause: one that arrives goes on.
package receiver
