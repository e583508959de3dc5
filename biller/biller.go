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
	// identityTTL is how long the auditor remembers an identity after the time (Bill.At) of its first final bill. It is also
	// how long it remembers a hold after FindRefunds got the hold's first bill.
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
	// KindPart is for the work on a part of an answer if the rest was produced under another hold.
	KindPart Kind = "part"
	// KindSuperseded is for work whose answer was not used because the request was run again elsewhere. The cost is
	// refunded.
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
	// Presumed is the part of Cost for work that a lost sidecar may or may not have done.
	Presumed masticway.Amount `json:"presumed,omitempty"`
	Usage    masticway.Usage  `json:"usage"`
	At       time.Time        `json:"at"`
}

// maxPendingBills is the maximum number of bills of one incarnation that wait to be written to the object store. Further
// bills are dropped. A bill needs about 400 bytes.
const maxPendingBills = 65536

// NewJournal returns a Batcher for the bills of an incarnation.
func NewJournal(owner masticway.Incarnation) *batcher.Batcher[Bill] {
	return batcher.New[Bill](journalPrefix, owner, maxPendingBills)
}

// Bucket returns the part of a batch's object name that stands for the hour of now in UTC. With it, auditors can list only
// the batches of recent hours.
func Bucket(now time.Time) string { return now.UTC().Format("2006010215") + "/" }

// Refund is an amount to return to a budget for a double or superseded bill (see Auditor).
type Refund struct {
	Budget   string
	Identity masticway.Identity
	Hold     masticway.HoldID
	Amount   masticway.Amount
}

// Auditor finds superseded and double bills. A final bill is double if the auditor already knows a final bill of its
// identity under another hold. An Auditor is not safe for concurrent use.
type Auditor struct {
	// first holds the first final bill of each identity, until identityTTL after the bill's time.
	first map[masticway.Identity]Bill
	// seenHolds holds, by hold, when FindRefunds got the hold's first bill that costs anything. It is kept for identityTTL.
	seenHolds map[masticway.HoldID]time.Time
	// readAt holds, by the object name of a batch, when the batch was read. It is kept for batchTTL.
	readAt map[string]time.Time
	// retries holds the refunds that the next call of FindRefunds returns again.
	retries []Refund
}

// NewAuditor returns an auditor that has read nothing.
func NewAuditor() *Auditor {
	return &Auditor{first: map[masticway.Identity]Bill{}, seenHolds: map[masticway.HoldID]time.Time{}, readAt: map[string]time.Time{}}
}

// FindRefunds returns the refunds that are due for bills, and the refunds that were queued by RetryRefund since its last
// call. It ignores bills without a cost. Of several bills for one hold it considers only the first, for identityTTL.
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

// RetryRefund queues a refund that the caller could not write to the table. The next call of FindRefunds returns it again.
func (a *Auditor) RetryRefund(f Refund) { a.retries = append(a.retries, f) }

func refundOf(b Bill) Refund {
	return Refund{Budget: b.Budget, Identity: b.Identity, Hold: b.Hold, Amount: b.Cost}
}

// evict drops the identities and holds that are older than identityTTL, and the names of batches that are older than
// batchTTL.
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

// ReadNewBills returns the bills of the batches of the current and the previous hour that this auditor has not read yet. If
// a batch cannot be read, it returns the error together with the bills that this call has read so far. The caller must
// process them: no later call returns them again.
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
