package examiner

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
)

// TestRowOfSuspectIsBounded guards against a suspect whose row the store does not take, because the path of its request is long.
func TestRowOfSuspectIsBounded(t *testing.T) {
	row := Record{Path: strings.Repeat("/\u00e4", 30_000)}.encode()
	qt.Assert(t, len(row) <= 4<<10, qt.IsTrue, qt.Commentf("%d bytes", len(row)))
	r, err := DecodeRecord(masticway.StoredRow{Value: row})
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, strings.HasPrefix(r.Path, "/\u00e4/\u00e4"), qt.IsTrue)
}
