package treasurer

import (
	"cmp"
	"slices"
	"time"

	"github.com/masticway/masticway"
)

// The policy of a purse: how money is spread over routers, what a death may cost, and when a request is refused or waits.
const (
	// outageThreshold is how long the store must have been silent before a promise's rate counts. What a book promises ahead
	// serves in that time; a router that dies and is back within it strands no more than that. All routers of a deployment
	// that lose power together had their books back after 0.6 to 2.5 s, and then no witness is left: with 2.2 s a loss of
	// power for 2 s at 103 routers cost four seconds of all demand, with 3 s one.
	outageThreshold = 3 * time.Second
	// burstWindow is the demand that a book lets its router take before the next one: three of a busy router's heartbeats.
	// unwitnessedWindow is the demand that may be taken in a silence of which no witness has heard. With all that is promised ahead
	// in the burst, a holder that died took 8% of a large budget with it and 9.2% of a day's requests were refused, for 0.5%
	// with these.
	burstWindow       = 750 * time.Millisecond
	unwitnessedWindow = 1500 * time.Millisecond
	// rateDeviations is by how many standard deviations a promised rate is above the demand, which comes in lumps: with n
	// requests at all holders in demandWindow, whose sizes spread as much as their mean, one deviation is 1/sqrt(n) of it: four
	// times the demand for a request in the window, twice for nine. What is promised too much is lost when a router dies
	// and its witnesses cannot be asked; with 1.5 times the demand at routers that saw five requests, 4.5% were refused on
	// days with trouble instead of 3.7% with 4 times.
	rateDeviations = 3
	// slowStoreLatency is the store's answer time above which a burst is promised for the demand of that time.
	slowStoreLatency = 60 * time.Millisecond
	// timelyStoreLatency is how long the store may take over a book before requests are admitted by promises only, and
	// clearanceSlack how long an answer may then be expected to wait for its promise. With the whole of outageThreshold fewer are
	// refused and more are late, which is worth less: 0.69 against 0.73 on a calm day with two cuts.
	timelyStoreLatency = 400 * time.Millisecond
	clearanceSlack     = 150 * time.Millisecond
	// reserveRatio is how many times what is left in the store all routers together keep in hand; the rest is out of reach
	// in a cut.
	reserveRatio = 4.0
	// minReserveDivisor is the part of a usual request below which nothing is kept in hand; routers put such parts together.
	minReserveDivisor = 3
	// lowWatermark is the part of the reserve below which it is filled up, highWatermark the multiple above which it is returned.
	lowWatermark  = 0.4
	highWatermark = 2.5
	// surplusTTL is how long money of a workspace without a reserve may lie unused.
	surplusTTL = 250 * time.Millisecond
	// unavailableAfter is how long the store must have failed before requests without money are refused at once.
	unavailableAfter = 400 * time.Millisecond
	// startupGrace is how long after its start a router takes no budget for exhausted: where many start together, the
	// grants of their predecessors are still being closed.
	startupGrace = 2 * time.Second
	// rowTTL is how long a look at a workspace's row may serve to refuse for exhaustion.
	rowTTL = 300 * time.Millisecond
)

// The mechanics of a purse: how often the store is called, as its rate and its failures allow.
const (
	// busyCheckpointInterval is how often the book of a router with demand is written, idleCheckpointInterval any other one, so that the
	// routers can be counted.
	busyCheckpointInterval = 250 * time.Millisecond
	idleCheckpointInterval = 4 * time.Second
	// busyCheckpointIntervalPerRouter is the same for each router of a large fleet, whose heartbeats all come to one store: 330 books a second
	// however many there are.
	busyCheckpointIntervalPerRouter = 3 * time.Millisecond
	// checkpointPause separates two writes of a book; checkpointPausePerRouter is added for each router, so that all of them together
	// write less than 3,300 books a second, and a loan that waits for the book of one of a hundred comes in time.
	checkpointPause          = 20 * time.Millisecond
	checkpointPausePerRouter = 300 * time.Microsecond
	// maxCheckpointCredit is how many books may be written without that addition after a time without any.
	maxCheckpointCredit = 4.0
	// changeRetryInterval separates attempts at the store after one that failed.
	changeRetryInterval = 60 * time.Millisecond
	// probeInterval separates attempts while the store fails; only the book is tried then.
	probeInterval = 120 * time.Millisecond
	// initialChangeInterval and maxChangeInterval bound the pause between two changes of grants by one router once the store has refused a call
	// for its rate: it doubles with each refusal and shrinks by changeIntervalStep with each call that is served, so that routers
	// which know nothing of each other share the rate.
	initialChangeInterval = 20 * time.Millisecond
	maxChangeInterval     = 640 * time.Millisecond
	changeIntervalStep    = 5 * time.Millisecond
)

// Verdict answers a request for money.
type Verdict string

// The verdicts: unreachable means that there may be money, but it cannot be had now.
const (
	VerdictHeld        Verdict = "held"
	VerdictExhausted   Verdict = "exhausted"
	VerdictUnreachable Verdict = "unreachable"
	// VerdictCleared answers for a hold that its answer may go to the caller.
	VerdictCleared Verdict = "cleared"
)

