package masticway

import "context"

// StreamVersions keeps by which software version of a server each resumable stream was begun. A stream is identified by its pool and
// the ID of the caller's attempt that brought its first event.
type StreamVersions interface {
	// Record makes the version of a stream known to other routers, and reports whether the first event may go to the caller. It blocks
	// for a short time, or for some seconds if the version is new and no other router can be reached. It returns false if the context
	// ends first.
	Record(ctx context.Context, pool, attempt, version string) bool
	// Find returns the version of a stream that another router may have begun. It may ask other routers. It returns false if the
	// version cannot be told.
	Find(ctx context.Context, pool, attempt string) (version string, ok bool)
}
