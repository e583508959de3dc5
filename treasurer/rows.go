package treasurer

import (
	"cmp"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/masticway/masticway"
)

// Tables of the rows that the treasurer keeps.
const (
	tableAccounts    = "masticway_accounts"
	tableCheckpoints = "masticway_books"
	// tableLimits has the spend limits of checkpoints, and tableEnded the ended incarnations of instances whose grants may not all be
	// closed yet. Both have the rows of an instance in the part with its checkpoint, so that they are written with it.
	tableLimits  = "masticway_limits"
	tableEnded   = "masticway_ended"
	tableRouters = "masticway_routers"
)

// routersPart is the only part of the table of presences, so that one call reads the presences of all routers.
const routersPart = "routers"

// Presence is the row with which a running router makes itself known to the others. StoreTime is the router's estimate of
// the store's clock when it wrote the row.
type Presence struct {
	Incarnation masticway.Incarnation `json:"incarnation"`
	// Address is where other routers reach the router. It is empty if they cannot.
	Address string `json:"address,omitempty"`
	// Zone is the availability zone of the router.
	Zone string `json:"zone,omitempty"`
	// Processors is how many processors the router may use, which may be a fraction.
	Processors float64       `json:"processors,omitempty"`
	StoreTime  time.Duration `json:"at_ns"`
	// Configuration is the version of the newest configuration that the router has.
	Configuration int64 `json:"configuration,omitempty"`
	// Era is the era of the store in which the row was written. Times of another era do not count.
	Era int64 `json:"era,omitempty"`
	// JoinTime is the store's time since which the instance has been present without a gap (see retrier.Presence).
	JoinTime time.Duration `json:"joined_ns,omitempty"`
}

// Grant is the part of a budget that one incarnation may spend, in tokens.
type Grant struct {
	Granted int64 `json:"granted"`
	// Taken is what the incarnation had taken of the grant when it last changed the grant. Other routers estimate from it
	// how much of the grant is free.
	Taken int64 `json:"taken,omitempty"`
	// Demand is the demand at the incarnation's router when it last changed the grant, in tokens a second. Each router sizes
	// its reserve by its share of the sum of all demands.
	Demand int64 `json:"demand,omitempty"`
	// Sequence numbers the changes of the grant by its incarnation. It tells which one of two rows is newer if the store has lost
	// one of them with an earlier era.
	Sequence int64 `json:"sequence,omitempty"`
}

// Account is the row of one workspace. Its amounts are in tokens. A grant grows only if the sum of Closed and all grants
// does not exceed Prepaid afterwards. The sum can exceed Prepaid only because Prepaid is lowered later.
//
// No grant is added to a row that would be nearly full with it, and Ended has at most maxClosedGrants entries.
type Account struct {
	// Prepaid is what the workspace has paid for, and Version the version of the configuration that says so: the newest that
	// a router has written to this row.
	Prepaid int64 `json:"prepaid"`
	Version int64 `json:"version"`
	// Closed is what ended incarnations have spent or are presumed to have spent.
	Closed int64                           `json:"closed"`
	Grants map[masticway.Incarnation]Grant `json:"grants,omitempty"`
	// Ended has the grants that were closed lately, so that a closing that the store loses with an era can be made again, once.
	Ended map[masticway.Incarnation]ClosedGrant `json:"ended,omitempty"`
}

// ClosedGrant is what counted as spent of a grant that was closed, and the store's time then.
type ClosedGrant struct {
	Spent int64         `json:"spent"`
	At    time.Duration `json:"at_ns"`
}

// closedGrantTTL is how long a closed grant stays in the account's row. It is many times the greatest age of a copy from which the
// store returns.
const closedGrantTTL = time.Minute

// maxClosedGrants bounds Account.Ended, so that its row does not grow with the routers that are killed. If more are closed within
// closedGrantTTL, a closing that the store loses with an era may be made twice, which counts more as spent than was.
const maxClosedGrants = 128

// Ungranted returns how many prepaid tokens are neither closed nor granted to any router. It is negative if the budget was
// lowered below what is closed and granted.
func (a Account) Ungranted() int64 {
	allocated := a.Closed
	for _, g := range a.Grants {
		allocated = min(allocated+g.Granted, maxAllocated)
	}
	return a.Prepaid - allocated
}

