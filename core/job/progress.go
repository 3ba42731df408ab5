package job

// Progress is what is stored of a job's way, beside the job itself.
type Progress struct {
	State State `json:"state"`
	// EndedMs is the Unix time at which the state became final.
	EndedMs int64 `json:"ended_ms,omitempty"`
	// Tasks holds an entry for each task that has ended at least once.
	Tasks []TaskProgress `json:"tasks,omitempty"`
}

// TaskProgress is what is stored of one task.
type TaskProgress struct {
	Occurrence int  `json:"k,omitempty"`
	Step       int  `json:"s,omitempty"`
	Index      int  `json:"i,omitempty"`
	Done       bool `json:"d,omitempty"`
	// Failed lists the runs that ended failed; ends are seen in any order and
	// more than once.
	Failed []int `json:"f,omitempty"`
	// Run is the highest run that ended.
	Run int `json:"r,omitempty"`
	// Saved is the latest checkpoint, empty where there is none.
	Saved string `json:"c,omitempty"`
}
