package masticway

// ConnectionUse is how this router uses its connections to the servers of one pool. Both fields are about the server for which they
// are greatest.
type ConnectionUse struct {
	// Peak is the greatest number of connections to one server that carried requests at the same time.
	Peak int
	// Denied is the number of requests that got no connection to one server because as many as this router may have were open. These
	// need not all have carried requests: an idle one that is too old for the request counts, too.
	Denied int
}

// ConnectionApportioner divides the connections to small plain services among the routers by their demand.
type ConnectionApportioner interface {
	// Allowed returns how many connections this router may have now to each server of a pool. It returns false if the connections
	// of the pool are not divided by demand.
	Allowed(pool string) (int, bool)
}
