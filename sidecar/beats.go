package sidecar

import (
	"reflect"
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/linker"
)

func (c *Sidecar) heartbeatLoop() {
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-c.clock.After(c.settings.HeartbeatInterval.Std()):
		}
		c.mu.Lock()
		c.apply(c.core.Tick(c.clock.Now()))
		c.metrics.Gauge(metricRunning, int64(c.core.Running()))
		c.mu.Unlock()
		c.sendHeartbeats()
	}
}

// sendHeartbeats sends a heartbeat on each link. Because a sidecar has many links, the heartbeat contains the upstream's
// load only if the load has changed since the previous call.
func (c *Sidecar) sendHeartbeats() {
	m := c.heartbeatMessage()
	c.mu.Lock()
	if c.reportedLoad != nil && m.Heartbeat.Load != nil && equalLoad(*c.reportedLoad, *m.Heartbeat.Load) {
		m.Heartbeat.Load = nil
	} else {
		c.reportedLoad = m.Heartbeat.Load
	}
	c.mu.Unlock()
	for _, conn := range c.listener.All() {
		_ = conn.Send(m)
	}
}

// equalLoad reports whether two load reports are equal apart from their times.
func equalLoad(a, b masticway.LoadReport) bool {
	a.ReportedAt, b.ReportedAt = time.Time{}, time.Time{}
	return reflect.DeepEqual(a, b)
}

func (c *Sidecar) heartbeatMessage() linker.Message {
	c.mu.Lock()
	defer c.mu.Unlock()
	return linker.Message{Heartbeat: &linker.Heartbeat{Revision: c.core.Revision(), Draining: c.core.IsDraining(), Load: c.load}}
}

func (c *Sidecar) pollLoad() {
	for {
		report, err := c.upstream.Load(c.ctx)
		if err == nil {
			c.mu.Lock()
			c.load = &report
			c.mu.Unlock()
		}
		select {
		case <-c.ctx.Done():
			return
		case <-c.clock.After(c.settings.HeartbeatInterval.Std()):
		}
	}
}
