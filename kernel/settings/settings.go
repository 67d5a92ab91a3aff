// Package settings reads the programs' YAML settings files strictly.
package settings

import (
	"net/netip"
	"os"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"

	"github.com/cockroachdb/errors"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

// Error is one fault of a settings file.
type Error struct {
	File     string
	Key      string
	Line     int
	Expected string
}

// Error prints file:line: key: expected.
func (e *Error) Error() string {
	return e.File + ":" + strconv.Itoa(e.Line) + ": " + e.Key + ": expected " + e.Expected
}

// ReadError reports a file that can't be read.
type ReadError struct {
	File  string
	Cause error
}

// Error names the file.
func (e *ReadError) Error() string {
	return "settings " + e.File + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error {
	return e.Cause
}

// Fault is what a Validate method found: the key in dotted form and what was expected there.
type Fault struct {
	Key      string
	Expected string
}

// Checked is a settings struct that can check its own values.
type Checked interface {
	Validate() []Fault
}

// Load decodes the file into v, which must be a pointer, and validates it.
// Faults are Error values, joined when there are several.
func Load(file string, v Checked) error {
	b, err := os.ReadFile(file)
	if err != nil {
		return errors.WithStack(&ReadError{File: file, Cause: err})
	}
	return Decode(file, b, v)
}

// Decode is Load for bytes already read; file is used in errors only.
func Decode(file string, b []byte, v Checked) error {
	err := yaml.UnmarshalWithOptions(b, v, yaml.Strict(), leaveInvalid(netip.ParseAddrPort), leaveInvalid(gue.ParseKey))
	if err != nil {
		return errors.WithStack(decodeError(file, err))
	}
	faults := v.Validate()
	if len(faults) == 0 {
		return nil
	}
	all := make([]error, 0, len(faults))
	for _, f := range faults {
		all = append(all, &Error{File: file, Key: f.Key, Line: lineOf(b, f.Key), Expected: f.Expected})
	}
	return errors.WithStack(errors.Join(all...))
}

// leaveInvalid decodes text by parse and leaves the zero value where that fails, which Validate reports with its key.
func leaveInvalid[T any](parse func(string) (T, error)) yaml.DecodeOption {
	return yaml.CustomUnmarshaler[T](func(v *T, text []byte) error {
		parsed, err := parse(strings.Trim(strings.TrimSpace(string(text)), `"'`))
		if err == nil {
			*v = parsed
		}
		return nil
	})
}

func decodeError(file string, err error) *Error {
	e := &Error{File: file, Key: "document", Line: 1, Expected: "valid YAML: " + firstLine(err.Error())}
	var positioned yaml.Error
	if !errors.As(err, &positioned) {
		return e
	}
	e.Expected = "valid YAML: " + positioned.GetMessage()
	t := positioned.GetToken()
	if t == nil {
		return e
	}
	e.Line = t.Position.Line
	e.Key = t.Value
	var unknown *yaml.UnknownFieldError
	var mistyped *yaml.TypeError
	switch {
	case errors.As(err, &unknown):
		e.Expected = "a known key"
	case errors.As(err, &mistyped):
		e.Key = keyOf(t)
		e.Expected = "a value of type " + mistyped.DstType.String()
	}
	return e
}

// keyOf returns the key before a value's token.
func keyOf(t *token.Token) string {
	if t.Prev != nil && t.Prev.Type == token.MappingValueType && t.Prev.Prev != nil {
		return t.Prev.Prev.Value
	}
	return t.Value
}

func firstLine(s string) string {
	line, _, _ := strings.Cut(s, "\n")
	return line
}

// lineOf finds the line of a dotted key; a key that is absent gives the line of its nearest parent.
func lineOf(b []byte, key string) int {
	file, err := parser.ParseBytes(b, 0)
	if err != nil {
		return 1
	}
	for key != "" {
		path, err := yaml.PathString("$." + key)
		if err != nil {
			return 1
		}
		if node, err := path.FilterFile(file); err == nil && node != nil {
			return node.GetToken().Position.Line
		}
		cut := strings.LastIndex(key, ".")
		key = key[:max(cut, 0)]
	}
	return 1
}