// HoldID names a hold within one incarnation.
type HoldID int64

// Reply answers one request for money.
type Reply struct {
	ID      HoldID
	Verdict Verdict
	Waited  time.Duration
	// Prepaid, Left, Free and Own are what was known of the workspace: what is paid for, what no router has been granted,
	// what this one had in hand, and what of that its promises allowed, with loans. RowAge is how old that knowledge
	// was, and Asked tells that other routers were asked.
	Prepaid int64
	Left    int64
	Free    int64
	Own     int64
	RowAge  time.Duration
	Asked   bool
}

// Settings are what a purse is made with.
type Settings struct {
	Incarnation masticway.Incarnation
	// Address is where other routers reach this one; empty when they cannot.
	Address string
	// Parts is the number of parts over which workspaces and books are spread; all routers use the same, and it stays
	// the same as long as there are rows.
	Parts int
	// BurstShare is the part of what should be in hand of a workspace that may be taken ahead of the next book. With 0.15
	// for 0.06, five days with trouble of thirty routers were worth 0.632 for 0.624, the calm one 0.598 for 0.565.
	BurstShare float64
	// Holders is how many routers hold money of a workspace that is not thin, as far as there are so many, one or more in
	// each availability zone; zero is all. The death of one of six puts a sixth of what is in hand out of reach until its
	// successor has closed its grant. With a hand at each of 103 routers, more than half of a budget was in hands, and
	// four of five calls to the store and 0.2 of a heavy day's worth were spent on keeping it there.
	Holders int
	// Zone is the availability zone that the router is in.
	Zone string
	// Processors is how many processors the router may use; routers with more are rather holders than others.
	Processors float64
	// Reserve is how much demand a router keeps money for, to serve on while the store is away.
	Reserve time.Duration
}

type waiter struct {
	id       HoldID
	need     int64
	since    time.Time
	deadline time.Time
}

// account is what a router knows of one workspace.
type account struct {
	workspace     string
	prepaid       int64
	configVersion int64
	row           Account
	// allocated is what the row's closed part and all its grants come to, consumed what that part and all that holders had
	// taken come to.
	allocated int64
	consumed  int64
	// rowVersion is zero while there is no row, and known tells that this has been looked up.
	rowVersion int64
	rowKnown   bool
	rowSeenAt  time.Time
	granted    int64
	// changeInFlight tells that a change of the grant has been sent, which returns so much.
	changeInFlight bool
	returning      int64
	// retryAt is when the store is asked again after a failure.
	retryAt time.Time
	// unconfirmed tells that earlier changes got no answer; the one that returns most takes doubt out of the grant.
	unconfirmed       bool
	unconfirmedReturn int64
	// taken is all holds and what was used, cleared the part of it whose answers may go out: only that is ever lost
	// to the budget when this router dies, and promises bound it.
	taken             int64
	cleared           int64
	awaitingClearance []HoldID
	// demand is the tokens a second that are asked for, others the part of it that other routers ask for, and arrivals the
	// requests of this router's own callers.
	demand      average
	peerDemand  average
	arrivals    average
	typicalNeed float64
	// candidates are the workspace's holders among the routers that are known, nil until they are worked out; rank is this
	// router's place among them, negative when it is none.
	candidates []Peer
	rank       int
	// concentrated tells that the demand comes to this router, though it is none of the holders.
	concentrated bool
	waiting      []waiter
	// loans are borrowed and not used, lent is what others have of this router's grant.
	loans      []Loan
	lent       int64
	borrowing  bool
	borrowedAt time.Time
	// shortfallAt is when a round of asking last brought too little, complete tells that all who were asked then answered, and
	// noAnswerAt is when last nobody did.
	shortfallAt time.Time
	allAnswered bool
	noAnswerAt  time.Time
	// surplusSince is since when more lies unused than the reserve.
	surplusSince time.Time
}

// setRow takes the row as the store has it, or as it will be once a newer configuration's word is in it.
func (a *account) setRow(row Account) {
	a.row = row
	a.allocated, a.consumed = row.Closed, row.Closed
	for _, g := range row.Grants {
		a.allocated += g.Granted
		a.consumed += min(g.Taken, g.Granted)
	}
}

// ungranted is what is not granted to anybody, by the newest configuration's word on what is prepaid.
func (a *account) ungranted() int64 { return a.currentPrepaid() - a.allocated }

// unspent is what is left and what all had in hand when they last changed their grants.
func (a *account) unspent() int64 { return a.currentPrepaid() - a.consumed }

func (a *account) currentPrepaid() int64 {
	if a.configVersion > a.row.Version {
		return a.prepaid
	}
	return a.row.Prepaid
}

// usableGrant is the grant less what may already have left it.
func (a *account) usableGrant() int64 { return a.granted - max(a.returning, a.unconfirmedReturn) }

// isGrantKnown tells that the store's view of the grant is known.
func (a *account) isGrantKnown() bool { return !a.changeInFlight && !a.unconfirmed }

func (a *account) free() int64 { return a.usableGrant() - a.taken }

