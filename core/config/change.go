package config

import (
	"bytes"
	"encoding/json"
	"fmt"
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

// State is the configuration as a set of entries by kind and name; its zero
// value is empty.
type State struct {
	Revision int64
	entries  map[entryKey]json.RawMessage
}

type entryKey struct {
	kind Kind
	name string
}

// Apply returns the state after c, which must be the next change of the log.
func (s State) Apply(c *Change) (State, error) {
	if c.Revision != s.Revision+1 {
		return s, fmt.Errorf("change %d does not follow revision %d", c.Revision, s.Revision)
	}
	next := State{Revision: c.Revision, entries: make(map[entryKey]json.RawMessage, len(s.entries)+len(c.Operations))}
	for k, v := range s.entries {
		next.entries[k] = v
	}
	for _, op := range c.Operations {
		key := entryKey{op.Kind, op.Name}
		if op.Value == nil {
			delete(next.entries, key)
			continue
		}
		next.entries[key] = op.Value
	}
	return next, nil
}

// Diff returns the operations that turn s into the document.
func (s State) Diff(doc *Document) ([]Operation, error) {
	want, err := FromDocument(doc)
	if err != nil {
		return nil, err
	}
	var ops []Operation
	for k, v := range want.entries {
		if !bytes.Equal(s.entries[k], v) {
			ops = append(ops, Operation{Kind: k.kind, Name: k.name, Value: v})
		}
	}
	for k := range s.entries {
		if _, kept := want.entries[k]; !kept {
			ops = append(ops, Operation{Kind: k.kind, Name: k.name})
		}
	}
	sortOperations(ops)
	return ops, nil
}

// String returns the operation in a few words.
func (o Operation) String() string {
	if o.Value == nil {
		return fmt.Sprintf("delete %s %s", o.Kind, o.Name)
	}
	return fmt.Sprintf("put %s %s", o.Kind, o.Name)
}
