// Package follower keeps a router's belief about its deployment: the newest
// configuration and the registered servers, read from the platform's row store.
//
// A store that is away says nothing about servers: the last belief stays in use.
// After its return entries that lapsed meanwhile get a little time to come back.
// A configuration never goes back within one life of the router.
package follower
