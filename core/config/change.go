package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Kind names the sort of entry that an operation changes.
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
	// Value is the new entry; absent where the entry is deleted.
	Value json.RawMessage `json:"value,omitempty"`
}

// Change is one entry of the configuration's log and takes effect as a whole.
type Change struct {
	// ID tells a repeated write of the change from another operator's.
	ID string `json:"id"`
	// Revision is the number of the change in the log, from 1.
	Revision int64 `json:"revision"`
	// Author is the operator as named by the client.
	Author     string      `json:"author"`
	Time       time.Time   `json:"time"`
	Operations []Operation `json:"operations"`
}

// State is the configuration of one revision; its zero value is empty. Its
// lists are in the order of the names and are never changed in place.
type State struct {
	Revision int64    `json:"revision"`
	Document Document `json:"document"`
}

// Apply returns the state after c, which must be the next change of the log.
func (s State) Apply(c *Change) (State, error) {
	if c.Revision != s.Revision+1 {
		return s, fmt.Errorf("change %d does not follow revision %d", c.Revision, s.Revision)
	}
	next := State{Revision: c.Revision, Document: s.Document}
	for _, op := range c.Operations {
		k, ok := kinds[op.Kind]
		if !ok {
			return s, fmt.Errorf("change %d: unknown kind %q", c.Revision, op.Kind)
		}
		if err := k.apply(&next.Document, op); err != nil {
			return s, fmt.Errorf("change %d: %s: %w", c.Revision, op, err)
		}
	}
	return next, nil
}

// Diff returns the operations that turn s into the document.
func (s State) Diff(doc *Document) ([]Operation, error) {
	var ops []Operation
	for _, name := range slices.Sorted(maps.Keys(kinds)) {
		changed, err := kinds[name].diff(&s.Document, doc)
		if err != nil {
			return nil, err
		}
		ops = append(ops, changed...)
	}
	return ops, nil
}

// Put returns the operation that puts an entry.
func Put(kind Kind, name string, value any) (Operation, error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return Operation{}, fmt.Errorf("encode %s %q: %w", kind, name, err)
	}
	return Operation{Kind: kind, Name: name, Value: raw}, nil
}

// String returns the operation in a few words.
func (o Operation) String() string {
	if o.Value == nil {
		return fmt.Sprintf("delete %s %s", o.Kind, o.Name)
	}
	return fmt.Sprintf("put %s %s", o.Kind, o.Name)
}
