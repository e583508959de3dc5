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

// Record records the version at which an attempt of a caller began a stream, and reports whether the stream may go to the caller. It
// returns once another router has the version, or, if none acknowledges it within recordTimeout, once no other router can take the pool
// for settled on a version that came before, or false if the context ends first. While the pool is settled on the version, it is kept
// here only.
func (v *Versioner) Record(ctx context.Context, pool, attempt, version string) bool {
	r := Record{Stream: Stream{Pool: pool, Attempt: attempt}, Version: version}
	if v.recordSettled(r) {
		return true
	}
	keepers := v.keepers(attempt, keeperCount)
	if len(keepers) == 0 {
		return true
	}
	if v.deliver(ctx, keepers, r) {
		v.Metrics.Add(metricRecorded, 1)
		return true
	}
	began := v.Clock.Now()
	ok := v.awaitKnown(ctx, r)
	v.reportUnrecorded(r, len(keepers), v.Clock.Now().Sub(began), ok)
	return ok
}

// deliver sends a version to its keepers and reports whether one of them acknowledged it within recordTimeout. The others have
// deliveryTimeout. What none of them acknowledges by then is sent again by flush.
func (v *Versioner) deliver(ctx context.Context, keepers []string, r Record) bool {
	kept := make(chan bool, len(keepers))
	background, cancel := context.WithTimeout(context.WithoutCancel(ctx), deliveryTimeout)
	var deliveries sync.WaitGroup
	for _, address := range keepers {
		v.Metrics.Add(metricMessages, 1)
		deliveries.Go(func() {
			ok := v.Routers.Record(background, address, []Record{r}) == nil
			if ok {
				v.acknowledge([]Record{r})
			}
			kept <- ok
		})
	}
	go func() {
		deliveries.Wait()
		cancel()
		v.keepUnsent([]Record{r})
	}()
	timeout := v.Clock.After(recordTimeout)
	for range keepers {
		select {
		case ok := <-kept:
			if ok {
				return true
			}
		case <-timeout:
			return false
		}
	}
	return false
}

// awaitKnown waits until another router has acknowledged a version or none can take the pool for settled on an earlier one. It returns
// false if the context ends first.
func (v *Versioner) awaitKnown(ctx context.Context, r Record) bool {
	for {
		v.mu.Lock()
		isKnown := v.notes.IsAcknowledged(r.Stream) || !v.Clock.Now().Before(v.history.KnownAt(r.Stream.Pool, r.Version))
		v.mu.Unlock()
		if isKnown {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-v.Clock.After(confirmInterval):
		}
	}
}

// recordSettled keeps a version here and reports whether it need not be sent to other routers now, because the pool is settled on it.
func (v *Versioner) recordSettled(r Record) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.Clock.Now()
	v.ledger.Add(now, r)
	if settled, ok := v.history.Settled(now, r.Stream.Pool); ok && settled == r.Version {
		v.notes.RecordUnsent(now, r)
		return true
	}
	v.notes.Record(now, r)
	return false
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

// flush sends the unsent versions of the pools that are not settled to their keepers. What none of them acknowledges stays unsent.
func (v *Versioner) flush(ctx context.Context) {
	records := v.dueRecords()
	if len(records) == 0 {
		return
	}
	batches := map[string][]Record{}
	for _, r := range records {
		for _, address := range v.keepers(r.Stream.Attempt, keeperCount) {
			batches[address] = append(batches[address], r)
		}
	}
	v.Log.WithFields(logrus.Fields{"event": "streams_recorded_late", "streams": len(records), "keepers": len(batches)}).Info("a pool is not settled on one software version")
	ctx, cancel := context.WithTimeout(ctx, deliveryTimeout)
	defer cancel()
	var deliveries sync.WaitGroup
	for address, batch := range batches {
		deliveries.Go(func() {
			for part := range slices.Chunk(batch, maxBatch) {
				v.Metrics.Add(metricMessages, 1)
				if v.Routers.Record(ctx, address, part) == nil {
					v.acknowledge(part)
				}
			}
		})
	}
	deliveries.Wait()
	v.keepUnsent(records)
}

// dueRecords returns the unsent versions of the pools that are not settled, if there are other routers. They are no longer unsent.
func (v *Versioner) dueRecords() (records []Record) {
	v.mu.Lock()
	now := v.Clock.Now()
	pools := slices.DeleteFunc(v.notes.Pools(), func(pool string) bool {
		_, ok := v.history.Settled(now, pool)
		return ok
	})
	v.mu.Unlock()
	if len(pools) == 0 || len(v.keepers(pools[0], 1)) == 0 {
		return nil
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, pool := range pools {
		records = append(records, v.notes.TakeUnsent(now, pool)...)
	}
	return records
}

// acknowledge records that a keeper has versions.
func (v *Versioner) acknowledge(records []Record) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, r := range records {
		v.notes.Acknowledge(r.Stream)
	}
}

