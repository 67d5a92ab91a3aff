// Package services defines the services that callers connect to and the routing of their flows to agents.
package services

import (
	"encoding/json"
	"net/netip"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
)

// DocumentName is the name of the store object, and of the document fact, that lists the services.
const DocumentName = "services"

// DocumentKind is the kind under which the store keeps documents.
const DocumentKind = "documents"

// Service is a named service and the address that callers connect to.
type Service struct {
	Name string `json:"name"`
	// ID and Generation are sent in the headers of forwarded packets. An agent drops packets whose values differ from
	// those of its service.
	ID         uint32         `json:"id"`
	Generation uint32         `json:"generation"`
	Address    netip.AddrPort `json:"address"`
}

// List is the content of the services document.
type List struct {
	Services []Service `json:"services"`
}

// ListFromFacts decodes the services document in a set of facts. It returns an empty list if there is no document.
func ListFromFacts(s *facts.Set) (List, error) {
	f, ok := s.Get(facts.Key{Kind: facts.KindDocument, Name: DocumentName})
	if !ok {
		return List{}, nil
	}
	var l List
	if err := json.Unmarshal([]byte(f.Body), &l); err != nil {
		return List{}, &facts.BodyError{Name: DocumentName, Cause: err}
	}
	return l, nil
}

// Find returns the service with the given name. It returns false if there is none.
func (l List) Find(name string) (Service, bool) {
	for _, s := range l.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}
