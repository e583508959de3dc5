package treasurer

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
)

const (
	// reportTimeout bounds one report to a witness; it is many times the latency between availability zones.
	reportTimeout = 150 * time.Millisecond
	// witnessTimeout bounds one call that asks a witness for its record. maxWitnessAttempts is the maximum number of these
	// calls to one witness. The predecessor's grants stay open until they are over. A witness that is being restarted
	// answers within about a second, by then without a record.
	witnessTimeout     = 300 * time.Millisecond
	maxWitnessAttempts = 3
)

// sendReport sends one report to one witness and passes the answer to the planner.
func (t *Treasurer) sendReport(ctx context.Context, s SpendReport) {
	callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	accepted, err := t.peerClient.SendReport(callCtx, s.Address, s)
	if err != nil {
		t.log.WithFields(logrus.Fields{"event": "statement_failed", "witness": s.Witness, "error": err}).Debug("witness not reached")
	}
	t.metrics.Add(metricReports, 1)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.deliver(t.planner.CompleteReport(t.clock.Now(), s, accepted))
}

// AcceptReport records another router's report, as its witness, and returns true. It returns false, without recording the report,
// if this router is sealed or Planner.AcceptReport does.
func (t *Treasurer) AcceptReport(s SpendReport) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.sealed && t.planner.AcceptReport(t.clock.Now(), s)
}

// FinalReports returns what an ended incarnation has reported to this one, and makes this one refuse further reports of it.
// If witness is another incarnation than this one or this router is sealed, it returns an empty record.
func (t *Treasurer) FinalReports(witness, ended masticway.Incarnation) WitnessRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sealed {
		// The planner that had the record has been replaced.
		return WitnessRecord{}
	}
	return t.planner.FinalReports(witness, ended)
}

// presumeSpent asks a predecessor's witnesses and returns what the predecessor is presumed to have spent, by workspace (see
// PresumedSpent). It logs and counts what the witnesses' answers saved compared with the spend limits alone.
func (t *Treasurer) presumeSpent(ctx context.Context, e EndedIncarnation) map[string]int64 {
	t.mu.Lock()
	testimony := Testimony{IsEraContinued: t.eraContinued}
	t.mu.Unlock()
	answered := 0
	if !e.FromCopy {
		testimony, answered = t.queryWitnesses(ctx, e, testimony)
	}
	presumedSpent := e.PresumedSpent(testimony)
	var presumed, saved int64
	for workspace, spent := range e.MaxSpent {
		presumed += presumedSpent[workspace]
		saved += spent - presumedSpent[workspace]
	}
	t.metrics.Add(metricRecalled, saved)
	elapsed, mayHaveQuorum := e.ackedUntil(testimony)
	t.log.WithFields(logrus.Fields{
		"event": "predecessor_recalled", "incarnation": e.Incarnation, "witnesses": len(e.Witnesses), "answered": answered,
		"records": len(testimony.Records), "traces": len(testimony.Traces), "quorum_possible": mayHaveQuorum, "acked_until_ms": elapsed.Milliseconds(),
		"presumed": presumed, "spared": saved,
	}).Info("presumed what a predecessor has spent")
	return presumedSpent
}

// queryWitnesses asks the witnesses of an ended incarnation concurrently and adds the records of those that have one to the
// testimony. If these are too few (see HasQuorum), it adds the traces of the others. It also returns how many have answered.
func (t *Treasurer) queryWitnesses(ctx context.Context, e EndedIncarnation, testimony Testimony) (Testimony, int) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type answer struct {
		witness Witness
		record  WitnessRecord
		ok      bool
	}
	answers := make(chan answer, len(e.Witnesses))
	for _, w := range e.Witnesses {
		t.tasks.Go(func() {
			r, ok := t.queryWitness(ctx, w, e.Incarnation)
			answers <- answer{w, r, ok}
		})
	}
	answered := 0
	var others []Witness
	for range e.Witnesses {
		a := <-answers
		if a.ok {
			answered++
		}
		if !a.record.IsNamedWitness {
			others = append(others, a.witness)
			continue
		}
		testimony.Records = append(testimony.Records, a.record)
		if e.HasQuorum(testimony.Records) {
			return testimony, answered
		}
	}
	for _, w := range others {
		testimony.Traces = append(testimony.Traces, t.traceWitness(ctx, w, e.Era))
	}
	return testimony, answered
}

// traceWitness reads the trace of a witness from the store. It tries until it succeeds or the context is done.
func (t *Treasurer) traceWitness(ctx context.Context, w Witness, era int64) WitnessTrace {
	instance := w.Incarnation.Instance()
	key := masticway.RowKey{Table: tableCheckpoints, Part: PartOf(instance, t.parts), Key: instance}
	for ctx.Err() == nil {
		row, _, err := t.readRow(ctx, key)
		if err == nil {
			return TraceWitness(row, w.Incarnation, era)
		}
		t.sleep(ctx, callRetryInterval)
	}
	return WitnessTrace{}
}

// queryWitness asks one witness for its record, up to maxWitnessAttempts times. It returns false if no attempt was answered.
func (t *Treasurer) queryWitness(ctx context.Context, w Witness, ended masticway.Incarnation) (WitnessRecord, bool) {
	for range maxWitnessAttempts {
		callCtx, cancel := context.WithTimeout(ctx, witnessTimeout)
		r, err := t.peerClient.FinalReports(callCtx, w.Address, w.Incarnation, ended)
		cancel()
		if err == nil {
			return r, true
		}
		t.log.WithFields(logrus.Fields{"event": "recall_failed", "witness": w.Incarnation, "error": err}).Debug("witness not reached")
		t.sleep(ctx, callRetryInterval)
		if ctx.Err() != nil {
			break
		}
	}
	return WitnessRecord{}, false
}
