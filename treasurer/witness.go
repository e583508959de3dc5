package treasurer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/masticway/masticway"
)

const (
	// maxWitnesses is how many other routers a checkpoint names as witnesses. While the store cannot be reached, a majority
	// of them must accept a report before more is cleared than needs no witness, so that a successor needs answers from only
	// some: two of three in both cases. With two witnesses, of which one had to accept and both had to answer, a router that
	// was restarted during a partition at the same time as one of them cost its workspace 10% of a budget.
	maxWitnesses = 3
	// unackedTimeout is how long a report may lack a quorum before requests are admitted only by what the witnesses have
	// acknowledged: twice reportTimeout. Requests admitted after that would hold tokens that are not cleared in time.
	unackedTimeout = 300 * time.Millisecond
)

// Witness is a router that remembers what another router reports while the store cannot be reached.
type Witness struct {
	Incarnation masticway.Incarnation `json:"incarnation"`
	Address     string                `json:"address"`
}

// SpendReport reports how much its sender has taken in all, by workspace, where its spend limits do not clear that much
// without the report. Amounts that no report can clear are left out.
type SpendReport struct {
	Sender masticway.Incarnation `cbor:"1,keyasint"`
	// Witness is the recipient. Another incarnation on its instance lacks the earlier reports and must refuse this one.
	Witness masticway.Incarnation `cbor:"2,keyasint"`
	// OldestCheckpoint and NewestCheckpoint are the sequence numbers of the first and the last checkpoint that may be the
	// sender's last one in the store if it crashes now.
	OldestCheckpoint int64            `cbor:"3,keyasint"`
	NewestCheckpoint int64            `cbor:"4,keyasint"`
	Taken            map[string]int64 `cbor:"5,keyasint"`
	// Address is where the witness is reached; it is not sent.
	Address string `cbor:"-"`
}

// ReportedSpend is what was reported of one workspace. Checkpoint is the sequence number of the sender's newest checkpoint
// when it made the report: later checkpoints cover the amount.
type ReportedSpend struct {
	Taken      int64 `cbor:"1,keyasint"`
	Checkpoint int64 `cbor:"2,keyasint"`
}

// WitnessRecord is a witness's record of what an ended incarnation has reported to it, by workspace. IsNamedWitness is set if
// the incarnation that answers is the one named as the witness; another one of its instance has no record.
type WitnessRecord struct {
	IsNamedWitness bool                     `cbor:"1,keyasint"`
	Reported       map[string]ReportedSpend `cbor:"2,keyasint"`
}

// senderReports is a witness's record of one sender.
type senderReports struct {
	reported map[string]ReportedSpend
	// ended is set once a successor has asked for the record; further reports of the sender are refused.
	ended bool
}

// AcceptReport records another router's report. It returns false if a successor of the sender has asked for the record or the
// report is for another incarnation.
func (p *Planner) AcceptReport(s SpendReport) bool {
	record := p.peerReports[s.Sender]
	if s.Witness != p.settings.Incarnation || record.ended {
		return false
	}
	if record.reported == nil {
		record.reported = map[string]ReportedSpend{}
	}
	maps.DeleteFunc(record.reported, func(_ string, old ReportedSpend) bool { return old.Checkpoint < s.OldestCheckpoint })
	for workspace, taken := range s.Taken {
		// Reports may arrive out of order: an older one must not lower the amount or the checkpoint of a newer one.
		old := record.reported[workspace]
		record.reported[workspace] = ReportedSpend{Taken: max(taken, old.Taken), Checkpoint: max(s.NewestCheckpoint, old.Checkpoint)}
	}
	p.peerReports[s.Sender] = record
	return true
}

// FinalReports returns what an ended incarnation has reported to a witness, and makes it refuse further reports of that
// incarnation. The record is empty if the witness is another incarnation than this.
func (p *Planner) FinalReports(witness, ended masticway.Incarnation) WitnessRecord {
	if witness != p.settings.Incarnation {
		return WitnessRecord{}
	}
	record := p.peerReports[ended]
	record.ended = true
	p.peerReports[ended] = record
	return WitnessRecord{IsNamedWitness: true, Reported: maps.Clone(record.reported)}
}

