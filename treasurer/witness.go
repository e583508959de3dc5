package treasurer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/masticway/masticway"
)

const (
	// maxWitnesses is how many other routers a book names. While the store is silent most of them have to have taken a
	// statement before more goes out than the book says, so that a successor needs to ask only some: of three, two each.
	// With two, of which one had to hear and both to be asked, a router that was restarted in a cut while another one was
	// cost its workspace 10% of a budget.
	maxWitnesses = 3
	// unackedTimeout is how long most witnesses may leave a statement without an answer before requests are admitted only by
	// what they have heard: two statements that time out, after which callers would wait for nothing.
	unackedTimeout = 300 * time.Millisecond
)

// Witness is a router that remembers what another one states while the store is silent.
type Witness struct {
	Incarnation masticway.Incarnation `json:"incarnation"`
	Address     string                `json:"address"`
}

// Statement is the most that its issuer has taken, by workspace, where that is more than its book says.
type Statement struct {
	Issuer masticway.Incarnation `cbor:"1,keyasint"`
	// Witness is whom it is for; another incarnation on the instance has not seen the ones before and takes none.
	Witness masticway.Incarnation `cbor:"2,keyasint"`
	// Oldest and Newest are the books that may be the issuer's last when it dies now.
	Oldest int64            `cbor:"3,keyasint"`
	Newest int64            `cbor:"4,keyasint"`
	Taken  map[string]int64 `cbor:"5,keyasint"`
	// Address is where the witness is reached; it is not told.
	Address string `cbor:"-"`
}

// Stated is one workspace's part of a statement, and the newest book when it was made: a later book says the same itself.
type Stated struct {
	Taken int64 `cbor:"1,keyasint"`
	Book  int64 `cbor:"2,keyasint"`
}

// Recollection is what a witness remembers of an ended incarnation; Same tells that it is the witness that was named.
type Recollection struct {
	Same   bool              `cbor:"1,keyasint"`
	Stated map[string]Stated `cbor:"2,keyasint"`
}

// issuerReports is what a witness remembers of one issuer.
type issuerReports struct {
	reported map[string]Stated
	// ended tells that a successor has asked; what the issuer states from then on is refused.
	ended bool
}

// AcceptReport takes another router's statement; it returns false when the issuer has ended or means another witness.
func (p *Planner) AcceptReport(s Statement) bool {
	known := p.peerReports[s.Issuer]
	if s.Witness != p.settings.Incarnation || known.ended {
		return false
	}
	if known.reported == nil {
		known.reported = map[string]Stated{}
	}
	maps.DeleteFunc(known.reported, func(_ string, old Stated) bool { return old.Book < s.Oldest })
	for workspace, taken := range s.Taken {
		// One that was overtaken on the way must not make the newer one look as old as itself.
		old := known.reported[workspace]
		known.reported[workspace] = Stated{Taken: max(taken, old.Taken), Book: max(s.Newest, old.Book)}
	}
	p.peerReports[s.Issuer] = known
	return true
}

// FinalReports tells a successor what an ended incarnation has stated to a witness, and takes no statement of it any more.
func (p *Planner) FinalReports(witness, ended masticway.Incarnation) Recollection {
	if witness != p.settings.Incarnation {
		return Recollection{}
	}
	known := p.peerReports[ended]
	known.ended = true
	p.peerReports[ended] = known
	return Recollection{Same: true, Stated: maps.Clone(known.reported)}
}

// chooseWitnesses names the routers that follow this one in their order, which spreads the work evenly.
func (p *Planner) chooseWitnesses() []Witness {
	var others []Witness
	for _, o := range p.peers {
		others = append(others, o.Witness)
	}
	slices.SortFunc(others, func(x, y Witness) int { return compareCircular(p.settings.Incarnation, x.Incarnation, y.Incarnation) })
	return others[:min(len(others), maxWitnesses)]
}

// compareCircular orders incarnations in a circle that begins behind one of them.
func compareCircular(begin, x, y masticway.Incarnation) int {
	if (x > begin) != (y > begin) {
		if x > begin {
			return -1
		}
		return 1
	}
	return cmp.Compare(x, y)
}

// isCheckpointLate tells that the store does not take the book as it usually does, so that what waits for it goes to the witnesses.
func (p *Planner) isCheckpointLate(now time.Time) bool {
	return !p.failingSince.IsZero() || p.checkpointInFlight && now.Sub(p.checkpointSentAt) > slowStoreLatency
}

