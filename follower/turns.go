package follower

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/masticway/masticway/receiver"
)

// gatePollInterval is how often a reading that waits for another one looks whether it is over.
const gatePollInterval = 50 * time.Millisecond

// errSuperseded ends a reading because another one of the same table is arriving.
var errSuperseded = errors.New("another reading of the table is arriving")

// readGate lets one of a table's readings arrive at a time. Where a link is full the usual reading and the patient one would
// otherwise each take half of it for the same rows.
type readGate struct {
	mu sync.Mutex
	// cancels are the readings under way, with how they are ended; arriving is the one of which more than a little has come.
	cancels   map[int]context.CancelCauseFunc
	lastID    int
	receiving int
}

// begin waits, with a function that pauses, until no other reading is arriving, and returns the context of a new one and the
// function that ends it.
func (t *readGate) begin(ctx context.Context, sleep func(ctx context.Context, d time.Duration)) (context.Context, func()) {
	for ctx.Err() == nil && t.isReceiving() {
		sleep(ctx, gatePollInterval)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cancels == nil {
		t.cancels = map[int]context.CancelCauseFunc{}
	}
	t.lastID++
	id := t.lastID
	t.cancels[id] = cancel
	return receiver.WithProgress(ctx, func() { t.startReceiving(id) }), func() { t.end(id) }
}

func (t *readGate) isReceiving() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.receiving != 0
}

// startReceiving gives the turn to a reading, if it is free, and ends the others.
func (t *readGate) startReceiving(id int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, active := t.cancels[id]; !active || t.receiving != 0 {
		return
	}
	t.receiving = id
	for other, cancel := range t.cancels {
		if other != id {
			cancel(errSuperseded)
		}
	}
}

func (t *readGate) end(id int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cancels[id](nil)
	delete(t.cancels, id)
	if t.receiving == id {
		t.receiving = 0
	}
}
