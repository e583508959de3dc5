package relayer_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/platform"
)

// TestNoOtherRouterIsAskedForWhatArrives has a row that takes a slow link many times as long as a call may usually take
// alone. Others are asked where the answer doesn't begin, not where it goes on.
func TestNoOtherRouterIsAskedForWhatArrives(t *testing.T) {
	const rate, size, begin = 1 << 20, 512 << 10, 300 * time.Millisecond
	cases := map[string]struct {
		read func(s masticway.RowStore) (masticway.RowReading, error)
		away bool
	}{
		"a reading": {read: func(s masticway.RowStore) (masticway.RowReading, error) { return s.Read(t.Context(), "op", "") }},
		"changes": {read: func(s masticway.RowStore) (masticway.RowReading, error) {
			return s.Follow(t.Context(), masticway.Following{Table: "op", Wait: 100 * time.Millisecond})
		}},
		"a reading, through another router": {
			read: func(s masticway.RowStore) (masticway.RowReading, error) { return s.Read(t.Context(), "op", "") }, away: true,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			f.rows.Put(masticway.RowKey{Table: "op", Key: "large"}, []byte(strings.Repeat("x", size)))
			server := httptest.NewServer(f.rows.Handler())
			t.Cleanup(server.Close)
			link := emulator.NewLink(rate)
			t.Cleanup(link.Close)
			address, err := link.To(strings.TrimPrefix(server.URL, "http://"))
			qt.Assert(t, err, qt.IsNil)
			store := f.router(t, platform.NewStore(address, begin))
			if tc.away {
				f.own.how.Store(busy)
				f.turnAway(t)
				store = f.store
				f.address, err = link.To(f.address)
				qt.Assert(t, err, qt.IsNil)
			}
			asked := f.other.used.Load()
			began := time.Now()
			reading, err := tc.read(store)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, len(reading.Rows[0].Value), qt.Equals, size)
			qt.Check(t, time.Since(began) > begin, qt.IsTrue, qt.Commentf("too fast to tell"))
			if !tc.away {
				qt.Check(t, f.other.used.Load(), qt.Equals, asked)
			}
		})
	}
}
