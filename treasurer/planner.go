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
	// outageThreshold is how long after a checkpoint's Basis its spend limits begin to allow more by their rate than
	// MaxEarly. A router that crashes and is restarted within that time loses no more than the larger of MaxEarly and Burst.
	// When all routers of a deployment lost power together, they had written their checkpoints again after 0.6 to 2.5 s, and
	// no witness was left: with 2.2 s, a power loss of 2 s at 103 routers cost four seconds of all demand; with 3 s it cost
	// one.
	outageThreshold = 3 * time.Second
	// burstWindow is the demand, as a duration, that a checkpoint allows to be used at once unless the store is slow or other
	// routers borrow: three of a busy router's checkpoint intervals. unwitnessedWindow is the demand, as a duration, that at
	// least may be used during an outage of the store before witnesses have acknowledged it. MaxEarly bounds both. With all
	// of MaxEarly in the burst, a holder that crashed took 8% of a large budget with it and 9.2% of a day's requests were
	// refused, against 0.5% with these windows.
	burstWindow       = 750 * time.Millisecond
	unwitnessedWindow = 1500 * time.Millisecond
	// rateDeviations is by how many standard deviations the rate of a spend limit exceeds the mean demand, which is bursty.
	// With n requests in demandWindow (at all holders of the workspace, if this router is one), whose sizes spread as much as
	// their mean, one standard deviation is 1/sqrt(n) of the mean: the rate is four times the demand for one request in the
	// window, twice for nine. An excess is lost when a router crashes and its witnesses cannot be asked. With 1.5 times the
	// demand at routers that saw five requests, 4.5% were refused on days with faults, against 3.7% with 4 times.
	rateDeviations = 3
	// slowStoreLatency is the latency of checkpoints from which on the burst of a spend limit covers twice the demand of that
	// latency. A checkpoint that is in flight for longer is late: what waits for it is reported to witnesses.
	slowStoreLatency = 60 * time.Millisecond
	// timelyStoreLatency is how long a checkpoint may be in flight before requests are admitted only within the spend limits,
	// as these will be after clearanceSlack: a hold may then be expected to wait that long for its clearance. With
	// outageThreshold as clearanceSlack fewer requests are refused and more are late, which is worth less: a score of 0.69
	// against 0.73 (higher is better) on a calm day with two network partitions.
	timelyStoreLatency = 400 * time.Millisecond
	clearanceSlack     = 150 * time.Millisecond
	// reserveRatio is the ratio of what all routers together keep in reserve to what remains ungranted in the store. What
	// remains there cannot be reached during a network partition.
	reserveRatio = 4.0
	// minReserveDivisor divides the typical request's need to give the smallest reserve that a router keeps; several routers
	// can combine such reserves.
	minReserveDivisor = 3
	// lowWatermark and highWatermark are multiples of a router's reserve of a workspace. If fewer tokens than lowWatermark
	// times the reserve are free, the grant grows until the reserve is free. If more than highWatermark times the reserve are
	// free for surplusTTL, what exceeds the reserve is returned.
	lowWatermark  = 0.4
	highWatermark = 2.5
	// surplusTTL is how long a surplus must have remained unused before it is returned.
	surplusTTL = 250 * time.Millisecond
	// unavailableAfter is how long the store must have failed before requests that neither the grant nor loans cover are
	// refused at once. A router that borrows from holders lets them wait until their deadlines.
	unavailableAfter = 400 * time.Millisecond
	// startupGrace is how long after its start a router reports no budget as exhausted: where many routers start together,
	// the grants of their predecessors are still being closed. For the same time after its start, or after a change of its
	// peers, it draws no reserve of a workspace without demand.
	startupGrace = 2 * time.Second
	// rowTTL is the maximum age of a workspace's row from which a budget is found exhausted, unless the row was read after
	// the request arrived.
	rowTTL = 300 * time.Millisecond
)

