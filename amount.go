package masticway

import (
	"fmt"
	"time"
)

// Amount is an amount of money. Its unit is a thousandth of PerToken.
type Amount int64

// PerToken is the base price of one token. The price of a model's tokens may be a multiple or a fraction of it.
const PerToken Amount = 1000

// Duration is a time.Duration that is encoded as a string such as "1.5s" in settings and contracts.
type Duration time.Duration

// MarshalText encodes the duration in the format of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText parses a duration string such as "250ms".
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("parsing duration %q: %w", text, err)
	}
	*d = Duration(v)
	return nil
}

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }
