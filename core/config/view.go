package config

import (
	"crypto/sha256"
	"encoding/hex"
)

// View is the configuration at one revision with indexes for lookups. It is
// immutable.
type View struct {
	Document
	Revision   int64
	Scheduling Scheduling

	queueByName    map[string]Queue
	teamByName     map[string]Team
	teamByDigest   map[string]string
	vmsByPool      map[string][]VM
	dataCentresOut map[string]bool
	slotsByPool    map[string]int
}

// NewView returns a view of s. It reuses those indexes of the previous view, which
// may be nil, whose lists did not change.
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
	v.queueByName = buildIndex(r.Queues, before.Queues, previous.queueByName, func(q Queue) (string, Queue) { return q.Name, q })
	v.teamByName = buildIndex(r.Teams, before.Teams, previous.teamByName, func(t Team) (string, Team) { return t.Name, t })
	v.teamByDigest = buildIndex(r.Keys, before.Keys, previous.teamByDigest, func(k Key) (string, string) { return k.SHA256, k.Team })
	v.indexVMs(previous)
	v.indexDataCentresOut()
	return v
}

// isSameSlice reports whether two lists share their memory; since lists are never
// changed in place they are then equal.
func isSameSlice[T any](a, b []T) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

// buildIndex returns the index of a list, or the previous one if the list did not
// change.
func buildIndex[T, V any](list, before []T, previous map[string]V, entry func(T) (string, V)) map[string]V {
	if isSameSlice(list, before) {
		return previous
	}
	index := make(map[string]V, len(list))
	for _, item := range list {
		name, value := entry(item)
		index[name] = value
	}
	return index
}

func (v *View) indexVMs(previous *View) {
	if isSameSlice(v.Register.VMs, previous.Register.VMs) {
		v.vmsByPool, v.slotsByPool = previous.vmsByPool, previous.slotsByPool
		return
	}
	v.vmsByPool = make(map[string][]VM, len(v.Register.Pools))
	v.slotsByPool = make(map[string]int, len(v.Register.Pools))
	for _, vm := range v.Register.VMs {
		v.vmsByPool[vm.Pool] = append(v.vmsByPool[vm.Pool], vm)
		v.slotsByPool[vm.Pool] += vm.Executor.Slots
	}
}

func (v *View) indexDataCentresOut() {
	v.dataCentresOut = make(map[string]bool, len(v.Rules.DataCentresOut))
	for _, name := range v.Rules.DataCentresOut {
		v.dataCentresOut[name] = true
	}
}

// Queue returns the queue with the given name and whether it exists.
func (v *View) Queue(name string) (Queue, bool) {
	q, ok := v.queueByName[name]
	return q, ok
}

// Team returns the team with the given name and whether it exists.
func (v *View) Team(name string) (Team, bool) {
	t, ok := v.teamByName[name]
	return t, ok
}

// TeamOfKey returns the team of the key with the given digest and whether the key
// exists.
func (v *View) TeamOfKey(digest string) (string, bool) {
	t, ok := v.teamByDigest[digest]
	return t, ok
}

// PoolVMs returns the VMs of a pool, sorted by name.
func (v *View) PoolVMs(pool string) []VM {
	return v.vmsByPool[pool]
}

// PoolSlots returns the number of slots of all VMs of a pool.
func (v *View) PoolSlots(pool string) int {
	return v.slotsByPool[pool]
}

// IsDataCentreOut reports whether the data centre is out of service.
func (v *View) IsDataCentreOut(dataCentre string) bool {
	return v.dataCentresOut[dataCentre]
}

// DigestKey returns the digest under which a secret key is registered.
func DigestKey(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}
