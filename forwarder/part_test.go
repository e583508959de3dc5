package forwarder_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/forwarder"
	"github.com/masticway/masticway/sender"
)

// TestPartsOfStreamAreLogged guards against broken streams whose logs do not tell which server, run and version each part came from.
func TestPartsOfStreamAreLogged(t *testing.T) {
	type part struct {
		Try, Events        int
		After, First, Last string
		Framing            sender.Framing
		Complete           bool
	}
	cases := map[string]struct {
		path  string
		fault emulator.OpaqueFault
		parts []part
	}{
		"one server": {path: "/resume/x"},
		"a break": {path: "/resume/x", fault: emulator.OpaqueTruncated, parts: []part{
			{Events: 2, First: "1", Last: "2", Framing: sender.FramingChunks},
			{Try: 1, Events: 1, After: "2", First: "3", Last: "3", Framing: sender.FramingChunks, Complete: true},
		}},
		"an end with the connection": {path: "/stream/x", fault: emulator.OpaqueUnframed, parts: []part{
			{Events: 3, First: "1", Last: "3", Framing: sender.FramingConnection, Complete: true},
		}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			logger, hook := logtest.NewNullLogger()
			f := newFixtureWith(t, 2, forwarder.Settings{Retries: forwarder.RetriesSettings{Ratio: 0.2, FixedRetries: 50, WindowSeconds: 10}}, func(d *forwarder.Dependencies) {
				d.Examiner, d.Log = noSuspects{}, logrus.NewEntry(logger)
			})
			for i, s := range f.servers {
				s.Version = "v1"
				f.snapshot.Servers[f.poolOf(tc.path)][i].Version = "v1"
				s.SetStream(3, 0)
				if i == 0 || tc.fault != emulator.OpaqueTruncated {
					s.InjectFaults(tc.fault)
				}
			}
			var got []part
			for range 20 {
				hook.Reset()
				before := len(f.ledger.Runs())
				f.do(t.Context(), "POST", tc.path)
				if f.ledger.Runs()[before].Fault == tc.fault {
					break
				}
			}
			for _, e := range hook.AllEntries() {
				if e.Data["event"] != "stream_part" {
					continue
				}
				d := e.Data
				qt.Check(t, d["version"], qt.Equals, "v1")
				got = append(got, part{
					Try: d["try"].(int), Events: d["events"].(int), After: d["after"].(string), First: d["first"].(string), Last: d["last"].(string),
					Framing: d["framing"].(sender.Framing), Complete: d["complete"].(bool),
				})
			}
			qt.Check(t, got, qt.DeepEquals, tc.parts)
		})
	}
}
