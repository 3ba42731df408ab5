package edge

import (
	"encoding/json"
	"fmt"

	"jacinthwind/core"
	"jacinthwind/core/cell"
)

// Keys of ours in the store.
const (
	prefixLive     = "jw/live/"
	keyOwner       = prefixLive + "owner"
	prefixNode     = prefixLive + "node/"
	keySequence    = "jw/sequence"
	prefixJob      = "jw/job/"
	prefixProgress = "jw/progress/"
	prefixWave     = "jw/wave/"
	keyOrders      = "jw/orders"
)

// ownerRecord names who owns the pools; its revision is the fencing token.
type ownerRecord struct {
	Node        string `json:"node"`
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
	Generation  int64  `json:"generation"`
}

// sequenceRecord orders all writes of all owners: each write expects the one
// before it, so that a write that is carried out late fails.
type sequenceRecord struct {
	Generation int64 `json:"generation"`
	Number     int64 `json:"number"`
}

// encode returns v as JSON; our records cannot fail to encode.
func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", v, err))
	}
	return data
}

// put returns the key and value under which a record is stored.
func put(codec core.Codec, r cell.Record) core.Put {
	switch r.Kind {
	case cell.JobRecord:
		return core.Put{Key: prefixJob + r.Name, Value: encode(r.Value)}
	case cell.ProgressRecord:
		return core.Put{Key: prefixProgress + r.Name, Value: encode(r.Value)}
	case cell.WaveRecord:
		return core.Put{Key: prefixWave + r.Name, Value: encode(r.Value)}
	case cell.VMOrders:
		return core.Put{Key: keyOrders, Value: encode(r.Value)}
	case cell.WaveStatus:
		status, _ := r.Value.(string)
		key, value := codec.WaveStatus(r.Name, status)
		return core.Put{Key: key, Value: value}
	}
	panic("unknown kind of record " + string(r.Kind))
}
