package cell

import (
	"maps"
	"slices"
	"time"

	"jacinthwind/core/event"
	"jacinthwind/core/job"
)

// outbox collects what is to be stored and what waits for it.
type outbox struct {
	dirty   map[string]*jobState
	records map[string]Record
	remove  []string
	acks    []ack
	// orders lists the VMs whose orders wait for their record.
	orders []string
	// inFlight is the write that the host carries out, zero when there is none.
	inFlight int64
	sent     batch
	number   int64
	flushed  time.Duration
}

// batch is what a write settles.
type batch struct {
	jobs   []*jobState
	acks   []ack
	orders []string
}

// ack says that the ends of an incarnation up to a number may be acknowledged.
type ack struct {
	executor *executor
	born     int64
	number   int64
}

// touch marks a job's progress for the next write.
func (k *Kernel) touch(j *jobState) {
	j.dirty = true
	k.out.dirty[j.ID] = j
}

// flush sends one write with all changes since the last one.
func (k *Kernel) flush() {
	o := &k.out
	if o.inFlight != 0 || k.now.Mono < o.flushed+flushEvery {
		return
	}
	if len(o.dirty)+len(o.records)+len(o.acks)+len(o.remove) == 0 {
		return
	}
	w := Write{Remove: o.remove}
	for _, id := range slices.Sorted(maps.Keys(o.dirty)) {
		j := o.dirty[id]
		j.dirty = false
		if !j.stored {
			w.Puts = append(w.Puts, Record{JobRecord, id, j.Job})
		}
		w.Puts = append(w.Puts, Record{ProgressRecord, id, j.progress()})
		o.sent.jobs = append(o.sent.jobs, j)
	}
	for _, name := range slices.Sorted(maps.Keys(o.records)) {
		w.Puts = append(w.Puts, o.records[name])
	}
	o.sent.acks = o.acks
	o.sent.orders = o.orders
	o.acks, o.remove, o.orders = nil, nil, nil
	clear(o.dirty)
	clear(o.records)
	o.number++
	w.Number, o.inFlight, o.flushed = o.number, o.number, k.now.Mono
	if len(w.Puts)+len(w.Remove) == 0 {
		k.written(o.number)
		return
	}
	k.emit(w)
}

// storeSilentAfter is how long a write may be under way before new jobs are refused
// at once: the slowest store that serves answers in a third of a second.
const storeSilentAfter = 1200 * time.Millisecond

// storeSilent reports whether a job that is handed in now could not be stored.
func (k *Kernel) storeSilent() bool {
	return k.out.inFlight != 0 && k.now.Mono > k.out.flushed+storeSilentAfter
}

// written settles what waited for a write.
func (k *Kernel) written(number int64) {
	o := &k.out
	if number != o.inFlight {
		return
	}
	o.inFlight = 0
	for _, a := range o.sent.acks {
		if a.executor.born == a.born {
			a.executor.ackSeq = max(a.executor.ackSeq, a.number)
		}
	}
	for _, j := range o.sent.jobs {
		k.jobStored(j)
	}
	for _, vm := range o.sent.orders {
		if order, ok := k.ordered[vm]; ok && !order.recorded {
			k.sendOrder(vm, order)
		}
	}
	o.sent = batch{}
}

// jobStored answers the callers that wait for a job to be stored, and lets a
// new job begin.
func (k *Kernel) jobStored(j *jobState) {
	if !j.stored {
		j.stored = true
		k.log(event.JobAccepted, "job", j.ID, "queue", j.Queue, "team", j.Team)
		k.begin(j)
	}
	for _, c := range j.calls {
		k.emit(Reply{c, Answer{Verdict: Accepted}})
	}
	j.calls = nil
	// A cancel that came while the write was under way is in the next one.
	if !j.dirty {
		for _, c := range j.cancels {
			k.emit(Reply{c, Answer{Verdict: Ended}})
		}
		j.cancels = nil
	}
	if !j.dirty && j.state.Ended() {
		j.visible = j.state
	}
}

// progress returns what is stored of the job's way.
func (j *jobState) progress() job.Progress {
	p := job.Progress{State: j.state, EndedMs: j.endedMs}
	if j.state.Ended() {
		return p
	}
	for _, s := range j.steps {
		for i := range s.tasks {
			t := &s.tasks[i]
			if !t.ended {
				continue
			}
			p.Tasks = append(p.Tasks, job.TaskProgress{
				Occurrence: s.k, Step: s.index, Index: i,
				Done: t.state == taskDone, Failed: t.failed, Run: t.endedRun, Saved: t.saved,
			})
		}
	}
	return p
}

// Stored reports whether all that was decided is stored.
func (k *Kernel) Stored() bool {
	o := &k.out
	return o.inFlight == 0 && len(o.dirty)+len(o.records)+len(o.acks)+len(o.remove) == 0
}
