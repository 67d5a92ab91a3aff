// Package settings decodes and validates the YAML settings files of the programs. Unknown keys are errors, so that a
// misspelt key is noticed.
package settings

import (
	"net/netip"
	"os"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

// Error reports an unknown key, an invalid value or invalid YAML in a settings file.
type Error struct {
	File string
	// Key is the path of the value in dotted form. For an error of the YAML decoder it is only the last key, the token
	// where the decoder failed, or "document" if the position is unknown.
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
	// Key is the path of the value in dotted form, such as controlRoutes[0].to.
	Key string
	// Expected describes the valid values.
	Expected string
}

// Validator is implemented by settings that can validate their values.
type Validator interface {
	// Validate returns the invalid values, or nothing if all are valid.
	Validate() []Violation
}

// Load decodes the file into v, which must be a pointer, and validates it. Keys that the file lacks keep their values in
// v. It returns a *ReadError if the file can't be read, an *Error if it can't be decoded, and an *Error for each invalid
// value, joined, if it is not valid.
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
	for _, violation := range violations {
		all = append(all, &Error{File: file, Key: violation.Key, Line: lineOf(b, violation.Key), Expected: violation.Expected})
	}
	return errors.WithStack(errors.Join(all...))
}

// zeroIfInvalid returns an option that decodes values of type T with parse. If parse fails, the value keeps what it was,
// normally the zero value, and Validate reports it with its full key, which the decoder does not know.
func zeroIfInvalid[T any](parse func(string) (T, error)) yaml.DecodeOption {
	return yaml.CustomUnmarshaler[T](func(v *T, text []byte) error {
		parsed, err := parse(strings.Trim(strings.TrimSpace(string(text)), `"'`))
		if err == nil {
			*v = parsed
		}
		return nil
	})
}

// decodeError converts an error of the decoder to an Error with the line and key where the decoder failed, if known.
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

// keyOf returns the key that the token of a value belongs to, or the token's text if no key precedes it.
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

// lineOf returns the line of a key in dotted form, or that of its nearest parent if the key is missing. It returns 1 if
// there is neither.
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
