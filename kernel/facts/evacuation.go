package facts

import (
	"cmp"
	"encoding/json"
)

// KindEvacuation is the kind of facts that say whether a data centre is evacuated. The name is that of the data centre, the
// incarnation is the store's era and the version is its revision.
const KindEvacuation Kind = "evacuation"

// maxDataCentreLength limits the length of a data centre's name, in bytes. Other programs write to the same store.
const maxDataCentreLength = 200

// Evacuation says whether the operator has evacuated a data centre. Hosts of an evacuated data centre get no new flows.
type Evacuation struct {
	DataCentre string `json:"dataCentre"`
	Active     bool   `json:"active"`
	// Revision is the store's revision at which the evacuation was placed, or by which it was removed. It is one of Era,
	// because a store that returns from an older copy assigns revisions again.
	Revision uint64 `json:"revision"`
	Era      uint64 `json:"era,omitempty"`
}

// Compare returns a negative number if the evacuation was read in the store before the other one, a positive one if it was
// read after it, and otherwise 0.
func (e Evacuation) Compare(o Evacuation) int {
	return cmp.Or(cmp.Compare(e.Era, o.Era), cmp.Compare(e.Revision, o.Revision))
}

// evacuationBody is the body of an evacuation fact.
type evacuationBody struct {
	Active bool `json:"active"`
}

// IsDataCentreName reports whether a name read from the store can be that of a data centre.
func IsDataCentreName(name string) bool {
	return name != "" && len(name) <= maxDataCentreLength
}

// Fact encodes the evacuation as a fact.
func (e Evacuation) Fact() (Fact, error) {
	body, err := json.Marshal(evacuationBody{Active: e.Active})
	if err != nil {
		return Fact{}, &BodyError{Name: e.DataCentre, Cause: err}
	}
	return Fact{Key: Key{Kind: KindEvacuation, Name: e.DataCentre}, Incarnation: e.Era, Version: e.Revision, Body: string(body)}, nil
}

// DecodeEvacuation decodes an evacuation fact.
func DecodeEvacuation(f Fact) (Evacuation, error) {
	var b evacuationBody
	if err := json.Unmarshal([]byte(f.Body), &b); err != nil {
		return Evacuation{}, &BodyError{Name: f.Name, Cause: err}
	}
	return Evacuation{DataCentre: f.Name, Active: b.Active, Era: f.Incarnation, Revision: f.Version}, nil
}

// Evacuations is what an instance knows of all evacuations. With the zero value, no data centre is evacuated.
type Evacuations struct {
	// Unknown is set while an instance that has just started has not learned the evacuations yet.
	Unknown bool
	// Active holds the evacuated data centres.
	Active map[string]bool
}

// EvacuationsOf returns the evacuations that the given facts describe.
func EvacuationsOf(all []Evacuation, known bool) Evacuations {
	e := Evacuations{Unknown: !known, Active: map[string]bool{}}
	for _, one := range all {
		if one.Active {
			e.Active[one.DataCentre] = true
		}
	}
	return e
}
