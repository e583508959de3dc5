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
	row := bookkeeper.Daemon{Incarnation: "r~2", Region: "here", Lease: start}
	renewed := bookkeeper.Daemon{Incarnation: "r~2", Region: "here", Lease: start.Add(time.Minute)}
	cases := map[string]struct {
		row bookkeeper.Daemon
		// signs are the observations of each second; the last of them is repeated.
		signs []recoverer.Signs
		stake recoverer.Stake
		// rows are the answers to ReadRow; the last of them is repeated. An empty row means that the row is gone.
		rows      []bookkeeper.Daemon
		tableDown bool
		steps     string
	}{
		"alive":                        {row: row, signs: []recoverer.Signs{{Heard: true}}, steps: ""},
		"failed":                       {row: row, signs: []recoverer.Signs{{}}, rows: []bookkeeper.Daemon{row}, steps: "read challenge read recover "},
		"platform reports its end":     {row: row, signs: []recoverer.Signs{{Ended: true}}, steps: "recover "},
		"answers the challenge":        {row: row, signs: []recoverer.Signs{{}, {}, {}, {}, {Heard: true}}, rows: []bookkeeper.Daemon{row, renewed}, steps: "read challenge "},
		"renewed before the challenge": {row: row, signs: []recoverer.Signs{{}, {}, {}, {Heard: true}}, rows: []bookkeeper.Daemon{renewed}, steps: "read "},
		"its row is gone":              {row: row, signs: []recoverer.Signs{{}}, rows: []bookkeeper.Daemon{{}}, steps: "read "},
		"lower rank waits":             {row: row, signs: []recoverer.Signs{{}}, stake: recoverer.Stake{Rank: 3}, rows: []bookkeeper.Daemon{row}, steps: ""},
		"lower rank holding money":     {row: row, signs: []recoverer.Signs{{}}, stake: recoverer.Stake{Rank: 3, Concerned: true}, rows: []bookkeeper.Daemon{row}, steps: "read challenge read recover "},
		"draining router stays out":    {row: row, signs: []recoverer.Signs{{Leaving: true, Ended: true}}, steps: ""},
		"table unavailable":            {row: row, signs: []recoverer.Signs{{}}, tableDown: true, steps: "read read read "},
		"other region, lease valid":    {row: bookkeeper.Daemon{Incarnation: "r~2", Region: "there", Lease: start}, signs: []recoverer.Signs{{}}, steps: ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			w := recoverer.NewWatch(recoverer.WatchSettings{Self: "r~1", Region: "here", Lease: 4 * time.Second, Heartbeat: 15 * time.Second})
			w.Rows(start, []bookkeeper.Daemon{tc.row, {Incarnation: "r~1", Region: "here"}})
			steps, reads, recovering := "", 0, false
			for second := range 8 {
				now := start.Add(time.Duration(second) * time.Second)
				sign := tc.signs[min(second, len(tc.signs)-1)]
				for _, e := range w.Look(now, func(bookkeeper.Daemon) recoverer.Signs { return sign }, func(bookkeeper.Daemon) recoverer.Stake { return tc.stake }) {
					switch e := e.(type) {
					case recoverer.ReadRow:
						steps += "read "
						if tc.tableDown {
							w.Row(now, e.Incarnation, bookkeeper.Daemon{}, false, true)
							continue
						}
						answer := tc.rows[min(reads, len(tc.rows)-1)]
						reads++
						w.Row(now, e.Incarnation, answer, answer.Incarnation != "", false)
					case recoverer.Challenge:
						steps += "challenge "
						w.Challenged(now, e.Incarnation, true)
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
