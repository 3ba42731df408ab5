package cell

import "jacinthwind/core/job"

// The memory of jobs, in bytes.
const (
	jobStateBytes = 2048
	endedJobBytes = 512
	specStepBytes = 240
	stepRunBytes  = 336
	taskBytes     = 224
	// smallJobBytes is the size up to which jobs are accepted while there is any memory
	// left, and largeJobPermille the part of the memory, in thousandths, beyond which
	// larger ones are refused.
	smallJobBytes    = 128 << 10
	largeJobPermille = 875
)

// jobBytes returns an upper limit of the memory that a job takes while it is open.
func jobBytes(j *job.Job) int64 {
	tasks, bytes := 0, int64(jobStateBytes+len(j.Spec))
	for i := range j.Steps {
		s := &j.Steps[i]
		tasks += s.Count
		bytes += int64(specStepBytes + len(s.Label) + len(s.Rack) + len(s.Image) + 2*8*len(s.After))
	}
	return bytes + int64(j.Occurrences())*int64(len(j.Steps)*stepRunBytes+tasks*taskBytes)
}

// accountJob records the memory that a job takes from now on.
func (k *Kernel) accountJob(j *jobState, bytes int64) {
	k.heldBytes += bytes - j.heldBytes
	j.heldBytes = bytes
}

// admitToMemory accepts or refuses a new job by the memory that all jobs take.
func (k *Kernel) admitToMemory(j *job.Job) Answer {
	if k.MaxJobBytes == 0 {
		return Answer{Verdict: Accepted}
	}
	needed, limit := jobBytes(j), k.MaxJobBytes
	if needed > smallJobBytes {
		limit = limit / 1000 * largeJobPermille
	}
	switch {
	case needed > limit:
		return Answer{Verdict: Unservable, Reason: "the job takes more memory than an owner has for all jobs"}
	case k.heldBytes+needed > limit:
		return Answer{Verdict: Refused, RetryAfter: maxRetryAfter, Reason: "there is no memory for another job of this size"}
	}
	return Answer{Verdict: Accepted}
}
