package scheduler

import (
	"time"

	"github.com/masticway/masticway"
)

const (
	// initialStreamTime is the initial average time in milliseconds from the first to the last event of a run, and streamTimeWeight
	// the weight of the newest run in it.
	initialStreamTime = 1000.0
	streamTimeWeight  = 0.02
	// reportDelayWeight is the weight of the newest run in the average delay of reports, and maxReportDelay the upper bound of one
	// delay in milliseconds. A delay is the time from the choice of the engine to the sending of the run, as the report says it. It
	// is some 3 ms if the reply and the report are not late themselves.
	reportDelayWeight = 0.02
	maxReportDelay    = 2000.0
)

// Record records a report of a run. It is idempotent: the load is the same if a report arrives late, several times or in another
// order. A report without details of a run that is not known is ignored, unless it is the run's end.
func (e *Engines) Record(now time.Time, sender masticway.Incarnation, r masticway.EngineReport) {
	if s := e.heard(now, sender); s != nil {
		e.record(now, s, r, true)
	}
}

// record records a report. If isSample is set and the report contains the run's first event, the speed of the engine is learned
// from it.
func (e *Engines) record(now time.Time, s *sender, r masticway.EngineReport, isSample bool) {
	if e.ended.has(r.Run) {
		return
	}
	if n := e.findRun(now, s, r); n != nil {
		n.sender = s
		e.advance(now, n, r, isSample)
	}
	if r.State >= masticway.EngineRunEnded {
		e.ended.add(now, r.Run)
	}
}

// Replace records all open runs of a sender. It removes the sender's other runs, except reservations: the sender may have sent the
// report before it received the choice.
func (e *Engines) Replace(now time.Time, sender masticway.Incarnation, open []masticway.EngineReport) {
	s := e.heard(now, sender)
	if s == nil {
		return
	}
	s.complete = true
	isOpen := make(map[string]bool, len(open))
	for _, r := range open {
		isOpen[r.Run] = true
	}
	for id, n := range e.runs {
		if n.sender == s && n.reported && !isOpen[id] {
			e.remove(n)
		}
	}
	for _, r := range open {
		// The first events of streams that have run for long are no samples, because what else the engine did then is not known.
		e.record(now, s, r, false)
	}
}

// findRun returns the run that a report describes. It adds a run that is not known, and moves a run that is at another engine. It
// returns nil if the report is out of date, or if the run is not at an engine of the group.
func (e *Engines) findRun(now time.Time, s *sender, r masticway.EngineReport) *run {
	engine := e.byIncarnation[r.Server]
	n, ok := e.runs[r.Run]
	switch {
	case ok && n.engine == engine:
		return n
	case ok && n.reported && r.State <= n.state:
		return nil
	case ok:
		e.remove(n)
		n.state, n.reported = masticway.EngineRunSent, false
	case r.Details == nil:
		return nil
	}
	if engine == nil || len(e.runs) >= maxRuns {
		return nil
	}
	if r.Details != nil {
		d := *r.Details
		d.ID = r.Run
		charged := 0
		if ok {
			charged = n.charged
		}
		n = e.newRun(s, d, sentAt(now, r))
		n.charged = charged
	}
	if now.Sub(n.sentAt) >= n.timeLeft {
		return nil
	}
	engine.add(now, n)
	e.shares.charge(now, n)
	e.runs[n.id] = n
	return n
}

// advance applies the state of a report to its run.
func (e *Engines) advance(now time.Time, n *run, r masticway.EngineReport, isSample bool) {
	if !n.reported {
		n.reported = true
		// A run cannot have been sent before its engine was reserved, even if the report was fast.
		if at := sentAt(now, r); at.After(n.sentAt) {
			e.load.reportDelay += reportDelayWeight * (min(milliseconds(at.Sub(n.sentAt)), maxReportDelay) - e.load.reportDelay)
			n.sentAt = at
		}
		n.expiresAt = n.sentAt.Add(n.timeLeft)
	}
	hadFirstEvent := r.State == masticway.EngineRunStreaming || r.State == masticway.EngineRunEnded && r.FirstEventAfter > 0
	if n.state == masticway.EngineRunSent && hadFirstEvent {
		if isSample {
			e.recordSample(now, n, sentAt(now, r).Add(duration(r.FirstEventAfter)))
		}
		n.engine.recordFirstEvent(now, n)
		n.engine.failures.record(now, false)
	}
	if r.State >= masticway.EngineRunEnded {
		if n.state == masticway.EngineRunSent {
			if !r.IsNeutral {
				n.engine.failures.record(now, true)
			}
		} else if r.StreamedFor > 0 {
			e.streamTime += streamTimeWeight * (milliseconds(duration(r.StreamedFor)) - e.streamTime)
		}
		e.remove(n)
	}
}

// sentAt returns the time at which the run of a report was sent, computed from the durations that the sender measured.
func sentAt(now time.Time, r masticway.EngineReport) time.Time {
	since := duration(r.Age)
	if r.State >= masticway.EngineRunStreaming {
		since += duration(r.FirstEventAfter)
	}
	if r.State >= masticway.EngineRunEnded {
		since += duration(r.StreamedFor)
	}
	return now.Add(-since)
}

// duration limits a reported duration to what a run can take.
func duration(d time.Duration) time.Duration { return min(max(0, d), maxRunTime) }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