// queuedNeed is what the requests that wait ask for.
func (a *account) queuedNeed() int64 {
	var sum int64
	for _, w := range a.waiting {
		sum += w.need
	}
	return sum
}

// limitsInForce is a promise that the store has, or may have.
type checkpointLimits struct {
	sequence int64
	// basis is when this router heard of the write on which the store counts.
	basis  time.Time
	limits map[string]SpendLimit
	// witnesses are those that the book names, heard what each has taken a statement of, by workspace.
	witnesses []Witness
	acked     map[masticway.Incarnation]map[string]int64
}

// Planner decides about the money of one incarnation; it is not safe for concurrent use.
type Planner struct {
	settings Settings
	accounts map[string]*account
	// sortedAccounts are the accounts in the workspaces' order.
	sortedAccounts []*account
	holds          map[HoldID]*hold
	lastHold       HoldID

	limitsInForce      []checkpointLimits
	checkpoint         Checkpoint
	checkpointVersion  int64
	checkpointInFlight bool
	checkpointBasis    time.Time
	checkpointSentAt   time.Time
	// checkpointCreditLeft is what was left of the credit for books when the last one was written.
	checkpointCreditLeft float64
	// checkpointLatency is the moving average of the store's time for a book.
	checkpointLatency time.Duration
	members           int
	peers             []Peer
	// peersChanged tells that the peers have become others since the last plan, peersChangedAt when a plan last found so.
	peersChanged   bool
	peersChangedAt time.Time
	// unansweredAt is when an instance last left a question for money without an answer.
	unansweredAt      map[string]time.Time
	readsInFlight     map[string]bool
	checkpointRetryAt time.Time
	failingSince      time.Time
	// changeInterval is the least pause between two changes of grants, lastChangeAt when the last one was sent.
	changeInterval time.Duration
	lastChangeAt   time.Time
	// started tells that the book carries this incarnation.
	started   bool
	startedAt time.Time
	// closing tells that no money is wanted any more.
	closing bool
	// borrowers is what is remembered of those that have asked for money, lastMessage numbers the own messages.
	borrowers   map[masticway.Incarnation]*borrowerState
	lastMessage int64
	// peerReports are what other routers have stated, testifying the witnesses that are being told something.
	peerReports     map[masticway.Incarnation]issuerReports
	reportsInFlight map[masticway.Incarnation]bool
	// unackedSince is since when most witnesses have not heard a statement that is needed, zero when none is.
	unackedSince time.Time
}

// NewPlanner returns a purse without money.
func NewPlanner(s Settings) *Planner {
	return &Planner{
		settings: s, accounts: map[string]*account{}, holds: map[HoldID]*hold{},
		readsInFlight: map[string]bool{}, borrowers: map[masticway.Incarnation]*borrowerState{},
		peerReports: map[masticway.Incarnation]issuerReports{}, reportsInFlight: map[masticway.Incarnation]bool{},
		unansweredAt: map[string]time.Time{},
	}
}

// Configure tells what each workspace has paid for, as of a configuration's version.
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

// maxTaken is the most that may be taken in all now. While the store answers in time the grant alone decides: the
// promise will be there before the answer. Else promises do, as far as they reach soon.
func (p *Planner) maxTaken(now time.Time, a *account) int64 {
	if p.isStoreTimely(now) {
		return a.usableGrant()
	}
	if p.areReportsUnacked(now) {
		return min(a.usableGrant(), p.currentLimit(now, a))
	}
	return min(a.usableGrant(), p.expectedLimit(now.Add(clearanceSlack), a))
}

// isStoreTimely tells that the store can be expected to take the next book soon.
func (p *Planner) isStoreTimely(now time.Time) bool {
	return p.failingSince.IsZero() && (!p.checkpointInFlight || now.Sub(p.checkpointSentAt) < timelyStoreLatency)
}

// available is what the router may take now beside what it has.
func (p *Planner) available(now time.Time, a *account) int64 {
	return max(0, p.maxTaken(now, a)-a.taken)
}

// SetPeers tells how many routers there are, and which others can be asked for money and be witnesses.
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

// Tick ends waits that are over.
func (p *Planner) Tick(now time.Time) []Reply {
	var replies []Reply
	for _, a := range p.sortedAccounts {
		if len(a.waiting)+len(a.awaitingClearance) > 0 {
			replies = append(replies, p.serveQueue(now, a)...)
		}
	}
	return replies
}

// Position is what a router has of one workspace.
type Position struct {
	Workspace string `json:"workspace"`
	Prepaid   int64  `json:"prepaid"`
	Left      int64  `json:"left"`
	Granted   int64  `json:"granted"`
	Taken     int64  `json:"taken"`
	Waiting   int    `json:"waiting"`
}

// Positions lists what the router has, in the workspaces' order.
func (p *Planner) Positions() []Position {
	var all []Position
	for _, a := range p.sortedAccounts {
		all = append(all, Position{
			Workspace: a.workspace, Prepaid: a.prepaid, Left: a.ungranted(), Granted: a.granted, Taken: a.taken, Waiting: len(a.waiting),
		})
	}
	return all
}
