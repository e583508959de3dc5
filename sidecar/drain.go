package sidecar

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway/bookkeeper"
)

// maxReportAttempts bounds the number of attempts of one Drain to write the totals to the table.
const maxReportAttempts = 20

// Drain refuses new work, waits for the runs in progress, and then tries to write the totals to the table. The totals are
// the cost of what the sidecar ran for each grant.
//
// It returns false if ctx is done before all runs have finished. Then it writes no totals. It returns true even if the
// totals could not be written.
func (c *Sidecar) Drain(ctx context.Context) bool {
	c.mu.Lock()
	c.core.Drain()
	c.mu.Unlock()
	c.sendHeartbeats()
	finished := c.awaitRuns(ctx)
	if !finished {
		c.mu.Lock()
		interrupted := c.core.Running()
		c.mu.Unlock()
		c.metrics.Add(metricDrainCut, int64(interrupted))
		c.log.WithFields(logrus.Fields{"event": "drain_expired", "running": interrupted}).Warn("drain expired")
		return false
	}
	c.writeTotals(ctx)
	return true
}

func (c *Sidecar) awaitRuns(ctx context.Context) bool {
	for {
		c.mu.Lock()
		running := c.core.Running()
		c.mu.Unlock()
		if running == 0 {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-c.clock.After(20 * time.Millisecond):
		}
	}
}

func (c *Sidecar) writeTotals(ctx context.Context) {
	c.mu.Lock()
	report := bookkeeper.Report{Sidecar: c.self, Totals: c.core.Totals("")}
	c.mu.Unlock()
	for range maxReportAttempts {
		err := c.ledger.PutReport(ctx, report)
		if err == nil {
			c.log.WithFields(logrus.Fields{"event": "totals_left", "grants": len(report.Totals)}).Info("totals written")
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-c.clock.After(200 * time.Millisecond):
		}
	}
	c.log.WithField("event", "totals_not_left").Warn("cannot write totals")
}
