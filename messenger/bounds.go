package messenger

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/masticway/masticway/receiver"
)

const (
	// maxMessagesBytes bounds what all messages that this process reads or answers may take together: eight of the largest.
	// messageAllowance is what each message may take at least.
	maxMessagesBytes = 8 * maxMessageBytes
	messageAllowance = 64 << 10
	// pieceBytes is the size of a piece of a message. Each piece, not each message, must arrive within receiver.DefaultIdleTimeout.
	pieceBytes = 16 << 10
	// minBufferBytes is the size of the buffer with which the reading of a message begins.
	minBufferBytes = 1 << 10
)

// MessagesTooLargeError reports that a message was not read, because all messages together would take more bytes than Limit.
type MessagesTooLargeError struct {
	Limit int64
}

// Error returns a message with the limit.
func (e *MessagesTooLargeError) Error() string {
	return fmt.Sprintf("the messages that are being read have over %d bytes together", e.Limit)
}

// messagesBytes is what the messages take that this process reads or answers. It belongs to the process, as its memory does.
var messagesBytes atomic.Int64

// inbound is a message that is being read or answered.
type inbound struct {
	data []byte
	kept int64
}

// read reads the message from a request. It fails with MessagesTooLargeError, with http.MaxBytesError if the message alone is too
// large, or with the error of the connection, which is given up if a piece does not arrive in time.
func (m *inbound) read(w http.ResponseWriter, r *http.Request) error {
	body, connection := http.MaxBytesReader(w, r.Body, maxMessageBytes), http.NewResponseController(w)
	awaited := 0
	for {
		if len(m.data) == cap(m.data) {
			more := max(minBufferBytes, len(m.data))
			// While the message is copied, it takes both buffers.
			if !m.keep(int64(2*len(m.data) + more)) {
				return &MessagesTooLargeError{Limit: maxMessagesBytes}
			}
			m.data = slices.Grow(m.data, more)
			m.keep(int64(cap(m.data)))
		}
		if len(m.data) >= awaited {
			awaited = len(m.data) + pieceBytes
			// A writer without deadlines is not that of a connection.
			_ = connection.SetReadDeadline(time.Now().Add(receiver.DefaultIdleTimeout))
		}
		n, err := body.Read(m.data[len(m.data):cap(m.data)])
		m.data = m.data[:len(m.data)+n]
		if errors.Is(err, io.EOF) {
			_ = connection.SetReadDeadline(time.Time{})
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// keep changes the number of bytes that the message takes. It returns false if there is no room for so many.
func (m *inbound) keep(bytes int64) bool {
	sum := messagesBytes.Add(bytes - m.kept)
	m.kept = bytes
	return bytes <= messageAllowance || sum <= maxMessagesBytes
}

// release records that the message takes nothing any more.
func (m *inbound) release() { m.keep(0) }
