package biller

import (
	"context"
	"fmt"
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/batcher"
)

const (
	// journalPrefix is the prefix of the names of batches of bills in the object store.
	journalPrefix = "journal/"
	// identityTTL is how long the auditor keeps an identity after the time of its first bill, and a hold after its bill has
	// been read.
	identityTTL = 30 * time.Minute
	// batchTTL is how long the auditor keeps the name of a batch that it has read. It must exceed two hours, because the
	// auditor lists the batches of the current and the previous hour.
	batchTTL = 3 * time.Hour
)

// Kind is the kind of work that a bill charges.
type Kind string

// The kinds of bills.
const (
	// KindFinal is for a request that was answered.
	KindFinal Kind = "final"
	// KindPart is for work on a part of an answer that was then continued under another hold.
	KindPart Kind = "part"
	// KindSuperseded is for work whose answer was not used because the request was run again elsewhere. It is refunded.
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
	// Presumed is the part of the cost that is charged because a lost sidecar may have run it.
	Presumed masticway.Amount `json:"presumed,omitempty"`
	Usage    masticway.Usage  `json:"usage"`
	At       time.Time        `json:"at"`
}

// maxPendingBills limits the bills of one incarnation that wait to be written to the object store. A bill needs about 400 bytes.
const maxPendingBills = 65536

// NewJournal returns a Batcher for the bills of an incarnation.
func NewJournal(owner masticway.Incarnation) *batcher.Batcher[Bill] {
	return batcher.New[Bill](journalPrefix, owner, maxPendingBills)
}

// Bucket returns the part of a batch's name for the hour of now. It lets auditors list only the batches of recent hours.
func Bucket(now time.Time) string { return now.UTC().Format("2006010215") + "/" }

// Refund is money to return for a double or superseded bill.
type Refund struct {
	Budget   string
	Identity masticway.Identity
	Hold     masticway.HoldID
	Amount   masticway.Amount
}

// Auditor finds double and superseded bills. It is not safe for concurrent use.
type Auditor struct {
	// first holds the first final bill of each identity.
	first map[masticway.Identity]Bill
	// seenHolds holds when the bill of each hold was considered.
	seenHolds map[masticway.HoldID]time.Time
	// readAt holds when each batch was read, by name.
	readAt map[string]time.Time
	// retries holds the refunds to be returned again.
	retries []Refund
}

// NewAuditor returns an auditor that has read nothing.
func NewAuditor() *Auditor {
	return &Auditor{first: map[masticway.Identity]Bill{}, seenHolds: map[masticway.HoldID]time.Time{}, readAt: map[string]time.Time{}}
}

// FindRefunds returns the refunds that are due for bills, and those to be retried. It considers the first bill of each hold and
// ignores others that it gets within identityTTL.
func (a *Auditor) FindRefunds(now time.Time, bills []Bill) []Refund {
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

// RetryRefund queues a refund that could not be written to the table. The next call of FindRefunds returns it again.
func (a *Auditor) RetryRefund(f Refund) { a.retries = append(a.retries, f) }

func refundOf(b Bill) Refund {
	return Refund{Budget: b.Budget, Identity: b.Identity, Hold: b.Hold, Amount: b.Cost}
}

// evict drops identities, holds and names of batches that have expired.
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

// ReadNewBills returns the bills of those batches of the current and the previous hour that this auditor has not read yet. After
// an error it also returns the bills that it has read before, which the next call does not return again.
func (a *Auditor) ReadNewBills(ctx context.Context, store masticway.ObjectStore, now time.Time) ([]Bill, error) {
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
		batch, err := batcher.ReadBatch[Bill](ctx, store, n)
		if err != nil {
			return bills, err
		}
		bills = append(bills, batch...)
		a.readAt[n] = now
	}
	return bills, nil
}
