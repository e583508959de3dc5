package treasurer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/masticway/masticway"
)

// These constants are policy: how tokens are spread over routers, what a router's crash may cost, and when a request is
// refused or waits.
const (
	// outageThreshold is how long after a checkpoint's Basis MaxEarly bounds what the rate of its spend limits allows. A
	// router that crashes and is restarted within that time loses no more than the larger of MaxEarly and Burst. When all
	// routers of a deployment lost power together, they had written their checkpoints again after 0.6 to 2.5 s, and no
	// witness was left. With a threshold of 2.2 s, a power loss of 2 s at 103 routers cost four seconds of all demand; with
	// 3 s it cost one.
	outageThreshold = 3 * time.Second
	// burstWindow is the demand, as a duration, that the burst of a spend limit covers unless the store is slow or other
	// routers borrow. It is three of a busy router's checkpoint intervals. unwitnessedWindow is the demand, as a duration,
	// that a router may clear at least without the acknowledgement of witnesses. MaxEarly bounds both. With all of MaxEarly
	// in the burst, a holder that crashed took 8% of a large budget with it. In that case, 9.2% of a day's requests were
	// refused, against 0.5% with these windows.
	burstWindow       = 750 * time.Millisecond
	unwitnessedWindow = 1500 * time.Millisecond
	// rateDeviations is by how many standard deviations the rate of a spend limit exceeds the mean demand, because demand is
	// bursty. One standard deviation is 1/sqrt(n) of the mean for n requests in demandWindow if their sizes spread as much
	// as their mean. So the rate is four times the demand for one request in the window, and twice for nine. At a holder, n
	// counts the requests at all holders of the workspace. What the rate allows beyond the demand is lost when a router
	// crashes and its witnesses cannot be asked. With 1.5 times the demand at routers that saw five requests, 4.5% were
	// refused on days with faults, against 3.7% with 4 times.
	rateDeviations = 3
	// slowStoreLatency is the mean latency of checkpoints from which on the burst of a spend limit covers at least twice the
	// demand of that latency. A checkpoint that is in flight for longer than slowStoreLatency is late: what waits for it is
	// reported to witnesses.
	slowStoreLatency = 60 * time.Millisecond
	// timelyStoreLatency is how long a checkpoint may be in flight before requests are held only within the spend limits.
	// The limits then count as they will be after clearanceSlack, so a hold may have to wait that long for its clearance.
	// With outageThreshold as clearanceSlack fewer requests are refused and more are late, which is worth less: a score of
	// 0.69 against 0.73 (higher is better) on a calm day with two network partitions.
	timelyStoreLatency = 400 * time.Millisecond
	clearanceSlack     = 150 * time.Millisecond
	// reserveRatio is the target ratio of what all routers together keep in reserve to what remains ungranted in the store.
	// What is ungranted cannot be reached during a network partition.
	reserveRatio = 4.0
	// minReserveDivisor is the divisor of a typical request's need for the smallest reserve that a router keeps. Several
	// routers can combine reserves of this size by lending.
	minReserveDivisor = 3
	// lowWatermark and highWatermark are multiples of a router's reserve of a workspace. If less than lowWatermark times the
	// reserve is free, the grant grows until the whole reserve is free. If more than highWatermark times the reserve is free
	// for surplusTTL, the router returns what exceeds the reserve.
	lowWatermark  = 0.4
	highWatermark = 2.5
	// surplusTTL is how long a surplus must have lasted before it is returned (see highWatermark).
	surplusTTL = 250 * time.Millisecond
	// unavailableAfter is how long the store must have failed before a router refuses at once what neither its grant nor its
	// loans cover. A router that borrows from holders does not: it lets requests wait until their deadlines.
	unavailableAfter = 400 * time.Millisecond
	// startupGrace is how long after its start a router reports no budget as exhausted. If many routers start together, the
	// grants of their predecessors are still being closed during this time. For as long after its start, or after a change
	// of its peers, a router draws no reserve of a workspace without demand.
	startupGrace = 2 * time.Second
	// rowTTL is the maximum age of a workspace's row for a verdict that the budget is exhausted. A row that was read after
	// the request arrived may be older.
	rowTTL = 300 * time.Millisecond
)