// These constants bound how often the store is called, given its rate limit and its failures.
const (
	// busyCheckpointInterval is how often a router with grants and demand for them writes its checkpoint even if it has taken
	// no more than its spend limits cover, idleCheckpointInterval how often any other router does.
	busyCheckpointInterval = 250 * time.Millisecond
	idleCheckpointInterval = 4 * time.Second
	// busyCheckpointIntervalPerRouter times the number of routers replaces busyCheckpointInterval in a fleet for which it is
	// longer, because all routers write to one store: such fleets write about 330 checkpoints a second, whatever their size.
	busyCheckpointIntervalPerRouter = 3 * time.Millisecond
	// checkpointPause is the minimum time between two checkpoints of a router. checkpointPausePerRouter times the number of
	// routers is added to it for the minimum average time, so that all of them together write about 3,300 checkpoints a
	// second at most, and a loan that waits for a checkpoint in a fleet of a hundred routers still arrives in time.
	checkpointPause          = 20 * time.Millisecond
	checkpointPausePerRouter = 300 * time.Microsecond
	// maxCheckpointCredit is how many checkpoints a router may write checkpointPause apart after a time in which it wrote
	// none.
	maxCheckpointCredit = 4.0
	// changeRetryInterval is the minimum time between a change of a grant that failed, other than by a conflict, and the next
	// attempt.
	changeRetryInterval = 60 * time.Millisecond
	// probeInterval separates attempts to write the checkpoint while the store fails. The planner asks for no other store
	// call then.
	probeInterval = 120 * time.Millisecond
	// The minimum time between two changes of grants by one router is zero until the store refuses a call because of its rate
	// limit. It is then initialChangeInterval, doubles with each further refusal up to maxChangeInterval, and shrinks by
	// changeIntervalStep with each call that the store answers, so that routers share the rate without coordination.
	initialChangeInterval = 20 * time.Millisecond
	maxChangeInterval     = 640 * time.Millisecond
	changeIntervalStep    = 5 * time.Millisecond
)

// Verdict is the decision on a request for tokens, or VerdictCleared for a hold.
type Verdict string

const (
	// VerdictHeld means that the tokens are reserved.
	VerdictHeld Verdict = "held"
	// VerdictExhausted means that too little of the budget is left for the request.
	VerdictExhausted Verdict = "exhausted"
	// VerdictUnreachable means that tokens may be left but cannot be obtained now, that the context was done before, or
	// that the workspace has no budget.
	VerdictUnreachable Verdict = "unreachable"
	// VerdictCleared means that the response covered by the hold may be sent to the caller.
	VerdictCleared Verdict = "cleared"
)

// HoldID identifies a hold, or the request for one, within one incarnation.
type HoldID int64

// Reply reports a verdict on a hold. A reply with VerdictCleared, or for a workspace without a budget, has only the first two
// fields.
type Reply struct {
	ID      HoldID
	Verdict Verdict
	// Waited is how long the request waited for the verdict.
	Waited time.Duration
	// Prepaid and Ungranted are what was known of the workspace's budget: all of it, and what was not granted to any router.
	Prepaid   int64
	Ungranted int64
	// Free is what was left of this router's grant after the verdict, Available what it could take at once of that and of
	// its loans.
	Free      int64
	Available int64
	// RowAge is the age of the workspace's row that Ungranted came from.
	RowAge time.Duration
	// AskedPeers is set if other routers were asked for a loan after the request had arrived.
	AskedPeers bool
}

