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
	// Presumed is the part of Settled that is charged because a lost sidecar may have run it.
	Presumed masticway.Amount `json:"presumed,omitempty"`
	// Seq is the sequence number of the last committed move of the grant. It shows whether a move succeeded whose answer was
	// lost.
	Seq int64 `json:"seq"`
}

// OpenAmount returns the part of the grant that is neither settled nor returned.
func (g Grant) OpenAmount() masticway.Amount { return g.Drawn - g.Settled - g.Returned }

// Budget is the row of one prepaid budget.
type Budget struct {
	ID      string           `json:"id"`
	Prepaid masticway.Amount `json:"prepaid"`
	Settled masticway.Amount `json:"settled"`
	// Presumed is the part of Settled that is charged because a lost sidecar may have run it.
	Presumed masticway.Amount `json:"presumed,omitempty"`
	// Refunded is the sum of the refunds for double and superseded bills, which has already been subtracted from Settled.
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

// Remaining returns the amount that can still be granted.
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

// InvariantError reports a budget row that breaks an invariant: the prepaid amount is too small, or an amount is negative.
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

// grantIndex returns the index of a payer's grant, or -1.
func (b Budget) grantIndex(k masticway.GrantKey) int {
	return slices.IndexFunc(b.Grants, func(g Grant) bool { return g.Payer == k.Payer && g.Number == k.Number })
}

// clone returns a copy of the budget that shares no grants with it.
func (b Budget) clone() Budget {
	b.Grants = slices.Clone(b.Grants)
	return b
}

// LinksState determines whether an incarnation may still use sidecars and money.
type LinksState string

// The states of a links row.
const (
	LinksOpen   LinksState = "open"
	LinksSealed LinksState = "sealed"
)

// Links is the row with the durable set of sidecars that may have run work for an incarnation's money.
type Links struct {
	Incarnation masticway.Incarnation   `json:"incarnation"`
	State       LinksState              `json:"state"`
	Sidecars    []masticway.Incarnation `json:"sidecars"`
	// SpentByRemoved is, by grant number, the cost of what was run by sidecars that have since been removed from the set.
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
	// BlockedRecoveries names the recoveries that this router carries out and what blocks them.
	BlockedRecoveries string `json:"stranded,omitempty"`
}

// Report is the row that a sidecar writes at a graceful shutdown.
type Report struct {
	Sidecar masticway.Incarnation `json:"sidecar"`
	Totals  []Total               `json:"totals"`
}

// Total is the cost of what one sidecar has run for one grant, and the maximum cost of what is still running.
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
	// prefixChallenge is for the challenges to routers that seem to have failed.
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