// These constants bound how often the store is called, given its rate limit and its failures.
const (
	// busyCheckpointInterval is how often a router that has a grant and demand for it writes its checkpoint even if its
	// spend limits cover all that it has taken. idleCheckpointInterval is how often any other router does.
	busyCheckpointInterval = 250 * time.Millisecond
	idleCheckpointInterval = 4 * time.Second
	// busyCheckpointIntervalPerRouter times the number of routers replaces busyCheckpointInterval if it is longer, because
	// all routers write to one store. Fleets of such a size write about 330 checkpoints a second, whatever their size.
	busyCheckpointIntervalPerRouter = 3 * time.Millisecond
	// checkpointPause is the minimum time between two checkpoints of a router. The minimum average time is checkpointPause
	// plus checkpointPausePerRouter times the number of routers. All routers together therefore write at most about 3,300
	// checkpoints a second. In a fleet of a hundred routers, a loan that waits for a checkpoint still arrives in time.
	checkpointPause          = 20 * time.Millisecond
	checkpointPausePerRouter = 300 * time.Microsecond
	// maxCheckpointCredit is the maximum number of checkpoints that a router may write in a row only checkpointPause apart.
	// The credit for this grows while the router writes no checkpoints.
	maxCheckpointCredit = 4.0
	// changeRetryInterval is the minimum time after a failed change of a workspace's grant until the next change of that
	// grant. It does not apply after a conflict.
	changeRetryInterval = 60 * time.Millisecond
	// probeInterval is the time after a failed write of the checkpoint until the next attempt. While the store fails, the
	// planner makes no other store call.
	probeInterval = 120 * time.Millisecond
	// These constants govern the minimum time between two changes of grants by one router. It is zero until the store
	// refuses a call because of its rate limit. Then it is initialChangeInterval, and each further refusal doubles it, up to
	// maxChangeInterval. Each call that the store answers shortens it by changeIntervalStep. In this way the routers share
	// the rate without coordination.
	initialChangeInterval = 20 * time.Millisecond
	maxChangeInterval     = 640 * time.Millisecond
	changeIntervalStep    = 5 * time.Millisecond
	// rejectedRetryInterval is the time after a write that the store has rejected until the next attempt.
	rejectedRetryInterval = 5 * time.Second
)

// Verdict is the decision on a request for tokens. VerdictCleared is the only one that concerns a hold instead.
type Verdict string

const (
	// VerdictHeld means that the tokens are reserved.
	VerdictHeld Verdict = "held"
	// VerdictExhausted means that too little of the budget is left for the request.
	VerdictExhausted Verdict = "exhausted"
	// VerdictUnreachable means that tokens may be left but cannot be obtained in time, that the request's context is done,
	// or that the workspace has no budget.
	VerdictUnreachable Verdict = "unreachable"
	// VerdictCleared means that the response covered by the hold may be sent to the caller.
	VerdictCleared Verdict = "cleared"
)

// HoldID identifies a request for tokens within one incarnation, and the hold that it gets.
type HoldID int64

// Reply is the answer to a request for tokens or for clearance. A reply with VerdictCleared, or for a workspace without a
// budget, has only ID and Verdict. If the context was done first, the reply also has Waited.
type Reply struct {
	ID      HoldID
	Verdict Verdict
	// Waited is how long the request waited for the verdict.
	Waited time.Duration
	// Prepaid is all of the workspace's budget. Ungranted is the part of it that was neither closed nor granted. Both are the
	// values that this router knew.
	Prepaid   int64
	Ungranted int64
	// Free is what was left of this router's grant after the verdict. Available is how much the next request could be held
	// for at once from the grant and the loans.
	Free      int64
	Available int64
	// RowAge is the age of the workspace's row that Ungranted came from.
	RowAge time.Duration
	// AskedPeers is set if a round of asking other routers for a loan of the workspace's tokens ended after the request had
	// arrived.
	AskedPeers bool
}

