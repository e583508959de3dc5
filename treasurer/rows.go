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

// Presence is the row of a running router; StoreTime is its estimate of the store's clock when it was written.
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

// Grant is the part of a budget that one incarnation may spend, in tokens.
type Grant struct {
	Granted int64 `json:"granted"`
	// Taken is what the incarnation had taken of the grant when it last changed it, so that other routers can estimate what
	// it has free.
	Taken int64 `json:"taken,omitempty"`
	// Demand is the demand at the incarnation's router at that time, in tokens a second; routers size their reserves by their
	// shares of the total.
	Demand int64 `json:"demand,omitempty"`
}

// Account is the row of one workspace; its amounts are in tokens. When a grant grows, the sum of Closed and all grants does
// not exceed Prepaid.
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

// WithClosed returns the account without an incarnation's grant, of which the given amount counts as spent, but no more than
// the grant.
func (a Account) WithClosed(i masticway.Incarnation, spent int64) Account {
	grants := maps.Clone(a.Grants)
	delete(grants, i)
	a.Closed += min(spent, a.Grants[i].Granted)
	a.Grants = grants
	return a
}

// SpendLimit bounds what an incarnation clears, and so what can be used, of one workspace until its next checkpoint. What it
// takes beyond the limit waits for clearance.
type SpendLimit struct {
	// Taken is what was taken of the grant when the checkpoint was sent, in tokens. Burst is how much may be cleared beyond
	// it at once.
	Taken int64 `json:"taken"`
	Burst int64 `json:"burst"`
	// Rate is in tokens a second since the checkpoint's Basis; it replaces Burst where it allows more. The longer the store
	// does not answer, the larger is the part of it that counts, because routers that are killed are mostly restarted within
	// a second, and what their limits allowed for a longer time would be lost. MaxUnwitnessed bounds, in tokens, what Rate
	// allows before witnesses have acknowledged it, MaxEarly what it allows until outageThreshold after the Basis.
	Rate           int64 `json:"rate"`
	MaxUnwitnessed int64 `json:"alone,omitempty"`
	MaxEarly       int64 `json:"ahead,omitempty"`
}

// bound returns the most that may have been cleared the given time after the Basis.
func (l SpendLimit) bound(elapsed time.Duration) int64 {
	byRate := l.rateBound(elapsed)
	if elapsed < outageThreshold {
		byRate = min(byRate, l.MaxEarly)
	}
	return l.Taken + max(l.Burst, byRate)
}

// unwitnessedBound returns the part of bound that needs no acknowledgement of witnesses.
func (l SpendLimit) unwitnessedBound(elapsed time.Duration) int64 {
	return l.Taken + max(l.Burst, min(l.rateBound(elapsed), l.MaxUnwitnessed, l.MaxEarly))
}

// rateBound returns what the rate allows after the given time.
func (l SpendLimit) rateBound(elapsed time.Duration) int64 {
	return int64(float64(l.Rate) * elapsed.Seconds())
}

// EndedIncarnation is an incarnation that has ended and whose grants may not all be closed yet.
type EndedIncarnation struct {
	Incarnation masticway.Incarnation `json:"incarnation"`
	// MaxSpent is the most that it may have spent, by workspace; MaxUnwitnessed is the part of that which needed no
	// acknowledgement of witnesses.
	MaxSpent       map[string]int64 `json:"spent"`
	MaxUnwitnessed map[string]int64 `json:"written,omitempty"`
	// Taken is what its last checkpoint has as taken, and SinceBasis the time from that checkpoint's Basis to the latest time
	// at which the incarnation may have run. Both only explain in logs where a presumed amount comes from.
	Taken      map[string]int64 `json:"taken,omitempty"`
	SinceBasis time.Duration    `json:"silence_ns,omitempty"`
	// Witnesses are those of its last checkpoint: they know what it spent beyond MaxUnwitnessed if enough of them answer.
	// Sequence is that checkpoint's number.
	Witnesses []Witness `json:"witnesses,omitempty"`
	Sequence  int64     `json:"sequence,omitempty"`
}

// Checkpoint is the row of one instance: it bounds what its incarnation may spend until it writes the next one.
type Checkpoint struct {
	Incarnation masticway.Incarnation `json:"incarnation"`
	// Sequence is the number of the checkpoint among those of its incarnation.
	Sequence int64 `json:"sequence"`
	// Address is where the incarnation listens; no other process on the machine can listen there at the same time.
	Address string `json:"address,omitempty"`
	// Basis is the store's clock at the incarnation's last earlier write of this row that it knew to be made, and knew the
	// time of, when it sent this one.
	Basis  time.Duration         `json:"basis_ns"`
	Limits map[string]SpendLimit `json:"promises,omitempty"`
	// Witnesses remember what the incarnation spends beyond the unwitnessed part of its limits.
	Witnesses []Witness `json:"witnesses,omitempty"`
	// Ended lists earlier incarnations of the instance.
	Ended []EndedIncarnation `json:"ended,omitempty"`
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

// endedBy returns the store's clock by which the incarnation that wrote the checkpoint had certainly ended: when the new one
// began to listen at its address, or else, if the addresses differ or that is unknown, when its checkpoint was taken over.
func (c Checkpoint) endedBy(s startInfo) time.Duration {
	if c.Address == "" || c.Address != s.address {
		return s.now
	}
	return min(s.now, s.listening)
}

// successor returns the first checkpoint of a new incarnation, which lists the old one as ended if that had any spend limits.
func (c Checkpoint) successor(s startInfo) Checkpoint {
	ended := append([]EndedIncarnation(nil), c.Ended...)
	if len(c.Limits) > 0 {
		elapsed := c.endedBy(s) - c.Basis
		maxSpent := make(map[string]int64, len(c.Limits))
		maxUnwitnessed := make(map[string]int64, len(c.Limits))
		taken := make(map[string]int64, len(c.Limits))
		for workspace, p := range c.Limits {
			maxSpent[workspace] = p.bound(elapsed)
			maxUnwitnessed[workspace] = p.unwitnessedBound(elapsed)
			taken[workspace] = p.Taken
		}
		ended = append(ended, EndedIncarnation{
			Incarnation: c.Incarnation, MaxSpent: maxSpent, MaxUnwitnessed: maxUnwitnessed, Taken: taken, SinceBasis: elapsed, Sequence: c.Sequence,
			Witnesses: c.Witnesses,
		})
	}
	return Checkpoint{Incarnation: s.incarnation, Address: s.address, Basis: s.now, Ended: ended}
}

// CloseGrant returns the write that removes an ended incarnation's grant from a workspace's row, and the grant. The write is
// needed even without a grant, so that a late write of the ended incarnation conflicts with a newer version.
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

// PartOf returns the part that has the row of a workspace or an instance.
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

// decode decodes the value of a row; it returns the zero value if the row does not exist.
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
