package cell

import (
	"maps"
	"slices"
	"time"

	"jacinthwind/core/event"
	"jacinthwind/core/job"
)

// outbox collects the changes to be stored, and the actions that wait for their
// storage. Several writes may be in progress; each job and each record is in one of them at most,
// so that its changes are stored in their order.
type outbox struct {
	dirty       map[string]*jobState
	records     map[string]Record
	removedJobs []RemovedJob
	acks        []ack
	// vmOrders lists the VMs whose orders wait for their record.
	vmOrders []string
	// inProgress holds the writes in progress by their numbers, busyJobs the ids of the jobs
	// that they store or remove, and busyRecords the names of their other records.
	inProgress            map[int64]*batch
	busyJobs, busyRecords map[string]bool
	// ackGroups holds the acknowledgements that wait for writes.
	ackGroups []*ackGroup
	// bytesInProgress is the memory that the new jobs take that these writes store.
	bytesInProgress int64
	lastWrite       int64
	flushedAt       time.Duration
	// writeTime is how long a write usually takes at present.
	writeTime time.Duration
}

// newOutbox returns an empty outbox.
func newOutbox() outbox {
	return outbox{
		dirty: map[string]*jobState{}, records: map[string]Record{},
		inProgress: map[int64]*batch{}, busyJobs: map[string]bool{}, busyRecords: map[string]bool{},
	}
}

const (
	// writeTimeWeight is the inverse of the weight of the last write in outbox.writeTime.
	writeTimeWeight = 8
	// MaxWrites is the number of writes in progress at a time, and maxSlowWrites that while
	// one of them has had no answer for storeTimeout.
	MaxWrites, maxSlowWrites = 24, 4
	// writeEntries is from how many entries on a further write is begun, so that each fits into
	// one transaction of the store.
	writeEntries = 24
	// maxBytesInProgress bounds the memory that the jobs take whose records are being written,
	// but for a single one: each record is held in several forms meanwhile.
	maxBytesInProgress = 1 << 20
)

// batch holds what is completed when a write is stored.
type batch struct {
	sentAt time.Duration
	jobs   []*jobState
	// versions holds the versions of the jobs that the write stores.
	versions  []int64
	records   []string
	removed   []string
	vmOrders  []string
	ackGroups []*ackGroup
	// entries is about how many entries the write has in the store, and bytes the memory that
	// the new jobs among them take.
	entries int
	bytes   int64
}

// ack records that the ends of an incarnation up to a number may be acknowledged.
type ack struct {
	executor *executor
	bornMs   int64
	number   int64
}

// ackGroup holds acknowledgements that wait until the jobs are stored that they are about.
type ackGroup struct {
	acks []ack
	// unsent holds the ids of those of the jobs that no write in progress stores, and writes
	// counts the writes in progress that may store the others.
	unsent map[string]bool
	writes int
}

// expectStored returns how long a job that is submitted now is expected to wait until it is
// stored, and how long a later change waits.
func (o *outbox) expectStored() (job, later time.Duration) {
	if len(o.inProgress) >= MaxWrites {
		return 2 * o.writeTime, o.writeTime
	}
	return o.writeTime, o.writeTime
}

// oldest returns when the oldest write in progress was sent, and false if there is none.
func (o *outbox) oldest() (time.Duration, bool) {
	found := false
	var oldest time.Duration
	for _, b := range o.inProgress {
		if !found || b.sentAt < oldest {
			oldest, found = b.sentAt, true
		}
	}
	return oldest, found
}

// isEmpty reports whether nothing waits to be written.
func (o *outbox) isEmpty() bool {
	return len(o.dirty)+len(o.records)+len(o.acks)+len(o.removedJobs)+len(o.vmOrders) == 0
}

