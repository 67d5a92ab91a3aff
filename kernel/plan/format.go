package plan

import "github.com/coltsfootline/coltsfootline/kernel"

// Format decodes plans from the format in which the operator's system stores them.
type Format interface {
	// Location returns the kind and name of the store object that holds the plan.
	Location() (kind, name string)
	// EvacuationsKind returns the kind of the store objects whose names are those of the evacuated data centres.
	EvacuationsKind() string
	// Decode parses a plan and indexes it, with the pauses of s. A nil s never pauses.
	Decode(spec []byte, s *Steps) (*Plan, error)
}

// Formats holds the registered plan formats.
var Formats = kernel.Registry[Format]{Kind: "plan format"}
