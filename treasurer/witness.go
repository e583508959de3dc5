package treasurer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/masticway/masticway"
)

const (
	// maxWitnesses is the maximum number of other routers that a checkpoint names as witnesses. With four witnesses, three must
	// accept a report before tokens that need witnesses are cleared while the store cannot be reached (see quorum), so one may be
	// lost. Of the witnesses, two may be lost together with the router before its successor must presume the rate of the spend limits
	// (see PresumedSpent). With three witnesses, of which two had to accept, a power loss of three of five routers cost that for all
	// the time without power. Under a still earlier rule, one of two had to accept and both had to answer. A router that was restarted
	// during a partition at the same time as one of its two witnesses then cost its workspace 10% of the budget.
	maxWitnesses = 4
	// unackedTimeout is how long reports may lack a quorum while a checkpoint is late. It matters while the store is not
	// timely (isStoreTimely). Before the timeout, requests are held within what acknowledgements are expected to clear soon
	// (expectedLimit). After it, they are held only within what is already cleared or can be cleared now (currentLimit).
	// Without the timeout, requests would hold tokens that are not cleared in time. It is twice reportTimeout.
	unackedTimeout = 300 * time.Millisecond
	// minAckSilence is how long the store must not have answered a checkpoint of a witness before that acknowledges reports. So a
	// checkpoint tells that its router has acknowledged nothing for that time after its Basis. In the first part of an outage the
	// spend limits allow enough without witnesses (see unwitnessedWindow).
	minAckSilence = time.Second
	// refusedReportPause is how long no report is sent to a witness that has not accepted one.
	refusedReportPause = 100 * time.Millisecond
)

// Witness is a router that another router reports to while the store is late. It remembers the reports for the other
// router's successor.
type Witness struct {
	Incarnation masticway.Incarnation `json:"incarnation"`
	Address     string                `json:"address"`
}

// SpendReport reports to a witness how many tokens of its grants the sender has taken, by workspace. It has only workspaces
// with holds that wait for clearance and that the sender cannot clear without the witnesses. An amount is at most what the
// spend limits let be cleared with acknowledgements.
type SpendReport struct {
	Sender masticway.Incarnation `cbor:"1,keyasint"`
	// Witness is the recipient. If the instance has another incarnation by now, that has not got the earlier reports and
	// must refuse this one.
	Witness masticway.Incarnation `cbor:"2,keyasint"`
	// OldestCheckpoint and NewestCheckpoint are the first and the last sequence number of the checkpoints of the sender that
	// the store may have. A successor finds one of these if the sender crashes now.
	OldestCheckpoint int64            `cbor:"3,keyasint"`
	NewestCheckpoint int64            `cbor:"4,keyasint"`
	Taken            map[string]int64 `cbor:"5,keyasint"`
	// Address is where the witness is reached. It is not part of the message.
	Address string `cbor:"-"`
}

// ReportedSpend is what was reported of one workspace. Checkpoint is the sequence number of the newest checkpoint that the
// sender had sent when it made the report. If the store has a later checkpoint, that covers the amount.
type ReportedSpend struct {
	Taken      int64 `cbor:"1,keyasint"`
	Checkpoint int64 `cbor:"2,keyasint"`
}

// WitnessRecord is a witness's record of what an ended incarnation has reported to it, by workspace. IsNamedWitness is set
// if the incarnation that answers is the one that the request names as the witness. A later incarnation on the witness's
// instance has no record.
type WitnessRecord struct {
	IsNamedWitness bool                     `cbor:"1,keyasint"`
	Reported       map[string]ReportedSpend `cbor:"2,keyasint"`
}

// WitnessTrace is what the checkpoint of a witness's instance says about a witness that may have lost its record. The times are by
// the store's clock, as is the time at which the witness acknowledged a report.
type WitnessTrace struct {
	// IsKnown is set if the checkpoint is of the witness or names it as a predecessor.
	IsKnown bool
	// AckedAt is when the witness had last acknowledged a report before it wrote its checkpoint, or later. Since then it has
	// acknowledged none before Silent.
	AckedAt time.Duration
	Silent  time.Duration
	// EndedBy is when the witness had ended, if HasEnded is set.
	HasEnded bool
	EndedBy  time.Duration
}

