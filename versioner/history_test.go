package versioner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
)

// testDeployment has a route with resumable streams to pool p, so that streams may be resumed for 23 s.
var testDeployment = masticway.Deployment{Routes: []masticway.Route{
	{Name: "r", RetryPolicy: masticway.RetryByResuming, Timeout: 4 * time.Second, Shares: []masticway.TrafficShare{{Pool: "p", Weight: 1}}},
	{Name: "other", RetryPolicy: masticway.RetryNever, Timeout: 30 * time.Second, Shares: []masticway.TrafficShare{{Pool: "p", Weight: 1}, {Pool: "plain", Weight: 1}}},
}}

func serversOf(versions ...string) map[string][]masticway.Server {
	servers := map[string][]masticway.Server{}
	for _, v := range versions {
		servers["p"] = append(servers["p"], masticway.Server{Pool: "p", Version: v})
	}
	return servers
}

func TestHistory(t *testing.T) {
	type change struct {
		at       int
		versions []string
	}
	v1, v2, both := []string{"v1", "v1"}, []string{"v2"}, []string{"v1", "v2"}
	// Times are in seconds.
	cases := map[string]struct {
		changes []change
		// The servers are read every 0.5 s until the end, but not from gapFrom to gapTo.
		until, gapFrom, gapTo int
		// The configuration is read every 0.5 s until configuredTo, or until the end if it is zero.
		configuredTo int
		// isRecordRead is set if the store's record, which has nothing of the pool, was read at the start.
		isRecordRead bool
		// settled is the version on which the pool is settled then, if isSettled is set.
		settled   string
		isSettled bool
	}{
		"one version, just seen":                     {changes: []change{{0, v1}}, until: 20},
		"one version":                                {changes: []change{{0, v1}}, until: 25, settled: "v1", isSettled: true},
		"another one has come":                       {changes: []change{{0, v1}, {30, both}}, until: 31},
		"another one came long ago":                  {changes: []change{{0, v1}, {30, both}}, until: 90},
		"the first one has just left":                {changes: []change{{0, v1}, {30, both}, {50, v2}}, until: 70},
		"the first one left long ago":                {changes: []change{{0, v1}, {30, both}, {50, v2}}, until: 75, settled: "v2", isSettled: true},
		"two since the start":                        {changes: []change{{0, both}}, until: 60},
		"all servers have left":                      {changes: []change{{0, v1}, {30, nil}}, until: 35, settled: "v1", isSettled: true},
		"a server of the version restarts":           {changes: []change{{0, v1}, {30, nil}, {32, v1}}, until: 34, settled: "v1", isSettled: true},
		"no readings now":                            {changes: []change{{0, v1}}, until: 40, gapFrom: 35, gapTo: 1000},
		"readings after a gap":                       {changes: []change{{0, v1}}, until: 50, gapFrom: 30, gapTo: 35},
		"readings long after a gap":                  {changes: []change{{0, v1}}, until: 60, gapFrom: 30, gapTo: 35, settled: "v1", isSettled: true},
		"readings after a short gap":                 {changes: []change{{0, v1}}, until: 35, gapFrom: 30, gapTo: 32, settled: "v1", isSettled: true},
		"no versions, just started":                  {changes: []change{{0, []string{"", ""}}}, until: 1},
		"no versions, the record was read":           {changes: []change{{0, []string{"", ""}}}, until: 1, isRecordRead: true, isSettled: true},
		"no versions":                                {changes: []change{{0, []string{"", ""}}}, until: 25, isSettled: true},
		"no versions, no readings now":               {changes: []change{{0, []string{"", ""}}}, until: 40, gapFrom: 35, gapTo: 1000, isSettled: true},
		"no versions, no configuration now":          {changes: []change{{0, []string{"", ""}}}, until: 40, configuredTo: 36},
		"no versions, the configuration read lately": {changes: []change{{0, []string{"", ""}}}, until: 40, configuredTo: 37, isSettled: true},
		"one version, no configuration now":          {changes: []change{{0, v1}}, until: 40, configuredTo: 36},
		"some servers report no version":             {changes: []change{{0, []string{"", "v1"}}}, until: 60},
		"no server":                                  {until: 60},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			h := NewHistory()
			began := time.Unix(1000, 0)
			changes := tc.changes
			now := began
			if tc.isRecordRead {
				h.recorded.readAt = began
			}
			for half := range 2*tc.until + 1 {
				now = began.Add(time.Duration(half) * time.Second / 2)
				if tc.configuredTo == 0 || half <= 2*tc.configuredTo {
					h.RecordConfigurationReading(now)
				}
				if half >= 2*tc.gapFrom && half < 2*tc.gapTo {
					continue
				}
				for len(changes) > 0 && 2*changes[0].at <= half {
					h.Update(now, testDeployment, serversOf(changes[0].versions...))
					changes = changes[1:]
				}
				h.RecordReading(now, now)
			}
			version, ok := h.Settled(now, "p")
			qt.Assert(t, ok, qt.Equals, tc.isSettled)
			if ok {
				qt.Assert(t, version, qt.Equals, tc.settled)
			}
			_, ok = h.Settled(now, "plain")
			qt.Assert(t, ok, qt.IsFalse)
		})
	}
}

