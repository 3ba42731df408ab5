package config

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
)

func sortOperations(ops []Operation) {
	slices.SortFunc(ops, func(a, b Operation) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
}

// FromDocument splits a document into entries.
func FromDocument(doc *Document) (State, error) {
	e := encoder{entries: make(map[entryKey]json.RawMessage)}
	r := &doc.Register
	for _, v := range r.DataCentres {
		e.put(KindDataCentre, v.Name, v)
	}
	for _, v := range r.Pools {
		e.put(KindPool, v.Name, v)
	}
	for _, v := range r.Queues {
		e.put(KindQueue, v.Name, v)
	}
	for _, v := range r.VMs {
		e.put(KindVM, v.Name, v)
	}
	for _, v := range r.Teams {
		e.put(KindTeam, v.Name, v)
	}
	for _, v := range r.Keys {
		e.put(KindKey, v.Name, v)
	}
	for _, name := range doc.Rules.DataCentresOut {
		e.put(KindDataCentreOut, name, struct{}{})
	}
	if doc.Rules.Scheduling != (Scheduling{}) {
		e.put(KindScheduling, "", doc.Rules.Scheduling)
	}
	return State{entries: e.entries}, e.err
}

type encoder struct {
	entries map[entryKey]json.RawMessage
	err     error
}

func (e *encoder) put(kind Kind, name string, value any) {
	op, err := Put(kind, name, value)
	if err != nil && e.err == nil {
		e.err = err
	}
	e.entries[entryKey{kind, name}] = op.Value
}

// Put returns the operation that puts an entry.
func Put(kind Kind, name string, value any) (Operation, error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return Operation{}, fmt.Errorf("encode %s %q: %w", kind, name, err)
	}
	return Operation{Kind: kind, Name: name, Value: raw}, nil
}

// Document joins the entries of s in the order of their names.
func (s State) Document() (Document, error) {
	var doc Document
	for _, k := range s.sortedKeys() {
		if err := decodeEntry(&doc, k, s.entries[k]); err != nil {
			return doc, fmt.Errorf("%s %q: %w", k.kind, k.name, err)
		}
	}
	return doc, nil
}

func (s State) sortedKeys() []entryKey {
	keys := make([]entryKey, 0, len(s.entries))
	for k := range s.entries {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b entryKey) int {
		return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.name, b.name))
	})
	return keys
}

func decodeEntry(doc *Document, k entryKey, raw json.RawMessage) error {
	r := &doc.Register
	switch k.kind {
	case KindDataCentre:
		return appendEntry(&r.DataCentres, raw)
	case KindPool:
		return appendEntry(&r.Pools, raw)
	case KindQueue:
		return appendEntry(&r.Queues, raw)
	case KindVM:
		return appendEntry(&r.VMs, raw)
	case KindTeam:
		return appendEntry(&r.Teams, raw)
	case KindKey:
		return appendEntry(&r.Keys, raw)
	case KindDataCentreOut:
		doc.Rules.DataCentresOut = append(doc.Rules.DataCentresOut, k.name)
		return nil
	case KindScheduling:
		return json.Unmarshal(raw, &doc.Rules.Scheduling)
	}
	return fmt.Errorf("unknown kind of entry")
}

func appendEntry[T any](list *[]T, raw json.RawMessage) error {
	var v T
	if err := json.Unmarshal(raw, &v); err != nil {
		return err
	}
	*list = append(*list, v)
	return nil
}
