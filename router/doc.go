// Package router implements the fleet's entry process: it accepts requests from callers and operators, admits and routes them,
// relays answers and holds money for them.
//
// The package does the input and output; decisions are made by the packages
// keeper, limiter, chooser, retrier, tracker, recoverer and configurer. The
// keeper of a budget is the router of a region that draws its money from the
// table and holds it for requests at all routers of the region. The money that
// it has drawn is a grant, and it is the grant's payer. A Router is one
// incarnation. Once another router has sealed it, because it seemed to have
// crashed, it can draw no money, and its owner must start a new one.
package router
