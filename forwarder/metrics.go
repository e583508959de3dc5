package forwarder

// Names of metrics; docs/OPERATIONS.md documents them.
const (
	metricRequests      = "requests"
	metricServed        = "served"
	metricRefused       = "refused"
	metricAttempts      = "attempts"
	metricRetries       = "attempts_again"
	metricRetriesDenied = "attempts_not_allowed"
	metricResumed       = "streams_resumed"
	metricBroken        = "streams_broken"
	metricCallersLeft   = "callers_left"
	histogramFirst      = "time_to_first"
	histogramWhole      = "time_to_end"
)
