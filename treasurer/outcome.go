package treasurer

import (
	"errors"
	"time"

	"github.com/masticway/masticway"
)

// Done takes the outcome of a step and returns the requests that it answers. It fails with a masticway.SealedError
// when another incarnation has taken over this instance's book, and with decoding errors.
func (p *Purse) Done(now time.Time, s Step, reading masticway.RowReading, err error) ([]Reply, error) {
	if s.Part == "" {
		return p.bookDone(now, s, reading, err)
	}
	if s.Write == nil {
		p.looking[s.Part] = false
	}
	if conflict, ok := errors.AsType[*masticway.RowConflictError](err); ok {
		p.reached()
		p.undone(s)
		return p.seen(now, s, conflict.Rows)
	}
	if err != nil {
		p.failed(now, s, err)
		return p.Tick(now), nil
	}
	p.reached()
	if s.Write == nil {
		return p.looked(now, s, reading)
	}
	return p.changed(now, s, reading)
}

func (p *Purse) reached() {
	p.failingSince = time.Time{}
	p.pace -= min(p.pace, paceStep)
}

// slowDown spaces the changes of grants out further: the store has refused one for its rate.
func (p *Purse) slowDown() { p.pace = min(paceMost, max(paceFirst, 2*p.pace)) }

// StoreIsBack lets the book be written at once: until the store has it, the death of this router costs its workspaces
// what the promised rate allowed for the whole outage.
func (p *Purse) StoreIsBack() { p.bookRetry = time.Time{} }

// unreached notes that the store failed a call that was sent at a time.
func (p *Purse) unreached(sentAt time.Time) {
	if p.failingSince.IsZero() {
		p.failingSince = sentAt
	}
}

// missed notes a step that failed; it tells whether nothing was done for certain, and whether that was for the rate.
func (p *Purse) missed(s Step, err error) (nothing, busy bool) {
	unavailable, nothing := errors.AsType[*masticway.UnavailableError](err)
	busy = nothing && unavailable.RateLimited
	if busy {
		p.slowDown()
	} else {
		p.unreached(s.sentAt)
	}
	return nothing, busy
}

// failed notes a step that brought nothing; a change whose outcome is unknown stays pending until the row is seen.
func (p *Purse) failed(now time.Time, s Step, err error) {
	nothing, _ := p.missed(s, err)
	a, ok := p.accounts[s.Workspace]
	if !ok {
		return
	}
	a.retryAt = now.Add(max(retryPause, p.pace))
	if nothing {
		p.undone(s)
		return
	}
	a.doubt = max(a.doubt, a.returning)
	a.doubted, a.known = true, false
	a.moving, a.returning = false, 0
}

// undone notes that a step's write is not under way any more.
func (p *Purse) undone(s Step) {
	if a, ok := p.accounts[s.Workspace]; ok {
		a.moving, a.returning = false, 0
	}
}

// changed notes a committed change: its rows tell the grants from now on.
func (p *Purse) changed(now time.Time, s Step, reading masticway.RowReading) ([]Reply, error) {
	p.undone(s)
	var rows []masticway.StoredRow
	for _, put := range s.Write.Puts {
		rows = append(rows, masticway.StoredRow{RowKey: put.RowKey, Value: put.Value, Version: reading.Version})
	}
	return p.seen(now, s, rows)
}

// looked notes a reading of a whole part, where a missing row is one that does not exist.
func (p *Purse) looked(now time.Time, s Step, reading masticway.RowReading) ([]Reply, error) {
	found := map[string]bool{}
	for _, r := range reading.Rows {
		found[r.Key] = true
	}
	for workspace, a := range p.accounts {
		if PartOf(workspace, p.settings.Parts) == s.Part && !found[workspace] && a.rowVersion == 0 {
			a.known = true
			a.seenAt = s.sentAt
			a.setRow(Account{Prepaid: a.prepaid, Version: a.version})
		}
	}
	return p.seen(now, s, reading.Rows)
}

// seen takes rows as the store had them after a step was sent.
func (p *Purse) seen(now time.Time, s Step, rows []masticway.StoredRow) ([]Reply, error) {
	var replies []Reply
	for _, r := range rows {
		a, ok := p.accounts[r.Key]
		if !ok {
			continue
		}
		if err := p.learn(a, r); err != nil {
			return replies, err
		}
		if a.known {
			a.seenAt = s.sentAt
		}
		replies = append(replies, p.serve(now, a)...)
	}
	return replies, nil
}

// Learn takes rows that a feed of the accounts brought.
//
// The rows that it did not bring have not changed, so everything known is as fresh as the feed's answer.
func (p *Purse) Learn(now time.Time, rows []masticway.StoredRow) ([]Reply, error) {
	var replies []Reply
	for _, a := range p.ordered {
		if a.known {
			a.seenAt = now
		}
	}
	for _, r := range rows {
		a, ok := p.accounts[r.Key]
		// A change whose outcome is unknown is left to a look-up, which also finds that it was not made.
		if !ok || !a.known && a.doubted {
			continue
		}
		if err := p.learn(a, r); err != nil {
			return replies, err
		}
		replies = append(replies, p.serve(now, a)...)
	}
	return replies, nil
}

