// Package settings decodes and validates the YAML settings files of the programs. Unknown keys are errors.
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

// Error reports an unknown key or an invalid value in a settings file.
type Error struct {
	File string
	Key  string
	Line int
	// Expected describes the valid values.
	Expected string
}

// Error returns a message of the form "file:line: key: expected ...".
func (e *Error) Error() string {
	return e.File + ":" + strconv.Itoa(e.Line) + ": " + e.Key + ": expected " + e.Expected
}

// ReadError reports a settings file that can't be read.
type ReadError struct {
	File  string
	Cause error
}

// Error returns a message with the file and the cause.
func (e *ReadError) Error() string {
	return "settings " + e.File + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error {
	return e.Cause
}

// Violation is an invalid value that a Validate method found.
type Violation struct {
	// Key is the path of the value, separated by dots.
	Key string
	// Expected describes the valid values.
	Expected string
}

// Validator is implemented by settings that can validate their values.
type Validator interface {
	Validate() []Violation
}

// Load decodes the file into v, which must be a pointer, and validates it.
// Errors in the file are of type *Error, joined if there are several.
func Load(file string, v Validator) error {
	b, err := os.ReadFile(file)
	if err != nil {
		return errors.WithStack(&ReadError{File: file, Cause: err})
	}
	return Decode(file, b, v)
}

// Decode decodes and validates the content of a settings file like Load. The file name appears only in errors.
func Decode(file string, b []byte, v Validator) error {
	err := yaml.UnmarshalWithOptions(b, v, yaml.Strict(), zeroIfInvalid(netip.ParseAddrPort), zeroIfInvalid(gue.ParseKey))
	if err != nil {
		return errors.WithStack(decodeError(file, err))
	}
	violations := v.Validate()
	if len(violations) == 0 {
		return nil
	}
	all := make([]error, 0, len(violations))
	for _, f := range violations {
		all = append(all, &Error{File: file, Key: f.Key, Line: lineOf(b, f.Key), Expected: f.Expected})
	}
	return errors.WithStack(errors.Join(all...))
}

// zeroIfInvalid decodes values with parse and leaves the zero value if that fails, so that Validate reports the error
// with the key.
func zeroIfInvalid[T any](parse func(string) (T, error)) yaml.DecodeOption {
	return yaml.CustomUnmarshaler[T](func(v *T, text []byte) error {
		parsed, err := parse(strings.Trim(strings.TrimSpace(string(text)), `"'`))
		if err == nil {
			*v = parsed
		}
		return nil
	})
}

// decodeError returns the error with the line and key where the decoder failed.
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

// keyOf returns the key that the token of a value belongs to.
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

// lineOf returns the line of a key, or that of its nearest parent if the key is missing.
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
