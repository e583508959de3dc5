package sidecar

import (
	"reflect"
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/linker"
)

func (c *Sidecar) beat() {
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
		c.sendBeats()
	}
}

// sendBeats reports load only when it has changed, because there are many links.
func (c *Sidecar) sendBeats() {
	m := c.beatMessage()
	c.mu.Lock()
	if c.told != nil && m.Heartbeat.Load != nil && sameLoad(*c.told, *m.Heartbeat.Load) {
		m.Heartbeat.Load = nil
	} else {
		c.told = m.Heartbeat.Load
	}
	c.mu.Unlock()
	for _, conn := range c.listener.All() {
		_ = conn.Send(m)
	}
}

// sameLoad tells whether two reports differ in their time only.
func sameLoad(a, b masticway.LoadReport) bool {
	a.ReportedAt, b.ReportedAt = time.Time{}, time.Time{}
	return reflect.DeepEqual(a, b)
}

func (c *Sidecar) beatMessage() linker.Message {
	c.mu.Lock()
	defer c.mu.Unlock()
	return linker.Message{Heartbeat: &linker.Heartbeat{Revision: c.core.Revision(), Leaving: c.core.IsDraining(), Load: c.load}}
}

func (c *Sidecar) watchLoad() {
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
