package treasurer

import (
	"cmp"
	"slices"
	"time"

	"github.com/masticway/masticway"
)

// The policy of a purse: how money is spread over routers, what a death may cost, and when a request is refused or waits.
const (
	// silentAfter is how long the store must have been silent before a promise's rate counts. What a book promises ahead
	// serves in that time; a router that dies and is back within it strands no more than that. All routers of a deployment
	// that lose power together had their books back after 0.6 to 2.5 s, and then no witness is left: with 2.2 s a loss of
	// power for 2 s at 103 routers cost four seconds of all demand, with 3 s one.
	silentAfter = 3 * time.Second
	// burstSpan is the demand that a book lets its router take before the next one: three of a busy router's heartbeats.
	// aloneSpan is the demand that may be taken in a silence of which no witness has heard. With all that is promised ahead
	// in the burst, a holder that died took 8% of a large budget with it and 9.2% of a day's requests were refused, for 0.5%
	// with these.
	burstSpan = 750 * time.Millisecond
	aloneSpan = 1500 * time.Millisecond
	// rateSpread is by how many standard deviations a promised rate is above the demand, which comes in lumps: with n
	// requests at all holders in demandWindow, whose sizes spread as much as their mean, one deviation is 1/sqrt(n) of it: four
	// times the demand for a request in the window, twice for nine. What is promised too much is lost when a router dies
	// and its witnesses cannot be asked; with 1.5 times the demand at routers that saw five requests, 4.5% were refused on
	// days with trouble instead of 3.7% with 4 times.
	rateSpread = 3
	// slowAnswer is the store's answer time above which a burst is promised for the demand of that time.
	slowAnswer = 60 * time.Millisecond
	// timelyFor is how long the store may take over a book before requests are admitted by promises only, and
	// gateSlack how long an answer may then be expected to wait for its promise. With the whole of silentAfter fewer are
	// refused and more are late, which is worth less: 0.69 against 0.73 on a calm day with two cuts.
	timelyFor = 400 * time.Millisecond
	gateSlack = 150 * time.Millisecond
	// handTimes is how many times what is left in the store all routers together keep in hand; the rest is out of reach
	// in a cut.
	handTimes = 4.0
	// leastShare is the part of a usual request below which nothing is kept in hand; routers put such parts together.
	leastShare = 3
	// lowWater is the part of the reserve below which it is filled up, highWater the multiple above which it is returned.
	lowWater  = 0.4
	highWater = 2.5
	// returnAfter is how long money of a workspace without a reserve may lie unused.
	returnAfter = 250 * time.Millisecond
	// awayAfter is how long the store must have failed before requests without money are refused at once.
	awayAfter = 400 * time.Millisecond
	// settleSpan is how long after its start a router takes no budget for exhausted: where many start together, the
	// grants of their predecessors are still being closed.
	settleSpan = 2 * time.Second
	// freshFor is how long a look at a workspace's row may serve to refuse for exhaustion.
	freshFor = 300 * time.Millisecond
)

