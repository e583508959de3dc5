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

// errSuperseded is the cause with which a read is canceled because the response to another read of the same table is already
// arriving.
var errSuperseded = errors.New("another read of the table is already arriving")

// errSilent is the cause with which a read is canceled because its connection has gone silent.
var errSilent = errors.New("the connection has gone silent")

// readGate lets only one response of more than 16 KB to the reads of a table arrive at a time. On a congested link, the read with
// the usual timeout and the fallback read would otherwise each get half of the bandwidth for the same rows.
type readGate struct {
	mu sync.Mutex
	// cancels holds the cancel functions of the active reads, by read ID, and begun when they began. lastID is the last read ID that was
	// assigned.
	cancels map[int]context.CancelCauseFunc
	begun   map[int]time.Time
	lastID  int
	// receiving is the ID of the read that has the gate, because its response of more than 16 KB is arriving (see
	// receiver.WithProgress). It is zero if the gate is free.
	receiving int
}

// begin waits, by calling sleep, until the gate is free or ctx ends. It returns the context of a new read and the function that
// must be called when the read has ended.
func (t *readGate) begin(ctx context.Context, now func() time.Time, sleep func(ctx context.Context, d time.Duration)) (context.Context, func()) {
	for ctx.Err() == nil && t.isReceiving() {
		sleep(ctx, gatePollInterval)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cancels == nil {
		t.cancels, t.begun = map[int]context.CancelCauseFunc{}, map[int]time.Time{}
	}
	t.lastID++
	id := t.lastID
	t.cancels[id], t.begun[id] = cancel, now()
	return receiver.WithProgress(ctx, func() { t.startReceiving(id) }), func() { t.end(id) }
}

// cancelOverdue cancels the active reads that began longer ago than a limit, unless a response is arriving, and reports whether there were
// any.
func (t *readGate) cancelOverdue(now time.Time, limit time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := false
	for id, cancel := range t.cancels {
		if t.receiving == 0 && now.Sub(t.begun[id]) > limit {
			cancel(errSilent)
			found = true
		}
	}
	return found
}

func (t *readGate) isReceiving() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.receiving != 0
}

// startReceiving gives the gate to an active read, if the gate is free, and cancels the other reads.
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
	delete(t.begun, id)
	if t.receiving == id {
		t.receiving = 0
	}
}