// flushOutbox sends all changes since the last writes that no write in progress bars.
func (k *Kernel) flushOutbox() {
	o := &k.outbox
	if k.now.Monotonic < o.flushedAt+flushInterval || o.isEmpty() {
		return
	}
	free := MaxWrites - len(o.inProgress)
	if oldest, ok := o.oldest(); ok && k.now.Monotonic > oldest+storeTimeout {
		free = min(free, maxSlowWrites-len(o.inProgress))
	}
	if free <= 0 {
		return
	}
	o.flushedAt = k.now.Monotonic
	if len(o.acks) > 0 {
		g := &ackGroup{acks: o.acks, unsent: map[string]bool{}}
		for id := range o.dirty {
			g.unsent[id] = true
		}
		for _, b := range o.inProgress {
			// It may store what the ends have changed.
			g.writes++
			b.ackGroups = append(b.ackGroups, g)
		}
		o.acks = nil
		o.ackGroups = append(o.ackGroups, g)
	}
	w, b := k.beginWrite()
	k.addOtherRecords(w, b)
	for _, id := range slices.Sorted(maps.Keys(o.dirty)) {
		if o.busyJobs[id] {
			continue
		}
		if size := newRecordBytes(o.dirty[id]); size > 0 && o.bytesInProgress+b.bytes > 0 && o.bytesInProgress+b.bytes+size > maxBytesInProgress {
			// The many small ones need not wait for the few large ones.
			continue
		}
		if b.entries >= writeEntries {
			k.sendWrite(w, b)
			if free--; free <= 0 {
				break
			}
			w, b = k.beginWrite()
		}
		k.addJobToWrite(w, b, o.dirty[id])
	}
	if free > 0 {
		k.sendWrite(w, b)
	}
	k.releaseAcks()
}

// beginWrite returns an empty write.
func (k *Kernel) beginWrite() (*Write, *batch) {
	k.outbox.lastWrite++
	return &Write{Number: k.outbox.lastWrite}, &batch{sentAt: k.now.Monotonic}
}

// addOtherRecords adds to a write what is not the record of a job.
func (k *Kernel) addOtherRecords(w *Write, b *batch) {
	o := &k.outbox
	o.removedJobs = slices.DeleteFunc(o.removedJobs, func(r RemovedJob) bool {
		if o.busyJobs[r.ID] {
			return false
		}
		if j := o.dirty[r.ID]; j != nil {
			// The job was submitted anew. Both belong into one write.
			k.addJobToWrite(w, b, j)
		}
		w.Remove = append(w.Remove, r)
		b.removed = append(b.removed, r.ID)
		b.entries += 2
		return true
	})
	for _, r := range w.Remove {
		o.busyJobs[r.ID] = true
	}
	if len(o.vmOrders) > 0 && !o.busyRecords["orders"] {
		for _, vm := range o.vmOrders {
			// Their record may have waited for earlier writes.
			k.orderRecordedAt[vm] = k.now.Monotonic
		}
		o.records["orders"] = k.listRecentOrders()
		b.vmOrders, o.vmOrders = o.vmOrders, nil
	}
	k.storeEstimates()
	k.refreshRecentOrders()
	for _, name := range slices.Sorted(maps.Keys(o.records)) {
		if o.busyRecords[name] {
			continue
		}
		w.Puts = append(w.Puts, o.records[name])
		b.entries++
		b.records = append(b.records, name)
		o.busyRecords[name] = true
		delete(o.records, name)
	}
}

// addJobToWrite adds the changed records of a job to a write.
func (k *Kernel) addJobToWrite(w *Write, b *batch, j *jobState) {
	o := &k.outbox
	j.dirty = false
	delete(o.dirty, j.ID)
	o.busyJobs[j.ID] = true
	records := k.jobRecords(j)
	w.Puts = append(w.Puts, records...)
	b.bytes += newRecordBytes(j)
	// A job that begins or ends also changes the index of the open ones.
	b.entries += len(records) + countIf(!j.stored || j.state.IsFinal())
	b.jobs, b.versions = append(b.jobs, j), append(b.versions, j.version)
	for _, g := range o.ackGroups {
		if !g.unsent[j.ID] {
			continue
		}
		delete(g.unsent, j.ID)
		if !slices.Contains(b.ackGroups, g) {
			b.ackGroups = append(b.ackGroups, g)
			g.writes++
		}
	}
}

// newRecordBytes returns the memory that a job takes whose whole record is to be written, zero for
// others.
func newRecordBytes(j *jobState) int64 {
	if j.stored || j.state.IsFinal() {
		return 0
	}
	return j.heldBytes
}

// sendWrite sends a write unless it is empty.
func (k *Kernel) sendWrite(w *Write, b *batch) {
	if len(w.Puts)+len(w.Remove) == 0 {
		return
	}
	k.outbox.inProgress[w.Number] = b
	k.outbox.bytesInProgress += b.bytes
	k.emit(*w)
}

// releaseAcks carries out the acknowledgements that wait for no write.
func (k *Kernel) releaseAcks() {
	o := &k.outbox
	o.ackGroups = slices.DeleteFunc(o.ackGroups, func(g *ackGroup) bool {
		if g.writes > 0 || len(g.unsent) > 0 {
			return false
		}
		for _, a := range g.acks {
			if a.executor.bornMs == a.bornMs {
				a.executor.ackedEnd = max(a.executor.ackedEnd, a.number)
			}
		}
		return true
	})
}

