package versioner

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
)

// TestLateReadingDoesNotProlongLease guards against pools that are taken for settled for longer than first events are held back, because
// a reading counts from when it arrived.
func TestLateReadingDoesNotProlongLease(t *testing.T) {
	start := time.Unix(1000, 0)
	h := NewHistory()
	h.Update(start, testDeployment, serversOf("v1"))
	now := start
	for ; now.Before(start.Add(time.Minute)); now = now.Add(time.Second) {
		h.RecordReading(now, now.Add(-2*time.Second))
		h.RecordConfigurationReading(now)
	}
	// The last reading arrived a second ago.
	for late, want := range map[time.Duration]bool{0: true, 100 * time.Millisecond: false} {
		_, ok := h.Settled(now.Add(late), "p")
		qt.Check(t, ok, qt.Equals, want, qt.Commentf("%v later", late))
	}
}

// TestKnownAtCountsFromChange guards against first events that are not held back after a change, and against ones that are held back
// long after it.
func TestKnownAtCountsFromChange(t *testing.T) {
	start := time.Unix(1000, 0)
	moved := testDeployment
	moved.Version = 2
	moved.Routes = []masticway.Route{testDeployment.Routes[0]}
	moved.Routes[0].Shares = []masticway.TrafficShare{{Pool: "p", Weight: 1}, {Pool: "q", Weight: 1}}
	h := NewHistory()
	h.Update(start, testDeployment.WithIndex(), serversOf("v1"))
	h.Update(start.Add(10*time.Second), testDeployment.WithIndex(), serversOf("v1", "v2"))
	h.Update(start.Add(20*time.Second), testDeployment.WithIndex(), serversOf("v1", "v2", "v2"))
	qt.Check(t, h.KnownAt("p", "v1").Sub(start), qt.Equals, 3*time.Second)
	qt.Check(t, h.KnownAt("p", "v2").Sub(start), qt.Equals, 13*time.Second)
	h.Update(start.Add(30*time.Second), moved.WithIndex(), serversOf("v1", "v2"))
	qt.Check(t, h.KnownAt("p", "v1").Sub(start), qt.Equals, 33*time.Second)
	qt.Check(t, h.KnownAt("q", "v1").Sub(start), qt.Equals, 33*time.Second)
}

// TestMoveIsWrittenOnce guards against routers that write a pool's row again and again, and against ones that lose from it what others
// have written.
func TestMoveIsWrittenOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	cases := map[string]struct {
		old  PoolRecord
		pool poolHistory
		want PoolRecord
		ok   bool
	}{
		"another router wrote the move": {
			old:  PoolRecord{Versions: map[string]int64{"v1": 0}, Moved: 59_000, MovedBy: 2},
			pool: poolHistory{current: map[string]bool{"v1": true}, movedAt: now.Add(-500 * time.Millisecond), movedBy: 2},
			want: PoolRecord{Versions: map[string]int64{"v1": 0}, Moved: 59_000, MovedBy: 2},
		},
		"a later move": {
			old:  PoolRecord{Versions: map[string]int64{"v1": 0}, Moved: 59_000, MovedBy: 2},
			pool: poolHistory{current: map[string]bool{"v1": true}, movedAt: now.Add(-500 * time.Millisecond), movedBy: 3},
			want: PoolRecord{Versions: map[string]int64{"v1": 0}, Moved: 59_500, MovedBy: 3}, ok: true,
		},
		"a router that is behind": {
			old:  PoolRecord{Versions: map[string]int64{"v1": 0}, Moved: 59_000, MovedBy: 3},
			pool: poolHistory{current: map[string]bool{"v1": true}, movedAt: now.Add(-500 * time.Millisecond), movedBy: 2},
			want: PoolRecord{Versions: map[string]int64{"v1": 0}, Moved: 59_000, MovedBy: 3},
		},
		"a version comes after the move": {
			old:  PoolRecord{Versions: map[string]int64{"v1": 0}, Moved: 59_000, MovedBy: 2},
			pool: poolHistory{current: map[string]bool{"v1": true, "v2": true}},
			want: PoolRecord{Versions: map[string]int64{"v1": 0, "v2": 0}, Moved: 59_000, MovedBy: 2}, ok: true,
		},
		"a move to servers without versions": {
			old:  PoolRecord{Versions: map[string]int64{"v1": 58_000}},
			pool: poolHistory{current: map[string]bool{"": true}, movedAt: now, movedBy: 2},
			want: PoolRecord{Versions: map[string]int64{"v1": 58_000}, Moved: 60_000, MovedBy: 2}, ok: true,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			tc.pool.span = 23 * time.Second
			r := recordedPools{readAt: now, storeTime: time.Minute, pools: map[string]storedPool{"p": {version: 1, record: tc.old}}}
			record, ok := r.changed(now, "p", tc.pool)
			qt.Check(t, ok, qt.Equals, tc.ok)
			qt.Check(t, record, qt.DeepEquals, tc.want)
		})
	}
}

