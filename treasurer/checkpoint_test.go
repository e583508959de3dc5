package treasurer_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/treasurer"
)

const (
	// largeParts is the number of parts of the store, largePrepaid what each workspace has prepaid, and largeNeed what a request needs.
	largeParts   = 4
	largePrepaid = 1_000_000
	largeNeed    = 1000
)

// largeInstance is one instance whose planner has many workspaces, on a row store with the platform's limits.
type largeInstance struct {
	t          *testing.T
	now        time.Time
	rows       *emulator.RowStore
	planner    *treasurer.Planner
	self       masticway.Incarnation
	workspaces []string
	// held and cleared have the workspaces whose requests got these verdicts from the last incarnation.
	holds   map[treasurer.HoldID]string
	held    map[string]bool
	cleared map[string]bool
}

func newLargeInstance(t *testing.T, workspaces int) *largeInstance {
	l := &largeInstance{t: t, now: epoch}
	l.rows = emulator.NewRowStore(func() time.Time { return l.now })
	for i := range workspaces {
		l.workspaces = append(l.workspaces, fmt.Sprintf("workspace-%05d", i))
	}
	return l
}

// start starts a new incarnation and makes the write with which it takes over the checkpoint.
func (l *largeInstance) start(number int) {
	l.self = masticway.NewIncarnation("edge", fmt.Sprint(number))
	l.planner = treasurer.NewPlanner(treasurer.Settings{Incarnation: l.self, Parts: largeParts, Reserve: 10 * time.Second, EarlyShare: 0.15})
	l.holds, l.held, l.cleared = map[treasurer.HoldID]string{}, map[string]bool{}, map[string]bool{}
	accounts := map[string]masticway.Account{}
	for _, workspace := range l.workspaces {
		accounts[workspace] = masticway.Account{Workspace: workspace, Prepaid: largePrepaid, HasLimit: true}
	}
	l.planner.Configure(1, accounts)
	l.planner.SetPeers(1, nil)
	rows, reading, err := treasurer.ReadCheckpoint(l.t.Context(), l.rows, "edge", largeParts)
	qt.Assert(l.t, err, qt.IsNil)
	write, err := l.planner.TakeOver(rows, 0, reading.StoreTime, reading.StoreTime)
	qt.Assert(l.t, err, qt.IsNil)
	written, err := l.rows.Apply(write)
	qt.Assert(l.t, err, qt.IsNil)
	l.planner.CompleteTakeOver(l.now, written.Version, written.StoreTime)
}

// request makes one request for each workspace.
func (l *largeInstance) request() {
	for _, workspace := range l.workspaces {
		id, replies := l.planner.Hold(l.now, workspace, largeNeed, l.now.Add(6*time.Second))
		l.holds[id] = workspace
		l.record(replies)
	}
}

func (l *largeInstance) record(replies []treasurer.Reply) {
	for _, r := range replies {
		switch r.Verdict {
		case treasurer.VerdictHeld:
			l.held[l.holds[r.ID]] = true
			l.record(l.planner.Clear(l.now, r.ID))
		case treasurer.VerdictCleared:
			l.cleared[l.holds[r.ID]] = true
		}
	}
}

// run makes all calls that are due within some time. It fails the test if the store rejects one.
func (l *largeInstance) run(d time.Duration) {
	for end := l.now.Add(d); l.now.Before(end); l.now = l.now.Add(30 * time.Millisecond) {
		l.record(l.planner.ServeQueues(l.now))
		for _, s := range l.planner.Plan(l.now) {
			var reading masticway.RowReading
			var err error
			if s.Write == nil {
				reading, err = l.rows.Read(l.t.Context(), "masticway_accounts", s.Part)
			} else {
				reading, err = l.rows.Apply(*s.Write)
			}
			rejected, ok := errors.AsType[*masticway.WriteRejectedError](err)
			qt.Assert(l.t, ok, qt.IsFalse, qt.Commentf("%v", rejected))
			replies, fault := l.planner.CompleteStoreCall(l.now, s, reading, err)
			qt.Assert(l.t, fault, qt.IsNil)
			l.record(replies)
		}
	}
}

