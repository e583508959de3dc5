package follower

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/masticway/masticway/receiver"
)

// gatePollInterval is how often a waiting read checks whether the gate is free.
const gatePollInterval = 50 * time.Millisecond

// errSuperseded cancels a read because the response to another read of the same table is already arriving.
var errSuperseded = errors.New("another read of the table is already arriving")

// readGate lets the response to only one read of a table arrive at a time. On a congested link, the read with the usual
// timeout and the fallback read would otherwise each get half of the bandwidth for the same rows.
type readGate struct {
	mu sync.Mutex
	// cancels holds the cancel functions of the active reads by id; receiving is the id of the read of whose response more
	// than 16 KB has arrived (see receiver.WithProgress), or zero.
	cancels   map[int]context.CancelCauseFunc
	lastID    int
	receiving int
}

// begin waits, by calling sleep, until no response is arriving. It returns the context of a new read and the function that
// ends it.
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

// startReceiving gives the gate to a read, if it is free, and cancels the other reads.
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
