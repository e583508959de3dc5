package recoverer_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway/bookkeeper"
	"github.com/masticway/masticway/recoverer"
)

var start = time.Unix(1_800_000_000, 0)

func TestFailureDetector(t *testing.T) {
	row := bookkeeper.RouterLease{Incarnation: "r~2", Region: "here", ExpiresAt: start}
	renewed := bookkeeper.RouterLease{Incarnation: "r~2", Region: "here", ExpiresAt: start.Add(time.Minute)}
	cases := map[string]struct {
		row bookkeeper.RouterLease
		// observations are those of each second; the last of them is repeated.
		observations   []recoverer.Observation
		responsibility recoverer.Responsibility
		// rows are the answers to ReadRow; the last of them is repeated. An empty row means that the row is gone.
		rows      []bookkeeper.RouterLease
		tableDown bool
		steps     string
	}{
		"alive":                        {row: row, observations: []recoverer.Observation{{IsAlive: true}}, steps: ""},
		"failed":                       {row: row, observations: []recoverer.Observation{{}}, rows: []bookkeeper.RouterLease{row}, steps: "read challenge read recover "},
		"platform reports its end":     {row: row, observations: []recoverer.Observation{{InstanceEnded: true}}, steps: "recover "},
		"answers the challenge":        {row: row, observations: []recoverer.Observation{{}, {}, {}, {}, {IsAlive: true}}, rows: []bookkeeper.RouterLease{row, renewed}, steps: "read challenge "},
		"renewed before the challenge": {row: row, observations: []recoverer.Observation{{}, {}, {}, {IsAlive: true}}, rows: []bookkeeper.RouterLease{renewed}, steps: "read "},
		"its row is gone":              {row: row, observations: []recoverer.Observation{{}}, rows: []bookkeeper.RouterLease{{}}, steps: "read "},
		"lower rank waits":             {row: row, observations: []recoverer.Observation{{}}, responsibility: recoverer.Responsibility{Rank: 3}, rows: []bookkeeper.RouterLease{row}, steps: ""},
		"lower rank holding money":     {row: row, observations: []recoverer.Observation{{}}, responsibility: recoverer.Responsibility{Rank: 3, HoldsMoney: true}, rows: []bookkeeper.RouterLease{row}, steps: "read challenge read recover "},
		"draining router stays out":    {row: row, observations: []recoverer.Observation{{SelfDraining: true, InstanceEnded: true}}, steps: ""},
		"table unavailable":            {row: row, observations: []recoverer.Observation{{}}, tableDown: true, steps: "read read read "},
		"other region, lease valid":    {row: bookkeeper.RouterLease{Incarnation: "r~2", Region: "there", ExpiresAt: start}, observations: []recoverer.Observation{{}}, steps: ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			w := recoverer.NewFailureDetector(recoverer.DetectorSettings{Self: "r~1", Region: "here", DetectionTime: 4 * time.Second, HeartbeatInterval: 15 * time.Second})
			w.ApplyRows(start, []bookkeeper.RouterLease{tc.row, {Incarnation: "r~1", Region: "here"}})
			steps, reads, recovering := "", 0, false
			for second := range 8 {
				now := start.Add(time.Duration(second) * time.Second)
				observation := tc.observations[min(second, len(tc.observations)-1)]
				for _, e := range w.Check(now, func(bookkeeper.RouterLease) recoverer.Observation { return observation }, func(bookkeeper.RouterLease) recoverer.Responsibility { return tc.responsibility }) {
					switch e := e.(type) {
					case recoverer.ReadRow:
						steps += "read "
						if tc.tableDown {
							w.ApplyRow(now, e.Incarnation, bookkeeper.RouterLease{}, false, true)
							continue
						}
						answer := tc.rows[min(reads, len(tc.rows)-1)]
						reads++
						w.ApplyRow(now, e.Incarnation, answer, answer.Incarnation != "", false)
					case recoverer.Challenge:
						steps += "challenge "
						w.RecordChallenge(now, e.Incarnation, true)
					case recoverer.Recover:
						if !recovering {
							steps += "recover "
						}
						recovering = true
					}
				}
				if tc.tableDown && second == 4 {
					break
				}
			}
			qt.Assert(t, steps, qt.Equals, tc.steps, qt.Commentf("%s", fmt.Sprint(steps)))
		})
	}
}