func TestResolve(t *testing.T) {
	recorded := func(version string) Reply { return Reply{Version: version, Recorded: true} }
	settled := func(version string) Reply { return Reply{Settled: version, IsSettled: true} }
	cases := map[string]struct {
		replies []Reply
		version string
		source  Source
	}{
		"recorded here":                 {replies: []Reply{recorded("v1")}, version: "v1", source: SourceRecorded},
		"recorded at a keeper":          {replies: []Reply{settled("v2"), {}, recorded("v1")}, version: "v1", source: SourceRecorded},
		"recorded differently":          {replies: []Reply{{}, recorded("v1"), recorded("v2")}, source: SourceConflict},
		"nobody knows":                  {replies: []Reply{{}, {}, {}}, source: SourceNone},
		"settled here, nobody replied":  {replies: []Reply{settled("v1")}, version: "v1", source: SourceSettled},
		"settled at a keeper":           {replies: []Reply{{}, {}, settled("v1")}, version: "v1", source: SourceSettled},
		"settled on different versions": {replies: []Reply{settled("v1"), settled("v2")}, source: SourceConflict},
		"no versions are reported":      {replies: []Reply{settled("")}, source: SourceSettled},
		"one knows of several":          {replies: []Reply{settled("v1"), {IsMixed: true}, settled("v1")}, source: SourceNone},
		"several and recorded":          {replies: []Reply{{IsMixed: true}, settled("v2"), recorded("v1")}, version: "v1", source: SourceRecorded},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			version, source := resolve(tc.replies)
			qt.Assert(t, version, qt.Equals, tc.version)
			qt.Assert(t, source, qt.Equals, tc.source)
		})
	}
}

func TestNotes(t *testing.T) {
	now := time.Unix(1000, 0)
	n := NewNotes()
	a, b := Stream{Pool: "p", Attempt: "a"}, Stream{Pool: "q", Attempt: "a"}
	n.Record(now, Record{a, "v1"})
	n.RecordUnsent(now, Record{b, "v2"})
	n.Record(now.Add(30*time.Second), Record{a, "v1"})
	find := func(after time.Duration, s Stream) string {
		version, ok := n.Find(now.Add(after), s)
		if !ok {
			return "none"
		}
		return version
	}
	qt.Assert(t, find(time.Second, a), qt.Equals, "v1")
	qt.Assert(t, find(time.Second, b), qt.Equals, "v2")
	qt.Assert(t, n.TakeUnsent(now, "p"), qt.HasLen, 0)
	qt.Assert(t, n.TakeUnsent(now, "q"), qt.DeepEquals, []Record{{b, "v2"}})
	qt.Assert(t, n.TakeUnsent(now, "q"), qt.HasLen, 0)
	qt.Assert(t, find(noteLifetime+time.Second, a), qt.Equals, "v1", qt.Commentf("it was recorded again"))
	qt.Assert(t, find(noteLifetime+time.Second, b), qt.Equals, "none")
	qt.Assert(t, find(2*noteLifetime, a), qt.Equals, "none")
	now = now.Add(time.Hour)
	for range 3 * maxNotes {
		n.RecordUnsent(now, Record{Stream{Attempt: now.String()}, "v1"})
		now = now.Add(time.Millisecond)
	}
	qt.Assert(t, len(n.versions) <= maxNotes && len(n.ends) <= maxNotes && len(n.counts) <= maxNotes && len(n.unsent[""]) <= maxNotes, qt.IsTrue)
	now = now.Add(time.Hour)
	n.Find(now, a)
	qt.Assert(t, len(n.versions)+len(n.ends)+len(n.counts)+len(n.unsent), qt.Equals, 0)
}

// TestVersionsThatLeftAreRecordedAgainAfterReturnOfStore guards against streams that a new router takes for ones of another version,
// because the store has returned from a copy that does not know all versions of the pool.
func TestVersionsThatLeftAreRecordedAgainAfterReturnOfStore(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	h := NewHistory()
	h.RecordReading(start, start)
	h.Update(start, testDeployment, serversOf("v1", "v2"))
	left := start.Add(2 * time.Second)
	h.RecordReading(left, left)
	h.Update(left, testDeployment, serversOf("v1"))
	now := left.Add(time.Second)
	h.RecordReading(now, now)
	h.recorded = recordedPools{readAt: now, storeTime: time.Minute, pools: map[string]storedPool{"p": {version: 7, record: PoolRecord{Versions: map[string]int64{"v1": 0, "v2": 59_000}}}}}
	qt.Assert(t, h.changedPools(now), qt.HasLen, 0)

	h.forgetRecord(1)
	qt.Assert(t, h.needsRecord(), qt.IsTrue)
	h.recorded = recordedPools{readAt: now, storeTime: 50 * time.Second, era: 1, pools: map[string]storedPool{"p": {version: nextEraVersion, record: PoolRecord{Versions: map[string]int64{"v1": 0}}}}}
	qt.Assert(t, h.changedPools(now), qt.DeepEquals, map[string]PoolRecord{"p": {Versions: map[string]int64{"v1": 0, "v2": 49_000}}})
}

// nextEraVersion is a version in the store's second era.
var nextEraVersion = masticway.NewStoreVersion(1, 3)
