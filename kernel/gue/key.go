package gue

import (
	"encoding/binary"
	"encoding/hex"
)

const keyLength = 16

// KeySyntaxError reports key text that is not 32 hexadecimal digits; it never shows the key.
type KeySyntaxError struct{}

// Error says what a key looks like.
func (*KeySyntaxError) Error() string {
	return "key: expected 32 hexadecimal digits"
}

// ParseKey reads 32 hexadecimal digits.
func ParseKey(text string) (Key, error) {
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != keyLength {
		return Key{}, &KeySyntaxError{}
	}
	return Key{High: binary.BigEndian.Uint64(b[:8]), Low: binary.BigEndian.Uint64(b[8:])}, nil
}

// UnmarshalText reads the form that ParseKey takes.
func (k *Key) UnmarshalText(text []byte) error {
	parsed, err := ParseKey(string(text))
	if err != nil {
		return err
	}
	*k = parsed
	return nil
}
