package plan

import "github.com/coltsfootline/coltsfootline/kernel"

// Format reads plans as the operator's side writes them.
type Format interface {
	// Location is the kind and name of the store's object that holds the plan.
	Location() (kind, name string)
	// Decode reads a plan and indexes it.
	Decode(spec []byte) (*Plan, error)
}

// Formats holds the registered formats.
var Formats = kernel.Registry[Format]{Kind: "plan format"}
