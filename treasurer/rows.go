package treasurer

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"maps"
	"strconv"
	"time"

	"github.com/masticway/masticway"
)

// Tables of the money rows.
const (
	tableAccounts    = "masticway_accounts"
	tableCheckpoints = "masticway_books"
	tableRouters     = "masticway_routers"
)

// routersPart is the one part that tells of all routers, so that they are counted with one call.
const routersPart = "routers"

// Presence is the row of a running router; At is the store's clock when it was written.
type Presence struct {
	Incarnation masticway.Incarnation `json:"incarnation"`
	// Address is where other routers reach it; empty when they cannot.
	Address string `json:"address,omitempty"`
	// Zone is the availability zone that it is in.
	Zone string `json:"zone,omitempty"`
	// Processors is how many processors it may use.
	Processors float64       `json:"processors,omitempty"`
	At         time.Duration `json:"at_ns"`
}

// Grant is money that one incarnation may spend.
type Grant struct {
	Granted int64 `json:"granted"`
	// Taken is what the holder had taken of it then: all know what is in hands, give or take what has been taken since.
	Taken int64 `json:"taken,omitempty"`
	// Demand is the tokens a second that the holder was asked for then; what is kept in hand is shared by it.
	Demand int64 `json:"demand,omitempty"`
}

// Account is the row of one workspace: Closed plus all grants never exceed Prepaid when a grant grows.
type Account struct {
	// Prepaid and Version are the newest configuration's word that any router has brought here.
	Prepaid int64 `json:"prepaid"`
	Version int64 `json:"version"`
	// Closed is what ended incarnations have spent, or may have.
	Closed int64                           `json:"closed"`
	Grants map[masticway.Incarnation]Grant `json:"grants,omitempty"`
}

// Left returns what is not granted to anybody; it is negative after a budget was lowered.
func (a Account) Left() int64 {
	left := a.Prepaid - a.Closed
	for _, g := range a.Grants {
		left -= g.Granted
	}
	return left
}

// WithGrant returns the account with one incarnation's grant replaced. One that has given all back is not kept: every
// router reads each row, and a row with a hundred grants of nothing takes ten times as long to read.
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

// WithClosed returns the account without an incarnation's grant, of which so much counts as spent.
func (a Account) WithClosed(i masticway.Incarnation, spent int64) Account {
	grants := maps.Clone(a.Grants)
	delete(grants, i)
	a.Closed += min(spent, a.Grants[i].Granted)
	a.Grants = grants
	return a
}

// SpendLimit bounds what an incarnation takes from one workspace until its book is written again.
type SpendLimit struct {
	Taken int64 `json:"taken"`
	Burst int64 `json:"burst"`
	// Rate is in tokens a second since the basis, in place of the burst, if it is more. It grows with the silence, since
	// routers that are killed are mostly back within a second, and what they promised for longer would be lost. Alone bounds
	// what it allows before a witness has heard of it, Ahead what it allows until the store has been silent for outageThreshold.
	Rate           int64 `json:"rate"`
	MaxUnwitnessed int64 `json:"alone,omitempty"`
	MaxEarly       int64 `json:"ahead,omitempty"`
}

// bound returns the most that may have been taken so long after the promise's basis.
func (p SpendLimit) bound(passed time.Duration) int64 {
	silent := p.rateBound(passed)
	if passed < outageThreshold {
		silent = min(silent, p.MaxEarly)
	}
	return p.Taken + max(p.Burst, silent)
}

// unwitnessedBound returns the part of that of which no witness has heard.
func (p SpendLimit) unwitnessedBound(passed time.Duration) int64 {
	return p.Taken + max(p.Burst, min(p.rateBound(passed), p.MaxUnwitnessed, p.MaxEarly))
}

// rateBound is what the rate comes to after a time.
func (p SpendLimit) rateBound(passed time.Duration) int64 {
	return int64(float64(p.Rate) * passed.Seconds())
}

// EndedIncarnation is a dead incarnation whose grants are not all closed yet.
type EndedIncarnation struct {
	Incarnation masticway.Incarnation `json:"incarnation"`
	// MaxSpent is the most that it may have taken, by workspace, and Written what its last book says without what witnesses
	// have to hear of.
	MaxSpent       map[string]int64 `json:"spent"`
	MaxUnwitnessed map[string]int64 `json:"written,omitempty"`
	// Taken is what its last book says without the bursts, and Silence how long after its basis the incarnation may have
	// lived; they only tell where what is presumed comes from.
	Taken      map[string]int64 `json:"taken,omitempty"`
	SinceBasis time.Duration    `json:"silence_ns,omitempty"`
	// Witnesses know what it took beyond that, if most can be asked; Sequence is its last book's.
	Witnesses []Witness `json:"witnesses,omitempty"`
	Sequence  int64     `json:"sequence,omitempty"`
}

