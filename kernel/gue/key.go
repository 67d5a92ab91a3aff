package gue

import (
	"encoding/binary"
	"encoding/hex"
)

// keyLength is the length of a key in bytes.
const keyLength = 16

// KeySyntaxError reports a text that is not a key of 32 hexadecimal digits. It does not contain the text, because keys
// are secret.
type KeySyntaxError struct{}

// Error returns a message with the expected form of a key.
func (*KeySyntaxError) Error() string {
	return "key: expected 32 hexadecimal digits"
}

// ParseKey parses a key of 32 hexadecimal digits.
func ParseKey(text string) (Key, error) {
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != keyLength {
		return Key{}, &KeySyntaxError{}
	}
	return Key{High: binary.BigEndian.Uint64(b[:8]), Low: binary.BigEndian.Uint64(b[8:])}, nil
}

// UnmarshalText parses the form that ParseKey accepts.
func (k *Key) UnmarshalText(text []byte) error {
	parsed, err := ParseKey(string(text))
	if err != nil {
		return err
	}
	*k = parsed
	return nil
}
