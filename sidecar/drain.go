package sidecar

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway/bookkeeper"
)

// reportTries bounds the attempts to leave the totals at shutdown.
const reportTries = 20

// Drain refuses new work, lets what runs finish, and leaves the totals in the table.
//
// It returns false when the context ended before all runs had finished.
func (c *Sidecar) Drain(ctx context.Context) bool {
	c.mu.Lock()
	c.core.Drain()
	c.mu.Unlock()
	c.sendBeats()
	finished := c.awaitRuns(ctx)
	if !finished {
		c.mu.Lock()
		cut := c.core.Running()
		c.mu.Unlock()
		c.metrics.Add(metricDrainCut, int64(cut))
		c.log.WithFields(logrus.Fields{"event": "drain_expired", "running": cut}).Warn("drain expired")
		return false
	}
	c.leaveReport(ctx)
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

func (c *Sidecar) leaveReport(ctx context.Context) {
	c.mu.Lock()
	report := bookkeeper.Report{Sidecar: c.self, Totals: c.core.Totals("")}
	c.mu.Unlock()
	for range reportTries {
		err := c.book.PutReport(ctx, report)
		if err == nil {
			c.log.WithFields(logrus.Fields{"event": "totals_left", "grants": len(report.Totals)}).Info("totals left")
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-c.clock.After(200 * time.Millisecond):
		}
	}
	c.log.WithField("event", "totals_not_left").Warn("totals not left")
}