// closePredecessors closes the grants of all predecessors and forgets them.
func (l *largeInstance) closePredecessors() {
	for _, e := range l.planner.Predecessors() {
		for workspace, spent := range e.PresumedSpent(treasurer.Testimony{}) {
			key := masticway.RowKey{Table: "masticway_accounts", Part: treasurer.PartOf(workspace, largeParts), Key: workspace}
			write, _, err := treasurer.CloseGrant(l.rows.Row(key), e.Incarnation, spent, l.now.Sub(epoch), false)
			qt.Assert(l.t, err, qt.IsNil)
			_, err = l.rows.Apply(write)
			qt.Assert(l.t, err, qt.IsNil)
		}
	}
	l.planner.ForgetPredecessors()
}

func (l *largeInstance) account(workspace string) treasurer.Account {
	return treasurer.ReadAccount(l.rows.Row(masticway.RowKey{Table: "masticway_accounts", Part: treasurer.PartOf(workspace, largeParts), Key: workspace}))
}

// rowCount returns the number of rows of a table.
func (l *largeInstance) rowCount(table string) int {
	n := 0
	for part := range largeParts {
		reading, err := l.rows.Read(l.t.Context(), table, fmt.Sprint(part))
		qt.Assert(l.t, err, qt.IsNil)
		n += len(reading.Rows)
	}
	return n
}

// TestManyWorkspacesAreServedAfterKills guards against checkpoints that the store rejects because a row grows with the number of
// workspaces, or with each incarnation that is killed before it has closed its predecessors' grants.
func TestManyWorkspacesAreServedAfterKills(t *testing.T) {
	cases := map[string]struct{ workspaces, kills int }{
		"design size":                 {workspaces: 885, kills: 1},
		"several times the size":      {workspaces: 4000, kills: 1},
		"a series of kills":           {workspaces: 885, kills: 40},
		"a larger series, many names": {workspaces: 4000, kills: 12},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			l := newLargeInstance(t, tc.workspaces)
			l.start(0)
			l.request()
			l.run(time.Second)
			qt.Assert(t, len(l.cleared), qt.Equals, tc.workspaces)
			for kill := range tc.kills {
				l.now = l.now.Add(time.Second)
				l.start(kill + 1)
			}
			l.closePredecessors()
			for _, workspace := range l.workspaces {
				a := l.account(workspace)
				qt.Assert(t, len(a.Grants), qt.Equals, 0)
				qt.Assert(t, a.Closed >= largeNeed, qt.IsTrue, qt.Commentf("%s: %d of what was used counts as spent", workspace, a.Closed))
			}
			l.request()
			l.run(time.Second)
			qt.Assert(t, len(l.cleared), qt.Equals, tc.workspaces)
			l.run(5 * time.Second)
			qt.Check(t, l.rowCount("masticway_ended"), qt.Equals, 0)
		})
	}
}

// TestKillsBetweenWritesOfSuccessors guards against grants that stay open, or tokens that count as spent twice, because a successor is
// killed after some of the writes with which it takes over, closes grants and deletes the rows of its predecessors.
func TestKillsBetweenWritesOfSuccessors(t *testing.T) {
	for closed := range 6 {
		t.Run(fmt.Sprint(closed), func(t *testing.T) {
			l := newLargeInstance(t, 5)
			l.start(0)
			l.request()
			l.run(time.Second)
			qt.Assert(t, len(l.cleared), qt.Equals, 5)
			l.start(1)
			spent := l.planner.Predecessors()[0].PresumedSpent(treasurer.Testimony{})
			for _, workspace := range l.workspaces[:min(closed, 5)] {
				key := masticway.RowKey{Table: "masticway_accounts", Part: treasurer.PartOf(workspace, largeParts), Key: workspace}
				write, _, err := treasurer.CloseGrant(l.rows.Row(key), l.planner.Predecessors()[0].Incarnation, spent[workspace], l.now.Sub(epoch), false)
				qt.Assert(t, err, qt.IsNil)
				_, err = l.rows.Apply(write)
				qt.Assert(t, err, qt.IsNil)
			}
			l.start(2)
			l.closePredecessors()
			l.start(3)
			l.closePredecessors()
			l.run(time.Second)
			for _, workspace := range l.workspaces {
				a := l.account(workspace)
				qt.Check(t, a.Closed, qt.Equals, spent[workspace], qt.Commentf("%s", workspace))
			}
		})
	}
}

