// Package services describes the services whose addresses callers connect to.
package services

import (
	"encoding/json"
	"net/netip"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
)

// DocumentName is the store object, and the document fact, that lists the services.
const DocumentName = "services"

// DocumentKind is the store's kind of documents.
const DocumentKind = "documents"

// Service is one address that callers connect to.
type Service struct {
	Name       string         `json:"name"`
	ID         uint32         `json:"id"`
	Generation uint32         `json:"generation"`
	Address    netip.AddrPort `json:"address"`
}

// List is the body of the services document.
type List struct {
	Services []Service `json:"services"`
}

// ListOf reads the services document from a set; an absent one is an empty list.
func ListOf(s *facts.Set) (List, error) {
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

// Find returns the service called name.
func (l List) Find(name string) (Service, bool) {
	for _, s := range l.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}