// Checkpoint is the row of one instance.
type Checkpoint struct {
	Incarnation masticway.Incarnation `json:"incarnation"`
	Sequence    int64                 `json:"sequence"`
	// Address is where the incarnation listens, which no other process on the machine can at the same time.
	Address string `json:"address,omitempty"`
	// Basis is the store's clock at the last write that the writer knew to be made when it sent this one.
	Basis  time.Duration         `json:"basis_ns"`
	Limits map[string]SpendLimit `json:"promises,omitempty"`
	// Witnesses remember what the incarnation takes beyond its promises' bursts.
	Witnesses []Witness          `json:"witnesses,omitempty"`
	Ended     []EndedIncarnation `json:"ended,omitempty"`
}

// startInfo is when and where an incarnation began.
type startInfo struct {
	incarnation masticway.Incarnation
	address     string
	// now is the store's clock, listening what it showed at the latest when the incarnation began to listen at its address.
	now       time.Duration
	listening time.Duration
}

// endedBy is the store's clock at which the incarnation that wrote a book had ended for certain: before another
// process could listen at its address, or else before its book was taken over.
func (b Checkpoint) endedBy(s startInfo) time.Duration {
	if b.Address == "" || b.Address != s.address {
		return s.now
	}
	return min(s.now, s.listening)
}

// successor returns the book of a new incarnation, which closes what the old one left.
func (b Checkpoint) successor(s startInfo) Checkpoint {
	ended := append([]EndedIncarnation(nil), b.Ended...)
	if len(b.Limits) > 0 {
		passed := b.endedBy(s) - b.Basis
		spent := make(map[string]int64, len(b.Limits))
		written := make(map[string]int64, len(b.Limits))
		taken := make(map[string]int64, len(b.Limits))
		for workspace, p := range b.Limits {
			spent[workspace] = p.bound(passed)
			written[workspace] = p.unwitnessedBound(passed)
			taken[workspace] = p.Taken
		}
		ended = append(ended, EndedIncarnation{
			Incarnation: b.Incarnation, MaxSpent: spent, MaxUnwitnessed: written, Taken: taken, SinceBasis: passed, Sequence: b.Sequence,
			Witnesses: b.Witnesses,
		})
	}
	return Checkpoint{Incarnation: s.incarnation, Address: s.address, Basis: s.now, Ended: ended}
}

// CloseGrant returns the write that ends an incarnation's grant in a workspace's row, and what the grant was. It writes
// the row even without a grant, so that a late draw of the dead incarnation finds a newer version and comes to nothing.
func CloseGrant(row masticway.StoredRow, ended masticway.Incarnation, spent int64) (masticway.RowWrite, Grant, error) {
	account, err := decode[Account](row)
	if err != nil {
		return masticway.RowWrite{}, Grant{}, err
	}
	return masticway.RowWrite{
		Expected: []masticway.RowVersion{{RowKey: row.RowKey, Version: row.Version}},
		Puts:     []masticway.RowPut{{RowKey: row.RowKey, Value: encode(account.WithClosed(ended, spent))}},
	}, account.Grants[ended], nil
}

// accountKey is where a workspace's row is kept.
func accountKey(workspace string, parts int) masticway.RowKey {
	return masticway.RowKey{Table: tableAccounts, Part: PartOf(workspace, parts), Key: workspace}
}

// PartOf is the part of the store in which a workspace's or an instance's row is kept.
func PartOf(key string, parts int) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(key))
	return strconv.Itoa(int(h.Sum32()) % parts)
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		// The rows hold numbers and strings only.
		panic(fmt.Sprintf("encoding a money row: %v", err))
	}
	return data
}

func decode[T any](row masticway.StoredRow) (T, error) {
	var v T
	if len(row.Value) == 0 || row.Deleted {
		return v, nil
	}
	if err := json.Unmarshal(row.Value, &v); err != nil {
		return v, fmt.Errorf("decoding money row %s/%s/%s: %w", row.Table, row.Part, row.Key, err)
	}
	return v, nil
}

// ReadAccount decodes a workspace's row for operators and tests; a row that cannot be read is empty.
func ReadAccount(row masticway.StoredRow) Account {
	a, err := decode[Account](row)
	if err != nil {
		return Account{}
	}
	return a
}
