// Package inspector reads what the kernel knows about a TCP connection and the process does not know yet.
//
// A process that was stopped or had to wait for a processor learns late that data has arrived and that its peer has closed the
// connection. The kernel records both when they happen. A connection that ends does not tell whether its peer's process has; a new one
// does (see CheckServing).
package inspector
