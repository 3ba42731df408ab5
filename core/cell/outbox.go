package cell

import (
	"maps"
	"slices"
	"time"

	"jacinthwind/core/event"
	"jacinthwind/core/job"
)

// outbox collects the changes to be stored, and the actions that wait for their
// storage.
type outbox struct {
	dirty       map[string]*jobState
	records     map[string]Record
	removedJobs []RemovedJob
	acks        []ack
	// vmOrders lists the VMs whose orders wait for their record.
	vmOrders []string
	// inFlightWrite is the number of the write in progress, zero if there is none.
	inFlightWrite int64
	inFlightBatch batch
	lastWrite     int64
	flushedAt     time.Duration
	// writeTime is how long a write usually takes at present.
	writeTime time.Duration
}

// writeTimeWeight is the inverse of the weight of the last write in outbox.writeTime.
const writeTimeWeight = 4

// expectStored returns how long a job that is submitted now is expected to wait until it is
// stored, and how long a change at a later time waits on average: for the write in progress, if
// there is one, and its own.
func (o *outbox) expectStored(now time.Duration) (job, later time.Duration) {
	took := o.writeTime
	if o.inFlightWrite == 0 {
		return took, took
	}
	took = max(took, now-o.flushedAt)
	return max(o.writeTime-(now-o.flushedAt), 0) + took, took + took/2
}

// batch holds what is completed when a write is stored.
type batch struct {
	jobs     []*jobState
	acks     []ack
	vmOrders []string
}

// ack records that the ends of an incarnation up to a number may be acknowledged.
type ack struct {
	executor  *executor
	startedMs int64
	number    int64
}

// flushOutbox sends all changes since the last write as one write.
func (k *Kernel) flushOutbox() {
	o := &k.outbox
	if o.inFlightWrite != 0 || k.now.Monotonic < o.flushedAt+flushInterval {
		return
	}
	if len(o.dirty)+len(o.records)+len(o.acks)+len(o.removedJobs)+len(o.vmOrders) == 0 {
		return
	}
	if len(o.vmOrders) > 0 {
		for _, vm := range o.vmOrders {
			// Their record may have waited for earlier writes.
			k.orderRecordedAt[vm] = k.now.Monotonic
		}
		o.records["orders"] = k.listRecentOrders()
	}
	k.storeEstimates()
	k.refreshRecentOrders()
	w := Write{Remove: o.removedJobs}
	for _, id := range slices.Sorted(maps.Keys(o.dirty)) {
		j := o.dirty[id]
		j.dirty = false
		w.Puts = append(w.Puts, k.jobRecords(j)...)
		o.inFlightBatch.jobs = append(o.inFlightBatch.jobs, j)
	}
	for _, name := range slices.Sorted(maps.Keys(o.records)) {
		w.Puts = append(w.Puts, o.records[name])
	}
	o.inFlightBatch.acks = o.acks
	o.inFlightBatch.vmOrders = o.vmOrders
	o.acks, o.removedJobs, o.vmOrders = nil, nil, nil
	clear(o.dirty)
	clear(o.records)
	o.lastWrite++
	w.Number, o.inFlightWrite, o.flushedAt = o.lastWrite, o.lastWrite, k.now.Monotonic
	if len(w.Puts)+len(w.Remove) == 0 {
		k.handleWritten(Written{Write: o.lastWrite})
		return
	}
	k.emit(w)
}

// storeTimeout is how long a write may be in progress before new jobs are refused
// at once. The slowest store that still serves answers in a third of a second.
const storeTimeout = 1200 * time.Millisecond

// storeUnresponsive reports whether a job that is submitted now could not be
// stored.
func (k *Kernel) storeUnresponsive() bool {
	return k.outbox.inFlightWrite != 0 && k.now.Monotonic > k.outbox.flushedAt+storeTimeout
}

// handleWritten completes everything that waited for a write.
func (k *Kernel) handleWritten(e Written) {
	o := &k.outbox
	if e.Write != o.inFlightWrite {
		return
	}
	o.writeTime += (k.now.Monotonic - o.flushedAt - o.writeTime) / writeTimeWeight
	done := o.inFlightBatch
	o.inFlightWrite, o.inFlightBatch = 0, batch{}
	rejected := map[string]bool{}
	for _, id := range e.Rejected {
		rejected[id] = true
	}
	unstored := false
	for _, j := range done.jobs {
		if !rejected[j.ID] {
			k.handleJobStored(j)
			continue
		}
		unstored = k.handleJobRejected(j) || unstored
	}
	if unstored {
		// The ends of a job that fails now are not needed once that is stored.
		o.acks = append(done.acks, o.acks...)
		done.acks = nil
	}
	for _, a := range done.acks {
		if a.executor.incarnationStartedMs == a.startedMs {
			a.executor.ackedEnd = max(a.executor.ackedEnd, a.number)
		}
	}
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
}

// handleJobStored answers the callers that wait for a job to be stored, and begins
// a new job.
func (k *Kernel) handleJobStored(j *jobState) {
	if !j.stored {
		j.stored = true
		k.log(event.JobAccepted, "job", j.ID, "queue", j.Queue, "team", j.Team)
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
func (k *Kernel) IsAllStored() bool {
	o := &k.outbox
	return o.inFlightWrite == 0 && len(o.dirty)+len(o.records)+len(o.acks)+len(o.removedJobs)+len(o.vmOrders) == 0
}