// Settings configures a planner and its treasurer.
type Settings struct {
	Incarnation masticway.Incarnation
	// Address is where other routers reach this one; empty if they cannot.
	Address string
	// Parts is the number of parts (partitions) over which the rows of each table are spread. The table of presences has
	// only one part. All routers must use the same number. It must not change while there are rows.
	Parts int
	// EarlyShare bounds SpendLimit.MaxEarly: it is the fraction of a router's reserve of a workspace that may be cleared by
	// rate until outageThreshold after the checkpoint's Basis. With 0.15 instead of 0.06, the score (higher is better) of
	// five days with faults at thirty routers was 0.632 instead of 0.624. The score of the calm day was 0.598 instead of
	// 0.565.
	EarlyShare float64
	// Holders is the minimum number of routers that hold grants of a workspace, unless its budget is low. Zero means all
	// routers. Each availability zone contributes the same number, or all its routers if it has fewer. So there can be more
	// holders than Holders, if the number of zones does not divide it. When one of six holders crashes, a sixth of what is in
	// reserve cannot be reached until its successor has closed its grant. With a reserve at each of 103 routers, more than
	// half of a budget was in reserves. Keeping it there took four of five calls to the store and 0.2 of a heavy day's score.
	Holders int
	// Zone is the availability zone of the router.
	Zone string
	// Processors is how many processors the router may use; routers with more are preferred as holders.
	Processors float64
	// Reserve is the demand, as a duration, for which a router keeps tokens in reserve if the budget allows. The reserve
	// serves requests while the store cannot be reached.
	Reserve time.Duration
	// RetryWindow is the length of the windows within which the retries of all routers are bounded.
	RetryWindow time.Duration
	// MaxRowBytes is the size of the largest row that the store takes. Zero means defaultMaxRowBytes.
	MaxRowBytes int
}

// defaultMaxRowBytes is the size of the largest row of a store that does not say otherwise.
const defaultMaxRowBytes = 64 << 10

func (s Settings) maxRowBytes() int {
	if s.MaxRowBytes > 0 {
		return s.MaxRowBytes
	}
	return defaultMaxRowBytes
}

// maxLimitsBytes returns how many bytes the spend limits of a checkpoint may take, in rows that are at least half full.
func (s Settings) maxLimitsBytes() int {
	return min(maxLimitsBytes, maxLimitRows*(s.maxRowBytes()-limitRowOverhead)/2)
}

// waiter is a request that waits for tokens.
type waiter struct {
	id       HoldID
	need     int64
	since    time.Time
	deadline time.Time
}

