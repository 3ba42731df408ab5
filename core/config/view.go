package config

import (
	"crypto/sha256"
	"encoding/hex"
)

// View is the configuration of one revision with the indexes that decisions
// need; it does not change once made.
type View struct {
	Document
	Revision   int64
	Scheduling Scheduling

	queues    map[string]Queue
	teams     map[string]Team
	keys      map[string]string
	poolVMs   map[string][]VM
	out       map[string]bool
	poolSlots map[string]int
}

// NewView indexes the configuration of s. The indexes of an earlier view are
// used again where their lists did not change; previous may be nil.
func NewView(s State, previous *View) *View {
	v := &View{
		Document:   s.Document,
		Revision:   s.Revision,
		Scheduling: s.Document.Rules.Scheduling.WithDefaults(),
	}
	if previous == nil {
		previous = &View{}
	}
	r, before := &v.Register, &previous.Register
	v.queues = indexBy(r.Queues, before.Queues, previous.queues, func(q Queue) (string, Queue) { return q.Name, q })
	v.teams = indexBy(r.Teams, before.Teams, previous.teams, func(t Team) (string, Team) { return t.Name, t })
	v.keys = indexBy(r.Keys, before.Keys, previous.keys, func(k Key) (string, string) { return k.SHA256, k.Team })
	v.indexVMs(previous)
	v.indexOut()
	return v
}

// isSame reports whether two lists are one; lists are never changed in place.
func isSame[T any](a, b []T) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

// indexBy returns the index of a list, the known one where the list did not
// change.
func indexBy[T, V any](list, before []T, known map[string]V, entry func(T) (string, V)) map[string]V {
	if isSame(list, before) {
		return known
	}
	index := make(map[string]V, len(list))
	for _, item := range list {
		name, value := entry(item)
		index[name] = value
	}
	return index
}

func (v *View) indexVMs(previous *View) {
	if isSame(v.Register.VMs, previous.Register.VMs) {
		v.poolVMs, v.poolSlots = previous.poolVMs, previous.poolSlots
		return
	}
	v.poolVMs = make(map[string][]VM, len(v.Register.Pools))
	v.poolSlots = make(map[string]int, len(v.Register.Pools))
	for _, vm := range v.Register.VMs {
		v.poolVMs[vm.Pool] = append(v.poolVMs[vm.Pool], vm)
		v.poolSlots[vm.Pool] += vm.Executor.Slots
	}
}

func (v *View) indexOut() {
	v.out = make(map[string]bool, len(v.Rules.DataCentresOut))
	for _, name := range v.Rules.DataCentresOut {
		v.out[name] = true
	}
}

// Queue returns the queue of that name and whether there is one.
func (v *View) Queue(name string) (Queue, bool) {
	q, ok := v.queues[name]
	return q, ok
}

// Team returns the team of that name and whether there is one.
func (v *View) Team(name string) (Team, bool) {
	t, ok := v.teams[name]
	return t, ok
}

// TeamOfKey returns the team that the key with this digest works for and
// whether the key is in force.
func (v *View) TeamOfKey(digest string) (string, bool) {
	t, ok := v.keys[digest]
	return t, ok
}

// PoolVMs returns the VMs of a pool in the order of their names.
func (v *View) PoolVMs(pool string) []VM {
	return v.poolVMs[pool]
}

// PoolSlots returns the number of slots of all VMs of a pool.
func (v *View) PoolSlots(pool string) int {
	return v.poolSlots[pool]
}

// IsOut reports whether the data centre is out of service.
func (v *View) IsOut(dataCentre string) bool {
	return v.out[dataCentre]
}

// DigestKey returns the digest under which a secret key is registered.
func DigestKey(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}
