package edge

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"jacinthwind/common/eventlog"
	"jacinthwind/core"
	"jacinthwind/core/cell"
	"jacinthwind/core/event"
	"jacinthwind/core/job"
)

// Writer limits.
const (
	// minWriterLanes and maxWriterLanes bound the number of transactions that are under way
	// at a time.
	minWriterLanes, maxWriterLanes = 4, 24
	// laneEntries is how many entries of a write a lane gets on average, so that mostly one
	// transaction holds them: on a slow store each further one delays all jobs of the write.
	laneEntries = 22
	// maxCommitEntries, the two conditions and the sequence record together are the store's
	// limit of 32 entries per transaction.
	maxCommitEntries = 29
	// maxCommitBytes keeps a transaction short on a slow link.
	maxCommitBytes      = 64 << 10
	commitTimeout       = 800 * time.Millisecond
	commitRetryInterval = 150 * time.Millisecond
	// maxRetries is the number of transactions that are repeated at a time.
	maxRetries = 8
)

// errDeposed means that another owner has written to the store.
var errDeposed = errors.New("write to store: another owner has written since")

// writer carries out the writes of one owner, each exactly once. A write is divided into
// lanes that are committed at the same time; what belongs to one job stays in one lane,
// and each lane is committed in order.
type writer struct {
	store core.MetadataStore
	codec core.Codec
	log   *eventlog.Log
	// owner is the condition that no other node has claimed the pools since.
	owner core.Condition
	lanes [maxWriterLanes]lane
	// free holds the numbers of the lanes that no write uses.
	free chan int
	// retries holds an entry for each transaction that is being repeated. While the store does
	// not answer few are, so that they leave room for the renewal of the lease.
	retries chan struct{}
	// latestRevision is the latest revision of the store at which a transaction was done. No
	// other node had claimed the pools by then.
	latestRevision atomic.Int64
}

// lane orders its transactions: each expects the sequence record of the one before.
type lane struct {
	// sequence and revision belong to the last transaction that is known to be done.
	sequence sequenceRecord
	revision int64
}

// laneKey returns the key of a lane's sequence record.
func laneKey(i int) string { return prefixSequence + strconv.Itoa(i) }

// newWriter returns the writer of the owner whose claim has the given fencing token and
// generation. It reads where the lanes of earlier owners ended; their transactions no
// longer take effect.
func newWriter(ctx context.Context, store core.MetadataStore, codec core.Codec, log *eventlog.Log, token, generation int64) (*writer, error) {
	w := &writer{store: store, codec: codec, log: log, owner: core.Condition{Key: keyOwner, Revision: token}}
	items, _, err := readPrefix(ctx, store, prefixSequence)
	if err != nil {
		return nil, err
	}
	w.free, w.retries = make(chan int, len(w.lanes)), make(chan struct{}, maxRetries)
	for i := range w.lanes {
		w.lanes[i] = lane{sequenceRecord{Generation: generation}, items[laneKey(i)].Revision}
		w.free <- i
	}
	return w, nil
}

// countLanes returns among how many lanes a write of the given number of entries is divided.
func countLanes(entries int) int {
	if entries <= laneEntries {
		return 1
	}
	return min(max((entries+laneEntries-1)/laneEntries, minWriterLanes), maxWriterLanes)
}

// takeLanes returns at least one free lane, and up to n.
func (w *writer) takeLanes(n int) []int {
	lanes := []int{<-w.free}
	for len(lanes) < n {
		select {
		case i := <-w.free:
			lanes = append(lanes, i)
		default:
			return lanes
		}
	}
	return lanes
}

// countEntries returns the number of entries of changes.
func countEntries(changes []*change) int {
	total := 0
	for _, c := range changes {
		total += c.entries()
	}
	return total
}

// assignLanes divides the changes of a write among n lanes that get about the same number of
// entries. The changes of one job stay in one lane, in their order. No two writes in progress
// hold changes of one job, and all transactions of a write are known to be done or not when it
// ends, so that a job's lane may differ from write to write.
func assignLanes(changes []*change, n int) [][]*change {
	lanes := make([][]*change, n)
	entries := make([]int, n)
	laneOfJob := map[string]int{}
	for _, c := range changes {
		i, known := laneOfJob[c.job]
		if !known || c.job == "" {
			i = 0
			for other := range n {
				if entries[other] < entries[i] {
					i = other
				}
			}
			laneOfJob[c.job] = i
		}
		lanes[i] = append(lanes[i], c)
		entries[i] += c.entries()
	}
	return lanes
}

// change is what has to be stored together: the entries of one job, or one other record.
type change struct {
	// job is the job's id, empty for any other record.
	job    string
	puts   []core.Put
	remove []string
}

