package accountant_test

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"github.com/masticway/masticway/accountant"
	"github.com/masticway/masticway/logger"
)

func TestLines(t *testing.T) {
	const at = `time="2026-01-02T03:04:05.006Z" `
	cases := map[string]struct {
		text   string
		ok     bool
		event  string
		router string
		cause  string
	}{
		"plain":                     {at + `level=info msg=x cause=full event=request instance=edge-1`, true, "request", "edge-1", "full"},
		"prefix of a collector":     {"  48.1178 edge-1 " + at + `level=info event=request instance=edge-2`, true, "request", "edge-2", ""},
		"empty value":               {at + `cause= event=request instance=edge-1`, true, "request", "edge-1", ""},
		"empty value at the end":    {at + `event=request cause=`, true, "request", "", ""},
		"quotes in quotes":          {at + `cause="a \"b=c\" d" event=request` + "\n", true, "request", "", `a "b=c" d`},
		"a time in a value":         {at + `cause="at time=3" event=request`, true, "request", "", "at time=3"},
		"without a time":            {`level=warning event=log_lines_dropped lines=3`, true, "log_lines_dropped", "", ""},
		"without a time, prefix":    {` 3.2 edge-1 level=warning event=log_lines_dropped lines=3`, true, "log_lines_dropped", "", ""},
		"prose":                     {"panic: runtime error", false, "", "", ""},
		"prose after a time":        {at + "something happened", false, "", "", ""},
		"empty":                     {"", false, "", "", ""},
		"no event":                  {at + "level=info msg=x", false, "", "", ""},
		"no time that can be read":  {`time=yesterday event=request`, false, "", "", ""},
		"quotes that never end":     {at + `event=request cause="a b`, false, "", "", ""},
		"cut off in its first name": {at + `event=request ca`, false, "", "", ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			l, ok := accountant.ParseLine(tc.text)
			qt.Assert(t, ok, qt.Equals, tc.ok)
			if !ok {
				return
			}
			qt.Assert(t, l.Event, qt.Equals, tc.event)
			qt.Assert(t, l.Router, qt.Equals, tc.router)
			qt.Assert(t, l.Text("cause"), qt.Equals, tc.cause)
		})
	}
}

func TestLoggerOutputIsParsed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cause, left := rapid.String().Draw(t, "cause"), rapid.Int64().Draw(t, "left")
		var out bytes.Buffer
		log, err := logger.New("info", &out)
		if err != nil {
			t.Fatal(err)
		}
		log.WithFields(logrus.Fields{"event": "request", "cause": cause, "left": left, "instance": "edge-1"}).Info("a line")
		l, ok := accountant.ParseLine(out.String())
		if !ok || l.Time.IsZero() || l.Text("cause") != cause || l.Number("left") != left || l.Router != "edge-1" {
			t.Fatalf("%q read as %v %v", out.String(), l, ok)
		}
	})
}
