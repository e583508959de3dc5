package bookkeeper

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/masticway/masticway"
)

// Grant is money moved from a budget to one incarnation, which may spend it.
type Grant struct {
	Payer    masticway.Incarnation `json:"payer"`
	Number   int64                 `json:"number"`
	Drawn    masticway.Amount      `json:"drawn"`
	Settled  masticway.Amount      `json:"settled"`
	Returned masticway.Amount      `json:"returned"`
	// Presumed is the part of Settled that was charged at maximum cost because a sidecar was lost and the true cost is
	// unknown.
	Presumed masticway.Amount `json:"presumed,omitempty"`
	// Seq is the sequence number of the latest committed move of the grant. After a lost answer it shows whether the move
	// was committed.
	Seq int64 `json:"seq"`
}

// OpenAmount returns the part of the grant that is neither settled nor returned.
func (g Grant) OpenAmount() masticway.Amount { return g.Drawn - g.Settled - g.Returned }

// Budget is the row of one prepaid budget.
type Budget struct {
	ID      string           `json:"id"`
	Prepaid masticway.Amount `json:"prepaid"`
	Settled masticway.Amount `json:"settled"`
	// Presumed is the part of Settled that was charged at maximum cost because a sidecar was lost and the true cost is
	// unknown.
	Presumed masticway.Amount `json:"presumed,omitempty"`
	// Refunded is the sum of the refunds for double and superseded bills. It has already been subtracted from Settled.
	Refunded masticway.Amount `json:"given_back,omitempty"`
	Grants   []Grant          `json:"grants,omitempty"`
}

// OpenAmount returns the sum of the open amounts of all grants.
func (b Budget) OpenAmount() masticway.Amount {
	var sum masticway.Amount
	for _, g := range b.Grants {
		sum += g.OpenAmount()
	}
	return sum
}

// Remaining returns the prepaid money that is neither settled nor in an open grant.
func (b Budget) Remaining() masticway.Amount { return b.Prepaid - b.Settled - b.OpenAmount() }

// Check returns an InvariantError if the row breaks an invariant.
func (b Budget) Check() error {
	if b.Remaining() < 0 || b.Settled < 0 {
		return &InvariantError{Budget: b.ID, Prepaid: b.Prepaid, Settled: b.Settled, Open: b.OpenAmount()}
	}
	for _, g := range b.Grants {
		if g.OpenAmount() < 0 {
			return &InvariantError{Budget: b.ID, Prepaid: b.Prepaid, Settled: b.Settled, Open: g.OpenAmount()}
		}
	}
	return nil
}

// InvariantError reports a budget row in which an amount is negative, or in which more than the prepaid amount is settled
// and granted.
type InvariantError struct {
	Budget  string
	Prepaid masticway.Amount
	Settled masticway.Amount
	// Open is the open amount of all grants, or of one grant if that is negative.
	Open masticway.Amount
}

// Error names the amounts that break the invariant.
func (e *InvariantError) Error() string {
	return fmt.Sprintf("budget %s breaks prepaid %d >= settled %d + open %d", e.Budget, e.Prepaid, e.Settled, e.Open)
}

// grantIndex returns the index of a grant in Grants, or -1 if there is none.
func (b Budget) grantIndex(k masticway.GrantKey) int {
	return slices.IndexFunc(b.Grants, func(g Grant) bool { return g.Payer == k.Payer && g.Number == k.Number })
}

// clone returns a copy of the budget that shares no grants with it.
func (b Budget) clone() Budget {
	b.Grants = slices.Clone(b.Grants)
	return b
}

// LinksState determines whether an incarnation may still use money and sidecars.
type LinksState string

// The states of a links row.
const (
	LinksOpen   LinksState = "open"
	LinksSealed LinksState = "sealed"
)

// Links is the row with the sidecars that may have run work for an incarnation's money.
type Links struct {
	Incarnation masticway.Incarnation   `json:"incarnation"`
	State       LinksState              `json:"state"`
	Sidecars    []masticway.Incarnation `json:"sidecars"`
	// SpentByRemoved holds, by grant number, the cost of what was run by sidecars that have been removed from Sidecars.
	SpentByRemoved map[int64]masticway.Amount `json:"absorbed,omitempty"`
}

// Has reports whether a sidecar is in the set.
func (l Links) Has(sidecar masticway.Incarnation) bool { return slices.Contains(l.Sidecars, sidecar) }

// RouterLease is the row that a router renews periodically to show that it is up.
type RouterLease struct {
	Incarnation     masticway.Incarnation `json:"incarnation"`
	Instance        string                `json:"instance"`
	Address         string                `json:"address"`
	Region          string                `json:"region"`
	Zone            string                `json:"zone"`
	ExpiresAt       time.Time             `json:"lease"`
	AppliedRevision masticway.Revision    `json:"applied"`
	State           string                `json:"state"`
	// BlockedRecoveries names the recoveries that this router carries out and cannot finish, and what blocks them.
	BlockedRecoveries string `json:"stranded,omitempty"`
}

// Report is the row that a sidecar writes when it shuts down gracefully.
type Report struct {
	Sidecar masticway.Incarnation `json:"sidecar"`
	Totals  []Total               `json:"totals"`
}

// Total is the cost of a sidecar's finished runs for one grant, and the maximum cost of its runs still in progress.
type Total struct {
	Grant   masticway.GrantKey `json:"grant" cbor:"1,keyasint"`
	Spent   masticway.Amount   `json:"spent" cbor:"2,keyasint"`
	Running masticway.Amount   `json:"running" cbor:"3,keyasint"`
}

// Key prefixes of the rows.
const (
	prefixBudget = "budget/"
	prefixGrant  = "grant/"
	prefixLinks  = "links/"
	prefixDaemon = "daemon/"
	prefixTopUp  = "topup/"
	prefixReport = "report/"
	prefixRefund = "refund/"
	// prefixChallenge is for challenges. A challenge asks a router that seems to have failed to renew its lease.
	prefixChallenge = "challenge/"
)

func grantIndexKey(k masticway.GrantKey) string {
	return prefixGrant + string(k.Payer) + "/" + k.Budget
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		// All row types can be encoded as JSON.
		panic(err)
	}
	return data
}

func decode[T any](r masticway.Row) (T, error) {
	var v T
	if r.Version == 0 {
		return v, nil
	}
	if err := json.Unmarshal(r.Value, &v); err != nil {
		return v, fmt.Errorf("decoding row %s: %w", r.Key, err)
	}
	return v, nil
}