func (c *change) entries() int { return len(c.puts) + len(c.remove) }

// keys returns the keys that the change writes or removes.
func (c *change) keys() []string {
	keys := slices.Clone(c.remove)
	for _, p := range c.puts {
		keys = append(keys, p.Key)
	}
	return keys
}

// valueBytes returns the size of the values of puts.
func valueBytes(puts []core.Put) int {
	n := 0
	for _, p := range puts {
		n += len(p.Value)
	}
	return n
}

// write stores a write. Several may be in progress if they hold no changes of the same job or of
// the same other record. It returns the ids of the jobs whose
// records the store rejects; everything else is stored.
func (w *writer) write(ctx context.Context, e cell.Write) (rejected []string, err error) {
	var changes []*change
	jobs := map[string]*change{}
	opened, ended := map[string]bool{}, map[string]bool{}
	for _, r := range e.Puts {
		if p, ok := r.Value.(job.Progress); ok && p.State.IsFinal() {
			ended[r.Name] = true
		} else if r.Kind == cell.JobRecord {
			opened[r.Name] = true
		}
		c := &change{}
		if r.Kind == cell.JobRecord || r.Kind == cell.ProgressRecord {
			if jobs[r.Name] != nil {
				c = jobs[r.Name]
			}
			c.job, jobs[r.Name] = r.Name, c
		} else if r.Kind == cell.ProgressPartRecord {
			c.job = r.Name
		}
		if c.entries() == 0 {
			changes = append(changes, c)
		}
		c.puts = append(c.puts, encodeRecord(w.codec, r))
	}
	for id, c := range jobs {
		if ended[id] {
			c.remove = append(c.remove, prefixOpen+id)
		} else if opened[id] {
			c.puts = append(c.puts, core.Put{Key: prefixOpen + id, Value: openMarker})
		}
	}
	for _, removed := range e.Remove {
		changes = append(changes, removeParts(removed)...)
		if jobs[removed.ID] != nil {
			// The job was submitted anew; its records are replaced.
			continue
		}
		changes = append(changes, &change{job: removed.ID, remove: []string{prefixJob + removed.ID, prefixProgress + removed.ID}})
	}
	unstored, err := w.writeChanges(ctx, changes)
	for _, c := range unstored {
		if c.job != "" && len(c.puts) > 0 {
			rejected = append(rejected, c.job)
		}
	}
	return rejected, err
}

// removeParts returns the changes that remove the parts of a job's progress.
func removeParts(removed cell.RemovedJob) []*change {
	var keys []string
	for n := range removed.Parts {
		keys = append(keys, partKey(removed.ID, n))
	}
	var changes []*change
	for some := range slices.Chunk(keys, maxCommitEntries) {
		changes = append(changes, &change{job: removed.ID, remove: some})
	}
	return changes
}

// updateIndex adds jobs to the index of the open ones, or removes jobs from it.
func (w *writer) updateIndex(ctx context.Context, add, remove []string) error {
	var changes []*change
	for _, id := range add {
		changes = append(changes, &change{job: id, puts: []core.Put{{Key: prefixOpen + id, Value: openMarker}}})
	}
	for _, id := range remove {
		changes = append(changes, &change{job: id, remove: []string{prefixOpen + id}})
	}
	_, err := w.writeChanges(ctx, changes)
	return err
}

// completeIndex records that the index lists all open jobs.
func (w *writer) completeIndex(ctx context.Context) error {
	record := openIndexRecord{Generation: w.lanes[0].sequence.Generation}
	_, err := w.writeChanges(ctx, []*change{{puts: []core.Put{{Key: keyOpenIndex, Value: mustEncode(record)}}}})
	return err
}

// writeChanges stores changes, in several lanes at the same time if they are many, and returns
// those that the store rejects.
func (w *writer) writeChanges(ctx context.Context, changes []*change) ([]*change, error) {
	taken := w.takeLanes(countLanes(countEntries(changes)))
	lanes := assignLanes(changes, len(taken))
	type result struct {
		rejected []*change
		err      error
	}
	results := make(chan result, len(lanes))
	used := 0
	for i := range lanes {
		if len(lanes[i]) == 0 {
			continue
		}
		used++
		go func() {
			var r result
			r.err = guard(w.log, "write to the store", func() (err error) {
				r.rejected, err = w.writeLane(ctx, taken[i], lanes[i])
				return err
			})
			results <- r
		}()
	}
	var rejected []*change
	var failed error
	for range used {
		r := <-results
		rejected = append(rejected, r.rejected...)
		if r.err != nil && !errors.Is(failed, errDeposed) {
			failed = r.err
		}
	}
	for _, i := range taken {
		w.free <- i
	}
	return rejected, failed
}