// The mechanics of a purse: how often the store is called, as its rate and its failures allow.
const (
	// bookHeartbeat is how often the book of a router with demand is written, idleHeartbeat any other one, so that the
	// routers can be counted.
	bookHeartbeat = 250 * time.Millisecond
	idleHeartbeat = 4 * time.Second
	// bookHeartbeatEach is the same for each router of a large fleet, whose heartbeats all come to one store: 330 books a second
	// however many there are.
	bookHeartbeatEach = 3 * time.Millisecond
	// bookPause separates two writes of a book; bookPauseEach is added for each router, so that all of them together
	// write less than 3,300 books a second, and a loan that waits for the book of one of a hundred comes in time.
	bookPause     = 20 * time.Millisecond
	bookPauseEach = 300 * time.Microsecond
	// bookCredits is how many books may be written without that addition after a time without any.
	bookCredits = 4.0
	// retryPause separates attempts at the store after one that failed.
	retryPause = 60 * time.Millisecond
	// probePause separates attempts while the store fails; only the book is tried then.
	probePause = 120 * time.Millisecond
	// paceFirst and paceMost bound the pause between two changes of grants by one router once the store has refused a call
	// for its rate: it doubles with each refusal and shrinks by paceStep with each call that is served, so that routers
	// which know nothing of each other share the rate.
	paceFirst = 20 * time.Millisecond
	paceMost  = 640 * time.Millisecond
	paceStep  = 5 * time.Millisecond
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
	workspace string
	prepaid   int64
	version   int64
	row       Account
	// committed is what the row's closed part and all its grants come to, consumed what that part and all that holders had
	// taken come to.
	committed int64
	consumed  int64
	// rowVersion is zero while there is no row, and known tells that this has been looked up.
	rowVersion int64
	known      bool
	seenAt     time.Time
	granted    int64
	// moving tells that a change of the grant has been sent, which returns so much.
	moving    bool
	returning int64
	// retryAt is when the store is asked again after a failure.
	retryAt time.Time
	// doubted tells that earlier changes got no answer; the one that returns most takes doubt out of the grant.
	doubted bool
	doubt   int64
	// taken is all holds and what was used, cleared the part of it whose answers may go out: only that is ever lost
	// to the budget when this router dies, and promises bound it.
	taken   int64
	cleared int64
	gates   []HoldID
	// demand is the tokens a second that are asked for, others the part of it that other routers ask for, and arrivals the
	// requests of this router's own callers.
	demand   average
	others   average
	arrivals average
	typical  float64
	// ordered are the workspace's holders among the routers that are known, nil until they are worked out; rank is this
	// router's place among them, negative when it is none.
	ordered []Peer
	rank    int
	// concentrated tells that the demand comes to this router, though it is none of the holders.
	concentrated bool
	waiting      []waiter
	// loans are borrowed and not used, lent is what others have of this router's grant.
	loans      []Loan
	lent       int64
	borrowing  bool
	borrowedAt time.Time
	// emptyAt is when a round of asking last brought too little, complete tells that all who were asked then answered, and
	// aloneAt is when last nobody did.
	emptyAt  time.Time
	complete bool
	aloneAt  time.Time
	// surplusAt is since when more lies unused than the reserve.
	surplusAt time.Time
}

// setRow takes the row as the store has it, or as it will be once a newer configuration's word is in it.
func (a *account) setRow(row Account) {
	a.row = row
	a.committed, a.consumed = row.Closed, row.Closed
	for _, g := range row.Grants {
		a.committed += g.Granted
		a.consumed += min(g.Taken, g.Granted)
	}
}

// left is what is not granted to anybody, by the newest configuration's word on what is prepaid.
func (a *account) left() int64 { return a.newestPrepaid() - a.committed }

// unspent is what is left and what all had in hand when they last changed their grants.
func (a *account) unspent() int64 { return a.newestPrepaid() - a.consumed }

func (a *account) newestPrepaid() int64 {
	if a.version > a.row.Version {
		return a.prepaid
	}
	return a.row.Prepaid
}

// usable is the grant less what may already have left it.
func (a *account) usable() int64 { return a.granted - max(a.returning, a.doubt) }

// settled tells that the store's view of the grant is known.
func (a *account) settled() bool { return !a.moving && !a.doubted }

func (a *account) free() int64 { return a.usable() - a.taken }

// needed is what the requests that wait ask for.
func (a *account) needed() int64 {
	var sum int64
	for _, w := range a.waiting {
		sum += w.need
	}
	return sum
}

// inForce is a promise that the store has, or may have.
type inForce struct {
	sequence int64
	// basis is when this router heard of the write on which the store counts.
	basis    time.Time
	promises map[string]Promise
	// witnesses are those that the book names, heard what each has taken a statement of, by workspace.
	witnesses []Witness
	heard     map[masticway.Incarnation]map[string]int64
}