// TraceWitness returns the trace of a witness in the row of its instance's checkpoint. It returns an empty trace if the checkpoint is
// of another era than the given one, whose clock is another, or of an earlier build.
func TraceWitness(row masticway.StoredRow, witness masticway.Incarnation, era int64) WitnessTrace {
	c, err := decode[Checkpoint](row)
	if err != nil || !c.IsTraced || c.Era != era {
		return WitnessTrace{}
	}
	if c.Incarnation == witness {
		return WitnessTrace{IsKnown: true, AckedAt: c.AckedAt, Silent: c.Basis + minAckSilence}
	}
	for _, p := range c.Predecessors {
		if p.Incarnation == witness {
			return WitnessTrace{IsKnown: true, AckedAt: p.AckedAt, Silent: p.Basis + minAckSilence, HasEnded: true, EndedBy: p.EndedBy}
		}
	}
	return WitnessTrace{}
}

// senderReports is a witness's record of the reports of one sender.
type senderReports struct {
	reported map[string]ReportedSpend
	// ended is set once a successor of the sender has asked for the record. Further reports of the sender are then refused.
	ended bool
}

// AcceptReport records another router's report and returns true. It returns false, without recording it, if a successor of
// the sender has asked for the record, the report is meant for another incarnation than this one, or the store has answered this one
// within minAckSilence. Recorded amounts that the sender's checkpoints cover by now are dropped.
func (p *Planner) AcceptReport(now time.Time, s SpendReport) bool {
	record := p.peerReports[s.Sender]
	if s.Witness != p.settings.Incarnation || record.ended || now.Sub(p.checkpointBasis) < minAckSilence {
		return false
	}
	p.checkpoint.AckedAt = max(p.checkpoint.AckedAt, p.latestStoreTime(now))
	if record.reported == nil {
		record.reported = map[string]ReportedSpend{}
	}
	maps.DeleteFunc(record.reported, func(_ string, old ReportedSpend) bool { return old.Checkpoint < s.OldestCheckpoint })
	for workspace, taken := range s.Taken {
		taken = boundedAmount(taken)
		// Reports may arrive out of order: an older report must not lower what a newer one has recorded.
		old := record.reported[workspace]
		record.reported[workspace] = ReportedSpend{Taken: max(taken, old.Taken), Checkpoint: max(s.NewestCheckpoint, old.Checkpoint)}
	}
	p.peerReports[s.Sender] = record
	return true
}

// latestStoreTime returns an estimate of the store's time that is not too early.
func (p *Planner) latestStoreTime(now time.Time) time.Duration {
	if p.checkpointBasisSentAt.IsZero() {
		return math.MaxInt64
	}
	return p.checkpoint.Basis + now.Sub(p.checkpointBasisSentAt)
}

// FinalReports returns what an ended incarnation has reported to this one, and makes this one refuse further reports of it.
// If witness is another incarnation than this one, it does nothing and returns an empty record.
func (p *Planner) FinalReports(witness, ended masticway.Incarnation) WitnessRecord {
	if witness != p.settings.Incarnation {
		return WitnessRecord{}
	}
	record := p.peerReports[ended]
	record.ended = true
	p.peerReports[ended] = record
	return WitnessRecord{IsNamedWitness: true, Reported: maps.Clone(record.reported)}
}

// chooseWitnesses returns the witnesses for the next checkpoint: the routers that follow this one in the circular order of
// incarnations. This spreads the reports evenly over the routers.
func (p *Planner) chooseWitnesses() []Witness {
	var others []Witness
	for _, o := range p.peers {
		others = append(others, o.Witness)
	}
	slices.SortFunc(others, func(x, y Witness) int { return compareCircular(p.settings.Incarnation, x.Incarnation, y.Incarnation) })
	return others[:min(len(others), maxWitnesses)]
}

// compareCircular compares x and y in the circular order of incarnations that starts right after begin.
func compareCircular(begin, x, y masticway.Incarnation) int {
	if (x > begin) != (y > begin) {
		if x > begin {
			return -1
		}
		return 1
	}
	return cmp.Compare(x, y)
}

