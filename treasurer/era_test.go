package treasurer_test

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/treasurer"
)

// TestLostGrantIsClosedAtWhatItsCheckpointAllowed guards against a budget that is overspent because the store has returned from a copy
// without the grant of a router that has ended, after its successor has read its checkpoint: the closing then counted nothing.
func TestLostGrantIsClosedAtWhatItsCheckpointAllowed(t *testing.T) {
	value, err := json.Marshal(treasurer.Account{Prepaid: 1000, Closed: 100})
	qt.Assert(t, err, qt.IsNil)
	row := masticway.StoredRow{Version: masticway.NewStoreVersion(1, 3), Value: value}
	for _, closed := range []int64{560, 560} {
		write, _, err := treasurer.CloseGrant(row, "edge~1", 460, 0, true)
		qt.Assert(t, err, qt.IsNil)
		row.Value = write.Puts[0].Value
		qt.Assert(t, treasurer.ReadAccount(row).Closed, qt.Equals, closed, qt.Commentf("a grant is closed once"))
	}
}
