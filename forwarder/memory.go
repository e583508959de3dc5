package forwarder

import "sync/atomic"

const (
	// answersMemoryDivisor is the part of the machine's memory that unfinished answers may take. defaultAnswersMemory is what they
	// may take if the memory is unknown, and answerAllowance what each answer may take at least.
	answersMemoryDivisor = 4
	defaultAnswersMemory = 64 << 20
	answerAllowance      = 64 << 10
)

// answerMemory bounds the bytes of all answers that are kept because they are not complete yet.
type answerMemory struct {
	limit int64
	kept  atomic.Int64
}

// newAnswerMemory returns the bound for a machine with the given memory in bytes, zero if it is unknown.
func newAnswerMemory(memory int64) *answerMemory {
	if memory == 0 {
		return &answerMemory{limit: defaultAnswersMemory}
	}
	return &answerMemory{limit: memory / answersMemoryDivisor}
}

// account returns the account of one answer, of which nothing is kept yet.
func (m *answerMemory) account() *answerAccount { return &answerAccount{memory: m} }

// answerAccount is what is kept of one answer.
type answerAccount struct {
	memory *answerMemory
	bytes  int64
}

// grow returns the bytes with space for some more. The space is counted before it is allocated, and while the bytes are copied, they take
// both buffers. grow returns false if there is no memory left for that.
func (a *answerAccount) grow(b []byte, more int) ([]byte, bool) {
	size := len(b) + more
	if kept := a.set(int64(cap(b) + size)); kept > a.memory.limit && size > answerAllowance {
		a.set(int64(cap(b)))
		return b, false
	}
	grown := make([]byte, len(b), size)
	copy(grown, b)
	a.set(int64(size))
	return grown, true
}

// set changes the number of bytes that are kept of the answer. It returns that of all answers.
func (a *answerAccount) set(bytes int64) int64 {
	kept := a.memory.kept.Add(bytes - a.bytes)
	a.bytes = bytes
	return kept
}

// release records that nothing is kept of the answer any more.
func (a *answerAccount) release() { a.set(0) }
