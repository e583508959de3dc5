// Package configurer stores the accepted configuration and applies its changes.
//
// A change is one conditional transaction that advances the revision, so only one of two racing changes to the same contract or
// to the catalog succeeds. Daemons apply changes in the order of their revisions or load a complete newer configuration, and
// never go back to an earlier one. Readers share immutable snapshots that are replaced, not modified.
package configurer
