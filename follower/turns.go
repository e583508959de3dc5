package follower

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/masticway/masticway/receiver"
)

// turnPause is how often a reading that waits for another one looks whether it is over.
const turnPause = 50 * time.Millisecond

// errOvertaken ends a reading because another one of the same table is arriving.
var errOvertaken = errors.New("another reading of the table is arriving")

// turns lets one of a table's readings arrive at a time. Where a link is full the usual reading and the patient one would
// otherwise each take half of it for the same rows.
type turns struct {
	mu sync.Mutex
	// under are the readings under way, with how they are ended; arriving is the one of which more than a little has come.
	under    map[int]context.CancelCauseFunc
	last     int
	arriving int
}

// begin waits, with a function that pauses, until no other reading is arriving, and returns the context of a new one and the
// function that ends it.
func (t *turns) begin(ctx context.Context, pause func(ctx context.Context, d time.Duration)) (context.Context, func()) {
	for ctx.Err() == nil && t.taken() {
		pause(ctx, turnPause)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.under == nil {
		t.under = map[int]context.CancelCauseFunc{}
	}
	t.last++
	id := t.last
	t.under[id] = cancel
	return receiver.WithProgress(ctx, func() { t.arrives(id) }), func() { t.end(id) }
}

func (t *turns) taken() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.arriving != 0
}

// arrives gives the turn to a reading, if it is free, and ends the others.
func (t *turns) arrives(id int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, under := t.under[id]; !under || t.arriving != 0 {
		return
	}
	t.arriving = id
	for other, cancel := range t.under {
		if other != id {
			cancel(errOvertaken)
		}
	}
}

func (t *turns) end(id int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.under[id](nil)
	delete(t.under, id)
	if t.arriving == id {
		t.arriving = 0
	}
}