// chooseWitnesses returns the routers that follow this one in the circular order of incarnations, which spreads the load
// evenly.
func (p *Planner) chooseWitnesses() []Witness {
	var others []Witness
	for _, o := range p.peers {
		others = append(others, o.Witness)
	}
	slices.SortFunc(others, func(x, y Witness) int { return compareCircular(p.settings.Incarnation, x.Incarnation, y.Incarnation) })
	return others[:min(len(others), maxWitnesses)]
}

// compareCircular compares incarnations in the circular order in which the one after begin is the first.
func compareCircular(begin, x, y masticway.Incarnation) int {
	if (x > begin) != (y > begin) {
		if x > begin {
			return -1
		}
		return 1
	}
	return cmp.Compare(x, y)
}

// isCheckpointLate reports whether the store fails or has not answered a checkpoint for slowStoreLatency, so that what waits
// for the checkpoint must be reported to witnesses.
func (p *Planner) isCheckpointLate(now time.Time) bool {
	return !p.failingSince.IsZero() || p.checkpointInFlight && now.Sub(p.checkpointSentAt) > slowStoreLatency
}

// unclearedTaken returns what to report, by workspace: the amount taken, as far as acknowledged reports can clear it, of each
// workspace that has holds waiting for clearance and whose spend limits do not cover that amount now.
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

// DueReports returns the reports to send now, for holds that wait for clearance while the store is late, and counts them as
// in flight until CompleteReport. Each witness gets one at a time.
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
		if p.reportsInFlight[w.Incarnation] {
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

// currentWitnesses lists the witnesses of all checkpoints that the store may have.
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

// CompleteReport records whether a witness has accepted a report, and returns the replies that result.
func (p *Planner) CompleteReport(now time.Time, s SpendReport, accepted bool) []Reply {
	delete(p.reportsInFlight, s.Witness)
	if !accepted {
		return nil
	}
	for _, f := range p.limitsInForce {
		// The report says nothing about checkpoints that were sent after it was made.
		if f.sequence <= s.NewestCheckpoint {
			f.recordAck(s)
		}
	}
	if p.isCovered(now, s) {
		p.unackedSince = time.Time{}
	}
	return p.ServeQueues(now)
}

// recordAck records what a router has acknowledged, if it is a witness of the checkpoint.
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

// quorumTaken returns the amount of a workspace that a quorum of the checkpoint's witnesses has acknowledged.
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

// quorum returns how many of a checkpoint's witnesses must acknowledge an amount before it is cleared.
func quorum(witnesses int) int { return witnesses/2 + 1 }

// isCovered reports whether the spend limits in force now let all amounts of a report be cleared.
func (p *Planner) isCovered(now time.Time, s SpendReport) bool {
	for workspace, amount := range s.Taken {
		if a, ok := p.accounts[workspace]; ok && p.currentLimit(now, a) < amount {
			return false
		}
	}
	return true
}

// areReportsUnacked reports whether reports have lacked a quorum for longer than unackedTimeout.
func (p *Planner) areReportsUnacked(now time.Time) bool {
	return !p.unackedSince.IsZero() && now.Sub(p.unackedSince) > unackedTimeout
}

// HasQuorum reports whether so many of the named witnesses have answered that for whatever was cleared by a quorum's
// acknowledgement, at least one of them has acknowledged it.
func (e EndedIncarnation) HasQuorum(records []WitnessRecord) bool {
	answered := 0
	for _, r := range records {
		if r.IsNamedWitness {
			answered++
		}
	}
	return answered > len(e.Witnesses)-quorum(len(e.Witnesses))
}

// PresumedSpent returns the most that an ended incarnation can have spent, by workspace. If it had witnesses and enough of
// them have answered, that is what its last checkpoint allows without witnesses, or what they remember if that is more; else
// it is all that its limits allow. Reports made before its last checkpoint are covered by that.
func (e EndedIncarnation) PresumedSpent(records []WitnessRecord) map[string]int64 {
	if len(e.Witnesses) == 0 || !e.HasQuorum(records) {
		return e.MaxSpent
	}
	presumed := maps.Clone(e.MaxUnwitnessed)
	for _, r := range records {
		for workspace, s := range r.Reported {
			if r.IsNamedWitness && s.Checkpoint >= e.Sequence {
				presumed[workspace] = max(presumed[workspace], s.Taken)
			}
		}
	}
	return presumed
}
