package batcher

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"

	"github.com/masticway/masticway"
)

// Batcher collects the records of one owner, which is an incarnation of a router. It is safe for concurrent use, but two
// calls of Flush must not overlap.
type Batcher[T any] struct {
	prefix     string
	owner      string
	maxPending int

	mu sync.Mutex
	// pending holds the records that are not in a batch yet.
	pending []T
	// inFlight is the batch that Flush is writing, or that it failed to write and must write again. inFlightName is the name
	// of the batch's object. The name is the prefix, the bucket that was passed to Flush, the owner, and the batch's number;
	// nextNumber is the number of the batch that is in flight, or else of the next one.
	inFlight     []T
	nextNumber   int
	inFlightName string
	dropped      int64
}

// New returns an empty Batcher for the records of owner. The names of its objects begin with prefix. While limit records
// have not been written yet, Add drops further ones and counts them.
func New[T any](prefix string, owner masticway.Incarnation, limit int) *Batcher[T] {
	return &Batcher[T]{prefix: prefix, owner: string(owner), maxPending: limit}
}

// Add adds a record. It drops the record if limit records (see New) have not been written yet.
func (b *Batcher[T]) Add(v T) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending)+len(b.inFlight) >= b.maxPending {
		b.dropped++
		return
	}
	b.pending = append(b.pending, v)
}

// Flush writes the pending records as one object. The object's name consists of the prefix, the bucket, the owner and the
// batch's number. Flush writes nothing if there are no records.
//
// After a failure, the next call writes only the batch that failed, under its first name. The next call ignores its own
// bucket, and records added since then wait for the call after it.
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

// Dropped returns the number of records that Add has dropped.
func (b *Batcher[T]) Dropped() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.dropped
}

// ReadBatch reads and decodes the batch in the object with the given name.
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