// Settings configures a planner and its treasurer.
type Settings struct {
	Incarnation masticway.Incarnation
	// Address is where other routers reach this one; empty if they cannot.
	Address string
	// Parts is the number of parts (partitions) over which the rows of each table are spread, except for presences, which
	// have one part. All routers must use the same number, and it must not change while there are rows.
	Parts int
	// EarlyShare bounds SpendLimit.MaxEarly: it is the fraction of a router's reserve of a workspace that may be used before
	// the store has not answered for outageThreshold. With 0.15 instead of 0.06, the score (higher is better) of five days
	// with faults at thirty routers was 0.632 instead of 0.624, that of the calm day 0.598 instead of 0.565.
	EarlyShare float64
	// Holders is the minimum number of routers that hold a grant of a workspace whose budget is not low; zero means all
	// routers. Each availability zone contributes equally many as far as it has them, so there are more if the number of
	// zones does not divide it. When one of six crashes, a sixth of what is in reserve cannot be reached until its successor
	// has closed its grant. With a reserve at each of 103 routers, more than half of a budget was in reserves, and keeping it
	// there took four of five calls to the store and 0.2 of a heavy day's score.
	Holders int
	// Zone is the availability zone of the router.
	Zone string
	// Processors is how many processors the router may use; routers with more are preferred as holders.
	Processors float64
	// Reserve is the demand, as a duration, for which a router keeps tokens in reserve if the budget allows, to serve
	// requests while the store cannot be reached.
	Reserve time.Duration
}

// waiter is a request that waits for tokens.
type waiter struct {
	id       HoldID
	need     int64
	since    time.Time
	deadline time.Time
}

// account is a router's state of one workspace. Amounts are in tokens.
type account struct {
	workspace     string
	prepaid       int64
	configVersion int64
	row           Account
	// allocated is the sum of the row's closed amount and all its grants; consumed is the sum of the closed amount and what
	// each holder had taken of its grant when it last changed it.
	allocated int64
	consumed  int64
	// rowVersion is zero while there is no row. rowKnown is set while the row, or its absence, is known: it is cleared by a
	// change of unknown outcome. rowSeenAt is when the row was last known to be current.
	rowVersion int64
	rowKnown   bool
	rowSeenAt  time.Time
	// granted is this incarnation's grant according to the row.
	granted int64
	// changeInFlight is set while a change of the grant is in flight; returning is what that change returns.
	changeInFlight bool
	returning      int64
	// retryAt is when the grant may be changed again after a failure.
	retryAt time.Time
	// unconfirmed is set while the outcome of an earlier change is unknown; unconfirmedReturn is the most that any such
	// change returns.
	unconfirmed       bool
	unconfirmedReturn int64
	// taken is the sum of what is held of the grant, was used of it, and is lent. cleared is the part of it whose responses
	// may be sent, or that was lent. Only cleared tokens can have been used when this router crashes, and the spend limits
	// bound them.
	taken             int64
	cleared           int64
	awaitingClearance []HoldID
	// demand is the rate of requested tokens in tokens a second, peerDemand the part of it that other routers request as
	// loans, and arrivals the rate of requests of this router's own callers in requests a second. typicalNeed is a moving
	// average of the tokens that one request needs.
	demand      average
	peerDemand  average
	arrivals    average
	typicalNeed float64
	// candidates lists the routers that may hold a grant of the workspace, nil until computed from the known peers; rank is
	// this router's index in it, negative if it is not a candidate.
	candidates []Peer
	rank       int
	// concentrated is set if the workspace's demand is concentrated at this router, which is no candidate
	// (updateConcentration).
	concentrated bool
	// waiting is the queue of requests.
	waiting []waiter
	// loans are borrowed and unused; lent is the part of this router's grant that other routers have borrowed and not repaid.
	// borrowing is set during a borrow round, and borrowedAt is when the last one ended.
	loans      []Loan
	lent       int64
	borrowing  bool
	borrowedAt time.Time
	// shortfallAt is when a borrow round last returned too little, and noAnswerAt when a round last ended in which all
	// lenders left the request unanswered. allAnswered is set if every router asked in the last round answered.
	shortfallAt time.Time
	allAnswered bool
	noAnswerAt  time.Time
	// surplusSince is since when more has been free than highWatermark allows; zero if it is not.
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

// ungranted returns what is not granted to any router, by the newest configuration. It is negative after a budget was lowered
// below that.
func (a *account) ungranted() int64 { return a.currentPrepaid() - a.allocated }

// unspent returns what is not granted plus what all holders had free when they last changed their grants.
func (a *account) unspent() int64 { return a.currentPrepaid() - a.consumed }

// currentPrepaid returns the prepaid amount of the newest configuration that this router or the row has.
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

// free returns what is not taken of the usable grant.
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
	// witnesses are those that the checkpoint names; acked has, for each of them, the amounts that it has acknowledged, by
	// workspace.
	witnesses []Witness
	acked     map[masticway.Incarnation]map[string]int64
}