// account is a router's state of one workspace. Amounts are in tokens. The package comment in doc.go explains the terms.
type account struct {
	workspace     string
	prepaid       int64
	configVersion int64
	row           Account
	// allocated is the sum of the row's closed amount and all its grants. consumed is the sum of the row's closed amount
	// and, for each grant, what its router had taken of it when that router last changed the grant.
	allocated int64
	consumed  int64
	// rowVersion is the version of row, zero while the store has no row. rowKnown is set if row, or its absence, is known; a
	// change of unknown outcome clears it. rowSeenAt is the last time at which row was known to be current.
	rowVersion int64
	rowKnown   bool
	rowSeenAt  time.Time
	// granted is this incarnation's grant according to the row, and sequence the number of its last change. While restoring is
	// set, the row lacks changes that were lost with an earlier era of the store, and granted is as it was before. lost has
	// the grants of the last rows of earlier eras until they are written again, and closings those that this router has made.
	granted   int64
	sequence  int64
	restoring bool
	lost      Account
	// ignored is the last row of a watch that was ignored because the outcome of a change is unknown.
	ignored  Account
	closings []ownClosing
	// changeInFlight is set while a change of the grant is in flight. returning is how many tokens the change returns.
	changeInFlight bool
	returning      int64
	// retryAt is when the grant may be changed again after a failure.
	retryAt time.Time
	// unconfirmed is set while the outcome of an earlier change of the grant is unknown. unconfirmedReturn is the largest
	// number of tokens that one of these changes returns.
	unconfirmed       bool
	unconfirmedReturn int64
	// taken is the sum of what is held of the grant, what was used of it, and what other routers have borrowed of it.
	// cleared is the part of taken that may be used, because the responses may be sent or the loan was cleared. Only cleared
	// tokens can have been used when this router crashes. The spend limits bound cleared.
	taken             int64
	cleared           int64
	awaitingClearance []HoldID
	// demand is the rate of requested tokens, in tokens a second. peerDemand is the part of it that other routers request as
	// loans. arrivals is the rate of requests of this router's own callers, in requests a second. typicalNeed is a moving
	// average of the tokens that one request needs.
	demand      average
	peerDemand  average
	arrivals    average
	typicalNeed float64
	// candidates is the result of holderCandidates, nil until it is computed from the known peers. rank is this router's
	// index in it, negative if it is not a candidate.
	candidates []Peer
	rank       int
	// concentrated is set if the workspace's demand is concentrated at this router although it is not a candidate (see
	// updateConcentration).
	concentrated bool
	// waiting is the queue of requests that wait for tokens.
	waiting []waiter
	// loans are what this router has borrowed and not used. lent is the part of this router's grant that other routers have
	// borrowed and not repaid. borrowing is set while a borrow round runs. borrowedAt is when the last borrow round ended.
	loans      []Loan
	lent       int64
	borrowing  bool
	borrowedAt time.Time
	// shortfallAt is when a borrow round last returned less than it needed. allAnswered is set if every router that the last
	// round asked has answered. noAnswerAt is when a round last ended in which no lender answered.
	shortfallAt time.Time
	allAnswered bool
	noAnswerAt  time.Time
	// news is what a lender has last said of the budget.
	news budgetNews
	// surplusSince is since when more has been free than highWatermark allows. It is zero while there is no such surplus.
	surplusSince time.Time
}

// setRow sets the row that the store has, or the row that this router would write if the store has none.
func (a *account) setRow(row Account) {
	a.row = row
	a.allocated, a.consumed = row.Closed, row.Closed
	for _, g := range row.Grants {
		a.allocated = min(a.allocated+g.Granted, maxAllocated)
		a.consumed = min(a.consumed+min(g.Taken, g.Granted), maxAllocated)
	}
}

// ungranted returns how many tokens are neither closed nor granted to any router, by the newest known configuration. It is
// negative if the budget was lowered below what is closed and granted.
func (a *account) ungranted() int64 { return a.currentPrepaid() - a.allocated }

// unspent returns how many tokens are ungranted, plus what each router with a grant had free of it when that router last
// changed the grant.
func (a *account) unspent() int64 { return a.currentPrepaid() - a.consumed }

// currentPrepaid returns the prepaid amount of the newest configuration that this router or the row has.
func (a *account) currentPrepaid() int64 {
	if a.configVersion > a.row.Version {
		return a.prepaid
	}
	return a.row.Prepaid
}

// usableGrant returns the grant less what may have been returned by a change that is in flight or of unknown outcome.
func (a *account) usableGrant() int64 { return a.granted - max(a.returning, a.unconfirmedReturn) }

// isGrantKnown reports whether no change of the grant is in flight or of unknown outcome.
func (a *account) isGrantKnown() bool { return !a.changeInFlight && !a.unconfirmed }

// free returns the usable grant less what is taken.
func (a *account) free() int64 { return a.usableGrant() - a.taken }

// queuedNeed returns the sum of what the waiting requests need.
func (a *account) queuedNeed() int64 {
	var sum int64
	for _, w := range a.waiting {
		sum += w.need
	}
	return sum
}

// checkpointLimits holds the spend limits of a checkpoint in force, that is one that the store has, or may have because the
// outcome of its write is not known.
type checkpointLimits struct {
	sequence int64
	// basis is when, by this router's clock, it learned of the write whose store time is the checkpoint's Basis.
	basis  time.Time
	limits map[string]SpendLimit
	// witnesses are the routers that the checkpoint names as its witnesses. acked has the amounts that each witness has
	// acknowledged, by workspace.
	witnesses []Witness
	acked     map[masticway.Incarnation]map[string]int64
}