// isCheckpointLate reports whether the store fails, or has not answered a checkpoint for longer than slowStoreLatency. Holds
// that wait for the checkpoint are then reported to witnesses.
func (p *Planner) isCheckpointLate(now time.Time) bool {
	return !p.failingSince.IsZero() || p.checkpointInFlight && now.Sub(p.checkpointSentAt) > slowStoreLatency
}

// unclearedTaken returns what to report to witnesses, by workspace: the amount taken, but at most what acknowledgements can
// clear now (expectedLimit). It leaves out workspaces without holds that wait for clearance, and those whose amount can be
// cleared now without more acknowledgements.
func (p *Planner) unclearedTaken(now time.Time) map[string]int64 {
	taken := map[string]int64{}
	for workspace, a := range p.accounts {
		amount := min(a.taken, p.expectedLimit(now, a))
		if len(a.awaitingClearance) > 0 && amount > p.currentLimit(now, a) {
			taken[workspace] = amount
		}
	}
	return taken
}

// DueReports returns the reports to send to witnesses now, and counts them as in flight until CompleteReport. Reports are
// due if holds wait for clearance and a checkpoint is late. Each witness gets one report at a time.
func (p *Planner) DueReports(now time.Time) []SpendReport {
	var taken map[string]int64
	if p.isCheckpointLate(now) {
		taken = p.unclearedTaken(now)
	}
	if len(taken) == 0 {
		p.unackedSince = time.Time{}
		return nil
	}
	if p.unackedSince.IsZero() {
		p.unackedSince = now
	}
	var due []SpendReport
	for _, w := range p.currentWitnesses() {
		if p.reportsInFlight[w.Incarnation] || now.Sub(p.refusedAt[w.Incarnation]) < refusedReportPause {
			continue
		}
		p.reportsInFlight[w.Incarnation] = true
		due = append(due, SpendReport{
			Sender: p.settings.Incarnation, Witness: w.Incarnation, Address: w.Address,
			OldestCheckpoint: p.limitsInForce[0].sequence, NewestCheckpoint: p.checkpoint.Sequence, Taken: taken,
		})
	}
	return due
}

// currentWitnesses lists the witnesses of all checkpoints in force, each witness once.
func (p *Planner) currentWitnesses() []Witness {
	var all []Witness
	for _, f := range p.limitsInForce {
		for _, w := range f.witnesses {
			if !slices.Contains(all, w) {
				all = append(all, w)
			}
		}
	}
	return all
}

// CompleteReport records whether a witness has accepted a report. It returns the replies to requests and holds that can be
// answered now.
func (p *Planner) CompleteReport(now time.Time, s SpendReport, accepted bool) []Reply {
	delete(p.reportsInFlight, s.Witness)
	if !accepted {
		p.refusedAt[s.Witness] = now
		return nil
	}
	delete(p.refusedAt, s.Witness)
	for _, f := range p.limitsInForce {
		// The report does not count for checkpoints that were sent after it was made.
		if f.sequence <= s.NewestCheckpoint {
			f.recordAck(s)
		}
	}
	if p.isCovered(now, s) {
		p.unackedSince = time.Time{}
	}
	return p.ServeQueues(now)
}

// recordAck records that the recipient of an accepted report has acknowledged its amounts, if the recipient is a witness of
// the checkpoint.
func (f checkpointLimits) recordAck(s SpendReport) {
	if !slices.ContainsFunc(f.witnesses, func(w Witness) bool { return w.Incarnation == s.Witness }) {
		return
	}
	acked, ok := f.acked[s.Witness]
	if !ok {
		acked = map[string]int64{}
		f.acked[s.Witness] = acked
	}
	for workspace, amount := range s.Taken {
		acked[workspace] = max(acked[workspace], amount)
	}
}

// quorumTaken returns the largest amount of a workspace that a quorum of the checkpoint's witnesses has acknowledged; zero
// if there is none.
func (f checkpointLimits) quorumTaken(workspace string) int64 {
	var amounts []int64
	for _, acked := range f.acked {
		amounts = append(amounts, acked[workspace])
	}
	needed := quorum(len(f.witnesses))
	if len(amounts) < needed {
		return 0
	}
	slices.Sort(amounts)
	return amounts[len(amounts)-needed]
}

// quorum returns the size of a majority of a checkpoint's witnesses. An amount that needs witnesses is cleared only once that
// many have acknowledged it.
func quorum(witnesses int) int { return witnesses/2 + 1 }