// TestWorkspacesWithoutRoomAreRefusedAtOnce guards against requests that wait until their end because the checkpoint cannot name their
// workspace.
func TestWorkspacesWithoutRoomAreRefusedAtOnce(t *testing.T) {
	l := newLargeInstance(t, 12_000)
	l.start(0)
	l.request()
	l.run(4 * time.Second)
	answered, unreachable := len(l.cleared), 0
	for _, workspace := range l.workspaces {
		if !l.held[workspace] {
			unreachable++
		}
	}
	qt.Check(t, answered > 8000, qt.IsTrue, qt.Commentf("%d were served", answered))
	qt.Check(t, answered+unreachable, qt.Equals, 12_000)
	var left string
	for _, workspace := range l.workspaces {
		if !l.held[workspace] {
			left = workspace
		}
	}
	id, replies := l.planner.Hold(l.now, left, largeNeed, l.now.Add(6*time.Second))
	for _, round := range l.planner.DueBorrowRounds(l.now.Add(100 * time.Millisecond)) {
		if round.Workspace == left {
			replies = append(replies, l.planner.CompleteBorrowRound(l.now.Add(100*time.Millisecond), round, nil, 0)...)
		}
	}
	verdicts := map[treasurer.HoldID]treasurer.Verdict{}
	for _, r := range replies {
		verdicts[r.ID] = r.Verdict
	}
	qt.Check(t, verdicts[id], qt.Equals, treasurer.VerdictUnreachable)
}

// TestRequestsAreRefusedWhileTakeOverIsRejected guards against requests that wait until their end because the store rejects the first
// checkpoint of an incarnation, so that it never gets tokens.
func TestRequestsAreRefusedWhileTakeOverIsRejected(t *testing.T) {
	p := treasurer.NewPlanner(treasurer.Settings{Incarnation: "edge~1", Parts: 1})
	p.Configure(1, map[string]masticway.Account{"w": {Workspace: "w", Prepaid: 1000, HasLimit: true}})
	waiting, replies := p.Hold(epoch, "w", 10, epoch.Add(6*time.Second))
	qt.Assert(t, replies, qt.HasLen, 0)
	p.NoteTakeOverRejected()
	replies = p.ServeQueues(epoch.Add(time.Millisecond))
	_, later := p.Hold(epoch.Add(time.Second), "w", 10, epoch.Add(7*time.Second))
	for i, r := range append(replies, later...) {
		qt.Check(t, r.Verdict, qt.Equals, treasurer.VerdictUnreachable, qt.Commentf("request %d", i))
	}
	qt.Assert(t, len(replies)+len(later), qt.Equals, 2)
	qt.Check(t, replies[0].ID, qt.Equals, waiting)
}

// TestCheckpointOfEarlierBuildIsTakenOver guards against grants that stay open after an upgrade: earlier builds write the spend limits
// and the ended incarnations in the checkpoint's own row.
func TestCheckpointOfEarlierBuildIsTakenOver(t *testing.T) {
	const old = `{"incarnation":"edge~b","generation":2,"sequence":9,"basis_ns":0,"traced":true,
		"promises":{"w":{"taken":300,"burst":40,"rate":0}},
		"ended":[{"incarnation":"edge~a","spent":{"w":120},"written":{"w":110},"promises":{},"silence_ns":5}]}`
	b := &harness{t: t, now: epoch, verdicts: map[treasurer.HoldID][]treasurer.Verdict{}}
	b.rows = emulator.NewRowStore(func() time.Time { return b.now })
	account, err := json.Marshal(treasurer.Account{Prepaid: 10_000, Version: 1, Grants: map[masticway.Incarnation]treasurer.Grant{"edge~a": {Granted: 500}, "edge~b": {Granted: 1000}}})
	qt.Assert(t, err, qt.IsNil)
	b.rows.Put(masticway.RowKey{Table: "masticway_accounts", Part: "0", Key: "w"}, account)
	b.rows.Put(masticway.RowKey{Table: "masticway_books", Part: "0", Key: "edge"}, []byte(old))
	// The successor is killed before it has closed anything, so that its own successor reads the rows that it has divided.
	b.start("edge~c", 10_000)
	b.start("edge~d", 10_000)
	spent := map[masticway.Incarnation]int64{}
	for _, e := range b.planner.Predecessors() {
		spent[e.Incarnation] = e.PresumedSpent(treasurer.Testimony{})["w"]
	}
	qt.Check(t, spent, qt.DeepEquals, map[masticway.Incarnation]int64{"edge~a": 120, "edge~b": 340})
	b.planner.ForgetPredecessors()
	b.run(5 * time.Second)
	b.start("edge~e", 10_000)
	for _, e := range b.planner.Predecessors() {
		qt.Check(t, e.Incarnation, qt.Not(qt.Equals), masticway.Incarnation("edge~a"))
		qt.Check(t, e.Incarnation, qt.Not(qt.Equals), masticway.Incarnation("edge~b"))
	}
}

