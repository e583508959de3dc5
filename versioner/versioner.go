package versioner

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/measurer"
)

const (
	// keeperCount is the number of other routers at which the version of a stream is recorded. One of them may have died with the
	// router that began the stream, and another may not be known to the router at which it is resumed.
	keeperCount = 3
	// askedCount is the number of routers that are asked for a version. They include all keepers if the routers rank at most two
	// routers differently.
	askedCount = keeperCount + 2
	// recordTimeout is how long the first event of a stream waits for a keeper, and deliveryTimeout how long a keeper may take in the
	// background.
	recordTimeout   = 60 * time.Millisecond
	deliveryTimeout = 500 * time.Millisecond
	// findTimeout is how long a resumption waits for the replies of keepers.
	findTimeout = 150 * time.Millisecond
	// membersTimeout is how long a resumption waits until a router that has just started knows the others. It looks for them every
	// membersInterval.
	membersTimeout, membersInterval = 500 * time.Millisecond, 20 * time.Millisecond
	// confirmTimeout is how long a resumption that too few routers answer waits for readings of the configuration and the servers that
	// began after it. The call before may still be waiting for changes, and so may that call, each for about a second if nothing changes.
	confirmTimeout, confirmInterval = 2 * time.Second, 20 * time.Millisecond
	// flushInterval is how often Run looks for pools that are no longer settled or whose versions have changed.
	flushInterval = 200 * time.Millisecond
	// maxBatch is the maximum number of versions in one message.
	maxBatch = 1000
)

// Names of metrics.
const (
	metricRecorded   = "stream_versions_recorded"
	metricUnrecorded = "stream_versions_not_recorded"
	metricMessages   = "stream_version_messages"
	metricKept       = "stream_versions_kept"
	metricFound      = "stream_versions_found"
	metricUnknown    = "stream_versions_unknown"
)

// Members provides the membership of the routers.
type Members interface {
	// Members returns the number of known routers, or zero if it is unknown.
	Members() int
	// RankedAddresses returns the addresses of up to max routers, those with the highest rendezvous weights for a key, highest
	// first. This router may be among them.
	RankedAddresses(key string, max int) []string
}

// Dependencies holds the dependencies of a Versioner.
type Dependencies struct {
	Routers Routers
	Members Members
	// Peers returns the addresses of other routers. It includes some routers that are not yet counted as members.
	Peers func() []string
	// Store keeps which versions the pools have had, for routers that start.
	Store   masticway.RowStore
	Clock   masticway.Clock
	Log     *logrus.Entry
	Metrics *measurer.Set
	// Address is the address at which other routers reach this one.
	Address string
}

// Versioner records and finds the versions of streams.
type Versioner struct {
	Dependencies

	mu      sync.Mutex
	notes   *Notes
	history *History
	ledger  Ledger
	// nextLedgerAt is when this router may write its row of streams again, and nextLedgerReadAt when it may read those of all.
	nextLedgerAt, nextLedgerReadAt time.Time
	// nextReadAt is when the table of pools may be read again, and writePoolAt when this router writes the records of changed pools.
	nextReadAt  time.Time
	writePoolAt map[string]time.Time
	// era is the newest era of the store that is known.
	era int64
	// random returns a random number from 0 to 1.
	random func() float64
}

var _ masticway.StreamVersions = (*Versioner)(nil)

// New returns a Versioner that knows no stream.
func New(d Dependencies) *Versioner {
	return &Versioner{Dependencies: d, notes: NewNotes(), history: NewHistory(), writePoolAt: map[string]time.Time{}, random: rand.Float64}
}

// Update applies a change of the configuration or the servers.
func (v *Versioner) Update(d masticway.Deployment, servers map[string][]masticway.Server) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.history.Update(v.Clock.Now(), d, servers)
}

// RecordReading records that the servers were read by a call that began at a time. It must be called after Update with what was read.
func (v *Versioner) RecordReading(began time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.history.RecordReading(v.Clock.Now(), began)
}

// RecordConfigurationReading records that the configuration was read by a call that began at a time. It must be called after Update with
// what was read.
func (v *Versioner) RecordConfigurationReading(began time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.history.RecordConfigurationReading(began)
}

// Run records at other routers what was kept here only, once the pool is no longer settled, and in the store which versions the pools
// have. It returns when the context ends.
func (v *Versioner) Run(ctx context.Context) {
	var wg sync.WaitGroup
	// A slow store must not hold up the messages to other routers.
	wg.Go(func() { v.repeat(ctx, v.synchronizePools) })
	v.repeat(ctx, v.flush)
	wg.Wait()
}

// repeat calls do every flushInterval until the context ends.
func (v *Versioner) repeat(ctx context.Context, do func(context.Context)) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-v.Clock.After(flushInterval):
			do(ctx)
		}
	}
}

// keepers returns the addresses of other routers that keep the version of an attempt's stream, at most count of them.
func (v *Versioner) keepers(attempt string, count int) []string {
	addresses := slices.DeleteFunc(v.Members.RankedAddresses(attempt, count+1), func(a string) bool { return a == v.Address || a == "" })
	if len(addresses) == 0 {
		addresses = v.Peers()
	}
	return addresses[:min(count, len(addresses))]
}

// keep keeps versions for another router.
func (v *Versioner) keep(records []Record) {
	v.Metrics.Add(metricKept, int64(len(records)))
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, r := range records {
		v.notes.Record(v.Clock.Now(), r)
	}
}
