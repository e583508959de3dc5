package follower

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
)

const (
	// probeAfter is how long the store must not have answered about the servers before it is asked on a new connection. It is longer than
	// a watch without changes takes.
	probeAfter = 1200 * time.Millisecond
	// probePause is the pause between two probes, and probeStep how often a probe looks for its answer. Their time is counted in
	// steps: while this process does not run, no time passes for a probe.
	probePause = 200 * time.Millisecond
	probeStep  = 25 * time.Millisecond
	// A probe counts as unanswered after lateSteps, unless it is answered later, and ends after maxProbeSteps.
	lateSteps, maxProbeSteps = 16, 60
	// quickProbe is how long an answered probe may have taken if it shows that an overdue watch waits on a silent connection, and not
	// behind other traffic of this router.
	quickProbe = 150 * time.Millisecond
	// overdueAfter is how long after its maximum wait a watch without an answer is overdue.
	overdueAfter = 100 * time.Millisecond
)

// Names of metrics.
const (
	metricProbes           = "store_probes"
	metricProbesUnanswered = "store_probes_unanswered"
	metricSilent           = "store_connections_silent"
)

// ProbeWith sets what asks the store on new connections while it does not answer about the servers. It must be called before Run. Without
// it, any long time without an answer counts as an outage of the store.
func (f *Follower) ProbeWith(p masticway.StoreProber) {
	f.prober = p
	f.registry.requiresEvidence = true
}

// probeWhileSilent probes the store while it has not answered about the servers for probeAfter, until the context ends.
func (f *Follower) probeWhileSilent(ctx context.Context, watchers ...*tableWatcher) {
	for ctx.Err() == nil {
		f.sleep(ctx, probePause)
		f.mu.Lock()
		gap := f.clock.Now().Sub(f.registry.lastContact)
		hasContact := !f.registry.lastContact.IsZero()
		f.mu.Unlock()
		if hasContact && gap >= probeAfter {
			f.probe(ctx, gap, watchers)
		}
	}
}

// probe makes one probe and records its outcome. gap is how long the store has not answered.
func (f *Follower) probe(ctx context.Context, gap time.Duration, watchers []*tableWatcher) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type answer struct {
		version int64
		err     error
	}
	answers := make(chan answer, 1)
	began := f.clock.Now()
	f.metrics.Add(metricProbes, 1)
	go func() {
		version, err := f.prober.Probe(ctx, f.decoder.ServerTable())
		answers <- answer{version, err}
	}()
	var got answer
	steps, isAnswered := 0, false
	for ; !isAnswered && steps < maxProbeSteps && ctx.Err() == nil; steps++ {
		if steps == lateSteps {
			f.recordProbe(func(r *Registry) { r.RecordLateProbe() })
		}
		select {
		case got = <-answers:
			isAnswered = true
		case <-f.clock.After(probeStep):
		}
	}
	if ctx.Err() != nil {
		return
	}
	if !isAnswered {
		cancel()
		<-answers
	}
	took := f.clock.Now().Sub(began)
	entry := f.log.WithFields(logrus.Fields{"event": "store_probed", "gap_ms": gap.Milliseconds(), "took_ms": took.Milliseconds(), "ran_ms": (time.Duration(steps) * probeStep).Milliseconds(), "answered": isAnswered && got.err == nil, "error": got.err})
	if !isAnswered || got.err != nil {
		f.metrics.Add(metricProbesUnanswered, 1)
		f.recordProbe(func(r *Registry) { r.RecordFailedProbe() })
		entry.Info("the store does not answer on a new connection")
		return
	}
	entry.Info("the store answers on a new connection")
	f.update(func(now time.Time) bool {
		f.recordContact(now, got.version, true)
		return false
	})
	if took > quickProbe {
		return
	}
	for _, m := range watchers {
		if m.gate.cancelOverdue(f.clock.Now(), m.maxWait+overdueAfter) {
			f.metrics.Add(metricSilent, 1)
			f.prober.CloseIdleConnections()
			f.log.WithFields(logrus.Fields{"event": "connection_silent", "table": m.table, "gap_ms": gap.Milliseconds()}).Info("a watch is overdue on a connection that has gone silent")
		}
	}
}

func (f *Follower) recordProbe(record func(r *Registry)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	record(f.registry)
}

// recordContact records that the store has answered about the servers, and logs what a long time without an answer was taken for. f.mu must
// be held.
func (f *Follower) recordContact(now time.Time, version int64, byProbe bool) {
	r := f.registry
	gap, failed, late, stalled := now.Sub(r.lastContact), r.failedProbes, r.hasLateProbe, r.stalled
	isLong := !r.lastContact.IsZero() && gap > probeAfter
	if byProbe {
		r.hasLateProbe = false
	}
	recovered := r.RecordContact(now, version)
	if !recovered && !isLong {
		return
	}
	fields := logrus.Fields{"event": "store_gap", "gap_ms": gap.Milliseconds(), "failed_probes": failed, "late_probe": late, "stalled_ms": stalled.Milliseconds(), "by_probe": byProbe, "outage": recovered}
	f.log.WithFields(fields).Info("the store answers about the servers again")
	if recovered {
		f.log.WithFields(logrus.Fields{"event": "servers_may_return", "grace": recoveryGrace}).Info("store is reachable again; expired servers may reappear")
	}
}
