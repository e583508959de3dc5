package examiner

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/masticway/masticway"
)

// The table of suspects. It has a single part, that is, partition, so that several rows can change in one transaction.
const (
	// Table is the name of the table.
	Table = "masticway_suspects"
	// Part is the only part of the table.
	Part = "suspects"
)

const (
	// minCrashesToProve is the minimum number of servers that must have crashed during a request to prove the suspicion.
	// minWeightToProve is the minimum total weight of those crashes that happened in quarantine while the request was the only
	// suspect on the server. A crash before the answer has weightUnanswered, one during the answer weightAnswered. Two crashes
	// before the answer have enough weight. One has not, because a server may also crash by chance or because of a request that
	// is not a suspect yet.
	minCrashesToProve = 3
	minWeightToProve  = 4
	weightAnswered    = 1
	weightUnanswered  = 2
	// maxCrashes is the maximum number of crashes that are kept for one request, and maxCrashesOfPart that for a part of prompts.
	// Older ones are dropped.
	maxCrashes       = 12
	maxCrashesOfPart = 24
)

// Run is one quarantined run of a suspect.
type Run struct {
	Router masticway.Incarnation       `json:"router"`
	Server masticway.ServerIncarnation `json:"server"`
}

// Record is the evidence on one suspect. It is stored in a row of the store unless it is a request with a single crash during its
// answer. A Record is immutable.
type Record struct {
	// Path is the request's path or the part's name, for diagnostics only.
	Path    string                  `json:"path,omitempty"`
	Crashes []masticway.ServerCrash `json:"ends"`
	// Run is the current quarantined run, if there is one.
	Run *Run `json:"run,omitempty"`
	// Retried is the number of times that the request has run in quarantine again after it had been blocked.
	Retried int `json:"retried,omitempty"`
	// Proven is set once a router has found that a part crashes servers. Other routers need not wait for evidence then.
	Proven bool `json:"proven,omitempty"`
	// Inconclusive is set if the latest quarantined run of a request with the part gave no evidence.
	Inconclusive bool `json:"inconclusive,omitempty"`
	// Sound are pools whose servers have answered requests with a part that crashes servers of other pools.
	Sound []string `json:"sound,omitempty"`
}

// DecodeRecord returns the record in a row. It returns the errors of the JSON decoder.
func DecodeRecord(row masticway.StoredRow) (Record, error) {
	var r Record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return r, fmt.Errorf("decoding suspect %s: %w", row.Key, err)
	}
	return r, nil
}

// maxPathBytes bounds the path in a row.
const maxPathBytes = 500

func (r Record) encode() []byte {
	r.Path = strings.ToValidUTF8(r.Path[:min(len(r.Path), maxPathBytes)], "")
	data, err := json.Marshal(r)
	if err != nil {
		// A record contains only strings, numbers and booleans, which can always be encoded.
		panic(fmt.Sprintf("encoding a suspect: %v", err))
	}
	return data
}

// WithCrashes returns the record with additional crashes, reduced to the last maxCrashes or maxCrashesOfPart; refuted ones are dropped first. Two reports on the same server are
// merged.
func (r Record) WithCrashes(crashes ...masticway.ServerCrash) Record {
	merged := slices.Clone(r.Crashes)
	for _, crash := range crashes {
		i := slices.IndexFunc(merged, func(c masticway.ServerCrash) bool { return c.Server == crash.Server })
		if i < 0 {
			merged = append(merged, crash)
			continue
		}
		merged[i].Quarantined = merged[i].Quarantined || crash.Quarantined
		merged[i].Answered = merged[i].Answered && crash.Answered
		merged[i].Refuted = merged[i].Refuted || crash.Refuted
		merged[i].Round = min(merged[i].Round, crash.Round)
	}
	limit := maxCrashes
	if len(merged) > 0 && merged[0].Round > 0 {
		limit = maxCrashesOfPart
	}
	for len(merged) > limit {
		oldest := max(0, slices.IndexFunc(merged, func(c masticway.ServerCrash) bool { return c.Refuted }))
		merged = slices.Delete(merged, oldest, oldest+1)
	}
	r.Crashes = merged
	return r
}

// WithRun returns the record with the given quarantined run, or without one if run is nil.
func (r Record) WithRun(run *Run) Record {
	r.Run = run
	return r
}

// hasCrash reports whether the record already contains all information in a crash.
func (r Record) hasCrash(crash masticway.ServerCrash) bool {
	return slices.ContainsFunc(r.Crashes, func(c masticway.ServerCrash) bool {
		return c.Server == crash.Server && (c.Quarantined || !crash.Quarantined) && (!c.Answered || crash.Answered) &&
			(c.Refuted || !crash.Refuted) && c.Round <= crash.Round
	})
}

// hasCrashOf reports whether a server has crashed during the request.
func (r Record) hasCrashOf(server masticway.ServerIncarnation) bool {
	return slices.ContainsFunc(r.Crashes, func(c masticway.ServerCrash) bool { return c.Server == server })
}

// isSuspect reports whether the request must run in quarantine: if more than one server crashed during it, or if one crashed
// before the answer began. Two servers rarely crash during the same request by chance. A request that crashes servers usually
// does so before any part of its answer is sent.
func (r Record) isSuspect() bool {
	return r.hasRepeatedCrashes() || slices.ContainsFunc(r.Crashes, func(c masticway.ServerCrash) bool { return !c.Answered })
}

// crashWeight returns the weight of a server crash as evidence against the only suspect on the server. A crash before the answer
// weighs more. Requests that crash servers usually do so as soon as they begin.
func crashWeight(crash masticway.ServerCrash) int {
	if crash.Answered {
		return weightAnswered
	}
	return weightUnanswered
}

// hasRepeatedCrashes reports whether more than one server has crashed during the request.
func (r Record) hasRepeatedCrashes() bool { return len(r.Crashes) > 1 }
