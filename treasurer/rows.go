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

// Tables of the rows that the treasurer keeps.
const (
	tableAccounts    = "masticway_accounts"
	tableCheckpoints = "masticway_books"
	tableRouters     = "masticway_routers"
)

// routersPart is the one part that has the presences of all routers, so that one call reads them all.
const routersPart = "routers"

// Presence is the row of a running router; StoreTime is the store's clock when it was written.
type Presence struct {
	Incarnation masticway.Incarnation `json:"incarnation"`
	// Address is where other routers reach it; empty if they cannot.
	Address string `json:"address,omitempty"`
	// Zone is the availability zone of the router.
	Zone string `json:"zone,omitempty"`
	// Processors is how many processors it may use.
	Processors float64       `json:"processors,omitempty"`
	StoreTime  time.Duration `json:"at_ns"`
}

// Grant is the part of a budget that one incarnation may spend.
type Grant struct {
	Granted int64 `json:"granted"`
	// Taken is what the holder had taken of the grant when it last changed it, so that other routers can estimate what it
	// has free.
	Taken int64 `json:"taken,omitempty"`
	// Demand is the demand at the holder at that time, in tokens a second; routers size their reserves by their shares of
	// the total.
	Demand int64 `json:"demand,omitempty"`
}

// Account is the row of one workspace. When a grant grows, the sum of Closed and all grants does not exceed Prepaid.
type Account struct {
	// Prepaid and Version come from the newest configuration that any router has written here.
	Prepaid int64 `json:"prepaid"`
	Version int64 `json:"version"`
	// Closed is what ended incarnations have spent or are presumed to have spent.
	Closed int64                           `json:"closed"`
	Grants map[masticway.Incarnation]Grant `json:"grants,omitempty"`
}

// Ungranted returns what is not granted to any router; it is negative after a budget was lowered below that.
func (a Account) Ungranted() int64 {
	left := a.Prepaid - a.Closed
	for _, g := range a.Grants {
		left -= g.Granted
	}
	return left
}

// WithGrant returns the account with one incarnation's grant replaced. An empty grant is removed: every router reads each
// row, and a row with a hundred empty grants takes ten times as long to read.
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

// WithClosed returns the account without an incarnation's grant, of which the given amount counts as spent.
func (a Account) WithClosed(i masticway.Incarnation, spent int64) Account {
	grants := maps.Clone(a.Grants)
	delete(grants, i)
	a.Closed += min(spent, a.Grants[i].Granted)
	a.Grants = grants
	return a
}

// SpendLimit bounds what an incarnation takes from one workspace until its next checkpoint.
type SpendLimit struct {
	Taken int64 `json:"taken"`
	Burst int64 `json:"burst"`
	// Rate is in tokens a second since the basis; it replaces Burst where it allows more. It allows more the longer the
	// store does not answer, because routers that are killed are mostly restarted within a second, and what their limits
	// allowed for a longer time would be lost. MaxUnwitnessed bounds what Rate allows before witnesses have acknowledged
	// it, MaxEarly what it allows until the store has not answered for outageThreshold.
	Rate           int64 `json:"rate"`
	MaxUnwitnessed int64 `json:"alone,omitempty"`
	MaxEarly       int64 `json:"ahead,omitempty"`
}

// bound returns the most that may have been taken the given time after the basis.
func (p SpendLimit) bound(elapsed time.Duration) int64 {
	byRate := p.rateBound(elapsed)
	if elapsed < outageThreshold {
		byRate = min(byRate, p.MaxEarly)
	}
	return p.Taken + max(p.Burst, byRate)
}

// unwitnessedBound returns the part of bound that needs no acknowledgement of witnesses.
func (p SpendLimit) unwitnessedBound(elapsed time.Duration) int64 {
	return p.Taken + max(p.Burst, min(p.rateBound(elapsed), p.MaxUnwitnessed, p.MaxEarly))
}

// rateBound returns what the rate allows after the given time.
func (p SpendLimit) rateBound(elapsed time.Duration) int64 {
	return int64(float64(p.Rate) * elapsed.Seconds())
}