// Planner decides how one incarnation draws grants, holds, borrows, lends and returns tokens. The package comment explains
// these terms. A Planner is not safe for concurrent use.
type Planner struct {
	settings Settings
	accounts map[string]*account
	// sortedAccounts lists the accounts, sorted by workspace.
	sortedAccounts []*account
	holds          map[HoldID]*hold
	lastHold       HoldID

	// limitsInForce has the spend limits of all checkpoints in force, oldest first: the last one that the store certainly
	// has, and all later ones that the store may have.
	limitsInForce []checkpointLimits
	// checkpoint is what the next checkpoint is made from: the last one that was sent, changed by what has been learned since. A
	// successful write sets its Basis to the store's time of that write. checkpointVersion is the row's version at the last write
	// that the store is known to have made. checkpointBasis is when, by this router's clock, the last response arrived that
	// reported the success of a write. It is not changed if a conflict shows that a write of unknown outcome had succeeded.
	checkpoint         Checkpoint
	checkpointVersion  int64
	checkpointInFlight bool
	checkpointBasis    time.Time
	checkpointSentAt   time.Time
	// checkpointBasisSentAt is when the write was sent whose time is the checkpoint's Basis, zero if that is not known.
	checkpointBasisSentAt time.Time
	// checkpointCreditLeft is the checkpoint credit (see checkpointCredit) that was left after the last checkpoint was sent.
	checkpointCreditLeft float64
	// checkpointLatency is the moving average of the latency of successful writes of checkpoints.
	checkpointLatency time.Duration
	members           int
	peers             []Peer
	// peersChanged is set if the set of peer instances has changed since the last call of Plan. peersChangedAt is when Plan
	// last found it set.
	peersChanged   bool
	peersChangedAt time.Time
	// unansweredAt is, by instance, when the instance's router last left a loan request unanswered.
	unansweredAt map[string]time.Time
	// readsInFlight is the set of parts that are being read.
	readsInFlight     map[string]bool
	checkpointRetryAt time.Time
	// isFull is set if the last checkpoint had no room for all workspaces. isRejected is set if the store has rejected the last one.
	isFull     bool
	isRejected bool
	// lostRows are rows of predecessors that an earlier era of the store may have lost, and obsoleteRows are rows that no successor
	// needs. The next checkpoints write and delete them.
	lostRows     []masticway.RowPut
	obsoleteRows []masticway.RowKey
	// failingSince is zero unless the store has failed calls since it last answered one. Then it is when the first of these
	// calls was sent. Refusals because of the rate limit don't count as failures.
	failingSince time.Time
	// changeInterval is the minimum time between two changes of grants; lastChangeAt is when the last one was sent.
	changeInterval time.Duration
	lastChangeAt   time.Time
	// checkpointLost is set if the store has lost the last checkpoint with an earlier era.
	checkpointLost bool
	// era is the era of the store that the rows are of. mustEnterEra is set if the store has told another one. settledAt is when
	// grants may grow in the era, restoreAt when lost grants of this router are written again, and restoreOthersAt when those of
	// others are, until restoreUntil. enteredLate is set if
	// grants could grow before this router noticed the era.
	era             int64
	mustEnterEra    bool
	settledAt       time.Time
	restoreAt       time.Time
	restoreOthersAt time.Time
	restoreUntil    time.Time
	enteredLate     bool
	// strays has the strays to be closed.
	strays map[Stray]bool
	// started is set once the store has a checkpoint of this incarnation.
	started   bool
	startedAt time.Time
	// closing is set once Close was called. From then on grants only shrink and nothing is lent any more.
	closing bool
	// hasLeft is set once Farewell has told what is taken.
	hasLeft bool
	// borrowers is the state kept for each router that has asked this one for a loan or repaid one. lastMessage is the
	// number of this router's last borrow round or repayment.
	borrowers   map[masticway.Incarnation]*borrowerState
	lastMessage int64
	// peerReports has what each other router has reported to this one as its witness. reportsInFlight is the set of
	// witnesses to which a report of this router is in flight.
	peerReports     map[masticway.Incarnation]senderReports
	reportsInFlight map[masticway.Incarnation]bool
	// refusedAt is when a witness last did not accept a report.
	refusedAt map[masticway.Incarnation]time.Time
	// unackedSince is since when reports have been due without the acknowledgement of a quorum of witnesses; zero if they
	// are not.
	unackedSince time.Time
}

