package diverter

import (
	"sync/atomic"
	"time"
)

// countPeriod is the period over which the rates in a report are averaged.
const countPeriod = time.Second

// counter counts the requests that a router receives, and those that it refuses for overload.
type counter struct {
	requests, refused atomic.Int64
}

// sample holds totals at a time. paused is the total time for which the listener was paused.
type sample struct {
	at                time.Time
	requests, refused int64
	paused            time.Duration
}

// rates are the numbers of requests, refusals and refused connections per second.
type rates struct {
	requests, refused, refusedConnections float64
}

// window holds the samples of the last countPeriod, and the last one before.
type window struct {
	samples []sample
}

// add adds a sample and returns the rates over about the last countPeriod. The refused connections are estimated, because no
// connection reaches the process while the port is closed: callers are assumed to connect as often while the listener is paused as
// the router gets requests while it is not.
func (w *window) add(s sample) rates {
	w.samples = append(w.samples, s)
	for len(w.samples) > 2 && s.at.Sub(w.samples[1].at) >= countPeriod {
		w.samples = w.samples[1:]
	}
	first := w.samples[0]
	seconds := s.at.Sub(first.at).Seconds()
	if seconds <= 0 {
		return rates{}
	}
	r := rates{requests: float64(s.requests-first.requests) / seconds, refused: float64(s.refused-first.refused) / seconds}
	pausedShare := min(1, (s.paused-first.paused).Seconds()/seconds)
	r.refusedConnections = pausedShare * r.requests
	return r
}