// EndedIncarnation is an incarnation that has ended and whose grants are not all closed yet.
type EndedIncarnation struct {
	Incarnation masticway.Incarnation `json:"incarnation"`
	// MaxSpent is the most that it may have taken, by workspace; MaxUnwitnessed is the part of that which needed no
	// acknowledgement of witnesses.
	MaxSpent       map[string]int64 `json:"spent"`
	MaxUnwitnessed map[string]int64 `json:"written,omitempty"`
	// Taken is what its last checkpoint has as taken, and SinceBasis the time from that checkpoint's basis to the latest
	// time at which the incarnation may have run. Both only explain in logs where a presumed amount comes from.
	Taken      map[string]int64 `json:"taken,omitempty"`
	SinceBasis time.Duration    `json:"silence_ns,omitempty"`
	// Witnesses know what it took beyond MaxUnwitnessed, if a quorum of them answers; Sequence is that of its last
	// checkpoint.
	Witnesses []Witness `json:"witnesses,omitempty"`
	Sequence  int64     `json:"sequence,omitempty"`
}

// Checkpoint is the row of one instance: it bounds what its incarnation may spend until the next one.
type Checkpoint struct {
	Incarnation masticway.Incarnation `json:"incarnation"`
	Sequence    int64                 `json:"sequence"`
	// Address is where the incarnation listens; no other process on the machine can listen there at the same time.
	Address string `json:"address,omitempty"`
	// Basis is the store's clock at the last write that was known to be made when this one was sent.
	Basis  time.Duration         `json:"basis_ns"`
	Limits map[string]SpendLimit `json:"promises,omitempty"`
	// Witnesses remember what the incarnation takes beyond the unwitnessed part of its limits.
	Witnesses []Witness          `json:"witnesses,omitempty"`
	Ended     []EndedIncarnation `json:"ended,omitempty"`
}

// startInfo describes the start of an incarnation.
type startInfo struct {
	incarnation masticway.Incarnation
	address     string
	// now is the store's clock; listening is an upper bound of that clock when the incarnation began to listen at its
	// address.
	now       time.Duration
	listening time.Duration
}

// endedBy returns the store's clock by which the incarnation that wrote the checkpoint had certainly ended: when another
// process listened at its address, or else when its checkpoint was taken over.
func (b Checkpoint) endedBy(s startInfo) time.Duration {
	if b.Address == "" || b.Address != s.address {
		return s.now
	}
	return min(s.now, s.listening)
}

// successor returns the first checkpoint of a new incarnation, which lists the old one as ended.
func (b Checkpoint) successor(s startInfo) Checkpoint {
	ended := append([]EndedIncarnation(nil), b.Ended...)
	if len(b.Limits) > 0 {
		elapsed := b.endedBy(s) - b.Basis
		maxSpent := make(map[string]int64, len(b.Limits))
		maxUnwitnessed := make(map[string]int64, len(b.Limits))
		taken := make(map[string]int64, len(b.Limits))
		for workspace, p := range b.Limits {
			maxSpent[workspace] = p.bound(elapsed)
			maxUnwitnessed[workspace] = p.unwitnessedBound(elapsed)
			taken[workspace] = p.Taken
		}
		ended = append(ended, EndedIncarnation{
			Incarnation: b.Incarnation, MaxSpent: maxSpent, MaxUnwitnessed: maxUnwitnessed, Taken: taken, SinceBasis: elapsed, Sequence: b.Sequence,
			Witnesses: b.Witnesses,
		})
	}
	return Checkpoint{Incarnation: s.incarnation, Address: s.address, Basis: s.now, Ended: ended}
}

// CloseGrant returns the write that removes an ended incarnation's grant from a workspace's row, and the grant. It writes
// the row even without a grant, so that a late write of the ended incarnation conflicts with a newer version.
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

// accountKey returns the key of a workspace's row.
func accountKey(workspace string, parts int) masticway.RowKey {
	return masticway.RowKey{Table: tableAccounts, Part: PartOf(workspace, parts), Key: workspace}
}

// PartOf returns the part of the store that has the row of a workspace or an instance.
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
	a, err := decode[Account](row)
	if err != nil {
		return Account{}
	}
	return a
}
