package treasurer

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
)

const (
	// reportTimeout bounds one statement, many times the way between availability zones.
	reportTimeout = 150 * time.Millisecond
	// witnessTimeout bounds one question to a witness, maxWitnessAttempts how often it is asked: until then the predecessor's
	// grants stay open, and a witness that is being restarted answers within a second or so that it knows nothing.
	witnessTimeout     = 300 * time.Millisecond
	maxWitnessAttempts = 3
)

// sendReport gives one statement to one witness.
func (t *Treasurer) sendReport(ctx context.Context, s Statement) {
	asking, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	taken, err := t.peerClient.Testify(asking, s.Address, s)
	if err != nil {
		t.log.WithFields(logrus.Fields{"event": "statement_failed", "witness": s.Witness, "error": err}).Debug("witness not reached")
	}
	t.metrics.Add(metricReports, 1)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.deliver(t.planner.CompleteReport(t.clock.Now(), s, taken))
}

// Testified takes another router's statement.
func (t *Treasurer) Testified(s Statement) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.sealed && t.planner.AcceptReport(s)
}

// Recall tells a successor what an ended incarnation has stated here.
func (t *Treasurer) Recall(witness, ended masticway.Incarnation) Recollection {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sealed {
		// What was remembered went with the purse.
		return Recollection{}
	}
	return t.planner.FinalReports(witness, ended)
}

// presumeSpent finds out what a predecessor has taken: from its witnesses if enough can be asked, else by its promises.
func (t *Treasurer) presumeSpent(ctx context.Context, e EndedIncarnation) map[string]int64 {
	recalled := t.queryWitnesses(ctx, e)
	known := e.PresumedSpent(recalled)
	var presumed, spared int64
	for workspace, spent := range e.MaxSpent {
		presumed += known[workspace]
		spared += spent - known[workspace]
	}
	t.metrics.Add(metricRecalled, spared)
	t.log.WithFields(logrus.Fields{
		"event": "predecessor_recalled", "incarnation": e.Incarnation, "witnesses": len(e.Witnesses), "answered": len(recalled),
		"presumed": presumed, "spared": spared,
	}).Info("what a predecessor has taken")
	return known
}

// queryWitnesses asks the witnesses of an ended incarnation, all at once, until enough of them have answered or all were tried.
func (t *Treasurer) queryWitnesses(ctx context.Context, e EndedIncarnation) []Recollection {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// A witness that cannot be asked brings nothing.
	answers := make(chan []Recollection, len(e.Witnesses))
	for _, w := range e.Witnesses {
		t.tasks.Go(func() {
			r, ok := t.queryWitness(ctx, w, e.Incarnation)
			if !ok {
				answers <- nil
				return
			}
			answers <- []Recollection{r}
		})
	}
	var recalled []Recollection
	for range e.Witnesses {
		recalled = append(recalled, <-answers...)
		if e.HasQuorum(recalled) {
			break
		}
	}
	return recalled
}

// queryWitness asks one witness, a few times.
func (t *Treasurer) queryWitness(ctx context.Context, w Witness, ended masticway.Incarnation) (Recollection, bool) {
	for range maxWitnessAttempts {
		asking, cancel := context.WithTimeout(ctx, witnessTimeout)
		r, err := t.peerClient.Recall(asking, w.Address, w.Incarnation, ended)
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
	return Recollection{}, false
}
