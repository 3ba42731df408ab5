package job

import "jacinthwind/core/suspicion"

// Progress is the stored progress of a job.
type Progress struct {
	State State `json:"state"`
	// EndedMs is the Unix time in milliseconds at which the state became final.
	EndedMs int64 `json:"ended_ms,omitempty"`
	// Tasks holds an entry for each task that had a run that ended or is under suspicion.
	Tasks []TaskProgress `json:"tasks,omitempty"`
}

// TaskProgress is the stored progress of one task.
type TaskProgress struct {
	Occurrence int  `json:"k,omitempty"`
	Step       int  `json:"s,omitempty"`
	Index      int  `json:"i,omitempty"`
	Done       bool `json:"d,omitempty"`
	// Failed lists the numbers of the runs that failed. They are listed rather
	// than counted since the end of a run may be seen more than once and in any
	// order.
	Failed []int `json:"f,omitempty"`
	// Run is the highest number of a run that ended.
	Run int `json:"r,omitempty"`
	// Checkpoint is the latest checkpoint, empty if there is none.
	Checkpoint string `json:"c,omitempty"`
	// Crashes holds the crashes of executors under the task, nil if there were none.
	Crashes *suspicion.Record `json:"x,omitempty"`
}
