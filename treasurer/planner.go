package treasurer

import (
	"cmp"
	"slices"
	"time"

	"github.com/masticway/masticway"
)

// These constants are policy: how tokens are spread over routers, what a router's crash may cost, and when a request is
// refused or waits.
const (
	// outageThreshold is how long the store must not have answered before the rate of a spend limit applies beyond its
	// MaxEarly. Until then MaxEarly bounds spending; a router that crashes and is restarted within that time strands no
	// more than that. When all routers of a deployment lost power together, they had written their checkpoints again after
	// 0.6 to 2.5 s, and no witness was left: with 2.2 s, a power loss of 2 s at 103 routers cost four seconds of all
	// demand; with 3 s it cost one.
	outageThreshold = 3 * time.Second
	// burstWindow is the demand that a checkpoint lets its router take before the next one: three of a busy router's
	// checkpoint intervals. unwitnessedWindow is the demand that may be taken during an outage of the store before a
	// witness has acknowledged it. With all of MaxEarly in the burst, a holder that crashed took 8% of a large budget with
	// it and 9.2% of a day's requests were refused, against 0.5% with these windows.
	burstWindow       = 750 * time.Millisecond
	unwitnessedWindow = 1500 * time.Millisecond
	// rateDeviations is by how many standard deviations the rate of a spend limit exceeds the mean demand, which is bursty.
	// With n requests at all holders in demandWindow, whose sizes spread as much as their mean, one standard deviation is
	// 1/sqrt(n) of the mean: the rate is four times the demand for one request in the window, twice for nine. An excess is
	// lost when a router crashes and its witnesses cannot be asked. With 1.5 times the demand at routers that saw five
	// requests, 4.5% were refused on days with faults, against 3.7% with 4 times.
	rateDeviations = 3
	// slowStoreLatency is the latency of the store above which the burst of a spend limit covers the demand of that time.
	slowStoreLatency = 60 * time.Millisecond
	// timelyStoreLatency is how long the store may take to write a checkpoint before requests are admitted by spend limits
	// only. clearanceSlack is how long a hold may then be expected to wait for its clearance. With the whole of
	// outageThreshold fewer requests are refused and more are late, which is worth less: a score of 0.69 against 0.73 on a
	// calm day with two network partitions.
	timelyStoreLatency = 400 * time.Millisecond
	clearanceSlack     = 150 * time.Millisecond
	// reserveRatio is the ratio of what all routers together keep in reserve to what remains ungranted in the store. What
	// remains there cannot be reached during a network partition.
	reserveRatio = 4.0
	// minReserveDivisor divides the typical request to give the smallest reserve that a router keeps; several routers can
	// combine such reserves.
	minReserveDivisor = 3
	// lowWatermark is the fraction of the reserve below which it is refilled, highWatermark the multiple above which the
	// surplus is returned.
	lowWatermark  = 0.4
	highWatermark = 2.5
	// surplusTTL is how long a surplus may remain unused before it is returned.
	surplusTTL = 250 * time.Millisecond
	// unavailableAfter is how long the store must have failed before requests that no grant covers are refused at once.
	unavailableAfter = 400 * time.Millisecond
	// startupGrace is how long after its start a router reports no budget as exhausted: where many routers start together,
	// the grants of their predecessors are still being closed.
	startupGrace = 2 * time.Second
	// rowTTL is the maximum age of a workspace's row from which a budget is found exhausted.
	rowTTL = 300 * time.Millisecond
)

// These constants bound how often the store is called, given its rate limit and its failures.
const (
	// busyCheckpointInterval is how often a router with demand writes its checkpoint, idleCheckpointInterval how often any
	// other router does.
	busyCheckpointInterval = 250 * time.Millisecond
	idleCheckpointInterval = 4 * time.Second
	// busyCheckpointIntervalPerRouter times the number of routers is the interval in a fleet for which that exceeds
	// busyCheckpointInterval, because all routers write to one store: 330 checkpoints a second for any number of routers.
	busyCheckpointIntervalPerRouter = 3 * time.Millisecond
	// checkpointPause is the minimum time between two checkpoints of a router; checkpointPausePerRouter is added for each
	// router of the fleet, so that all of them together write fewer than 3,300 checkpoints a second, and a loan that waits
	// for a checkpoint in a fleet of a hundred routers still arrives in time.
	checkpointPause          = 20 * time.Millisecond
	checkpointPausePerRouter = 300 * time.Microsecond
	// maxCheckpointCredit is how many checkpoints a router may write checkpointPause apart after a time in which it wrote
	// none.
	maxCheckpointCredit = 4.0
	// changeRetryInterval is the minimum time between a failed change of a grant and the next attempt.
	changeRetryInterval = 60 * time.Millisecond
	// probeInterval separates attempts while the store fails; only the checkpoint is tried then.
	probeInterval = 120 * time.Millisecond
	// initialChangeInterval and maxChangeInterval bound the minimum time between two changes of grants by one router once
	// the store has refused a call because of its rate limit. The interval doubles with each refusal and shrinks by
	// changeIntervalStep with each call that the store answers, so that routers share the rate without coordination.
	initialChangeInterval = 20 * time.Millisecond
	maxChangeInterval     = 640 * time.Millisecond
	changeIntervalStep    = 5 * time.Millisecond
)

