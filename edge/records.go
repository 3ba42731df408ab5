package edge

import (
	"encoding/json"
	"fmt"
	"strconv"

	"jacinthwind/core"
	"jacinthwind/core/cell"
)

// Keys in the store that this package writes.
const (
	prefixLive = "jw/live/"
	keyOwner   = prefixLive + "owner"
	prefixNode = prefixLive + "node/"
	// prefixRoom holds what each live VM has for an owner, by node.
	prefixRoom     = prefixLive + "room/"
	keySequence    = "jw/sequence"
	prefixSequence = "jw/sequence/"
	prefixJob      = "jw/job/"
	prefixProgress = "jw/progress/"
	// prefixPart holds the parts of the progress of jobs, by the job's id and the number of
	// the part.
	prefixPart = "jw/part/"
	prefixWave = "jw/wave/"
	// prefixOpen lists the jobs that have not ended, by their ids, and may list others.
	prefixOpen   = "jw/open/"
	keyOpenIndex = "jw/open"
	keyOrders    = "jw/orders"
	// keyEstimates holds what was learnt of run times.
	keyEstimates = "jw/estimates"
)

// ownerRecord identifies the owner of the pools; the revision of its item is the
// fencing token.
type ownerRecord struct {
	Node        string `json:"node"`
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
	Generation  int64  `json:"generation"`
	// Links is set if the owner takes links; earlier builds do not tell.
	Links bool `json:"links,omitempty"`
}

// sequenceRecord numbers the claims of all owners, under keySequence, and orders the
// writes of each lane of an owner: each expects the sequence record of the write before
// it, so that a delayed write fails.
type sequenceRecord struct {
	Generation int64 `json:"generation"`
	// Number counts the writes of one generation.
	Number int64 `json:"number"`
}

// openIndexRecord tells, under keyOpenIndex, whether the jobs under prefixOpen are complete:
// they are if its generation is that of the last claim. An owner of a build that does not
// list them claims with a generation of its own, and so makes them incomplete.
type openIndexRecord struct {
	Generation int64 `json:"generation"`
}

// openMarker is the value of a job under prefixOpen.
var openMarker = []byte("{}")

// mustEncode returns v as JSON. It panics if v cannot be encoded, which the records
// of this package always can.
func mustEncode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", v, err))
	}
	return data
}

// partKey returns the key of a part of a job's progress.
func partKey(id string, part int) string { return prefixPart + id + "/" + strconv.Itoa(part) }

// encodeRecord returns the key and the value under which a record is stored.
func encodeRecord(codec core.Codec, r cell.Record) core.Put {
	switch r.Kind {
	case cell.JobRecord:
		return core.Put{Key: prefixJob + r.Name, Value: mustEncode(r.Value)}
	case cell.ProgressRecord:
		return core.Put{Key: prefixProgress + r.Name, Value: mustEncode(r.Value)}
	case cell.ProgressPartRecord:
		return core.Put{Key: partKey(r.Name, r.Part), Value: mustEncode(r.Value)}
	case cell.WaveRecord:
		return core.Put{Key: prefixWave + r.Name, Value: mustEncode(r.Value)}
	case cell.VMOrdersRecord:
		return core.Put{Key: keyOrders, Value: mustEncode(r.Value)}
	case cell.EstimatesRecord:
		return core.Put{Key: keyEstimates, Value: mustEncode(r.Value)}
	case cell.WaveStatusRecord:
		status, _ := r.Value.(string)
		key, value := codec.EncodeWaveStatus(r.Name, status)
		return core.Put{Key: key, Value: value}
	}
	panic("encode record: unknown kind " + string(r.Kind))
}
