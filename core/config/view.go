package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
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

// NewView indexes the configuration of s.
func NewView(s State) (*View, error) {
	doc, err := s.Document()
	if err != nil {
		return nil, fmt.Errorf("configuration revision %d: %w", s.Revision, err)
	}
	v := &View{
		Document:   doc,
		Revision:   s.Revision,
		Scheduling: doc.Rules.Scheduling.WithDefaults(),
		queues:     make(map[string]Queue, len(doc.Register.Queues)),
		teams:      make(map[string]Team, len(doc.Register.Teams)),
		keys:       make(map[string]string, len(doc.Register.Keys)),
		poolVMs:    make(map[string][]VM, len(doc.Register.Pools)),
		out:        make(map[string]bool, len(doc.Rules.DataCentresOut)),
		poolSlots:  make(map[string]int, len(doc.Register.Pools)),
	}
	v.index()
	return v, nil
}

func (v *View) index() {
	for _, q := range v.Register.Queues {
		v.queues[q.Name] = q
	}
	for _, t := range v.Register.Teams {
		v.teams[t.Name] = t
	}
	for _, k := range v.Register.Keys {
		v.keys[k.SHA256] = k.Team
	}
	for _, vm := range v.Register.VMs {
		v.poolVMs[vm.Pool] = append(v.poolVMs[vm.Pool], vm)
		v.poolSlots[vm.Pool] += vm.Executor.Slots
	}
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
