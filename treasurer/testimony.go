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
// in three cases: a successor of the sender has asked for the record, the report is meant for another incarnation than this one,
// or this router is sealed.
func (t *Treasurer) AcceptReport(s SpendReport) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.sealed && t.planner.AcceptReport(s)
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
	continued := t.eraContinued
	t.mu.Unlock()
	var records []WitnessRecord
	if !e.FromCopy {
		records = t.queryWitnesses(ctx, e)
	}
	presumedSpent := e.PresumedSpent(records, continued)
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

// queryWitnesses asks the witnesses of an ended incarnation concurrently. It returns the records of those that have
// answered, once there are enough of them (see HasQuorum) or all witnesses were tried.
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
