package masticway

import (
	"fmt"
	"time"
)

// Amount is money in thousandths of a token at weight one.
type Amount int64

// PerToken is the amount of one token at weight one.
const PerToken Amount = 1000

// Duration is a time.Duration that settings and contracts write as a string such as "1.5s".
type Duration time.Duration

// MarshalText writes the duration as Go prints it.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText reads a duration string such as "250ms".
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("reading duration %q: %w", text, err)
	}
	*d = Duration(v)
	return nil
}

// Std returns the standard library's duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }
