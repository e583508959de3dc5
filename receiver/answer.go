package receiver

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
)

// InvalidAnswerError reports bytes that are no answer in the protocol. The other side may have acted on the request all the same.
type InvalidAnswerError struct {
	Reason string
}

// Error returns the reason.
func (e *InvalidAnswerError) Error() string { return "no valid answer: " + e.Reason }

func invalid(format string, values ...any) error {
	return &InvalidAnswerError{Reason: fmt.Sprintf(format, values...)}
}

// CheckStatus checks the status of an answer. It returns false for an informational one, which another answer follows. Statuses from 600 on
// are failures of the other side, like those from 500 on. It fails with InvalidAnswerError.
func CheckStatus(status int) (isFinal bool, err error) {
	switch {
	case status < http.StatusContinue || status > 999:
		return false, invalid("status %03d", status)
	case status == http.StatusSwitchingProtocols:
		return false, invalid("status 101 without a request for it")
	}
	return status >= http.StatusOK, nil
}

// Heads checks the bytes of the heads of answers one after the other.
type Heads struct {
	raw  []byte
	from int
}

// lockedHeads are heads that are recorded while they are read.
type lockedHeads struct {
	mu sync.Mutex
	Heads
}

// add adds bytes that were read.
func (h *Heads) add(b []byte) { h.raw = append(h.raw, b...) }

// CheckNext checks the next head, which a lenient parser has accepted. What parsers read in different ways is invalid: it may hide where the
// body ends. It fails with InvalidAnswerError.
func (h *Heads) CheckNext() error {
	line, ok := h.nextLine()
	if !ok {
		return invalid("no status line")
	}
	if err := checkStatusLine(line); err != nil {
		return err
	}
	hasLength, hasEncoding := false, false
	for {
		line, ok := h.nextLine()
		switch {
		case !ok:
			return invalid("the head does not end")
		case len(line) == 0:
			if hasLength && hasEncoding {
				return invalid("both a length and chunks")
			}
			return nil
		}
		name, value, found := bytes.Cut(line, []byte(":"))
		switch {
		case line[0] == ' ' || line[0] == '\t':
			return invalid("a folded line")
		case !found || !isToken(name):
			return invalid("a field named %.40q", name)
		case !isText(value):
			return invalid("a control character in the field %.40q", name)
		}
		hasLength = hasLength || bytes.EqualFold(name, []byte("Content-Length"))
		hasEncoding = hasEncoding || bytes.EqualFold(name, []byte("Transfer-Encoding"))
	}
}

// nextLine returns the next line without its end.
func (h *Heads) nextLine() ([]byte, bool) {
	rest := h.raw[h.from:]
	i := bytes.IndexByte(rest, '\n')
	if i < 0 {
		return nil, false
	}
	h.from += i + 1
	return bytes.TrimSuffix(rest[:i], []byte("\r")), true
}

// checkStatusLine checks the version, the status, which has three digits, and the reason.
func checkStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	status, reason, _ := bytes.Cut(rest, []byte(" "))
	if s := string(version); s != "HTTP/1.1" && s != "HTTP/1.0" {
		return invalid("version %.20q", s)
	}
	isNumber := len(status) == 3
	for _, c := range status {
		isNumber = isNumber && c >= '0' && c <= '9'
	}
	if !isNumber {
		return invalid("status %.20q", status)
	}
	if !isText(reason) {
		return invalid("a control character in the status line")
	}
	return nil
}

// isToken reports whether a field has a valid name.
func isToken(name []byte) bool {
	for _, c := range name {
		isAlphanumeric := c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !isAlphanumeric && bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) < 0 {
			return false
		}
	}
	return len(name) > 0
}

// isText reports whether there is no control character but tabs.
func isText(text []byte) bool {
	for _, c := range text {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
