// Package router implements the fleet's entry process: it accepts requests from callers and operators, admits and routes them,
// relays answers and holds money for them.
//
// The package does the input and output; decisions are made by the packages keeper, limiter, chooser, retrier, tracker, recoverer
// and configurer. A Router is one incarnation. Once another router has sealed it, it can draw no money, and its owner starts a
// new one.
package router
