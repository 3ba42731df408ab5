package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Kind is the kind of entry that an operation changes.
type Kind string

// The kinds of entries.
const (
	KindDataCentre    Kind = "data_centre"
	KindPool          Kind = "pool"
	KindQueue         Kind = "queue"
	KindVM            Kind = "vm"
	KindTeam          Kind = "team"
	KindKey           Kind = "key"
	KindDataCentreOut Kind = "data_centre_out"
	KindScheduling    Kind = "scheduling"
)

// Operation puts or deletes one entry of the configuration.
type Operation struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Value is the new entry, absent if the operation deletes the entry.
	Value json.RawMessage `json:"value,omitempty"`
}

// Change is one record of the configuration's log. Its operations take effect
// together.
type Change struct {
	// ID distinguishes a repeated write of the change from a write of another
	// operator.
	ID string `json:"id"`
	// Revision is the number of the change in the log, from 1.
	Revision int64 `json:"revision"`
	// Author is the name of the operator that the client gave.
	Author     string      `json:"author"`
	Time       time.Time   `json:"time"`
	Operations []Operation `json:"operations"`
}

// State is the configuration at one revision; its zero value is empty. Its lists
// are sorted by name and never changed in place.
type State struct {
	Revision int64    `json:"revision"`
	Document Document `json:"document"`
}

// Apply returns the state after the change c, which must be the next one in the
// log.
func (s State) Apply(c *Change) (State, error) {
	if c.Revision != s.Revision+1 {
		return s, fmt.Errorf("apply change %d: does not follow revision %d, want the revision after it", c.Revision, s.Revision)
	}
	next := State{Revision: c.Revision, Document: s.Document}
	for _, op := range c.Operations {
		k, ok := entryKinds[op.Kind]
		if !ok {
			return s, fmt.Errorf("apply change %d: unknown kind %q", c.Revision, op.Kind)
		}
		if err := k.apply(&next.Document, op); err != nil {
			return s, fmt.Errorf("apply change %d: %s: %w", c.Revision, op, err)
		}
	}
	return next, nil
}

// Diff returns the operations that change the document of s into doc.
func (s State) Diff(doc *Document) ([]Operation, error) {
	var ops []Operation
	for _, name := range slices.Sorted(maps.Keys(entryKinds)) {
		changed, err := entryKinds[name].diff(&s.Document, doc)
		if err != nil {
			return nil, err
		}
		ops = append(ops, changed...)
	}
	return ops, nil
}

// NewPut returns an operation that adds or replaces an entry.
func NewPut(kind Kind, name string, value any) (Operation, error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return Operation{}, fmt.Errorf("encode %s %q: %w", kind, name, err)
	}
	return Operation{Kind: kind, Name: name, Value: raw}, nil
}

// String returns the operation without its value, such as "put team guild".
func (o Operation) String() string {
	if o.Value == nil {
		return fmt.Sprintf("delete %s %s", o.Kind, o.Name)
	}
	return fmt.Sprintf("put %s %s", o.Kind, o.Name)
}