// Purse decides about the money of one incarnation; it is not safe for concurrent use.
type Purse struct {
	settings Settings
	accounts map[string]*account
	// ordered are the accounts in the workspaces' order.
	ordered  []*account
	holds    map[HoldID]*held
	nextHold HoldID

	inForce     []inForce
	book        Book
	bookVersion int64
	bookBusy    bool
	bookBasis   time.Time
	bookAt      time.Time
	// bookLeft is what was left of the credit for books when the last one was written.
	bookLeft float64
	// bookTook is the moving average of the store's time for a book.
	bookTook time.Duration
	members  int
	peers    []Peer
	// regrouped tells that the peers have become others since the last plan, regroupedAt when a plan last found so.
	regrouped   bool
	regroupedAt time.Time
	// silentAt is when an instance last left a question for money without an answer.
	silentAt     map[string]time.Time
	looking      map[string]bool
	bookRetry    time.Time
	failingSince time.Time
	// pace is the least pause between two changes of grants, movedAt when the last one was sent.
	pace    time.Duration
	movedAt time.Time
	// began tells that the book carries this incarnation.
	began   bool
	beganAt time.Time
	// closing tells that no money is wanted any more.
	closing bool
	// borrowers is what is remembered of those that have asked for money, nextMessage numbers the own messages.
	borrowers   map[masticway.Incarnation]*borrowerMemory
	nextMessage int64
	// testimonies are what other routers have stated, testifying the witnesses that are being told something.
	testimonies map[masticway.Incarnation]testimony
	testifying  map[masticway.Incarnation]bool
	// statedAt is since when most witnesses have not heard a statement that is needed, zero when none is.
	statedAt time.Time
}

// NewPurse returns a purse without money.
func NewPurse(s Settings) *Purse {
	return &Purse{
		settings: s, accounts: map[string]*account{}, holds: map[HoldID]*held{},
		looking: map[string]bool{}, borrowers: map[masticway.Incarnation]*borrowerMemory{},
		testimonies: map[masticway.Incarnation]testimony{}, testifying: map[masticway.Incarnation]bool{},
		silentAt: map[string]time.Time{},
	}
}

// Configure tells what each workspace has paid for, as of a configuration's version.
func (p *Purse) Configure(version int64, accounts map[string]masticway.Account) {
	for workspace, paid := range accounts {
		if !paid.HasLimit {
			continue
		}
		a, ok := p.accounts[workspace]
		if !ok {
			a = &account{workspace: workspace}
			p.accounts[workspace] = a
			p.ordered = append(p.ordered, a)
		}
		if version >= a.version {
			a.prepaid, a.version = paid.Prepaid, version
		}
	}
	slices.SortFunc(p.ordered, func(x, y *account) int { return cmp.Compare(x.workspace, y.workspace) })
}

// admissible is the most that may be taken in all now. While the store answers in time the grant alone decides: the
// promise will be there before the answer. Else promises do, as far as they reach soon.
func (p *Purse) admissible(now time.Time, a *account) int64 {
	if p.timely(now) {
		return a.usable()
	}
	if p.unheard(now) {
		return min(a.usable(), p.promised(now, a))
	}
	return min(a.usable(), p.expected(now.Add(gateSlack), a))
}

// timely tells that the store can be expected to take the next book soon.
func (p *Purse) timely(now time.Time) bool {
	return p.failingSince.IsZero() && (!p.bookBusy || now.Sub(p.bookAt) < timelyFor)
}

// own is what the router may take now beside what it has.
func (p *Purse) own(now time.Time, a *account) int64 { return max(0, p.admissible(now, a)-a.taken) }

// Count tells how many routers there are, and which others can be asked for money and be witnesses.
func (p *Purse) Count(members int, peers []Peer) {
	p.members = members
	others := slices.DeleteFunc(slices.Clone(peers), func(o Peer) bool { return o.Incarnation.Instance() == p.settings.Incarnation.Instance() })
	if slices.Equal(others, p.peers) {
		return
	}
	sameInstance := func(x, y Peer) bool { return x.Incarnation.Instance() == y.Incarnation.Instance() }
	p.regrouped = p.regrouped || !slices.EqualFunc(others, p.peers, sameInstance)
	p.peers = others
	for _, a := range p.accounts {
		a.ordered = nil
	}
}

// Tick ends waits that are over.
func (p *Purse) Tick(now time.Time) []Reply {
	var replies []Reply
	for _, a := range p.ordered {
		if len(a.waiting)+len(a.gates) > 0 {
			replies = append(replies, p.serve(now, a)...)
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
func (p *Purse) Positions() []Position {
	var all []Position
	for _, a := range p.ordered {
		all = append(all, Position{
			Workspace: a.workspace, Prepaid: a.prepaid, Left: a.left(), Granted: a.granted, Taken: a.taken, Waiting: len(a.waiting),
		})
	}
	return all
}
