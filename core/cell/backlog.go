package cell

import "time"

// backlogInterval is the width of the intervals into which a backlog divides the
// times at which jobs are due.
const backlogInterval = 50 * time.Millisecond

// backlog holds the expected work that is left of a pool's open jobs, by label,
// priority and due time, so that the work before a new job is known without a walk
// over all jobs. Work is in thousandths of a core times milliseconds. The zero value
// is ready for use.
type backlog struct {
	work map[backlogGroup]map[time.Duration]int64
}

// backlogGroup is a label and the priority of a queue.
type backlogGroup struct {
	label    string
	priority int
}

// add adds work, which may be negative, of a job that is due at the given time.
func (b *backlog) add(g backlogGroup, due time.Duration, work int64) {
	if work == 0 {
		return
	}
	if b.work == nil {
		b.work = map[backlogGroup]map[time.Duration]int64{}
	}
	byDue := b.work[g]
	if byDue == nil {
		byDue = map[time.Duration]int64{}
		b.work[g] = byDue
	}
	interval := due / backlogInterval
	if byDue[interval] += work; byDue[interval] == 0 {
		delete(byDue, interval)
		if len(byDue) == 0 {
			delete(b.work, g)
		}
	}
}

// before returns the work with a label that is served before a job of the given
// priority and due time; the empty label stands for all work.
func (b *backlog) before(label string, priority int, due time.Duration) int64 {
	var sum int64
	for g, byDue := range b.work {
		if g.label != label || g.priority > priority {
			continue
		}
		for interval, work := range byDue {
			if g.priority < priority || interval <= due/backlogInterval {
				sum += work
			}
		}
	}
	return sum
}

// addToBacklog adds the work that is left of a job, times sign, to its pool's backlogs.
func (k *Kernel) addToBacklog(j *jobState, sign int64) {
	j.addWork("", sign*j.remainingWork, k.ensurePool(j.Pool))
	for _, s := range j.steps {
		if s.Label != "" && !s.Service && !s.BestEffort {
			j.addWork(s.Label, sign*int64(s.Count-s.doneTasks)*s.expectedTaskWork(), k.ensurePool(j.Pool))
		}
	}
}

// addWork adds work with a label to the backlogs of the job's pool.
func (j *jobState) addWork(label string, work int64, p *pool) {
	g := backlogGroup{label, j.priority()}
	p.backlog.add(g, j.due, work)
	p.turns.add(g, j.turnAt, work)
}

// openJob counts a job with work left for the admission.
func (k *Kernel) openJob(j *jobState) {
	k.ensurePool(j.Pool).openJobs[j.ID] = j
	k.addToBacklog(j, 1)
}

// closeJob ends the counting of a job, if it is counted.
func (k *Kernel) closeJob(j *jobState) {
	p := k.ensurePool(j.Pool)
	if p.openJobs[j.ID] == nil {
		return
	}
	k.addToBacklog(j, -1)
	k.refundShare(j)
	delete(p.openJobs, j.ID)
}

// subtractWork subtracts a finished task from the job's remaining work.
func (k *Kernel) subtractWork(s *stepRun) {
	if s.BestEffort || s.Service {
		return
	}
	j := s.job
	work := min(s.expectedTaskWork(), j.remainingWork)
	j.remainingWork -= work
	if p := k.ensurePool(j.Pool); p.openJobs[j.ID] != nil {
		j.addWork("", -work, p)
		if s.Label != "" {
			j.addWork(s.Label, -s.expectedTaskWork(), p)
		}
	}
}