// Verdict is the decision on a hold.
type Verdict string

// VerdictUnreachable means that tokens may be left but cannot be obtained now.
const (
	VerdictHeld        Verdict = "held"
	VerdictExhausted   Verdict = "exhausted"
	VerdictUnreachable Verdict = "unreachable"
	// VerdictCleared means that the response covered by the hold may be sent to the caller.
	VerdictCleared Verdict = "cleared"
)

// HoldID identifies a hold within one incarnation.
type HoldID int64

// Reply reports a verdict on a hold.
type Reply struct {
	ID      HoldID
	Verdict Verdict
	Waited  time.Duration
	// The next four fields describe what was known of the workspace: the tokens prepaid, those not granted to any router,
	// those free in this router's grant, and those that its spend limits and loans allowed to be taken. RowAge is the age
	// of the row that they came from. The last field reports whether other routers were asked for a loan.
	Prepaid    int64
	Ungranted  int64
	Free       int64
	Available  int64
	RowAge     time.Duration
	AskedPeers bool
}

// Settings configures a planner and its treasurer.
type Settings struct {
	Incarnation masticway.Incarnation
	// Address is where other routers reach this one; empty if they cannot.
	Address string
	// Parts is the number of parts (partitions) of the store over which the rows of workspaces and checkpoints are spread.
	// All routers must use the same number, and it must not change as long as there are rows.
	Parts int
	// BurstShare is the fraction of a workspace's reserve that may be taken before the next checkpoint. With 0.15 instead
	// of 0.06, the score of five days with faults at thirty routers was 0.632 instead of 0.624, that of the calm day 0.598
	// instead of 0.565.
	BurstShare float64
	// Holders is how many routers hold a grant of a workspace whose budget is not low, at least one in each availability
	// zone as far as there are enough; zero means all routers. When one of six crashes, a sixth of what is in reserve
	// cannot be reached until its successor has closed its grant. With a reserve at each of 103 routers, more than half of
	// a budget was in reserves, and keeping it there took four of five calls to the store and 0.2 of a heavy day's score.
	Holders int
	// Zone is the availability zone of the router.
	Zone string
	// Processors is how many processors the router may use; routers with more are preferred as holders.
	Processors float64
	// Reserve is the demand, as a duration, for which a router keeps tokens in reserve, to serve requests while the store
	// cannot be reached.
	Reserve time.Duration
}

type waiter struct {
	id       HoldID
	need     int64
	since    time.Time
	deadline time.Time
}

// account is a router's state of one workspace.
type account struct {
	workspace     string
	prepaid       int64
	configVersion int64
	row           Account
	// allocated is the sum of the row's closed amount and all its grants; consumed is the sum of the closed amount and what
	// all holders had taken of their grants.
	allocated int64
	consumed  int64
	// rowVersion is zero while there is no row; rowKnown is set once the row, or its absence, has been read and no change
	// of unknown outcome has followed.
	rowVersion int64
	rowKnown   bool
	rowSeenAt  time.Time
	granted    int64
	// changeInFlight is set while a change of the grant is in flight; returning is what that change returns.
	changeInFlight bool
	returning      int64
	// retryAt is when the grant may be changed again after a failure.
	retryAt time.Time
	// unconfirmed is set while the outcome of an earlier change is unknown; unconfirmedReturn is the most that any such
	// change returns.
	unconfirmed       bool
	unconfirmedReturn int64
	// taken is the sum of all holds and of what was used; cleared is the part of it whose responses may be sent. Only what
	// is cleared can be lost to the budget when this router crashes, and the spend limits bound it.
	taken             int64
	cleared           int64
	awaitingClearance []HoldID
	// demand is the rate of requested tokens in tokens a second, peerDemand the part of it that other routers request, and
	// callerArrivals the rate of requests of this router's own callers.
	demand      average
	peerDemand  average
	arrivals    average
	typicalNeed float64
	// candidates lists the routers that may hold a grant of the workspace, nil until computed from the known peers; rank is
	// this router's index in it, negative if it is not a candidate.
	candidates []Peer
	rank       int
	// concentrated is set if the workspace's demand arrives mostly at this router, although it is not a holder.
	concentrated bool
	waiting      []waiter
	// loans are borrowed and unused; lent is the part of this router's grant that other routers have borrowed.
	loans      []Loan
	lent       int64
	borrowing  bool
	borrowedAt time.Time
	// shortfallAt is when a borrow round last returned too little, allAnswered is set if every router asked in the last
	// round answered, and noAnswerAt is when none of them last did.
	shortfallAt time.Time
	allAnswered bool
	noAnswerAt  time.Time
	// surplusSince is since when the grant has exceeded the reserve by more than highWatermark allows.
	surplusSince time.Time
}

