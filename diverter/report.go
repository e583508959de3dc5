package diverter

import (
	"context"
	"time"
)

// isReportDue reports whether the next report is due, and sets the time of the one after it.
func (d *Diverter) isReportDue(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Before(d.state.reportAt) {
		return false
	}
	d.state.reportAt = now.Add(reportInterval)
	return true
}

// sendReports reports to the preferred coordinator of the zone. If that does not reply within backupAfter, or did not at the last
// time, it also reports to the backup: a coordinator behind a saturated link decides late, and a dead one never.
func (d *Diverter) sendReports(ctx context.Context) {
	d.mu.Lock()
	coordinators := d.state.membership.own
	late := d.state.lateCoordinator == coordinators[0].Address
	d.mu.Unlock()
	preferred := coordinators[0]
	replied := d.sendReport(ctx, preferred)
	if len(coordinators) < 2 {
		return
	}
	backup := coordinators[1]
	if late {
		d.sendReport(ctx, backup)
	}
	d.wg.Go(func() {
		inTime := false
		select {
		case inTime = <-replied:
		case <-d.deps.Clock.After(backupAfter):
		case <-ctx.Done():
			return
		}
		d.mu.Lock()
		d.state.lateCoordinator = ""
		if !inTime {
			d.state.lateCoordinator = preferred.Address
		}
		d.mu.Unlock()
		if !inTime && !late {
			d.sendReport(ctx, backup)
		}
	})
}

// sendReport reports to a coordinator in a goroutine and returns without waiting. The channel receives whether the coordinator
// replied. There is no report, and no reply, if too many reports to the coordinator are unanswered.
func (d *Diverter) sendReport(ctx context.Context, to Router) <-chan bool {
	replied := make(chan bool, 1)
	if to.Instance == d.settings.Instance {
		replied <- d.recordReply(d.deps.Clock.Now(), to, d.AcceptReport(d.newReport(to)))
		return replied
	}
	if !d.reserveReport(to.Address) {
		replied <- false
		return replied
	}
	d.wg.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, messageTimeout)
		defer cancel()
		sentAt := d.deps.Clock.Now()
		reply, err := d.deps.Messages.Report(ctx, to.Address, d.newReport(to))
		d.mu.Lock()
		// The state was discarded if diversions ceased to apply while the report was under way.
		d.state.unansweredReports[to.Address] = max(0, d.state.unansweredReports[to.Address]-1)
		d.mu.Unlock()
		replied <- err == nil && d.recordReply(sentAt, to, reply)
	})
	return replied
}

// reserveReport counts a report to an address as unanswered. It returns false if there are too many.
func (d *Diverter) reserveReport(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.state.unansweredReports[address] >= maxUnansweredReports {
		return false
	}
	d.state.unansweredReports[address]++
	return true
}

// newReport returns the report to a coordinator.
func (d *Diverter) newReport(to Router) Report {
	overloaded, unanswered, _ := d.Pressure()
	d.mu.Lock()
	defer d.mu.Unlock()
	s, now := &d.state, d.deps.Clock.Now()
	r := Report{
		Instance: d.settings.Instance, Zone: d.settings.Zone, Overloaded: overloaded, Unanswered: unanswered,
		Unready: d.Rotation.IsOut() || !d.deps.IsServing(), Requests: s.rates.requests, Refused: s.rates.refused, RefusedConnections: s.rates.refusedConnections,
		Decision: s.diversion.export(now), Echo: s.allegiance.echo(now, to.Address),
	}
	for _, c := range s.heard {
		c.Left -= now.Sub(s.heardAt)
		if c.Left > 0 {
			r.Consents = append(r.Consents, c)
		}
	}
	return r
}

// recordReply applies the reply of a coordinator to a report that was sent at sentAt. It returns false if the reply says nothing.
func (d *Diverter) recordReply(sentAt time.Time, from Router, r Reply) bool {
	if !r.Known {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	s := &d.state
	if !s.active {
		return true
	}
	s.diversion.adopt(sentAt, from.Instance, r.Decision)
	if s.allegiance.recordReply(d.deps.Clock.Now(), from.Address, r.Issued) {
		s.heard, s.heardAt = r.Consents, sentAt
	}
	return true
}

// AcceptReport records the report of a router of the zone, and returns the newest decision.
func (d *Diverter) AcceptReport(r Report) Reply {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, now := &d.state, d.deps.Clock.Now()
	if !s.active || r.Zone != d.settings.Zone {
		return Reply{}
	}
	s.reports[r.Instance] = receivedReport{Report: r, at: now}
	s.diversion.adopt(now, r.Instance, r.Decision)
	for _, c := range r.Consents {
		s.consents.adopt(now, c)
	}
	return Reply{Known: true, Decision: s.diversion.export(now), Consents: s.consents.export(now), Issued: now.UnixNano()}
}