// repair bounds the amounts of a decoded account, so that their sums do not overflow, and undoes the damage that overflows have done
// to them in earlier builds.
func (a *Account) repair() {
	a.Prepaid, a.Closed = boundedAmount(a.Prepaid), repairedSpend(a.Closed)
	for i, g := range a.Grants {
		g.Granted = repairedSpend(g.Granted)
		g.Taken, g.Demand = max(0, min(g.Taken, g.Granted)), boundedAmount(g.Demand)
		a.Grants[i] = g
	}
	for i, closed := range a.Ended {
		closed.Spent = repairedSpend(closed.Spent)
		a.Ended[i] = closed
	}
}

// decodeAccount decodes a workspace's row.
func decodeAccount(row masticway.StoredRow) (Account, error) {
	a, err := decode[Account](row)
	a.repair()
	return a, err
}

// WithGrant returns the account with one incarnation's grant replaced. An empty grant is removed, because every router reads
// each row, and a row with a hundred empty grants takes ten times as long to read.
func (a Account) WithGrant(i masticway.Incarnation, g Grant) Account {
	grants := maps.Clone(a.Grants)
	if grants == nil {
		grants = map[masticway.Incarnation]Grant{}
	}
	if g.Granted > 0 {
		grants[i] = g
	} else {
		delete(grants, i)
	}
	a.Grants = grants
	return a
}

// WithClosed returns the account without an incarnation's grant. It adds the amount spent to Closed, but at most the grant;
// the rest of the grant is ungranted again. If a grant of the incarnation was closed already, nothing is added. at is the store's
// time.
func (a Account) WithClosed(i masticway.Incarnation, spent int64, at time.Duration) Account {
	return a.withEnded(i, ClosedGrant{Spent: min(spent, a.Grants[i].Granted), At: at})
}

// withEnded returns the account without an incarnation's grant, and with what counted as spent of it. If a grant of the
// incarnation was closed already, nothing is added.
func (a Account) withEnded(i masticway.Incarnation, closed ClosedGrant) Account {
	if _, open := a.Grants[i]; open {
		a.Grants = maps.Clone(a.Grants)
		delete(a.Grants, i)
	}
	if _, known := a.Ended[i]; known || closed.Spent == 0 {
		return a
	}
	ended := maps.Clone(a.Ended)
	if ended == nil {
		ended = map[masticway.Incarnation]ClosedGrant{}
	}
	ended[i] = closed
	for len(ended) > maxClosedGrants {
		delete(ended, oldestClosed(ended))
	}
	a.Closed, a.Ended = a.Closed+closed.Spent, ended
	return a
}

// oldestClosed returns the incarnation whose grant was closed first.
func oldestClosed(ended map[masticway.Incarnation]ClosedGrant) masticway.Incarnation {
	return slices.MinFunc(slices.Collect(maps.Keys(ended)), func(x, y masticway.Incarnation) int {
		return cmp.Or(cmp.Compare(ended[x].At, ended[y].At), cmp.Compare(x, y))
	})
}

// withoutOldEnded returns the account without the grants that were closed long before now, by the store's clock.
func (a Account) withoutOldEnded(now time.Duration) Account {
	for _, closed := range a.Ended {
		if (now - closed.At).Abs() > closedGrantTTL {
			a.Ended = maps.Clone(a.Ended)
			maps.DeleteFunc(a.Ended, func(_ masticway.Incarnation, c ClosedGrant) bool { return (now - c.At).Abs() > closedGrantTTL })
			break
		}
	}
	return a
}

// SpendLimit is a bound in a checkpoint on the tokens of one workspace that an incarnation may have cleared until it writes
// its next checkpoint. Holds beyond the bound wait for clearance, so that no more than the bound can be used.
type SpendLimit struct {
	// Taken is what the incarnation had taken of its grant when it sent the checkpoint, in tokens. Burst is how many tokens
	// may be cleared at once beyond Taken.
	Taken int64 `json:"taken"`
	Burst int64 `json:"burst"`
	// Rate is how many tokens may be cleared beyond Taken for each second since the checkpoint's Basis, if that is more than
	// Burst. Two bounds in tokens apply to what Rate allows: MaxEarly until outageThreshold after the Basis, and
	// MaxUnwitnessed until witnesses have acknowledged more. MaxEarly exists because what a limit allowed is lost when the
	// router crashes. Routers that crash are mostly restarted within a second, so little should be allowed within that time.
	Rate           int64 `json:"rate"`
	MaxUnwitnessed int64 `json:"alone,omitempty"`
	MaxEarly       int64 `json:"ahead,omitempty"`
}