// learn takes a newer row of a workspace. Changes without an answer are resolved by any newer row: either the row
// has them, or the version that they expected is gone and they can never be made.
func (p *Purse) learn(a *account, r masticway.StoredRow) error {
	if r.Version < a.rowVersion {
		return nil
	}
	if r.Version == a.rowVersion {
		// Read again at the version that changes without an answer expect: they may still be made.
		a.known = true
		return nil
	}
	row, err := decode[Account](r)
	if err != nil {
		return err
	}
	a.setRow(row)
	a.rowVersion, a.known = r.Version, true
	a.granted = row.Grants[p.settings.Incarnation].Granted
	a.doubted, a.doubt = false, 0
	if row.Version > a.version {
		a.prepaid, a.version = row.Prepaid, row.Version
	}
	return nil
}

// bookDone takes the outcome of a write of the book.
func (p *Purse) bookDone(now time.Time, s Step, reading masticway.RowReading, err error) ([]Reply, error) {
	p.bookBusy = false
	if conflict, ok := errors.AsType[*masticway.RowConflictError](err); ok {
		p.reached()
		return p.bookConflict(now, conflict.Rows)
	}
	if err != nil {
		nothing, busy := p.missed(s, err)
		if nothing {
			p.dropPromise(s.sequence)
		}
		p.bookRetry = now.Add(probePause)
		if busy {
			p.bookRetry = now.Add(p.pace)
		}
		return p.Tick(now), nil
	}
	p.reached()
	p.bookTook += (now.Sub(s.sentAt) - p.bookTook) / 4
	p.bookVersion = reading.Version
	p.kept(s.sequence)
	p.book.Basis = reading.StoreTime
	p.bookBasis = now
	return p.Tick(now), nil
}

// kept makes one promise the only one in force.
func (p *Purse) kept(sequence int64) {
	for _, f := range p.inForce {
		if f.sequence == sequence {
			p.inForce = []inForce{f}
			return
		}
	}
}

// dropPromise forgets a promise that the store certainly does not have.
func (p *Purse) dropPromise(sequence int64) {
	for i, f := range p.inForce {
		if f.sequence == sequence {
			p.inForce = append(p.inForce[:i:i], p.inForce[i+1:]...)
			return
		}
	}
}

// bookConflict finds which of the writes without an answer was made after all.
func (p *Purse) bookConflict(now time.Time, rows []masticway.StoredRow) ([]Reply, error) {
	for _, r := range rows {
		if r.Key != p.bookKey().Key {
			continue
		}
		book, err := decode[Book](r)
		if err != nil {
			return nil, err
		}
		if book.Incarnation != p.settings.Incarnation {
			return nil, &masticway.SealedError{Incarnation: p.settings.Incarnation}
		}
		p.bookVersion = r.Version
		// The store's clock at that write is not known; the older basis is the safe one.
		p.kept(book.Sequence)
	}
	return p.Tick(now), nil
}

// Begin returns the book of a new incarnation from its predecessor's row; the caller writes it, then tells Began. The
// store's clock showed now when the row was read, and listening at the latest when this process began to listen.
func (p *Purse) Begin(row masticway.StoredRow, now, listening time.Duration) (masticway.RowWrite, error) {
	old, err := decode[Book](row)
	if err != nil {
		return masticway.RowWrite{}, err
	}
	next := old.succeeded(start{incarnation: p.settings.Incarnation, address: p.settings.Address, now: now, listening: listening})
	key := p.bookKey()
	p.book = next
	return masticway.RowWrite{
		Expected: []masticway.RowVersion{{RowKey: key, Version: row.Version}},
		Puts:     []masticway.RowPut{{RowKey: key, Value: encode(next)}},
	}, nil
}

// Began notes that the store has this incarnation's first book.
func (p *Purse) Began(now time.Time, version int64, at time.Duration) {
	p.began, p.beganAt = true, now
	p.bookVersion = version
	p.book.Basis = at
	p.bookBasis = now
	p.bookAt = now
	p.inForce = []inForce{{basis: now, promises: map[string]Promise{}}}
}

// Predecessors lists the ended incarnations whose grants are still open.
func (p *Purse) Predecessors() []Ended { return p.book.Ended }

// Closed notes that the grants of all predecessors are closed; the next write of the book leaves them out.
func (p *Purse) Closed() { p.book.Ended = nil }

// Close makes the purse give everything back that is not held.
func (p *Purse) Close() { p.closing = true }

// Final returns the last write of the book once everything is given back that can be: each promise then says what
// was taken, and nothing more will be.
func (p *Purse) Final(now time.Time) (Step, bool) {
	if !p.began || p.bookBusy || !p.closing {
		return Step{}, false
	}
	for _, a := range p.ordered {
		if !a.settled() || p.change(now, a) < 0 {
			return Step{}, false
		}
	}
	step := p.writeBook(now)
	last := p.inForce[len(p.inForce)-1].promises
	for workspace := range last {
		// What is still under way may be answered after this book.
		last[workspace] = Promise{Taken: p.accounts[workspace].taken}
	}
	step.Write.Puts[0].Value = encode(p.book)
	return step, true
}
