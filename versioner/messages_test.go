package versioner

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/measurer"
)

// countingRouters accepts all records, knows no stream and counts the messages.
type countingRouters struct{ records, questions atomic.Int64 }

func (r *countingRouters) Record(context.Context, string, []Record) error {
	r.records.Add(1)
	return nil
}

func (r *countingRouters) Find(context.Context, string, Stream) (Reply, error) {
	r.questions.Add(1)
	return Reply{}, nil
}

// rankedMembers ranks a number of routers in a fixed order, this one first.
type rankedMembers int

func (m rankedMembers) Members() int { return int(m) }

func (m rankedMembers) RankedAddresses(_ string, limit int) (addresses []string) {
	for i := range min(limit, int(m)) {
		addresses = append(addresses, fmt.Sprint(i))
	}
	return addresses
}

// TestMessagesPerStream guards against costs that grow with the fleet, and against messages while there is one version only.
func TestMessagesPerStream(t *testing.T) {
	const streams = 10
	cases := map[string]struct {
		routers  int
		versions []string
		// records and questions are the messages for all streams. late is how many of the records are sent once another version
		// comes.
		records, questions, late int64
	}{
		"300 routers, one version":      {routers: 300, versions: []string{"v1"}, questions: 5 * streams, late: 3},
		"300 routers, several versions": {routers: 300, versions: []string{"v1", "v2"}, records: 3 * streams, questions: 5 * streams},
		"three routers, two versions":   {routers: 3, versions: []string{"v1", "v2"}, records: 2 * streams, questions: 2 * streams},
		"the only router":               {routers: 1, versions: []string{"v1", "v2"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := logrus.New()
				log.SetOutput(io.Discard)
				var sent countingRouters
				v := New(Dependencies{
					Store:   emulator.NewRowStore(time.Now),
					Routers: &sent, Members: rankedMembers(tc.routers), Peers: func() []string { return nil }, Clock: bubbleClock{},
					Log: logrus.NewEntry(log), Metrics: measurer.New(), Address: "0",
				})
				v.Update(testDeployment, serversOf(tc.versions...))
				for range 60 {
					v.RecordReading(time.Now())
					v.RecordConfigurationReading(time.Now())
					time.Sleep(time.Second)
				}
				for i := range streams {
					v.Record(t.Context(), "p", fmt.Sprint("begun", i), "v1")
				}
				for i := range streams {
					v.Find(t.Context(), "p", fmt.Sprint("resumed", i))
				}
				synctest.Wait()
				qt.Check(t, sent.records.Load(), qt.Equals, tc.records)
				qt.Check(t, sent.questions.Load(), qt.Equals, tc.questions)
				v.Update(testDeployment, serversOf("v1", "v2"))
				v.flush(t.Context())
				qt.Check(t, sent.records.Load(), qt.Equals, tc.records+tc.late)
				time.Sleep(deliveryTimeout)
			})
		})
	}
}

// lateMembers knows no routers until a time.
type lateMembers struct {
	rankedMembers
	from time.Time
}

func (m lateMembers) Members() int {
	if time.Now().Before(m.from) {
		return 0
	}
	return m.rankedMembers.Members()
}

func (m lateMembers) RankedAddresses(key string, limit int) []string {
	if time.Now().Before(m.from) {
		return nil
	}
	return m.rankedMembers.RankedAddresses(key, limit)
}

// knowingRouters knows the version of all streams.
type knowingRouters struct{ countingRouters }

func (*knowingRouters) Find(context.Context, string, Stream) (Reply, error) {
	return Reply{Version: "v1", Recorded: true}, nil
}

// TestNewRouterAsksOnceItKnowsOthers guards against refusing to resume a stream at a router that has just started, because it has
// nobody to ask yet.
func TestNewRouterAsksOnceItKnowsOthers(t *testing.T) {
	for name, tc := range map[string]struct {
		after time.Duration
		found bool
	}{
		"at once":      {found: true},
		"after 0.4 s":  {after: 400 * time.Millisecond, found: true},
		"after 10 min": {after: 10 * time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := logrus.New()
				log.SetOutput(io.Discard)
				began := time.Now()
				v := New(Dependencies{
					Store:   emulator.NewRowStore(time.Now),
					Routers: &knowingRouters{}, Members: lateMembers{5, began.Add(tc.after)}, Peers: func() []string { return nil },
					Clock: bubbleClock{}, Log: logrus.NewEntry(log), Metrics: measurer.New(), Address: "0",
				})
				_, ok := v.Find(t.Context(), "p", "a")
				qt.Assert(t, ok, qt.Equals, tc.found)
				qt.Assert(t, time.Since(began) <= membersTimeout, qt.IsTrue)
			})
		})
	}
}

// reportingMembers reports a reading of the servers while it is asked, as a component does that holds a lock of its own meanwhile.
type reportingMembers struct {
	rankedMembers
	versioner func() *Versioner
}

func (m reportingMembers) RankedAddresses(key string, limit int) []string {
	m.versioner().RecordReading(time.Now())
	return m.rankedMembers.RankedAddresses(key, limit)
}

// TestMembersAreAskedWithoutLock guards against two components that wait for each other's locks for ever.
func TestMembersAreAskedWithoutLock(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	var v *Versioner
	v = New(Dependencies{
		Store: emulator.NewRowStore(time.Now), Routers: &countingRouters{}, Members: reportingMembers{3, func() *Versioner { return v }}, Peers: func() []string { return nil }, Clock: masticway.SystemClock{},
		Log: logrus.NewEntry(log), Metrics: measurer.New(), Address: "0",
	})
	v.Update(testDeployment, serversOf("v1", "v2"))
	v.RecordReading(time.Now())
	v.RecordConfigurationReading(time.Now())
	v.readPools(t.Context())
	asked := make(chan []string, 1)
	go func() { asked <- v.duePools() }()
	select {
	case due := <-asked:
		qt.Assert(t, due, qt.DeepEquals, []string{"p"})
	case <-time.After(5 * time.Second):
		t.Fatal("it waits for its own lock")
	}
}