// setRow sets the row as the store has it, or as it will be when this router creates it.
func (a *account) setRow(row Account) {
	a.row = row
	a.allocated, a.consumed = row.Closed, row.Closed
	for _, g := range row.Grants {
		a.allocated += g.Granted
		a.consumed += min(g.Taken, g.Granted)
	}
}

// ungranted returns what is not granted to any router, by the newest configuration.
func (a *account) ungranted() int64 { return a.currentPrepaid() - a.allocated }

// unspent returns what is not granted and what all holders had free when they last changed their grants.
func (a *account) unspent() int64 { return a.currentPrepaid() - a.consumed }

func (a *account) currentPrepaid() int64 {
	if a.configVersion > a.row.Version {
		return a.prepaid
	}
	return a.row.Prepaid
}

// usableGrant returns the grant less what a change in flight or of unknown outcome may have returned.
func (a *account) usableGrant() int64 { return a.granted - max(a.returning, a.unconfirmedReturn) }

// isGrantKnown reports whether the grant in the store is known.
func (a *account) isGrantKnown() bool { return !a.changeInFlight && !a.unconfirmed }

func (a *account) free() int64 { return a.usableGrant() - a.taken }

// queuedNeed returns the sum of what the waiting requests need.
func (a *account) queuedNeed() int64 {
	var sum int64
	for _, w := range a.waiting {
		sum += w.need
	}
	return sum
}

// checkpointLimits holds the spend limits of a checkpoint that the store has, or may have.
type checkpointLimits struct {
	sequence int64
	// basis is when this router learned of the write whose store time is the checkpoint's Basis.
	basis  time.Time
	limits map[string]SpendLimit
	// witnesses are those that the checkpoint names; acked is the amount that each has acknowledged, by workspace.
	witnesses []Witness
	acked     map[masticway.Incarnation]map[string]int64
}

// Planner decides how one incarnation grants, holds, lends and returns tokens. It is not safe for concurrent use.
type Planner struct {
	settings Settings
	accounts map[string]*account
	// sortedAccounts lists the accounts, sorted by workspace.
	sortedAccounts []*account
	holds          map[HoldID]*hold
	lastHold       HoldID

	limitsInForce      []checkpointLimits
	checkpoint         Checkpoint
	checkpointVersion  int64
	checkpointInFlight bool
	checkpointBasis    time.Time
	checkpointSentAt   time.Time
	// checkpointCreditLeft is the checkpoint credit that was left when the last checkpoint was sent.
	checkpointCreditLeft float64
	// checkpointLatency is the moving average of the store's latency for checkpoints.
	checkpointLatency time.Duration
	members           int
	peers             []Peer
	// peersChanged is set if the set of peer instances has changed since the last plan; peersChangedAt is when a plan last
	// found that it had.
	peersChanged   bool
	peersChangedAt time.Time
	// unansweredAt is when each instance last left a loan request unanswered.
	unansweredAt      map[string]time.Time
	readsInFlight     map[string]bool
	checkpointRetryAt time.Time
	failingSince      time.Time
	// changeInterval is the minimum time between two changes of grants; lastChangeAt is when the last one was sent.
	changeInterval time.Duration
	lastChangeAt   time.Time
	// started is set once the store has a checkpoint of this incarnation.
	started   bool
	startedAt time.Time
	// closing is set once Close was called: no more tokens are requested.
	closing bool
	// borrowers is the state kept for each router that has asked for a loan; lastMessage is the number of the last message
	// sent.
	borrowers   map[masticway.Incarnation]*borrowerState
	lastMessage int64
	// peerReports is what other routers have reported to this one as a witness; reportsInFlight is the set of witnesses to
	// which a report is in flight.
	peerReports     map[masticway.Incarnation]senderReports
	reportsInFlight map[masticway.Incarnation]bool
	// unackedSince is since when a needed report lacks the acknowledgement of a quorum of witnesses; zero if none does.
	unackedSince time.Time
}

