// Package configurer stores the accepted configuration and applies its changes.
//
// A change is one conditional transaction that advances the revision, so only one of two racing operators succeeds. Daemons
// apply revisions in order and never go back to an earlier one; readers share immutable snapshots that are replaced, not
// modified.
package configurer
