package emulator

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// OwnerPrefix is the prefix of a prompt or body that names its owner, the workspace that sends it, as in "ws:tailoring ".
const OwnerPrefix = "ws:"

// Owner returns the owner that text names. It returns "" if text does not begin with OwnerPrefix.
func Owner(text string) string {
	rest, ok := strings.CutPrefix(text, OwnerPrefix)
	if !ok {
		return ""
	}
	owner, _, _ := strings.Cut(rest, " ")
	return owner
}

// Message is one chat message.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// CountTokens emulates the engine's tokenizer: it counts one token per four bytes, rounded up, and four more tokens per message.
func CountTokens(messages []Message) int {
	n := 0
	for _, m := range messages {
		n += (len(m.Content)+3)/4 + 4
	}
	return n
}

// Token returns the token at index in the engine's answer. The same prompt always gets the same answer.
func Token(messages []Message, index int) string {
	h := xxhash.New()
	for _, m := range messages {
		_, _ = h.WriteString(m.Content)
	}
	return fmt.Sprintf("%04x ", (h.Sum64()+uint64(index)*0x9e3779b97f4a7c15)>>48)
}

// Answer returns the first tokens of the engine's answer as one string.
func Answer(messages []Message, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(Token(messages, i))
	}
	return b.String()
}

// NaturalLength returns the number of tokens of an answer if the request sets no limit. It is N if the last message contains
// [tokens=N], and defaultAnswerTokens otherwise.
func NaturalLength(messages []Message) int {
	last := messages[max(0, len(messages)-1):]
	for _, m := range last {
		_, rest, ok := strings.Cut(m.Content, "[tokens=")
		if !ok {
			continue
		}
		n := 0
		if _, err := fmt.Sscanf(rest, "%d]", &n); err == nil {
			return n
		}
	}
	return defaultAnswerTokens
}