// storeTimeout is how long a write may be in progress before new jobs are refused
// at once. The slowest store that still serves answers in a third of a second.
const storeTimeout = 1200 * time.Millisecond

// storeUnresponsive reports whether a job that is submitted now could not be
// stored.
func (k *Kernel) storeUnresponsive() bool {
	oldest, ok := k.outbox.oldest()
	return ok && k.now.Monotonic > oldest+storeTimeout
}

// handleWritten completes everything that waited for a write.
func (k *Kernel) handleWritten(e Written) {
	o := &k.outbox
	done := o.inProgress[e.Write]
	if done == nil {
		return
	}
	delete(o.inProgress, e.Write)
	k.latestToken = max(k.latestToken, e.Revision)
	o.bytesInProgress -= done.bytes
	o.writeTime += (k.now.Monotonic - done.sentAt - o.writeTime) / writeTimeWeight
	rejected := map[string]bool{}
	for _, id := range e.Rejected {
		rejected[id] = true
	}
	for _, name := range done.records {
		delete(o.busyRecords, name)
	}
	for _, id := range done.removed {
		delete(o.busyJobs, id)
	}
	for i, j := range done.jobs {
		delete(o.busyJobs, j.ID)
		if !rejected[j.ID] {
			j.storedVersion = done.versions[i]
			k.handleJobStored(j)
			continue
		}
		if k.handleJobRejected(j) {
			// The ends of a job that fails now are not needed once that is stored.
			for _, g := range done.ackGroups {
				g.unsent[j.ID] = true
			}
		}
	}
	for _, g := range done.ackGroups {
		g.writes--
	}
	k.releaseAcks()
	for _, vm := range done.vmOrders {
		if order, ok := k.vmOrders[vm]; ok && !order.recorded {
			k.sendVMOrder(vm, order)
		}
	}
}

// handleJobRejected refuses a new job whose record the store does not take, and fails one
// that was accepted before: nothing of it could be stored any more. It reports whether the
// job's end is still to be stored.
func (k *Kernel) handleJobRejected(j *jobState) bool {
	k.log(event.JobUnstorable, "job", j.ID, "state", j.state, "accepted", j.stored)
	switch {
	case !j.stored:
		k.forgetUnstoredJob(j)
		return false
	case !j.state.IsFinal():
		k.endJob(j, job.Failed)
		return true
	}
	// Not even its end is taken; what other jobs wait for goes on.
	return false
}

// forgetUnstoredJob drops a job that was never accepted, and answers its callers.
func (k *Kernel) forgetUnstoredJob(j *jobState) {
	k.refusals[j.ID] = refusal{firstTry: k.now.Monotonic, refusedAt: k.now.Monotonic}
	for _, c := range j.submitCalls {
		k.emit(Reply{c, Answer{Verdict: Unservable, Reason: "the store does not take the job's record"}})
	}
	for _, c := range j.cancelCalls {
		k.emit(Reply{c, Answer{Verdict: NotFound}})
	}
	k.markStarted(j)
	k.closeJob(j)
	k.accountJob(j, 0)
	delete(k.jobs, j.ID)
	delete(k.outbox.dirty, j.ID)
	for _, g := range k.outbox.ackGroups {
		delete(g.unsent, j.ID)
	}
}

// handleJobStored answers the callers that wait for a job to be stored, and begins
// a new job.
func (k *Kernel) handleJobStored(j *jobState) {
	if !j.stored {
		j.stored = true
		k.log(event.JobAccepted, "job", j.ID, "queue", j.Queue, "team", j.Team, "turn_in_ms", max(j.turnAt-k.now.Monotonic, 0).Milliseconds(),
			"chain_ms", j.outlook.chain.Milliseconds(), "work", round(float64(j.outlook.work)/coreSecond))
		k.beginJob(j)
	}
	for _, c := range j.submitCalls {
		k.emit(Reply{c, Answer{Verdict: Accepted}})
	}
	j.submitCalls = nil
	// A cancel that arrived during the write is part of the next one.
	if !j.dirty {
		for _, c := range j.cancelCalls {
			k.emit(Reply{c, Answer{Verdict: JobEnded}})
		}
		j.cancelCalls = nil
	}
	if !j.dirty && j.state.IsFinal() {
		j.visibleState = j.state
		j.Job, j.steps = j.Ended(), nil
		k.accountJob(j, endedJobBytes)
	}
}

// IsAllStored reports whether all changes are stored.
func (k *Kernel) IsAllStored() bool { return len(k.outbox.inProgress) == 0 && k.outbox.isEmpty() }
