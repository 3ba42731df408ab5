package membership

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// ShardKind is the kind of a shard.
type ShardKind string

// The kinds of shards.
const (
	KindPool ShardKind = "pool"
	KindTeam ShardKind = "team"
)

// Shard is a unit of ownership: a pool whose requests, or a team whose limit, is
// managed by one node.
type Shard struct {
	Kind ShardKind
	Name string
}

// String returns the shard in its form in the assignment, such as "pool/proofs".
func (s Shard) String() string {
	return string(s.Kind) + "/" + s.Name
}

// MarshalText encodes the shard in the form of String.
func (s Shard) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

// UnmarshalText decodes a shard in the form of String.
func (s *Shard) UnmarshalText(text []byte) error {
	kind, name, ok := strings.Cut(string(text), "/")
	if !ok || (ShardKind(kind) != KindPool && ShardKind(kind) != KindTeam) || name == "" {
		return fmt.Errorf("decode shard %q: want pool/NAME or team/NAME", text)
	}
	*s = Shard{Kind: ShardKind(kind), Name: name}
	return nil
}

func compareShards(a, b Shard) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

// Owner is the node that manages a shard.
type Owner struct {
	// Node is the ID of an incarnation of a node.
	Node string `json:"node"`
	// Epoch increases with every change of owner.
	Epoch uint64 `json:"epoch"`
	// Clean means that the previous owner handed over its state.
	Clean bool `json:"clean,omitempty"`
}

// Assignment is the record in the store that names the owner of each shard.
type Assignment struct {
	Shards map[Shard]Owner `json:"shards"`
	// Voters maps the IDs of the nodes whose majority decides under this record to
	// their addresses.
	Voters map[string]string `json:"voters,omitempty"`
	// Revision is the store revision of the record, zero if there is none.
	Revision int64 `json:"-"`
}

// Clone returns a deep copy.
func (a Assignment) Clone() Assignment {
	shards := maps.Clone(a.Shards)
	if shards == nil {
		shards = make(map[Shard]Owner)
	}
	return Assignment{Shards: shards, Voters: maps.Clone(a.Voters), Revision: a.Revision}
}

// SortedShards returns the assigned shards by kind and name.
func (a Assignment) SortedShards() []Shard {
	return slices.SortedFunc(maps.Keys(a.Shards), compareShards)
}

// DecodeAssignment decodes the record in the store.
func DecodeAssignment(value []byte, revision int64) (Assignment, error) {
	a := Assignment{Revision: revision}
	if err := json.Unmarshal(value, &a); err != nil {
		return a, fmt.Errorf("decode assignment at revision %d: %w", revision, err)
	}
	return a, nil
}

// Member is a node's entry in the store.
type Member struct {
	// ID identifies one incarnation of the node.
	ID string `json:"id"`
	// Name is the node's name in its settings.
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// Leaving members do not become owners.
	Leaving bool `json:"leaving,omitempty"`
}
