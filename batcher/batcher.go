package batcher

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"

	"github.com/masticway/masticway"
)

// Batcher collects records of one owner. It is safe for concurrent use, but two calls of Flush must not overlap.
type Batcher[T any] struct {
	prefix     string
	owner      string
	maxPending int

	mu sync.Mutex
	// pending holds the records that are not in a batch yet.
	pending []T
	// inFlight is the batch that is being written or is to be written again, and inFlightName is the name of its object.
	inFlight     []T
	nextNumber   int
	inFlightName string
	dropped      int64
}

// New returns an empty Batcher. The names of its objects begin with prefix. While limit records have not been written yet,
// further ones are dropped and counted.
func New[T any](prefix string, owner masticway.Incarnation, limit int) *Batcher[T] {
	return &Batcher[T]{prefix: prefix, owner: string(owner), maxPending: limit}
}

// Add adds a record, or drops it if too many have not been written yet.
func (b *Batcher[T]) Add(v T) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending)+len(b.inFlight) >= b.maxPending {
		b.dropped++
		return
	}
	b.pending = append(b.pending, v)
}

// Flush writes the pending records as one object, whose name consists of the prefix, bucket, the owner and the batch's number. It
// writes nothing if no records are pending.
//
// After a failure the next call writes the same batch again under the same name, whatever its bucket.
func (b *Batcher[T]) Flush(ctx context.Context, store masticway.ObjectStore, bucket string) error {
	b.mu.Lock()
	if len(b.inFlight) == 0 {
		b.inFlight, b.pending = b.pending, nil
		b.inFlightName = fmt.Sprintf("%s%s%s/%012d", b.prefix, bucket, b.owner, b.nextNumber)
	}
	batch, name := b.inFlight, b.inFlightName
	b.mu.Unlock()
	if len(batch) == 0 {
		return nil
	}
	data, err := json.Marshal(batch)
	if err != nil {
		return fmt.Errorf("encoding %d records: %w", len(batch), err)
	}
	if err := store.Put(ctx, name, data); err != nil {
		return fmt.Errorf("writing %s with %d records: %w", name, len(batch), err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight = nil
	b.nextNumber++
	return nil
}

// Pending returns the number of records that have not been written yet.
func (b *Batcher[T]) Pending() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.pending) + len(b.inFlight)
}

// Dropped returns the number of records that have been dropped.
func (b *Batcher[T]) Dropped() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.dropped
}

// ReadBatch reads the batch in the object with a name.
func ReadBatch[T any](ctx context.Context, store masticway.ObjectStore, name string) ([]T, error) {
	data, err := store.Get(ctx, name)
	if err != nil {
		return nil, fmt.Errorf("reading %s: %w", name, err)
	}
	var batch []T
	if err := json.Unmarshal(data, &batch); err != nil {
		return nil, fmt.Errorf("decoding %s: %w", name, err)
	}
	return batch, nil
}
