package sender

import (
	"fmt"
	"io"
	"time"
)

const (
	// maxDiscardedBytes and maxDiscardTime bound what is read of an answer that is of no use, so that its connection can be reused.
	maxDiscardedBytes = 64 << 10
	maxDiscardTime    = 50 * time.Millisecond
	// maxSkippedBytes bounds the body of an answer to another request, which is read to get at the next answer.
	maxSkippedBytes = 8 << 20
)

// DiscardRejection reads an answer that rejects its request to its end, so that its connection can be reused. It gives up, so that the
// connection is closed, if the answer does not end soon.
func (a *Answer) DiscardRejection() error {
	a.conn.rejections++
	if err := a.conn.net.SetReadDeadline(time.Now().Add(maxDiscardTime)); err != nil {
		return err
	}
	if err := a.skip(maxDiscardedBytes); err != nil {
		return err
	}
	return a.conn.net.SetReadDeadline(time.Time{})
}

// skip reads the answer to its end. It fails if the answer has limit bytes or more.
func (a *Answer) skip(limit int64) error {
	_, err := io.CopyN(io.Discard, a, limit)
	switch {
	case err == nil:
		return fmt.Errorf("the answer is larger than %d bytes", limit)
	case a.complete:
		return nil
	}
	return err
}