// TestRowsThatEarlierBuildReplacedAreIgnored guards against grants that are closed twice after a roll-back and a further upgrade: an
// earlier build replaces the checkpoint's own row and leaves the others.
func TestRowsThatEarlierBuildReplacedAreIgnored(t *testing.T) {
	b := newHarness(t, 10_000)
	b.hold(100)
	b.run(time.Second)
	b.start("edge~2", 10_000)
	qt.Assert(t, b.planner.Predecessors(), qt.HasLen, 1)
	b.rows.Put(masticway.RowKey{Table: "masticway_books", Part: "0", Key: "edge"}, []byte(`{"incarnation":"edge~old","generation":3,"sequence":1,"basis_ns":0,"traced":true}`))
	b.start("edge~4", 10_000)
	qt.Check(t, b.planner.Predecessors(), qt.HasLen, 0)
	b.run(5 * time.Second)
	for _, table := range []string{"masticway_ended", "masticway_limits"} {
		reading, err := b.rows.Read(t.Context(), table, "0")
		qt.Assert(t, err, qt.IsNil)
		for _, r := range reading.Rows {
			qt.Check(t, r.Key, qt.Matches, "edge~4.*")
		}
	}
}

// TestAccountRowOfLargeFleetFits guards against a workspace's row that the store does not take, because all of 350 routers have a grant of
// it and are killed one after the other.
func TestAccountRowOfLargeFleetFits(t *testing.T) {
	const routers, maxRow = 350, 64 << 10
	incarnation := func(router, start int) masticway.Incarnation {
		return masticway.NewIncarnation(fmt.Sprintf("edge-somewhere-far-north-%03d", router), fmt.Sprintf("%08x", start))
	}
	rows := emulator.NewRowStore(time.Now)
	key := masticway.RowKey{Table: "masticway_accounts", Part: "0", Key: "w"}
	a := treasurer.Account{Prepaid: 9_000_000_000_000, Version: 1_000_000}
	for i := range routers {
		a = a.WithGrant(incarnation(i, 0), treasurer.Grant{Granted: 9_999_999_999, Taken: 9_999_999_999, Demand: 9_999_999, Sequence: 9_999_999})
	}
	largest := 0
	for start := range 2 {
		for i := range routers {
			value, err := json.Marshal(a)
			qt.Assert(t, err, qt.IsNil)
			rows.Put(key, value)
			write, _, err := treasurer.CloseGrant(rows.Row(key), incarnation(i, start), 9_999_999_999, time.Duration(start*routers+i)*time.Millisecond, false)
			qt.Assert(t, err, qt.IsNil)
			largest = max(largest, len(value), len(write.Puts[0].Value))
			a = treasurer.ReadAccount(masticway.StoredRow{Version: 1, Value: write.Puts[0].Value})
			a = a.WithGrant(incarnation(i, start+1), treasurer.Grant{Granted: 1000, Taken: 10, Demand: 10, Sequence: 1})
		}
	}
	t.Logf("largest row: %d bytes", largest)
	qt.Assert(t, largest <= maxRow, qt.IsTrue, qt.Commentf("%d bytes", largest))
	qt.Check(t, a.Closed, qt.Equals, int64(routers*9_999_999_999+routers*1000))
}
