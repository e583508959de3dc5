package biller

import (
	"context"
	"fmt"
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/batcher"
)

const (
	// journalPrefix is where batches of bills lie in the object store.
	journalPrefix = "journal/"
	// identityTTL is how long the reader remembers an identity.
	identityTTL = 30 * time.Minute
	// batchTTL is how long it remembers a batch; it lists no batch older than two hours.
	batchTTL = 3 * time.Hour
)

// Kind tells what a bill is for.
type Kind string

// The kinds of bills.
const (
	// KindFinal bills a request that was answered.
	KindFinal Kind = "final"
	// KindPart bills a part of a request whose answer went on under another hold.
	KindPart Kind = "part"
	// KindSuperseded bills work whose answer nobody got, because the request went on elsewhere.
	KindSuperseded Kind = "superseded"
)

// Bill is the charge of one hold.
type Bill struct {
	Identity masticway.Identity    `json:"identity"`
	Request  string                `json:"request"`
	Hold     masticway.HoldID      `json:"hold"`
	Budget   string                `json:"budget"`
	Payer    masticway.Incarnation `json:"payer"`
	Kind     Kind                  `json:"kind"`
	Cost     masticway.Amount      `json:"cost"`
	// Presumed is the part of the cost that a vanished sidecar may have run.
	Presumed masticway.Amount `json:"presumed,omitempty"`
	Usage    masticway.Usage  `json:"usage"`
	At       time.Time        `json:"at"`
}

// maxPendingBills bounds the bills that wait for the object store, at about 400 bytes each.
const maxPendingBills = 65536

// NewJournal returns the batches of bills that an incarnation writes.
func NewJournal(owner masticway.Incarnation) *batcher.Batcher[Bill] {
	return batcher.New[Bill](journalPrefix, owner, maxPendingBills)
}

// Bucket names the hour of the journal, so that readers look at recent hours only.
func Bucket(now time.Time) string { return now.UTC().Format("2006010215") + "/" }

// Refund is money to give back for a double bill.
type Refund struct {
	Budget   string
	Identity masticway.Identity
	Hold     masticway.HoldID
	Amount   masticway.Amount
}

// Auditor finds double bills; it is not safe for concurrent use.
type Auditor struct {
	first     map[masticway.Identity]Bill
	seenHolds map[masticway.HoldID]time.Time
	readAt    map[string]time.Time
	retries   []Refund
}

// NewAuditor returns an auditor that has read nothing.
func NewAuditor() *Auditor {
	return &Auditor{first: map[masticway.Identity]Bill{}, seenHolds: map[masticway.HoldID]time.Time{}, readAt: map[string]time.Time{}}
}

// Take reads bills and returns what must be given back; a hold is considered once.
func (a *Auditor) Take(now time.Time, bills []Bill) []Refund {
	refunds := a.retries
	a.retries = nil
	for _, b := range bills {
		if _, seen := a.seenHolds[b.Hold]; seen || b.Cost == 0 {
			continue
		}
		a.seenHolds[b.Hold] = now
		if b.Kind == KindSuperseded {
			refunds = append(refunds, refundOf(b))
			continue
		}
		if b.Kind != KindFinal {
			continue
		}
		if _, seen := a.first[b.Identity]; seen {
			refunds = append(refunds, refundOf(b))
			continue
		}
		a.first[b.Identity] = b
	}
	a.evict(now)
	return refunds
}

// Retry lets a refund that the table did not take come up again.
func (a *Auditor) Retry(f Refund) { a.retries = append(a.retries, f) }

func refundOf(b Bill) Refund {
	return Refund{Budget: b.Budget, Identity: b.Identity, Hold: b.Hold, Amount: b.Cost}
}

func (a *Auditor) evict(now time.Time) {
	for identity, b := range a.first {
		if now.Sub(b.At) > identityTTL {
			delete(a.first, identity)
		}
	}
	for n, at := range a.readAt {
		if now.Sub(at) > batchTTL {
			delete(a.readAt, n)
		}
	}
	for h, at := range a.seenHolds {
		if now.Sub(at) > identityTTL {
			delete(a.seenHolds, h)
		}
	}
}

// ReadNew reads the batches that this auditor has not read yet.
func (a *Auditor) ReadNew(ctx context.Context, store masticway.ObjectStore, now time.Time) ([]Bill, error) {
	var names []string
	for _, hour := range []time.Time{now.Add(-time.Hour), now} {
		list, err := store.List(ctx, journalPrefix+Bucket(hour))
		if err != nil {
			return nil, fmt.Errorf("listing bills: %w", err)
		}
		names = append(names, list...)
	}
	var bills []Bill
	for _, n := range names {
		if _, seen := a.readAt[n]; seen {
			continue
		}
		batch, err := batcher.Read[Bill](ctx, store, n)
		if err != nil {
			return bills, err
		}
		bills = append(bills, batch...)
		a.readAt[n] = now
	}
	return bills, nil
}
