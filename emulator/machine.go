package emulator

import (
	"fmt"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// LockMachine waits until no other test program of the user holds the machine, and holds it until the returned function is called or
// the program ends. Programs whose tests run many processes in real time hold it, because two of them at once would keep each other's
// processes from running. It returns an error if the lock file cannot be opened or locked.
func LockMachine() (release func(), err error) {
	file, err := os.OpenFile(filepath.Join(os.TempDir(), fmt.Sprintf("masticway-tests-%d.lock", os.Getuid())), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	for err = unix.EINTR; err == unix.EINTR; {
		err = unix.Flock(int(file.Fd()), unix.LOCK_EX)
	}
	if err != nil {
		_ = file.Close()
		return nil, fmt.Errorf("locking %s: %w", file.Name(), err)
	}
	return func() { _ = file.Close() }, nil
}