// TestEnoughReplies guards against streams that go on at another version because none of their keepers is among the routers that replied.
func TestEnoughReplies(t *testing.T) {
	for counts, want := range map[[2]int]bool{
		{0, 0}: false, {1, 0}: false, {1, 1}: true, {2, 1}: true, {3, 1}: true, {3, 0}: false, {5, 1}: false, {5, 2}: false, {5, 3}: true, {5, 5}: true,
	} {
		qt.Check(t, isAnswered(counts[0], counts[1]), qt.Equals, want, qt.Commentf("%d of %d routers replied", counts[1], counts[0]))
	}
}

// TestFirstEventIsHeldBackOnlyAsLongAsNeeded guards against first events that go out before another router can know their stream's
// version, or after the request has ended, and against ones that are held back for nothing.
func TestFirstEventIsHeldBackOnlyAsLongAsNeeded(t *testing.T) {
	cases := map[string]struct {
		routers int
		// The router is alone for a time since the version joined, and the stream begins after begin. Its context ends after timeout.
		alone, begin, timeout time.Duration
		// The first event may go out from earliest to latest after the beginning, if ok is set.
		earliest, latest time.Duration
		ok               bool
	}{
		"the only router":              {routers: 1, begin: 300 * time.Millisecond, ok: true},
		"others reached":               {routers: 6, begin: 300 * time.Millisecond, ok: true, latest: recordTimeout},
		"alone":                        {routers: 6, alone: time.Minute, begin: 300 * time.Millisecond, ok: true, earliest: 2600 * time.Millisecond, latest: 3 * time.Second},
		"alone for a second":           {routers: 6, alone: time.Second, begin: 300 * time.Millisecond, ok: true, earliest: 700 * time.Millisecond, latest: 2 * time.Second},
		"alone, the request ends":      {routers: 6, alone: time.Minute, begin: 300 * time.Millisecond, earliest: time.Second, latest: 1100 * time.Millisecond, timeout: time.Second},
		"alone, joined long ago":       {routers: 6, alone: time.Minute, begin: 4 * time.Second, ok: true, latest: recordTimeout},
		"alone, the request has ended": {routers: 6, alone: time.Minute, begin: 300 * time.Millisecond, latest: recordTimeout, timeout: time.Nanosecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(1, tc.routers, "v1")
				defer w.close()
				r := w.routers["0"]
				w.mu.Lock()
				r.aloneUntil = time.Now().Add(tc.alone)
				w.versions = []string{"v1", "v2"}
				w.mu.Unlock()
				w.readFor(tc.begin)
				done := make(chan bool)
				go func() {
					defer close(done)
					ctx, cancel := context.WithCancel(context.Background())
					defer cancel()
					if tc.timeout > 0 {
						time.AfterFunc(tc.timeout, cancel)
					}
					began := time.Now()
					ok := r.Versioner.Record(ctx, "p", "stream", "v2")
					held := time.Since(began)
					qt.Check(t, ok, qt.Equals, tc.ok)
					qt.Check(t, held >= tc.earliest && held <= tc.latest, qt.IsTrue, qt.Commentf("held back for %v", held))
				}()
				w.readFor(5 * time.Second)
				<-done
			})
		})
	}
}

// TestResumptionWaitsForBothReadings guards against streams that go on elsewhere because a resumption that no router answers relies on a
// reading of the servers, or of the configuration, that began before it.
func TestResumptionWaitsForBothReadings(t *testing.T) {
	for name, tc := range map[string]struct{ servers, configuration, want bool }{
		"both": {true, true, true}, "servers only": {servers: true}, "configuration only": {configuration: true}, "none": {},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(1, 6, "v1")
				defer w.close()
				r := w.routers["0"]
				w.mu.Lock()
				r.aloneUntil = time.Now().Add(time.Hour)
				w.mu.Unlock()
				go func() {
					time.Sleep(300 * time.Millisecond)
					if tc.servers {
						r.RecordReading(time.Now())
					}
					if tc.configuration {
						r.RecordConfigurationReading(time.Now())
					}
				}()
				_, ok := r.Find(t.Context(), "p", "stream")
				qt.Check(t, ok, qt.Equals, tc.want)
			})
		})
	}
}

// TestAcknowledgementsAreForgotten guards against memory that grows with each stream.
func TestAcknowledgementsAreForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	n := NewNotes()
	for i := range 100 {
		s := Stream{Pool: "p", Attempt: fmt.Sprint(i)}
		n.Record(now, Record{s, "v1"})
		n.Acknowledge(s)
	}
	qt.Check(t, n.acknowledged, qt.HasLen, 100)
	now = now.Add(noteLifetime)
	n.Find(now, Stream{})
	n.Acknowledge(Stream{Pool: "p", Attempt: "1"})
	qt.Check(t, n.acknowledged, qt.HasLen, 0)
}
