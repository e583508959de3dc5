package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/scheduler"
)

// BenchmarkPlace measures one run from its choice to its end: the query and its three reports. 16 runs per engine are in progress.
func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{16, 64, 96} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			e := newTestEngines(n)
			open := make([]masticway.EngineReport, 16*n)
			now := testStart
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(1600 * time.Microsecond)
				k := i % len(open)
				if open[k].Run != "" {
					finish(e, now, open[k])
				}
				r := longRun(fmt.Sprint("r", i), fmt.Sprint("subject", i%400))
				c := e.Place(now, routerA, r, nil, nil)
				open[k] = masticway.EngineReport{Run: r.ID, Server: c.Server}
				e.Record(now, routerA, open[k])
				if i%64 == 0 {
					e.Expire(now)
				}
			}
		})
	}
}

// finish reports the first event and the end of a run.
func finish(e *scheduler.Engines, now time.Time, r masticway.EngineReport) {
	r.State, r.FirstEventAfter = masticway.EngineRunStreaming, 100*time.Millisecond
	e.Record(now, routerA, r)
	r.State, r.StreamedFor, r.Events = masticway.EngineRunEnded, time.Second, 17
	e.Record(now, routerA, r)
}

// BenchmarkChoice measures the query alone, as a repeated query for the same run.
func BenchmarkChoice(b *testing.B) {
	e := newTestEngines(64)
	for i := range 1000 {
		place(e, testStart, longRun(fmt.Sprint("other", i), fmt.Sprint("subject", i%400)))
	}
	r := longRun("r", "subject7")
	b.ReportAllocs()
	for b.Loop() {
		e.Place(testStart, routerA, r, nil, nil)
	}
}

// BenchmarkExpire measures the removal of expired runs when there are none among 4,096, which is called several times a second.
func BenchmarkExpire(b *testing.B) {
	e := newTestEngines(64)
	for i := range 4096 {
		place(e, testStart, longRun(fmt.Sprint("r", i), fmt.Sprint("subject", i%400)))
	}
	b.ReportAllocs()
	for b.Loop() {
		e.Expire(testStart.Add(time.Second))
	}
}