// bound returns the most that may have been cleared at the time elapsed after the checkpoint's Basis, in tokens.
func (l SpendLimit) bound(elapsed time.Duration) int64 {
	byRate := l.rateBound(elapsed)
	if elapsed < outageThreshold {
		byRate = min(byRate, l.MaxEarly)
	}
	return l.Taken + max(l.Burst, byRate)
}

// unwitnessedBound returns the most that may have been cleared, at the time elapsed after the checkpoint's Basis, without
// the acknowledgement of witnesses.
func (l SpendLimit) unwitnessedBound(elapsed time.Duration) int64 {
	return l.Taken + max(l.Burst, min(l.rateBound(elapsed), l.MaxUnwitnessed, l.MaxEarly))
}

// rateBound returns how many tokens Rate allows within the time elapsed.
func (l SpendLimit) rateBound(elapsed time.Duration) int64 {
	return roundAmount(float64(l.Rate) * elapsed.Seconds())
}

// EndedIncarnation is an earlier incarnation of an instance that has ended, and some of whose grants may not be closed yet. Its row
// has no amounts: these follow from its spend limits, whose rows stay as they were until its grants are closed. Only what a checkpoint
// of an earlier build listed has its amounts in its row.
type EndedIncarnation struct {
	Incarnation masticway.Incarnation `json:"incarnation"`
	// Generation is that of the incarnation's checkpoints, and LimitRows how many rows its spend limits take.
	Generation int64 `json:"generation,omitempty"`
	LimitRows  int   `json:"limit_rows,omitempty"`
	// MaxSpent is the most that the incarnation may have spent, by workspace. MaxUnwitnessed is the most that it may have
	// spent without the acknowledgement of witnesses.
	MaxSpent       map[string]int64 `json:"spent,omitempty"`
	MaxUnwitnessed map[string]int64 `json:"written,omitempty"`
	// Limits are the spend limits of the incarnation's last checkpoint, and Basis is that checkpoint's. SinceBasis is the time from
	// it to the latest time at which the incarnation may have run.
	Limits     map[string]SpendLimit `json:"limits,omitempty"`
	Basis      time.Duration         `json:"basis_ns,omitempty"`
	SinceBasis time.Duration         `json:"silence_ns,omitempty"`
	// Witnesses are the witnesses that the incarnation's last checkpoint named. If enough of them answer, they know what it
	// spent beyond MaxUnwitnessed. Sequence is the number of the incarnation's last checkpoint.
	Witnesses []Witness `json:"witnesses,omitempty"`
	Sequence  int64     `json:"sequence,omitempty"`
	// Era is the era of the store in which the last checkpoint was read. The incarnation's grants may be lost in a later one.
	Era int64 `json:"era,omitempty"`
	// FromCopy is set if the last checkpoint is of an earlier era of the store than the one in which it was taken over. The
	// incarnation may have written later ones, which are lost. MaxSpent is then what its rates would have allowed since, for
	// maxCopyAge more. Where the era has been continued (see EraRecord), its whole grants count as spent instead.
	FromCopy bool `json:"from_copy,omitempty"`
}

