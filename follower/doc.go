// Package follower maintains a router's view of its deployment: the newest configuration and the registered servers, both
// read from the platform's row store.
//
// An unreachable store says nothing about the servers, so the last snapshot stays in use during an outage. Registrations of
// ready servers that expired during the outage get a grace period to reappear. The configuration version never decreases while
// the router runs.
package follower
