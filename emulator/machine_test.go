package emulator_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway/emulator"
)

// TestLockMachineWaitsForOthers guards against test programs that run their processes at the same time and starve each other.
func TestLockMachineWaitsForOthers(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	release, err := emulator.LockMachine()
	qt.Assert(t, err, qt.IsNil)
	locked := make(chan error)
	go func() {
		release, err := emulator.LockMachine()
		if err == nil {
			release()
		}
		locked <- err
	}()
	select {
	case <-locked:
		t.Fatal("locked twice")
	case <-time.After(200 * time.Millisecond):
	}
	release()
	qt.Assert(t, <-locked, qt.IsNil)
}