// Checkpoint bounds what an instance's incarnation may spend until it writes the next one. It is one row of the instance with
// everything but Limits and Ended, which are in rows of their own (see checkpointRows). So the size of no row depends on how many
// workspaces or earlier incarnations there are. All writes of an incarnation to these rows expect the version of the
// first one, so that a successor that replaces it fences them all.
type Checkpoint struct {
	Incarnation masticway.Incarnation `json:"incarnation"`
	// Generation is one more than that of the checkpoint that the incarnation took over. Era is the era of the store for which the
	// checkpoint was written. A checkpoint in the store that is of an earlier era is from a copy.
	Generation int64 `json:"generation,omitempty"`
	Era        int64 `json:"era,omitempty"`
	// Sequence numbers the checkpoints of one incarnation, in the order in which they are sent.
	Sequence int64 `json:"sequence"`
	// Address is where the incarnation listens; no other process on the machine can listen there at the same time.
	Address string `json:"address,omitempty"`
	// Basis is the time from which SpendLimit.Rate counts, by the store's clock. It is the time of an earlier write of this
	// row by the incarnation: the latest one whose success and time the incarnation knew when it sent this checkpoint. In an
	// incarnation's first checkpoint, which has no limits, it is when the predecessor's checkpoint was read.
	Basis time.Duration `json:"basis_ns"`
	// HasRows is set if Limits and Ended are in rows of their own, of which Limits take LimitRows. Earlier builds write both in the
	// checkpoint's own row.
	HasRows   bool                  `json:"has_rows,omitempty"`
	LimitRows int                   `json:"limit_rows,omitempty"`
	Limits    map[string]SpendLimit `json:"promises,omitempty"`
	// Witnesses remember what the incarnation reports to them, which it must do before it clears tokens beyond the
	// unwitnessed part of its limits.
	Witnesses []Witness `json:"witnesses,omitempty"`
	// Ended lists the earlier incarnations of the instance whose grants may not all be closed yet. All grants of incarnations with
	// generations below ClosedBefore are closed.
	Ended        []EndedIncarnation `json:"ended,omitempty"`
	ClosedBefore int64              `json:"closed_before,omitempty"`
	// AckedAt is when the incarnation last acknowledged another router's report, by the store's clock, or later. IsTraced is set if it
	// keeps to minAckSilence and records AckedAt, which routers of earlier builds do not.
	AckedAt  time.Duration `json:"acked_ns,omitempty"`
	IsTraced bool          `json:"traced,omitempty"`
	// Predecessors has the last earlier incarnations that listened at Address, at most maxPredecessors, oldest first.
	Predecessors []Predecessor `json:"predecessors,omitempty"`
}

// maxPredecessors bounds Checkpoint.Predecessors.
const maxPredecessors = 4

// Predecessor is an earlier incarnation of an instance, and a time of the store's clock by which it had certainly ended. Basis and
// AckedAt are those of its last checkpoint.
type Predecessor struct {
	Incarnation masticway.Incarnation `json:"incarnation"`
	EndedBy     time.Duration         `json:"ended_by_ns"`
	Basis       time.Duration         `json:"basis_ns"`
	AckedAt     time.Duration         `json:"acked_ns,omitempty"`
}

// startInfo describes the start of an incarnation.
type startInfo struct {
	incarnation masticway.Incarnation
	address     string
	// era is the era of the store.
	era int64
	// now is the store's clock when the predecessor's checkpoint was read. listening is an upper bound of the store's clock
	// at the time at which the incarnation began to listen at its address.
	now       time.Duration
	listening time.Duration
}

// endedBy returns a time, by the store's clock, at which the incarnation that wrote the checkpoint had certainly ended. If
// the new incarnation has its address, that is when the new one began to listen there. Otherwise it is when the new one read
// the checkpoint in order to take it over.
func (c Checkpoint) endedBy(s startInfo) time.Duration {
	if c.Address == "" || c.Address != s.address {
		return s.now
	}
	return min(s.now, s.listening)
}

// successor returns the first checkpoint of a new incarnation. If the old checkpoint c has any spend limits, the new one
// lists the incarnation of c as ended.
func (c Checkpoint) successor(s startInfo) Checkpoint {
	ended := append([]EndedIncarnation(nil), c.Ended...)
	if len(c.Limits) > 0 {
		elapsed := c.endedBy(s) - c.Basis
		fromCopy := c.Era != s.era
		if fromCopy {
			elapsed = max(0, elapsed) + maxCopyAge
		}
		e := EndedIncarnation{
			Incarnation: c.Incarnation, Generation: c.Generation, LimitRows: c.LimitRows, Limits: c.Limits, Basis: c.Basis, SinceBasis: elapsed, Sequence: c.Sequence,
			Witnesses: c.Witnesses, Era: s.era, FromCopy: fromCopy,
		}
		ended = append(ended, e.withBounds())
	}
	return Checkpoint{
		Incarnation: s.incarnation, Generation: c.Generation + 1, Era: s.era, Address: s.address, Basis: s.now, IsTraced: true, Ended: ended, ClosedBefore: c.ClosedBefore,
		Predecessors: c.predecessorsFor(s),
	}
}

// boundedLimits returns spend limits with amounts whose sums do not overflow, and without the damage of earlier builds.
func boundedLimits(limits map[string]SpendLimit) map[string]SpendLimit {
	bounded := make(map[string]SpendLimit, len(limits))
	for workspace, l := range limits {
		bounded[workspace] = SpendLimit{
			Taken: repairedSpend(l.Taken), Burst: boundedAmount(l.Burst), Rate: boundedAmount(l.Rate),
			MaxUnwitnessed: boundedAmount(l.MaxUnwitnessed), MaxEarly: boundedAmount(l.MaxEarly),
		}
	}
	return bounded
}