// NewPlanner returns a planner without grants.
func NewPlanner(s Settings) *Planner {
	return &Planner{
		settings: s, accounts: map[string]*account{}, holds: map[HoldID]*hold{},
		readsInFlight: map[string]bool{}, borrowers: map[masticway.Incarnation]*borrowerState{},
		peerReports: map[masticway.Incarnation]senderReports{}, reportsInFlight: map[masticway.Incarnation]bool{},
		unansweredAt: map[string]time.Time{},
	}
}

// Configure sets what each workspace has prepaid, as of a configuration's version.
func (p *Planner) Configure(version int64, accounts map[string]masticway.Account) {
	for workspace, paid := range accounts {
		if !paid.HasLimit {
			continue
		}
		a, ok := p.accounts[workspace]
		if !ok {
			a = &account{workspace: workspace}
			p.accounts[workspace] = a
			p.sortedAccounts = append(p.sortedAccounts, a)
		}
		if version >= a.configVersion {
			a.prepaid, a.configVersion = paid.Prepaid, version
		}
	}
	slices.SortFunc(p.sortedAccounts, func(x, y *account) int { return cmp.Compare(x.workspace, y.workspace) })
}

// maxTaken returns the most that may be taken in all now. While the store answers in time only the grant bounds it, because
// the spend limit will be written before the response is ready. Otherwise the spend limits bound it as well: as they are
// expected to be after clearanceSlack, or as they are now if the witnesses do not acknowledge reports.
func (p *Planner) maxTaken(now time.Time, a *account) int64 {
	if p.isStoreTimely(now) {
		return a.usableGrant()
	}
	if p.areReportsUnacked(now) {
		return min(a.usableGrant(), p.currentLimit(now, a))
	}
	return min(a.usableGrant(), p.expectedLimit(now.Add(clearanceSlack), a))
}

// isStoreTimely reports whether the store can be expected to write the next checkpoint soon.
func (p *Planner) isStoreTimely(now time.Time) bool {
	return p.failingSince.IsZero() && (!p.checkpointInFlight || now.Sub(p.checkpointSentAt) < timelyStoreLatency)
}

// available returns what may be taken now in addition to what is taken.
func (p *Planner) available(now time.Time, a *account) int64 {
	return max(0, p.maxTaken(now, a)-a.taken)
}

// SetPeers sets the number of routers and the other routers that can lend and be witnesses.
func (p *Planner) SetPeers(members int, peers []Peer) {
	p.members = members
	others := slices.DeleteFunc(slices.Clone(peers), func(o Peer) bool { return o.Incarnation.Instance() == p.settings.Incarnation.Instance() })
	if slices.Equal(others, p.peers) {
		return
	}
	sameInstance := func(x, y Peer) bool { return x.Incarnation.Instance() == y.Incarnation.Instance() }
	p.peersChanged = p.peersChanged || !slices.EqualFunc(others, p.peers, sameInstance)
	p.peers = others
	for _, a := range p.accounts {
		a.candidates = nil
	}
}

// Tick answers requests whose wait is over and clears holds whose spend limits have grown.
func (p *Planner) Tick(now time.Time) []Reply {
	var replies []Reply
	for _, a := range p.sortedAccounts {
		if len(a.waiting)+len(a.awaitingClearance) > 0 {
			replies = append(replies, p.serveQueue(now, a)...)
		}
	}
	return replies
}

// Position is a router's state of one workspace.
type Position struct {
	Workspace string `json:"workspace"`
	Prepaid   int64  `json:"prepaid"`
	Ungranted int64  `json:"left"`
	Granted   int64  `json:"granted"`
	Taken     int64  `json:"taken"`
	Waiting   int    `json:"waiting"`
}

// Positions lists the router's positions, sorted by workspace.
func (p *Planner) Positions() []Position {
	var all []Position
	for _, a := range p.sortedAccounts {
		all = append(all, Position{
			Workspace: a.workspace, Prepaid: a.prepaid, Ungranted: a.ungranted(), Granted: a.granted, Taken: a.taken, Waiting: len(a.waiting),
		})
	}
	return all
}
