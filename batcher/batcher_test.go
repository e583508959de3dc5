package batcher_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/batcher"
	"github.com/masticway/masticway/emulator"
)

// answerLosingStore writes objects, but its first answersToLose answers are an unknown outcome.
type answerLosingStore struct {
	*emulator.ObjectStore
	answersToLose int
}

func (f *answerLosingStore) Put(ctx context.Context, name string, data []byte) error {
	err := f.ObjectStore.Put(ctx, name, data)
	if f.answersToLose > 0 {
		f.answersToLose--
		return &masticway.OutcomeUnknownError{Service: "object store", ID: name, Reason: "answer lost"}
	}
	return err
}

func TestLostAnswerNeitherLosesNorDoublesRecords(t *testing.T) {
	store := &answerLosingStore{ObjectStore: emulator.NewObjectStore(), answersToLose: 2}
	b := batcher.New[int]("p/", "r~1", 10)
	ctx := context.Background()
	for i := range 4 {
		b.Add(i)
		_ = b.Flush(ctx, store, "hour/")
	}
	qt.Assert(t, b.Flush(ctx, store, "hour/"), qt.IsNil)
	names, err := store.List(ctx, "p/hour/r~1/")
	qt.Assert(t, err, qt.IsNil)
	var all []int
	for _, n := range names {
		batch, err := batcher.ReadBatch[int](ctx, store, n)
		qt.Assert(t, err, qt.IsNil)
		all = append(all, batch...)
	}
	qt.Assert(t, all, qt.DeepEquals, []int{0, 1, 2, 3})
}

func TestPendingRecordsAreBounded(t *testing.T) {
	b := batcher.New[int]("p/", "r~1", 3)
	for i := range 5 {
		b.Add(i)
	}
	qt.Assert(t, b.Pending(), qt.Equals, 3)
	qt.Assert(t, b.Dropped(), qt.Equals, int64(2))
}
