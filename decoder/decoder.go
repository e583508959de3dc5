package decoder

import "github.com/fxamacker/cbor/v2"

var mode = mustMode()

func mustMode() cbor.DecMode {
	m, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Unmarshal decodes a message into v, which is a pointer. It fails with the errors of cbor.Unmarshal.
func Unmarshal(data []byte, v any) error { return mode.Unmarshal(data, v) }
