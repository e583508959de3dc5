package versioner

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestStreamThatOneKeeperHasIsNotTakenForSettled guards against streams that go on at another version because only one of their keepers
// acknowledged them, and a resumption reaches only the others, none of which has read the servers since that version came.
func TestStreamThatOneKeeperHasIsNotTakenForSettled(t *testing.T) {
	const routers, streams = 30, 12
	var total outcome
	for seed := range streams {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(uint64(seed), routers, "v1")
			defer w.close()
			id := fmt.Sprint("stream", seed)
			keepers := w.routers["5"].keepers(id, askedCount)
			resuming := w.routers["0"]
			for i := range routers {
				if r := w.routers[fmt.Sprint(i)]; r.address != "5" && !slices.Contains(keepers, r.address) {
					resuming = r
				}
			}
			w.mu.Lock()
			joinedAt := time.Now()
			w.hideStoreFromOthers(joinedAt.Add(10 * time.Second))
			for _, address := range keepers[1:keeperCount] {
				w.routers[address].aloneUntil = joinedAt.Add(time.Second)
			}
			w.versions = []string{"v1", "v2"}
			w.mu.Unlock()
			w.readFor(200 * time.Millisecond)
			qt.Check(t, w.routers["5"].Versioner.Record(context.Background(), "p", id, "v2"), qt.IsTrue)
			w.readFor(time.Second)
			// The router that began the stream and the keeper that has it end.
			w.mu.Lock()
			w.routers["5"].cutUntil, w.routers[keepers[0]].cutUntil = joinedAt.Add(time.Hour), joinedAt.Add(time.Hour)
			w.mu.Unlock()
			total.add(w.resume(resuming, id, "v2"))
		})
	}
	qt.Check(t, total.mixed, qt.Equals, 0, qt.Commentf("%+v", total))
}
