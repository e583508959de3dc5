package masticway

// Rotation controls the load of a router: it admits requests, and takes the router out of the load balancer's rotation.
type Rotation interface {
	// IsOut reports whether the router is out of rotation, so that new callers should use other routers.
	IsOut() bool
	// Admit admits a request with a rank, where zero is the most urgent, and a size in bytes. It returns false if the request
	// must be refused because of overload or lack of memory. For each admitted request, the caller must call MarkAnswered once:
	// when the first part of its answer has arrived, or when the request has ended without one. When the request has ended, the
	// caller must also call Release with the same size.
	Admit(rank int, bytes int64) bool
	MarkAnswered()
	Release(bytes int64)
}
