package examiner

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/masticway/masticway"
)

// The table of suspects; one part, so that several change in one transaction.
const (
	// Table is the table's name.
	Table = "masticway_suspects"
	// Part is its one part.
	Part = "suspects"
)

const (
	// minCrashesToProve is how many servers have to have ended under a request until it is kept from them, minWeightToProve what those
	// have to weigh together that ended while it was the only suspect there: two before its answer, since a server may also end
	// by chance or by a request that nobody has suspected yet, or more of those that ended amid it.
	minCrashesToProve = 3
	minWeightToProve  = 4
	weightAnswered    = 1
	weightUnanswered  = 2
	// maxCrashes bounds the ends that are remembered of one request.
	maxCrashes = 12
)

// Run is one run of a suspect apart from all others.
type Run struct {
	Router masticway.Incarnation       `json:"router"`
	Server masticway.ServerIncarnation `json:"server"`
}

// Record is what the store holds of one suspect; it does not change.
type Record struct {
	// Path is the request's path, for operators.
	Path    string                  `json:"path,omitempty"`
	Crashes []masticway.ServerCrash `json:"ends"`
	// Run is the run apart that is under way, if there is one.
	Run *Run `json:"run,omitempty"`
	// Retried is how often it has run apart again after it had been kept from servers.
	Retried int `json:"retried,omitempty"`
}

// DecodeRecord returns the record that a row holds; it fails with the error of the JSON decoder.
func DecodeRecord(row masticway.StoredRow) (Record, error) {
	var r Record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return r, fmt.Errorf("decoding suspect %s: %w", row.Key, err)
	}
	return r, nil
}

func (r Record) encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		// It holds strings, numbers and truths only.
		panic(fmt.Sprintf("encoding a suspect: %v", err))
	}
	return data
}

// WithCrashes returns the record with more ends; what two routers say of one server is joined.
func (r Record) WithCrashes(crashes ...masticway.ServerCrash) Record {
	joined := slices.Clone(r.Crashes)
	for _, crash := range crashes {
		i := slices.IndexFunc(joined, func(c masticway.ServerCrash) bool { return c.Server == crash.Server })
		if i < 0 {
			joined = append(joined, crash)
			continue
		}
		joined[i].Quarantined = joined[i].Quarantined || crash.Quarantined
		joined[i].Answered = joined[i].Answered && crash.Answered
	}
	r.Crashes = joined[max(0, len(joined)-maxCrashes):]
	return r
}

// WithRun returns the record with a run apart under way, or with none.
func (r Record) WithRun(run *Run) Record {
	r.Run = run
	return r
}

// hasCrash tells that the record would not change with an end.
func (r Record) hasCrash(crash masticway.ServerCrash) bool {
	return slices.ContainsFunc(r.Crashes, func(c masticway.ServerCrash) bool {
		return c.Server == crash.Server && (c.Quarantined || !crash.Quarantined) && (!c.Answered || crash.Answered)
	})
}

// hasCrashOf tells that a server has ended under the request.
func (r Record) hasCrashOf(server masticway.ServerIncarnation) bool {
	return slices.ContainsFunc(r.Crashes, func(c masticway.ServerCrash) bool { return c.Server == server })
}

// isSuspect tells that the request is to run apart: servers hardly ever end twice under one by chance, and one that ends them
// as it begins has had nothing of its answer.
func (r Record) isSuspect() bool {
	return r.hasRepeatedCrashes() || slices.ContainsFunc(r.Crashes, func(c masticway.ServerCrash) bool { return !c.Answered })
}

// crashWeight is what the end of a server proves against the only suspect there: requests that end servers do so as they begin.
func crashWeight(crash masticway.ServerCrash) int {
	if crash.Answered {
		return weightAnswered
	}
	return weightUnanswered
}

// hasRepeatedCrashes tells that more than one server ended under the request.
func (r Record) hasRepeatedCrashes() bool { return len(r.Crashes) > 1 }
