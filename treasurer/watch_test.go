package treasurer

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

// countingStore is a row store that counts the bytes read.
type countingStore struct {
	*emulator.RowStore
	bytes atomic.Int64
}

func (c *countingStore) Read(ctx context.Context, table, part string) (masticway.RowReading, error) {
	return c.count(c.RowStore.Read(ctx, table, part))
}

func (c *countingStore) Watch(ctx context.Context, f masticway.WatchRequest) (masticway.RowReading, error) {
	return c.count(c.RowStore.Watch(ctx, f))
}

func (c *countingStore) count(reading masticway.RowReading, err error) (masticway.RowReading, error) {
	c.bytes.Add(reading.Bytes())
	return reading, err
}

// TestLargeFleetReadsOnlyHeldParts has a router watch the accounts while the other routers of a fleet change their grants
// twice a second each. If every router read what all others write, that would be 115 kB a second at each of 356 routers.
func TestLargeFleetReadsOnlyHeldParts(t *testing.T) {
	perSecond := map[int]float64{}
	for _, routers := range []int{30, 100, 400} {
		synctest.Test(t, func(t *testing.T) {
			log := logrus.New()
			log.SetOutput(io.Discard)
			store := &countingStore{RowStore: emulator.NewRowStore(time.Now)}
			ctx, stop := context.WithCancel(t.Context())
			r := New(store, nil, emulator.MonotonicClock{}, logrus.NewEntry(log), measurer.New(), "edge-0", Settings{Address: "0", Parts: 64, Holders: 6, Zone: "z"})
			accounts := map[string]masticway.Account{}
			for i := range routers {
				name := fmt.Sprintf("w%d", i)
				accounts[name] = masticway.Account{Workspace: name, Prepaid: 1_000_000, HasLimit: true}
			}
			r.planner.Configure(1, accounts)
			var peers []Peer
			for i := 1; i < routers; i++ {
				peers = append(peers, Peer{Witness: Witness{Incarnation: masticway.NewIncarnation(fmt.Sprintf("edge-%d", i), "1"), Address: fmt.Sprint(i)}, Zone: "z"})
			}
			r.planner.SetPeers(routers, peers)
			r.members, r.peers = routers, peers
			go changeGrants(ctx, store, peers)
			done := make(chan struct{})
			go func() {
				defer close(done)
				r.watchAccounts(ctx)
			}()
			time.Sleep(20 * time.Second)
			before := store.bytes.Load()
			time.Sleep(20 * time.Second)
			perSecond[routers] = float64(store.bytes.Load()-before) / 20
			t.Logf("%d routers: %.0f bytes a second", routers, perSecond[routers])
			stop()
			<-done
			time.Sleep(time.Second)
		})
	}
	qt.Check(t, perSecond[100] <= 1.2*(48<<10), qt.IsTrue)
	qt.Check(t, perSecond[400] <= 6000, qt.IsTrue)
}

// changeGrants changes the rows of as many workspaces as there are routers, each twice a second.
func changeGrants(ctx context.Context, store *countingStore, holders []Peer) {
	const perRouter = 2
	for n := 0; ctx.Err() == nil; n++ {
		workspace := fmt.Sprintf("w%d", n%len(holders))
		row := Account{Prepaid: 1_000_000, Version: 1, Grants: map[masticway.Incarnation]Grant{}}
		for i := range 6 {
			row.Grants[holders[(n+i)%len(holders)].Incarnation] = Grant{Granted: int64(1000 + n%1000), Taken: 500, Demand: 100}
		}
		store.Put(accountKey(workspace, 64), encode(row))
		time.Sleep(time.Second / time.Duration(perRouter*len(holders)))
	}
}