// writeLane stores the changes of one lane in order, in several transactions if they are
// large, and each change in one. It returns the changes that the store rejects.
func (w *writer) writeLane(ctx context.Context, i int, changes []*change) (rejected []*change, err error) {
	for len(changes) > 0 {
		n := countFitting(changes)
		err := w.commitChanges(ctx, i, changes[:n])
		if errors.Is(err, core.ErrRejected) {
			// One of them must not hold up the others.
			var alone []*change
			alone, err = w.writeEach(ctx, i, changes[:n])
			rejected = append(rejected, alone...)
		}
		if err != nil {
			return rejected, err
		}
		changes = changes[n:]
	}
	return rejected, nil
}

// writeEach stores each change in a transaction of its own, and returns those that the
// store rejects.
func (w *writer) writeEach(ctx context.Context, i int, changes []*change) (rejected []*change, err error) {
	for _, c := range changes {
		err := w.commitChanges(ctx, i, []*change{c})
		if errors.Is(err, core.ErrRejected) {
			rejected = append(rejected, c)
			w.log.Event(event.WriteRejected, zap.Strings("keys", c.keys()), zap.Int("value_bytes", valueBytes(c.puts)), zap.Error(err))
			continue
		}
		if err != nil {
			return rejected, err
		}
	}
	return rejected, nil
}

// commitChanges stores changes in one transaction of a lane.
func (w *writer) commitChanges(ctx context.Context, i int, changes []*change) error {
	var puts []core.Put
	var remove []string
	for _, c := range changes {
		puts, remove = append(puts, c.puts...), append(remove, c.remove...)
	}
	return w.commit(ctx, i, puts, remove)
}

// countFitting returns how many of the changes fit into one transaction.
func countFitting(changes []*change) int {
	entries, size := 0, 0
	for i, c := range changes {
		entries += c.entries()
		size += valueBytes(c.puts)
		if i > 0 && (entries > maxCommitEntries || size > maxCommitBytes) {
			return i
		}
	}
	return len(changes)
}

// commit repeats a transaction of a lane until it is known to be done once, or the store
// rejects it. A transaction without an answer cannot take effect after its repetition has, since each
// expects the sequence record before it.
func (w *writer) commit(ctx context.Context, i int, puts []core.Put, remove []string) error {
	l := &w.lanes[i]
	next := sequenceRecord{l.sequence.Generation, l.sequence.Number + 1}
	t := core.Transaction{
		Expect: []core.Condition{w.owner, {Key: laneKey(i), Revision: l.revision}},
		Puts:   append([]core.Put{{Key: laneKey(i), Value: mustEncode(next)}}, puts...),
		Remove: remove,
	}
	retrying := false
	defer func() {
		if retrying {
			<-w.retries
		}
	}()
	for ctx.Err() == nil {
		revision, items, err := w.commitOnce(ctx, t)
		if errors.Is(err, core.ErrConflict) {
			revision, err = findEarlierCommit(items, laneKey(i), next)
		}
		switch {
		case err == nil:
			l.sequence, l.revision = next, revision
			w.raiseLatestRevision(revision)
			return nil
		case errors.Is(err, errDeposed), errors.Is(err, core.ErrRejected):
			return err
		}
		w.log.Event(event.WriteUnanswered, zap.Int("lane", i), zap.Int64("number", next.Number), zap.Error(err))
		failedAt := monotonicNow()
		if !retrying {
			select {
			case w.retries <- struct{}{}:
				retrying = true
			case <-ctx.Done():
			}
		}
		sleep(ctx, commitRetryInterval-(monotonicNow()-failedAt))
	}
	return ctx.Err()
}

// raiseLatestRevision notes the revision at which a transaction was done.
func (w *writer) raiseLatestRevision(revision int64) {
	for latest := w.latestRevision.Load(); revision > latest; latest = w.latestRevision.Load() {
		if w.latestRevision.CompareAndSwap(latest, revision) {
			return
		}
	}
}

// commitOnce sends a transaction with a timeout.
func (w *writer) commitOnce(ctx context.Context, t core.Transaction) (int64, []core.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout+transferTime(base64.StdEncoding.EncodedLen(valueBytes(t.Puts))))
	defer cancel()
	return w.store.Commit(ctx, t)
}

// findEarlierCommit returns the revision of a lane's sequence record in the store if it
// is next, so that an earlier attempt of the write was done, and errDeposed if it
// is not.
func findEarlierCommit(items []core.Item, key string, next sequenceRecord) (int64, error) {
	for _, item := range items {
		if item.Key != key {
			continue
		}
		var stored sequenceRecord
		if err := json.Unmarshal(item.Value, &stored); err != nil {
			return 0, errDeposed
		}
		if stored == next {
			return item.Revision, nil
		}
	}
	return 0, errDeposed
}