// Planner decides how one incarnation draws grants, holds, borrows, lends and returns tokens. It is not safe for concurrent
// use.
type Planner struct {
	settings Settings
	accounts map[string]*account
	// sortedAccounts lists the accounts, sorted by workspace.
	sortedAccounts []*account
	holds          map[HoldID]*hold
	lastHold       HoldID

	// limitsInForce has the spend limits of the last checkpoint that the store certainly has, then those of each later one
	// that it may have.
	limitsInForce []checkpointLimits
	// checkpoint is the last one sent; checkpointVersion and checkpointBasis belong to the last one that the store is known
	// to have.
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
	// peersChanged is set if the set of peer instances has changed since the last plan; peersChangedAt is the time of the
	// last plan that found it set.
	peersChanged   bool
	peersChangedAt time.Time
	// unansweredAt is when each instance last left a loan request unanswered.
	unansweredAt map[string]time.Time
	// readsInFlight is the set of parts that are being read.
	readsInFlight     map[string]bool
	checkpointRetryAt time.Time
	// failingSince is when the first call was sent that the store has failed since it last answered; zero if none.
	failingSince time.Time
	// changeInterval is the minimum time between two changes of grants; lastChangeAt is when the last one was sent.
	changeInterval time.Duration
	lastChangeAt   time.Time
	// started is set once the store has a checkpoint of this incarnation.
	started   bool
	startedAt time.Time
	// closing is set once Close was called: grants only shrink and nothing is lent any more.
	closing bool
	// borrowers is the state kept for each router that has asked for a loan; lastMessage is the number of this router's last
	// borrow round or repayment.
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

// Configure sets what workspaces have prepaid, as of a configuration's version. It ignores accounts without a limit, and
// amounts that are older than the known ones.
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

// maxTaken returns the most of its grant that the router may have taken now. While the store answers in time only the grant
// bounds it, because a checkpoint that covers it is expected before the response is ready. Otherwise the spend limits bound
// it as well: as they are expected to be after clearanceSlack, or as they are now if the witnesses do not acknowledge
// reports.
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

// SetPeers sets the number of routers and the other routers that can lend and be witnesses. Peers on this router's own
// instance are left out.
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

// ServeQueues answers the requests of all workspaces that have the tokens they wait for or need not wait any longer, and
// clears holds that the spend limits now cover.
func (p *Planner) ServeQueues(now time.Time) []Reply {
	var replies []Reply
	for _, a := range p.sortedAccounts {
		if len(a.waiting)+len(a.awaitingClearance) > 0 {
			replies = append(replies, p.serveQueue(now, a)...)
		}
	}
	return replies
}

// AccountState is a router's state of one workspace, for tests.
type AccountState struct {
	Workspace string `json:"workspace"`
	Prepaid   int64  `json:"prepaid"`
	Ungranted int64  `json:"left"`
	Granted   int64  `json:"granted"`
	Taken     int64  `json:"taken"`
	Waiting   int    `json:"waiting"`
}

// AccountStates lists the state of each workspace, sorted by workspace.
func (p *Planner) AccountStates() []AccountState {
	var all []AccountState
	for _, a := range p.sortedAccounts {
		all = append(all, AccountState{
			Workspace: a.workspace, Prepaid: a.prepaid, Ungranted: a.ungranted(), Granted: a.granted, Taken: a.taken, Waiting: len(a.waiting),
		})
	}
	return all
}
