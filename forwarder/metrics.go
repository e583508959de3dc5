package forwarder

// Names of metrics; docs/OPERATIONS.md says what each tells.
const (
	metricRequests    = "requests"
	metricServed      = "served"
	metricRefused     = "refused"
	metricAttempts    = "attempts"
	metricAgain       = "attempts_again"
	metricNoAllowance = "attempts_not_allowed"
	metricResumed     = "streams_resumed"
	metricBroken      = "streams_broken"
	metricLeft        = "callers_left"
	histogramFirst    = "time_to_first"
	histogramWhole    = "time_to_end"
)