// keepUnsent has flush send those versions again that no keeper has acknowledged.
func (v *Versioner) keepUnsent(records []Record) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, r := range records {
		if !v.notes.IsAcknowledged(r.Stream) {
			v.notes.MarkUnsent(r.Stream)
		}
	}
}

// reportUnrecorded logs that no keeper acknowledged a version in time. isGiven is set if the stream goes to its caller, whose first event
// was held back for a time.
func (v *Versioner) reportUnrecorded(r Record, keepers int, held time.Duration, isGiven bool) {
	v.Metrics.Add(metricUnrecorded, 1)
	v.Log.WithFields(logrus.Fields{
		"event": "stream_unrecorded", "attempt": r.Stream.Attempt, "pool": r.Stream.Pool, "version": r.Version, "keepers": keepers,
		"held_ms": held.Milliseconds(), "given": isGiven,
	}).Info("no other router has acknowledged the version of a stream in time")
}

// keepers returns the addresses of other routers that keep the version of an attempt's stream, at most count of them.
func (v *Versioner) keepers(attempt string, count int) []string {
	addresses := slices.DeleteFunc(v.Members.RankedAddresses(attempt, count+1), func(a string) bool { return a == v.Address || a == "" })
	if len(addresses) == 0 {
		addresses = v.Peers()
	}
	return addresses[:min(count, len(addresses))]
}

// Find returns the version at which an attempt of a caller began a stream, or false if it cannot be told.
func (v *Versioner) Find(ctx context.Context, pool, attempt string) (string, bool) {
	began := v.Clock.Now()
	s := Stream{Pool: pool, Attempt: attempt}
	replies, asked := []Reply{v.reply(s)}, 0
	if !replies[0].Recorded {
		v.awaitMembers(ctx)
		var others []Reply
		others, asked = v.ask(ctx, s)
		replies = append(replies, others...)
	}
	version, source := resolve(replies)
	if source == SourceSettled && !isAnswered(asked, len(replies)-1) {
		// A version may have come, or a route may have been moved, since this router, or those few that replied, read the store.
		version, source = v.confirm(ctx, pool, began)
	}
	if source == SourceNone {
		if stored, found := v.findStored(ctx, s); found {
			version, source = stored, SourceStored
		}
	}
	ok := source == SourceRecorded || source == SourceSettled || source == SourceStored
	if ok {
		v.Metrics.Add(metricFound, 1)
	} else {
		v.Metrics.Add(metricUnknown, 1)
	}
	v.Log.WithFields(logrus.Fields{
		"event": "stream_version", "attempt": attempt, "pool": pool, "version": version, "source": source, "asked": asked, "replied": len(replies) - 1,
		"ms": v.Clock.Now().Sub(began).Milliseconds(),
	}).Info("looked up the version of a stream")
	return version, ok
}

// awaitMembers waits until the routers are known, or for membersTimeout.
func (v *Versioner) awaitMembers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, membersTimeout)
	defer cancel()
	for v.Members.Members() == 0 {
		select {
		case <-ctx.Done():
			return
		case <-v.Clock.After(membersInterval):
		}
	}
}

// ask asks a stream's keepers for its version. It returns the replies that came within findTimeout, up to the first one with a recorded
// version, and the number of routers that were asked.
func (v *Versioner) ask(ctx context.Context, s Stream) (replies []Reply, asked int) {
	keepers := v.keepers(s.Attempt, askedCount)
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	answers := make(chan *Reply, len(keepers))
	for _, address := range keepers {
		v.Metrics.Add(metricMessages, 1)
		go func() {
			if r, err := v.Routers.Find(ctx, address, s); err == nil {
				answers <- &r
			} else {
				answers <- nil
			}
		}()
	}
	for range keepers {
		if r := <-answers; r != nil {
			replies = append(replies, *r)
			if r.Recorded {
				break
			}
		}
	}
	return replies, len(keepers)
}

// isAnswered reports whether enough of the asked routers replied that one of a stream's keepers is among them.
func isAnswered(asked, replied int) bool {
	return replied > 0 && asked-replied < min(asked, keeperCount)
}

// confirm returns the version on which a pool is settled according to readings of the configuration and the servers that began no earlier
// than a resumption. It waits for them while the pool is settled, for confirmTimeout at most.
func (v *Versioner) confirm(ctx context.Context, pool string, resumed time.Time) (string, Source) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	for {
		v.mu.Lock()
		version, ok := v.history.Settled(v.Clock.Now(), pool)
		isConfirmed := v.history.isConfirmed(resumed)
		v.mu.Unlock()
		switch {
		case !ok:
			return "", SourceNone
		case isConfirmed:
			return version, SourceSettled
		}
		select {
		case <-ctx.Done():
			return "", SourceNone
		case <-v.Clock.After(confirmInterval):
		}
	}
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

// reply returns what this router knows of the version of a stream.
func (v *Versioner) reply(s Stream) Reply {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.Clock.Now()
	var r Reply
	r.Version, r.Recorded = v.notes.Find(now, s)
	r.Settled, r.IsSettled = v.history.Settled(now, s.Pool)
	r.IsMixed = v.history.isMixed(now, s.Pool)
	return r
}
