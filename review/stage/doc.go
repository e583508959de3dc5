//go:build review2

// Command stage starts gateways with the command of the deploy file and plays one case of the review against them. Its
// stand-ins for the row store, the servers and the clients follow the users' pages. It exits with 1 if the rule of the case was
// broken, with 0 if it held, and with 2 if the case could not run.
package main