// NewPlanner returns a planner without grants.
func NewPlanner(s Settings) *Planner {
	return &Planner{
		settings: s, accounts: map[string]*account{}, holds: map[HoldID]*hold{},
		readsInFlight: map[string]bool{}, borrowers: map[masticway.Incarnation]*borrowerState{},
		peerReports: map[masticway.Incarnation]senderReports{}, reportsInFlight: map[masticway.Incarnation]bool{}, refusedAt: map[masticway.Incarnation]time.Time{},
		unansweredAt: map[string]time.Time{}, strays: map[Stray]bool{},
	}
}

// Configure sets what workspaces have prepaid, as of a configuration's version. It ignores accounts without a limit. It also
// ignores an amount if a newer configuration's amount is known.
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
			a.prepaid, a.configVersion = boundedAmount(paid.Prepaid), version
		}
	}
	slices.SortFunc(p.sortedAccounts, func(x, y *account) int { return cmp.Compare(x.workspace, y.workspace) })
}

// maxTaken returns the maximum of the account's taken tokens now. While the store is timely it is the usable grant: a
// checkpoint that covers a hold is then expected before the response is ready. Otherwise it is at most what the spend limits
// are expected to clear after clearanceSlack. If the witnesses do not acknowledge reports, it is at most what the spend
// limits clear now. After Farewell, nothing more is taken.
func (p *Planner) maxTaken(now time.Time, a *account) int64 {
	if p.hasLeft {
		return a.taken
	}
	if p.isStoreTimely(now) {
		return a.usableGrant()
	}
	if p.areReportsUnacked(now) {
		return min(a.usableGrant(), p.currentLimit(now, a))
	}
	return min(a.usableGrant(), p.expectedLimit(now.Add(clearanceSlack), a))
}

// isStoreTimely reports whether the store does not fail and has not left a checkpoint unanswered for timelyStoreLatency. It
// can then be expected to write the next checkpoint soon.
func (p *Planner) isStoreTimely(now time.Time) bool {
	return p.failingSince.IsZero() && (!p.checkpointInFlight || now.Sub(p.checkpointSentAt) < timelyStoreLatency)
}

// available returns how many more tokens of the grant may be taken now.
func (p *Planner) available(now time.Time, a *account) int64 {
	return max(0, p.maxTaken(now, a)-a.taken)
}

// SetPeers sets the number of running routers, and the other routers that can lend to this one and be its witnesses. It
// leaves out peers on this router's own instance.
func (p *Planner) SetPeers(members int, peers []Peer) {
	p.members = members
	others := slices.DeleteFunc(slices.Clone(peers), func(o Peer) bool { return o.Incarnation.Instance() == p.settings.Incarnation.Instance() })
	if slices.Equal(others, p.peers) {
		return
	}
	sameInstance := func(x, y Peer) bool { return x.Incarnation.Instance() == y.Incarnation.Instance() }
	p.peersChanged = p.peersChanged || !slices.EqualFunc(others, p.peers, sameInstance)
	p.peers = others
	maps.DeleteFunc(p.refusedAt, func(i masticway.Incarnation, _ time.Time) bool {
		return !slices.ContainsFunc(others, func(o Peer) bool { return o.Incarnation == i })
	})
	for _, a := range p.accounts {
		a.candidates = nil
	}
}

// ServeQueues answers the waiting requests of all workspaces that can be answered now, and clears the waiting holds that the
// spend limits cover.
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
