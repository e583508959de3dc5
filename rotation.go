package masticway

// Rotation tells what a router can carry.
type Rotation interface {
	// IsOut tells that new callers should come to other routers.
	IsOut() bool
	// Admit counts in a request of some urgency, zero first, and size, and returns false when it is one too many. For each one
	// that was admitted Answered is called once a part of its answer is there, or it has ended, and Ended with the same size
	// at its end.
	Admit(rank int, bytes int64) bool
	MarkAnswered()
	Release(bytes int64)
}
