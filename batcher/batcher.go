package batcher

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"

	"github.com/masticway/masticway"
)

// Batcher gathers records of one owner; it is safe for concurrent use.
type Batcher[T any] struct {
	prefix     string
	owner      string
	maxPending int

	mu           sync.Mutex
	pending      []T
	inFlight     []T
	nextNumber   int
	inFlightName string
	dropped      int64
}

// New returns an empty batcher whose objects begin with a prefix; beyond limit records are dropped and counted.
func New[T any](prefix string, owner masticway.Incarnation, limit int) *Batcher[T] {
	return &Batcher[T]{prefix: prefix, owner: string(owner), maxPending: limit}
}

// Add takes a record.
func (b *Batcher[T]) Add(v T) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending)+len(b.inFlight) >= b.maxPending {
		b.dropped++
		return
	}
	b.pending = append(b.pending, v)
}

// Flush writes a batch as one object named after bucket, owner and number.
//
// After a failure the next flush writes the same batch under the same name.
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

// Waiting returns the number of records that are not yet written.
func (b *Batcher[T]) Waiting() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.pending) + len(b.inFlight)
}

// Dropped returns the number of records that found no room.
func (b *Batcher[T]) Dropped() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.dropped
}

// Read reads one batch.
func Read[T any](ctx context.Context, store masticway.ObjectStore, name string) ([]T, error) {
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
