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
	// witnessTimeout bounds one call to a witness for its record, maxWitnessAttempts the number of attempts. Until they are
	// over the predecessor's grants stay open; a witness that is being restarted answers within about a second that it has
	// no record.
	witnessTimeout     = 300 * time.Millisecond
	maxWitnessAttempts = 3
)

// sendReport sends one report to one witness.
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

// AcceptReport records another router's report as its witness and returns true, unless a successor of the sender has asked
// for its reports, the report is for another incarnation, or this router is sealed.
func (t *Treasurer) AcceptReport(s SpendReport) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.sealed && t.planner.AcceptReport(s)
}

// FinalReports returns what an ended incarnation has reported to this router, which accepts no further reports of it. The
// record is empty if the witness is another incarnation or this router is sealed.
func (t *Treasurer) FinalReports(witness, ended masticway.Incarnation) WitnessRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sealed {
		// The record went with the planner.
		return WitnessRecord{}
	}
	return t.planner.FinalReports(witness, ended)
}

// presumeSpent returns what a predecessor is presumed to have spent, by workspace: from what its witnesses remember if enough
// of them answer, else from its spend limits alone.
func (t *Treasurer) presumeSpent(ctx context.Context, e EndedIncarnation) map[string]int64 {
	records := t.queryWitnesses(ctx, e)
	presumedSpent := e.PresumedSpent(records)
	var presumed, saved int64
	for workspace, spent := range e.MaxSpent {
		presumed += presumedSpent[workspace]
		saved += spent - presumedSpent[workspace]
	}
	t.metrics.Add(metricRecalled, saved)
	t.log.WithFields(logrus.Fields{
		"event": "predecessor_recalled", "incarnation": e.Incarnation, "witnesses": len(e.Witnesses), "answered": len(records),
		"presumed": presumed, "spared": saved,
	}).Info("presumed what a predecessor has spent")
	return presumedSpent
}

// queryWitnesses asks the witnesses of an ended incarnation concurrently, until enough of them have answered or all were
// tried.
func (t *Treasurer) queryWitnesses(ctx context.Context, e EndedIncarnation) []WitnessRecord {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// A witness that does not answer contributes no record.
	answers := make(chan []WitnessRecord, len(e.Witnesses))
	for _, w := range e.Witnesses {
		t.tasks.Go(func() {
			r, ok := t.queryWitness(ctx, w, e.Incarnation)
			if !ok {
				answers <- nil
				return
			}
			answers <- []WitnessRecord{r}
		})
	}
	var records []WitnessRecord
	for range e.Witnesses {
		records = append(records, <-answers...)
		if e.HasQuorum(records) {
			break
		}
	}
	return records
}

// queryWitness asks one witness, up to maxWitnessAttempts times; it returns false if the witness did not answer.
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
