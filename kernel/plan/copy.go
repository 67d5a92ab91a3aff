package plan

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strconv"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Copy is the form in which the compact copy of a plan is stored. Without an update it only says that there is no copy,
// because the plan of its version is small.
type Copy struct {
	Version uint64 `json:"version"`
	// Fields identifies the fields of plans that the writer's build knows.
	Fields string `json:"fields,omitempty"`
	// Sum is the hash of Update.
	Sum string `json:"sum,omitempty"`
	// Update is the whole plan, see EncodeUpdate.
	Update []byte `json:"update,omitempty"`
}

// CopyError reports a copy of a plan that can't be used. Cause may be nil.
type CopyError struct {
	// Reason is malformed, checksum, otherBuild, update or otherVersion.
	Reason string
	Cause  error
}

// Error implements the error interface.
func (e *CopyError) Error() string {
	if e.Cause == nil {
		return "copy of the plan can't be used: " + e.Reason
	}
	return "copy of the plan can't be used: " + e.Reason + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *CopyError) Unwrap() error {
	return e.Cause
}

// NewCopy returns the copy of a plan whose update without a base is given.
func NewCopy(version uint64, update []byte) Copy {
	return Copy{Version: version, Fields: fields(), Sum: sumOf(update), Update: update}
}

// ParseCopy parses a stored copy and verifies its hash. It does not decode the plan.
func ParseCopy(spec []byte) (Copy, error) {
	var c Copy
	if err := json.Unmarshal(spec, &c); err != nil {
		return Copy{}, errors.WithStack(&CopyError{Reason: "malformed", Cause: err})
	}
	if len(c.Update) > 0 && c.Sum != sumOf(c.Update) {
		return Copy{}, errors.WithStack(&CopyError{Reason: "checksum"})
	}
	return c, nil
}

// SameFields reports whether the copy was written by a build that knows the same fields of plans as this one. A plan that
// passed through another build may lack fields.
func (c Copy) SameFields() bool {
	return c.Fields == fields()
}

// Decode returns the plan of a copy that has an update. The plan is indexed and provisional.
func (c Copy) Decode() (*Plan, error) {
	if !c.SameFields() {
		return nil, errors.WithStack(&CopyError{Reason: "otherBuild"})
	}
	p, err := DecodeUpdate(bytes.NewReader(c.Update), nil, nil)
	if err != nil {
		return nil, errors.WithStack(&CopyError{Reason: "update", Cause: err})
	}
	if p.Version != c.Version || p.Version == 0 {
		return nil, errors.WithStack(&CopyError{Reason: "otherVersion"})
	}
	p.Provisional = true
	return p, nil
}

func sumOf(update []byte) string {
	return strconv.FormatUint(xxhash.Sum64(update), 16)
}

// fields returns a hash of the names and types of all fields of a plan that are encoded.
var fields = sync.OnceValue(func() string {
	var text strings.Builder
	describe(&text, reflect.TypeFor[Plan]())
	return strconv.FormatUint(xxhash.Sum64String(text.String()), 16)
})

// describe writes the encoded fields of a type. Types of plans contain no cycles.
func describe(text *strings.Builder, t reflect.Type) {
	for t.Kind() == reflect.Slice || t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	text.WriteString(t.String())
	if t.Kind() != reflect.Struct {
		return
	}
	for i := range t.NumField() {
		f := t.Field(i)
		if tag := f.Tag.Get("json"); f.IsExported() && tag != "-" {
			text.WriteString(" " + f.Name + ":" + tag + " ")
			describe(text, f.Type)
		}
	}
}
