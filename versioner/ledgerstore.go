package versioner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
)

// ledgerPart is the part, that is, partition, of poolTable with a row for each router that has begun streams in a pool with servers of
// several versions. The key is the router's address.
const ledgerPart = "streams"

const (
	// minLedgerInterval is the least time between two writes of a router's row, and ledgerSpacing the least time between the writes of
	// two routers on average, so that large fleets write no more often than the store allows.
	minLedgerInterval = 400 * time.Millisecond
	ledgerSpacing     = 10 * time.Millisecond
	// ledgerReadTimeout is the timeout of reading all rows for a resumption, and ledgerReadInterval the least time between two reads.
	ledgerReadTimeout  = 300 * time.Millisecond
	ledgerReadInterval = 250 * time.Millisecond
)

// Names of metrics.
// maxExpired is how many rows one write deletes, of which the store takes 100.
const maxExpired = 90

const (
	metricLedgerWrites = "stream_ledger_writes"
	metricLedgerReads  = "stream_ledger_reads"
)

// writeLedger writes this router's row if it has begun streams, in pools that are not settled on a version, that the row lacks. It does
// so at intervals, however many streams begin.
func (v *Versioner) writeLedger(ctx context.Context) {
	now, streams, isRead := v.dueStreams()
	if streams != nil && !isRead {
		// The row may have streams of this router's predecessor.
		v.readLedgers(ctx)
		now, streams, isRead = v.dueStreams()
	}
	if streams == nil {
		return
	}
	interval := max(minLedgerInterval, time.Duration(v.Members.Members())*ledgerSpacing)
	v.mu.Lock()
	v.nextLedgerAt = now.Add(interval)
	record := newLedgerRecord(v.ledger.storeNow(now), streams)
	v.mu.Unlock()
	if !isRead {
		return
	}
	value, err := json.Marshal(record)
	if err != nil {
		// A record contains only strings and numbers, which can always be encoded.
		panic(fmt.Sprintf("encoding the streams of a router: %v", err))
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	v.Metrics.Add(metricLedgerWrites, 1)
	_, err = v.Store.Write(ctx, masticway.RowWrite{Puts: []masticway.RowPut{{RowKey: v.ledgerKey(v.Address), Value: value}}})
	if err != nil {
		v.Log.WithFields(logrus.Fields{"event": "stream_ledger_unwritten", "error": err}).Info("the store has not taken the versions of streams")
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.ledger.RecordWritten(now)
}

// dueStreams returns the streams for this router's row as of now, or nil if the row need not or may not be written yet, and whether the
// rows have been read.
func (v *Versioner) dueStreams() (now time.Time, streams map[string][]streamHash, isRead bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now, isRead = v.Clock.Now(), !v.ledger.readAt.IsZero()
	if now.Before(v.nextLedgerAt) {
		return now, nil, isRead
	}
	isSettled := map[string]bool{}
	streams, _ = v.ledger.Unwritten(now, func(pool string) bool {
		settled, known := isSettled[pool]
		if !known {
			_, settled = v.history.onlyVersion(now, pool)
			isSettled[pool] = settled
		}
		return !settled
	})
	return now, streams, isRead
}

func (v *Versioner) ledgerKey(address string) masticway.RowKey {
	return masticway.RowKey{Table: poolTable, Part: ledgerPart, Key: address}
}

// readLedgers reads the rows of all routers, and deletes those of routers that have written none for longer than streams are kept.
func (v *Versioner) readLedgers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, ledgerReadTimeout)
	defer cancel()
	v.Metrics.Add(metricLedgerReads, 1)
	reading, err := v.Store.Read(ctx, poolTable, ledgerPart)
	all, own := map[streamHash]string{}, map[streamHash]string{}
	var expired []masticway.RowKey
	var decodeErr error
	for _, row := range reading.Rows {
		var record LedgerRecord
		streams := map[streamHash]string{}
		rowErr := json.Unmarshal(row.Value, &record)
		if rowErr == nil {
			streams, rowErr = record.versions()
		}
		decodeErr = errors.Join(decodeErr, rowErr)
		if rowErr != nil || reading.StoreTime-time.Duration(record.At)*time.Millisecond > noteLifetime {
			if row.Key != v.Address {
				expired = append(expired, row.RowKey)
			}
			continue
		}
		for h, version := range streams {
			all[h] = version
			if row.Key == v.Address {
				own[h] = version
			}
		}
	}
	v.mu.Lock()
	now := v.Clock.Now()
	v.nextLedgerReadAt = now.Add(ledgerReadInterval)
	if err == nil {
		v.ledger.Recall(now, reading.StoreTime, all, own)
	}
	v.mu.Unlock()
	v.Log.WithFields(logrus.Fields{
		"event": "stream_ledgers_read", "rows": len(reading.Rows), "streams": len(all), "expired": len(expired), "error": errors.Join(err, decodeErr),
	}).Info("read the versions of streams from the store")
	if len(expired) > 0 {
		// Another router may have deleted them, and the next read finds those that are left.
		_, _ = v.Store.Write(ctx, masticway.RowWrite{Deletes: expired[:min(len(expired), maxExpired)]})
	}
}

// findStored returns the version of a stream according to the rows of all routers. It reads them if they were not read lately.
func (v *Versioner) findStored(ctx context.Context, s Stream) (string, bool) {
	v.mu.Lock()
	version, ok := v.ledger.Find(s)
	mustRead := !ok && !v.Clock.Now().Before(v.nextLedgerReadAt)
	if mustRead {
		// Other resumptions do not read meanwhile.
		v.nextLedgerReadAt = v.Clock.Now().Add(ledgerReadInterval)
	}
	v.mu.Unlock()
	if mustRead {
		v.readLedgers(ctx)
		v.mu.Lock()
		defer v.mu.Unlock()
		version, ok = v.ledger.Find(s)
	}
	return version, ok
}