// isCovered reports whether all amounts of a report may be cleared now.
func (p *Planner) isCovered(now time.Time, s SpendReport) bool {
	for workspace, amount := range s.Taken {
		if a, ok := p.accounts[workspace]; ok && p.currentLimit(now, a) < amount {
			return false
		}
	}
	return true
}

// areReportsUnacked reports whether reports that were due have lacked the acknowledgement of a quorum for longer than
// unackedTimeout.
func (p *Planner) areReportsUnacked(now time.Time) bool {
	return !p.unackedSince.IsZero() && now.Sub(p.unackedSince) > unackedTimeout
}

// HasQuorum reports whether enough of an ended incarnation's witnesses have answered. Enough means that any quorum of the
// witnesses includes one that has answered: whatever a quorum has acknowledged, at least one of the records then has it.
func (e EndedIncarnation) HasQuorum(records []WitnessRecord) bool {
	answered := 0
	for _, r := range records {
		if r.IsNamedWitness {
			answered++
		}
	}
	return answered > len(e.Witnesses)-quorum(len(e.Witnesses))
}

// Testimony is what is known of what an ended incarnation's witnesses have acknowledged: the records of those that have answered,
// and the traces of the others.
type Testimony struct {
	Records []WitnessRecord
	Traces  []WitnessTrace
	// IsEraContinued is EraRecord.Continued of the store's current era.
	IsEraContinued bool
}

// PresumedSpent returns the most that an ended incarnation can have spent, by workspace. It is what the spend limits allowed
// without witnesses (MaxUnwitnessed), or the amount in the records if that is more. Reports made before its last checkpoint
// are ignored, because the checkpoint covers them. If a quorum of the witnesses without a record can have acknowledged more, it is
// what the limits allowed while that quorum can have run, or all that they allowed (MaxSpent). Witnesses do not count where later
// checkpoints may be lost.
func (e EndedIncarnation) PresumedSpent(t Testimony) map[string]int64 {
	if e.FromCopy && t.IsEraContinued {
		presumed := map[string]int64{}
		for workspace := range e.MaxSpent {
			presumed[workspace] = presumeAll
		}
		return presumed
	}
	if e.FromCopy || len(e.Witnesses) == 0 {
		return maps.Clone(e.MaxSpent)
	}
	presumed := maps.Clone(e.MaxUnwitnessed)
	for _, r := range t.Records {
		for workspace, s := range r.Reported {
			if r.IsNamedWitness && s.Checkpoint >= e.Sequence {
				presumed[workspace] = max(presumed[workspace], s.Taken)
			}
		}
	}
	elapsed, mayHaveQuorum := e.ackedUntil(t)
	if !mayHaveQuorum {
		return presumed
	}
	if elapsed >= e.SinceBasis || e.Limits == nil {
		return maps.Clone(e.MaxSpent)
	}
	for workspace, limit := range e.Limits {
		presumed[workspace] = max(presumed[workspace], limit.bound(elapsed))
	}
	return presumed
}

// ackedUntil returns the longest time after the Basis by which a quorum of the witnesses without a record can have acknowledged the
// same report, and whether there can have been one. What was cleared on such an acknowledgement was reported by then, so the
// spend limits allowed it by then.
func (e EndedIncarnation) ackedUntil(t Testimony) (elapsed time.Duration, mayHaveQuorum bool) {
	known := 0
	for _, r := range t.Records {
		if r.IsNamedWitness {
			known++
		}
	}
	var until []time.Duration
	for _, trace := range t.Traces {
		if !trace.IsKnown {
			continue
		}
		known++
		last := e.SinceBasis
		if trace.HasEnded {
			last = min(last, trace.EndedBy-e.Basis)
		}
		if last >= trace.Silent-e.Basis || last >= 0 && trace.AckedAt >= e.Basis {
			until = append(until, max(0, last))
		}
	}
	for range len(e.Witnesses) - known {
		until = append(until, e.SinceBasis)
	}
	needed := quorum(len(e.Witnesses))
	if len(until) < needed {
		return 0, false
	}
	slices.SortFunc(until, func(x, y time.Duration) int { return cmp.Compare(y, x) })
	return until[needed-1], true
}