// unclearedTaken is the most that has been taken of each workspace for which an answer waits for a promise.
func (p *Planner) unclearedTaken(now time.Time) map[string]int64 {
	taken := map[string]int64{}
	for workspace, a := range p.accounts {
		stated := min(a.taken, p.expectedLimit(now, a))
		if len(a.awaitingClearance) > 0 && stated > p.currentLimit(now, a) {
			taken[workspace] = stated
		}
	}
	return taken
}

// DueReports returns what to tell the witnesses now: what waits for a promise that the silent store cannot take.
func (p *Planner) DueReports(now time.Time) []Statement {
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
	var due []Statement
	for _, w := range p.currentWitnesses() {
		if p.reportsInFlight[w.Incarnation] {
			continue
		}
		p.reportsInFlight[w.Incarnation] = true
		due = append(due, Statement{
			Issuer: p.settings.Incarnation, Witness: w.Incarnation, Address: w.Address,
			Oldest: p.limitsInForce[0].sequence, Newest: p.checkpoint.Sequence, Taken: taken,
		})
	}
	return due
}

// currentWitnesses lists the witnesses of all books that the store may have.
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

// CompleteReport notes whether a witness has taken a statement, and returns the requests that this answers.
func (p *Planner) CompleteReport(now time.Time, s Statement, taken bool) []Reply {
	delete(p.reportsInFlight, s.Witness)
	if !taken {
		return nil
	}
	for _, f := range p.limitsInForce {
		// A book that was sent after the statement was made is not one that it speaks of.
		if f.sequence <= s.Newest {
			f.recordAck(s)
		}
	}
	if p.isAcked(now, s) {
		p.unackedSince = time.Time{}
	}
	return p.Tick(now)
}

// recordAck notes what a witness of the book has taken.
func (f checkpointLimits) recordAck(s Statement) {
	if !slices.ContainsFunc(f.witnesses, func(w Witness) bool { return w.Incarnation == s.Witness }) {
		return
	}
	known, ok := f.acked[s.Witness]
	if !ok {
		known = map[string]int64{}
		f.acked[s.Witness] = known
	}
	for workspace, amount := range s.Taken {
		known[workspace] = max(known[workspace], amount)
	}
}

// quorumTaken is what most witnesses of the book have heard of a workspace.
func (f checkpointLimits) quorumTaken(workspace string) int64 {
	var heard []int64
	for _, known := range f.acked {
		heard = append(heard, known[workspace])
	}
	most := quorum(len(f.witnesses))
	if len(heard) < most {
		return 0
	}
	slices.Sort(heard)
	return heard[len(heard)-most]
}

// quorum is how many of a book's witnesses have to hear of something before it may go out.
func quorum(named int) int { return named/2 + 1 }

// isAcked tells that enough witnesses have heard of all that a statement says.
func (p *Planner) isAcked(now time.Time, s Statement) bool {
	for workspace, amount := range s.Taken {
		if a, ok := p.accounts[workspace]; ok && p.currentLimit(now, a) < amount {
			return false
		}
	}
	return true
}

// areReportsUnacked tells that most witnesses have not answered a statement for a while.
func (p *Planner) areReportsUnacked(now time.Time) bool {
	return !p.unackedSince.IsZero() && now.Sub(p.unackedSince) > unackedTimeout
}

// HasQuorum tells that so many of the named witnesses have answered that one of them has heard of whatever went out.
func (e EndedIncarnation) HasQuorum(recalled []Recollection) bool {
	same := 0
	for _, r := range recalled {
		if r.Same {
			same++
		}
	}
	return same > len(e.Witnesses)-quorum(len(e.Witnesses))
}

// PresumedSpent returns the most that an ended incarnation has taken, by workspace: what its last book says and its witnesses
// remember, once enough of these have been asked. What they remember of books before its last one is in that book.
func (e EndedIncarnation) PresumedSpent(recalled []Recollection) map[string]int64 {
	if len(e.Witnesses) == 0 || !e.HasQuorum(recalled) {
		return e.MaxSpent
	}
	known := maps.Clone(e.MaxUnwitnessed)
	for _, r := range recalled {
		for workspace, s := range r.Stated {
			if r.Same && s.Book >= e.Sequence {
				known[workspace] = max(known[workspace], s.Taken)
			}
		}
	}
	return known
}
