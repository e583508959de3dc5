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
	// endsToProve is how many servers have to have ended under a request until it is kept from them, weightToProve what those
	// have to weigh together that ended while it was the only suspect there: two before its answer, since a server may also end
	// by chance or by a request that nobody has suspected yet, or more of those that ended amid it.
	endsToProve   = 3
	weightToProve = 4
	weightBegun   = 1
	weightUnbegun = 2
	// endsKept bounds the ends that are remembered of one request.
	endsKept = 12
)

// Run is one run of a suspect apart from all others.
type Run struct {
	Router masticway.Incarnation       `json:"router"`
	Server masticway.ServerIncarnation `json:"server"`
}

// Record is what the store holds of one suspect; it does not change.
type Record struct {
	// Path is the request's path, for operators.
	Path string                  `json:"path,omitempty"`
	Ends []masticway.ServerCrash `json:"ends"`
	// Run is the run apart that is under way, if there is one.
	Run *Run `json:"run,omitempty"`
	// Retried is how often it has run apart again after it had been kept from servers.
	Retried int `json:"retried,omitempty"`
}

// ReadRecord returns the record that a row holds; it fails with the error of the JSON decoder.
func ReadRecord(row masticway.StoredRow) (Record, error) {
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

// WithEnds returns the record with more ends; what two routers say of one server is joined.
func (r Record) WithEnds(ends ...masticway.ServerCrash) Record {
	joined := slices.Clone(r.Ends)
	for _, end := range ends {
		i := slices.IndexFunc(joined, func(e masticway.ServerCrash) bool { return e.Server == end.Server })
		if i < 0 {
			joined = append(joined, end)
			continue
		}
		joined[i].Quarantined = joined[i].Quarantined || end.Quarantined
		joined[i].Answered = joined[i].Answered && end.Answered
	}
	r.Ends = joined[max(0, len(joined)-endsKept):]
	return r
}

// WithRun returns the record with a run apart under way, or with none.
func (r Record) WithRun(run *Run) Record {
	r.Run = run
	return r
}

// has tells that the record would not change with an end.
func (r Record) has(end masticway.ServerCrash) bool {
	return slices.ContainsFunc(r.Ends, func(e masticway.ServerCrash) bool {
		return e.Server == end.Server && (e.Quarantined || !end.Quarantined) && (!e.Answered || end.Answered)
	})
}

// endedAt tells that a server has ended under the request.
func (r Record) endedAt(server masticway.ServerIncarnation) bool {
	return slices.ContainsFunc(r.Ends, func(e masticway.ServerCrash) bool { return e.Server == server })
}

// suspect tells that the request is to run apart: servers hardly ever end twice under one by chance, and one that ends them
// as it begins has had nothing of its answer.
func (r Record) suspect() bool {
	return r.serious() || slices.ContainsFunc(r.Ends, func(e masticway.ServerCrash) bool { return !e.Answered })
}

// weightOf is what the end of a server proves against the only suspect there: requests that end servers do so as they begin.
func weightOf(end masticway.ServerCrash) int {
	if end.Answered {
		return weightBegun
	}
	return weightUnbegun
}

// serious tells that more than one server ended under the request.
func (r Record) serious() bool { return len(r.Ends) > 1 }
