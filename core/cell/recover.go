package cell

import (
	"maps"
	"slices"
	"time"

	"jacinthwind/core/event"
	"jacinthwind/core/fleet"
	"jacinthwind/core/job"
)

// Load takes a job from the store before the first event.
func (k *Kernel) Load(spec *job.Job, p job.Progress) {
	j := k.addJob(spec, p)
	j.stored = true
	if p.State.Ended() {
		return
	}
	for _, tp := range p.Tasks {
		s := j.stepAt(tp.Occurrence, tp.Step)
		if s == nil || tp.Index < 0 || tp.Index >= len(s.tasks) {
			continue
		}
		t := &s.tasks[tp.Index]
		t.ended, t.failed, t.saved = true, tp.Failed, tp.Saved
		t.run, t.endedRun = tp.Run, tp.Run
		if tp.Done && t.state != taskDone {
			t.state = taskDone
			s.waiting--
			s.done++
			j.worked(s)
		}
	}
	if p.State == job.Running || len(p.Tasks) > 0 {
		k.markStarted(j)
	}
	for _, s := range j.steps {
		for i := range s.tasks {
			if s.tasks[i].state == taskWaiting {
				s.tasks[i].uncertain = true
			}
		}
	}
	for _, s := range j.steps {
		if s.done == s.Count {
			s.active = true
			j.open--
		}
	}
	for _, s := range j.steps {
		if s.done == s.Count {
			k.unblock(s)
		}
	}
	k.begin(j)
}

// recoverStep ends the recovery once no earlier order can be at work unseen:
// every executor has answered under our token, or all inherited deadlines have
// passed.
func (k *Kernel) recoverStep() {
	if !k.recovering || !k.proved() {
		// Without proof a later owner may have taken over what this one waits for.
		return
	}
	if k.now.Mono < k.claimedAt+k.inheritedHold() && !k.allFenced() {
		return
	}
	k.recovering, k.recoveredAt = false, k.now.Mono
	uncertain := 0
	for _, id := range slices.Sorted(maps.Keys(k.jobs)) {
		for _, s := range k.jobs[id].steps {
			for i := range s.tasks {
				if s.tasks[i].uncertain {
					s.tasks[i].uncertain = false
					uncertain++
				}
			}
		}
	}
	k.log(event.RecoveryEnded, "took_ms", (k.now.Mono-k.claimedAt)/time.Millisecond, "waiting_tasks", uncertain, "executors", len(k.executors))
}

// allFenced reports whether every executor that may be alive has answered. The
// list of VMs tells which of those that are registered have ended.
func (k *Kernel) allFenced() bool {
	if !k.listSeen || k.vmsAt == 0 {
		return false
	}
	for _, x := range k.executors {
		if !x.fenced && !x.absent {
			return false
		}
	}
	for _, vm := range k.vms {
		if vm.Executor != "" && vm.State == fleet.VMUp && k.executors[vm.Executor] == nil && !k.config.PoolIsSpare(vm.Pool) {
			return false
		}
	}
	return true
}
