package config

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
)

// entryKind applies and computes operations on the entries of one kind.
type entryKind interface {
	// apply applies an operation to the document without changing lists in place.
	apply(doc *Document, op Operation) error
	// diff returns the operations that change the entries of from into those of to.
	diff(from, to *Document) ([]Operation, error)
}

// entryKinds holds all kinds of entries.
var entryKinds = map[Kind]entryKind{
	KindDataCentre: listKind[DataCentre]{
		KindDataCentre, func(d *Document) *[]DataCentre { return &d.Register.DataCentres }, func(v DataCentre) string { return v.Name },
	},
	KindPool: listKind[Pool]{
		KindPool, func(d *Document) *[]Pool { return &d.Register.Pools }, func(v Pool) string { return v.Name },
	},
	KindQueue: listKind[Queue]{
		KindQueue, func(d *Document) *[]Queue { return &d.Register.Queues }, func(v Queue) string { return v.Name },
	},
	KindVM: listKind[VM]{
		KindVM, func(d *Document) *[]VM { return &d.Register.VMs }, func(v VM) string { return v.Name },
	},
	KindTeam: listKind[Team]{
		KindTeam, func(d *Document) *[]Team { return &d.Register.Teams }, func(v Team) string { return v.Name },
	},
	KindKey: listKind[Key]{
		KindKey, func(d *Document) *[]Key { return &d.Register.Keys }, func(v Key) string { return v.Name },
	},
	KindDataCentreOut: listKind[string]{
		KindDataCentreOut, func(d *Document) *[]string { return &d.Rules.DataCentresOut }, func(v string) string { return v },
	},
	KindScheduling: schedulingKind{},
}

// listKind is an entryKind whose entries form a list in the document.
type listKind[T comparable] struct {
	kind Kind
	list func(*Document) *[]T
	name func(T) string
}

func (k listKind[T]) apply(doc *Document, op Operation) error {
	list := k.list(doc)
	i, found := slices.BinarySearchFunc(*list, op.Name, func(v T, name string) int {
		return cmp.Compare(k.name(v), name)
	})
	if op.Value == nil {
		if found {
			*list = slices.Delete(slices.Clone(*list), i, i+1)
		}
		return nil
	}
	var v T
	if err := json.Unmarshal(op.Value, &v); err != nil {
		return err
	}
	if k.name(v) != op.Name {
		return fmt.Errorf("value has name %q, want the name of the operation", k.name(v))
	}
	next := slices.Clone(*list)
	if found {
		next[i] = v
	} else {
		next = slices.Insert(next, i, v)
	}
	*list = next
	return nil
}

func (k listKind[T]) diff(from, to *Document) ([]Operation, error) {
	before, after := k.indexByName(from), k.indexByName(to)
	var ops []Operation
	for _, v := range *k.list(to) {
		if old, ok := before[k.name(v)]; ok && old == v {
			continue
		}
		op, err := NewPut(k.kind, k.name(v), v)
		if err != nil {
			return nil, err
		}
		ops = append(ops, op)
	}
	for _, v := range *k.list(from) {
		if _, kept := after[k.name(v)]; !kept {
			ops = append(ops, Operation{Kind: k.kind, Name: k.name(v)})
		}
	}
	slices.SortFunc(ops, func(a, b Operation) int { return cmp.Compare(a.Name, b.Name) })
	return ops, nil
}

func (k listKind[T]) indexByName(doc *Document) map[string]T {
	list := *k.list(doc)
	m := make(map[string]T, len(list))
	for _, v := range list {
		m[k.name(v)] = v
	}
	return m
}

// schedulingKind is the entryKind of the scheduling rules, a single entry.
type schedulingKind struct{}

func (schedulingKind) apply(doc *Document, op Operation) error {
	doc.Rules.Scheduling = Scheduling{}
	if op.Value == nil {
		return nil
	}
	return json.Unmarshal(op.Value, &doc.Rules.Scheduling)
}

func (schedulingKind) diff(from, to *Document) ([]Operation, error) {
	if from.Rules.Scheduling == to.Rules.Scheduling {
		return nil, nil
	}
	if to.Rules.Scheduling == (Scheduling{}) {
		return []Operation{{Kind: KindScheduling}}, nil
	}
	op, err := NewPut(KindScheduling, "", to.Rules.Scheduling)
	return []Operation{op}, err
}
