package sidecar

import (
	"context"
	"errors"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/linker"
	"github.com/masticway/masticway/sealer"
)

// apply carries out the sealer's effects. The caller must hold c.mu, so that messages are sent in the order of the effects.
func (c *Sidecar) apply(effects []sealer.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case sealer.Send:
			c.send(e)
		case sealer.Start:
			c.start(e)
		case sealer.Stop:
			if cancel, ok := c.cancels[e.Run]; ok {
				cancel()
			}
		case sealer.Verify:
			c.wg.Go(func() { c.verify(e.Incarnation) })
		}
	}
}

func (c *Sidecar) send(e sealer.Send) {
	conn := c.listener.Get(e.To)
	if conn == nil {
		return
	}
	var m linker.Message
	switch body := e.Message.(type) {
	case sealer.Accepted:
		m.Accepted = &body
	case sealer.Refused:
		c.metrics.Add(metricRefused+"_"+string(body.Reason), 1)
		m.Refused = &body
	case sealer.PromptCount:
		m.Counted = &body
	case sealer.Frame:
		m.Frame = &body
	case sealer.RunResult:
		m.Final = &body
	case sealer.RunStatus:
		m.Status = &body
	}
	_ = conn.Send(m)
}

func (c *Sidecar) start(e sealer.Start) {
	ctx, cancel := context.WithCancel(c.ctx)
	c.cancels[e.Run] = cancel
	c.metrics.Add(metricRuns, 1)
	c.wg.Go(func() {
		defer cancel()
		c.run(ctx, e)
	})
}

func (c *Sidecar) run(ctx context.Context, e sealer.Start) {
	started := c.clock.Now()
	outcome, err := c.upstream.Run(ctx, e.Call, sink{sidecar: c, run: e.Run})
	if c.ctx.Err() != nil {
		// Close has canceled the run. Nothing is reported, because it is unknown what ran.
		return
	}
	var failure *masticway.UpstreamError
	if err != nil && !errors.As(err, &failure) {
		failure = &masticway.UpstreamError{Reason: err.Error(), Started: true}
	}
	now := c.clock.Now()
	c.metrics.Observe(metricRunSeconds, e.Call.Model+e.Call.Service, now.Sub(started))
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.cancels, e.Run)
	c.apply(c.core.RecordEnd(now, e.Run, outcome, failure))
}

// sink passes the parts of an upstream's answer to the sealer.
type sink struct {
	sidecar *Sidecar
	run     masticway.RunKey
}

// PromptCounted passes on the prompt's token count.
func (s sink) PromptCounted(prompt, cached int) {
	s.sidecar.mu.Lock()
	defer s.sidecar.mu.Unlock()
	s.sidecar.apply(s.sidecar.core.RecordPromptCount(s.run, prompt, cached))
}

// Chunk passes on one part of the answer.
func (s sink) Chunk(c masticway.Chunk) {
	s.sidecar.metrics.Add(metricTokens, int64(c.Tokens))
	s.sidecar.mu.Lock()
	defer s.sidecar.mu.Unlock()
	s.sidecar.apply(s.sidecar.core.RecordChunk(s.run, c))
}
