package soaker

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/emulator"
)

const (
	// drainBound is how long after its leaving was accepted a server may still get requests (drain_ms of the sheets), and
	// servesOn how much longer it serves.
	drainBound = 2 * time.Second
	servesOn   = 1500 * time.Millisecond
	// silentAfter is when the row of a crashed server goes: three heartbeats, less than a second apart.
	silentAfter = 2 * time.Second
)

// park is all servers, over all their lives.
type park struct {
	rows   *emulator.Rows
	record *record
	ledger *emulator.OpaqueLedger
	// events and pause are how streams are answered, work is the time that other answers take.
	events      int
	pause, work time.Duration

	mu     sync.Mutex
	serial int
	// slots hold the present life of each server; leftAt is when the store accepted that a life ends.
	slots  []*emulator.OpaqueServer
	leftAt map[string]time.Time
}

// start starts the next life of the server in a slot.
func (p *park) start(slot int) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.serial++
	s, err := emulator.StartOpaqueServer(fmt.Sprintf("%s-%d", pools[slot], p.serial), p.ledger)
	if err != nil {
		return err
	}
	s.Stream(p.events, p.pause)
	s.Echo(p.work)
	p.slots[slot] = s
	p.register(s, "ready")
	return nil
}

func keyOfServer(id string) masticway.RowKey { return masticway.RowKey{Table: "servers", Key: id} }

func (p *park) register(s *emulator.OpaqueServer, state string) {
	p.rows.Put(keyOfServer(s.ID), fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"slots":32,"state":%q}`, poolOf(s.ID), s.Address(), zoneName, state))
}

func (p *park) at(slot int) *emulator.OpaqueServer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.slots[slot]
}

// drain lets a server leave, by its word or by the absence of its row, and starts its next life.
func (p *park) drain(slot int, silently bool) error {
	s := p.at(slot)
	if err := p.start(slot); err != nil {
		return err
	}
	if silently {
		p.rows.Delete(keyOfServer(s.ID))
	} else {
		p.register(s, "draining")
	}
	p.mu.Lock()
	p.leftAt[s.ID] = time.Now()
	p.mu.Unlock()
	time.Sleep(drainBound + servesOn)
	p.record.disturb("leaving", s.ID)
	s.Close()
	p.rows.Delete(keyOfServer(s.ID))
	return nil
}

// crash ends a server at once; its row stays until its silence is noticed.
func (p *park) crash(slot int) error {
	s := p.at(slot)
	p.record.disturb("crash", s.ID)
	s.Close()
	time.Sleep(silentAfter / 2)
	err := p.start(slot)
	time.Sleep(silentAfter / 2)
	p.rows.Delete(keyOfServer(s.ID))
	return err
}

// poolOf returns the pool of a server's id.
func poolOf(id string) string { return id[:strings.IndexByte(id, '-')] }