// withBounds returns the ended incarnation with what its spend limits allowed it to spend.
func (e EndedIncarnation) withBounds() EndedIncarnation {
	e.Limits = boundedLimits(e.Limits)
	e.MaxSpent, e.MaxUnwitnessed = make(map[string]int64, len(e.Limits)), make(map[string]int64, len(e.Limits))
	for workspace, limit := range e.Limits {
		e.MaxSpent[workspace] = limit.bound(e.SinceBasis)
		e.MaxUnwitnessed[workspace] = limit.unwitnessedBound(e.SinceBasis)
		if e.FromCopy {
			e.MaxUnwitnessed[workspace] = e.MaxSpent[workspace]
		}
	}
	return e
}

// predecessorsFor returns Checkpoint.Predecessors for the first checkpoint of a new incarnation.
func (c Checkpoint) predecessorsFor(s startInfo) []Predecessor {
	if !c.IsTraced || c.Address == "" || c.Address != s.address || c.Era != s.era {
		// Nothing is known of what the other one acknowledged or when it ended, or it is by another clock.
		return nil
	}
	all := append(slices.Clone(c.Predecessors), Predecessor{Incarnation: c.Incarnation, EndedBy: c.endedBy(s), Basis: c.Basis, AckedAt: c.AckedAt})
	return all[max(0, len(all)-maxPredecessors):]
}

// supersedes reports whether the checkpoint, which the store has, shows that the incarnation of another one has a successor. An
// earlier incarnation's checkpoint does not: the store may have it because it has returned from a copy.
func (c Checkpoint) supersedes(o Checkpoint) bool {
	return c.Generation > o.Generation || c.Generation == o.Generation && c.Era == o.Era
}

// WithLostClosed is like WithClosed, but the store may have lost the grant with an earlier era, so that it does not bound what was
// spent.
func (a Account) WithLostClosed(i masticway.Incarnation, spent int64, at time.Duration) Account {
	return a.withEnded(i, ClosedGrant{Spent: spent, At: at})
}

// CloseGrant returns the write that removes an ended incarnation's grant from a workspace's row, and the grant. The caller
// must make the write even if there is no grant: it gives the row a new version, so that a late write of the ended
// incarnation conflicts.
//
// at is the store's time. isLost is set if the store may have lost the grant with an earlier era (see WithLostClosed).
func CloseGrant(row masticway.StoredRow, ended masticway.Incarnation, spent int64, at time.Duration, isLost bool) (masticway.RowWrite, Grant, error) {
	account, err := decodeAccount(row)
	if err != nil {
		return masticway.RowWrite{}, Grant{}, err
	}
	spent = repairedSpend(spent)
	next := account.WithClosed(ended, spent, at)
	if isLost {
		next = account.WithLostClosed(ended, spent, at)
	}
	return masticway.RowWrite{
		Expected: []masticway.RowVersion{{RowKey: row.RowKey, Version: row.Version}},
		Puts:     []masticway.RowPut{{RowKey: row.RowKey, Value: encode(next)}},
	}, account.Grants[ended], nil
}

// accountKey returns the key of a workspace's row.
func accountKey(workspace string, parts int) masticway.RowKey {
	return masticway.RowKey{Table: tableAccounts, Part: PartOf(workspace, parts), Key: workspace}
}

// PartOf returns the part that has the row with the given key, which is a workspace or an instance, in a table of so many
// parts.
func PartOf(key string, parts int) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(key))
	return strconv.Itoa(int(h.Sum32()) % parts)
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		// The rows consist of numbers and strings, which can always be encoded.
		panic(fmt.Sprintf("encoding a row: %v", err))
	}
	return data
}

// decode decodes the value of a row. It returns the zero value if the row does not exist or is deleted.
func decode[T any](row masticway.StoredRow) (T, error) {
	var v T
	if len(row.Value) == 0 || row.Deleted {
		return v, nil
	}
	if err := json.Unmarshal(row.Value, &v); err != nil {
		return v, fmt.Errorf("decoding row %s/%s/%s: %w", row.Table, row.Part, row.Key, err)
	}
	return v, nil
}

// ReadAccount decodes a workspace's row for operators and tests; it returns an empty account if the row is invalid.
func ReadAccount(row masticway.StoredRow) Account {
	a, err := decodeAccount(row)
	if err != nil {
		return Account{}
	}
	return a
}
