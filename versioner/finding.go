package versioner

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

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
