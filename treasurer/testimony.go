package treasurer

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
)

const (
	// testifyTimeout bounds one statement, many times the way between availability zones.
	testifyTimeout = 150 * time.Millisecond
	// recallTimeout bounds one question to a witness, recallTries how often it is asked: until then the predecessor's
	// grants stay open, and a witness that is being restarted answers within a second or so that it knows nothing.
	recallTimeout = 300 * time.Millisecond
	recallTries   = 3
)

// testify gives one statement to one witness.
func (t *Treasurer) testify(ctx context.Context, s Statement) {
	asking, cancel := context.WithTimeout(ctx, testifyTimeout)
	defer cancel()
	taken, err := t.lender.Testify(asking, s.Address, s)
	if err != nil {
		t.log.WithFields(logrus.Fields{"event": "statement_failed", "witness": s.Witness, "error": err}).Debug("witness not reached")
	}
	t.metrics.Add(metricStated, 1)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answer(t.purse.Witnessed(t.clock.Now(), s, taken))
}

// Testified takes another router's statement.
func (t *Treasurer) Testified(s Statement) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.sealed && t.purse.Testified(s)
}

// Recall tells a successor what an ended incarnation has stated here.
func (t *Treasurer) Recall(witness, ended masticway.Incarnation) Recollection {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sealed {
		// What was remembered went with the purse.
		return Recollection{}
	}
	return t.purse.Recall(witness, ended)
}

// recall finds out what a predecessor has taken: from its witnesses if enough can be asked, else by its promises.
func (t *Treasurer) recall(ctx context.Context, e Ended) map[string]int64 {
	recalled := t.askAll(ctx, e)
	known := e.Known(recalled)
	var presumed, spared int64
	for workspace, spent := range e.Spent {
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

// askAll asks the witnesses of an ended incarnation, all at once, until enough of them have answered or all were tried.
func (t *Treasurer) askAll(ctx context.Context, e Ended) []Recollection {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// A witness that cannot be asked brings nothing.
	answers := make(chan []Recollection, len(e.Witnesses))
	for _, w := range e.Witnesses {
		t.steps.Go(func() {
			r, ok := t.ask(ctx, w, e.Incarnation)
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
		if e.Enough(recalled) {
			break
		}
	}
	return recalled
}

// ask asks one witness, a few times.
func (t *Treasurer) ask(ctx context.Context, w Witness, ended masticway.Incarnation) (Recollection, bool) {
	for range recallTries {
		asking, cancel := context.WithTimeout(ctx, recallTimeout)
		r, err := t.lender.Recall(asking, w.Address, w.Incarnation, ended)
		cancel()
		if err == nil {
			return r, true
		}
		t.log.WithFields(logrus.Fields{"event": "recall_failed", "witness": w.Incarnation, "error": err}).Debug("witness not reached")
		t.pause(ctx, beginPause)
		if ctx.Err() != nil {
			break
		}
	}
	return Recollection{}, false
}
