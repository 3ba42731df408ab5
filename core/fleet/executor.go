package fleet

import "strings"

// Executor is an executor as it registers itself in the store.
type Executor struct {
	ID         string
	Pool       string
	Address    string
	DataCentre string
	// Draining executors are about to leave and accept no new work.
	Draining bool
	Capacity Vector
	// Labels name the executor's kind and rack.
	Labels []string
	// StartedMs is the Unix time in milliseconds at which the incarnation started.
	StartedMs int64
}

// Rack returns the executor's rack, which is its last label that contains a
// dash, or "" if it has none.
func (e *Executor) Rack() string {
	for i := len(e.Labels) - 1; i >= 0; i-- {
		if strings.Contains(e.Labels[i], "-") {
			return e.Labels[i]
		}
	}
	return ""
}

// HasLabel reports whether the executor has the label.
func (e *Executor) HasLabel(label string) bool {
	for _, l := range e.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// VMState is the state of a VM in the list of a core.VMClient.
type VMState string

// The states of a VM.
const (
	VMUp          VMState = "up"
	VMMoving      VMState = "moving"
	VMMaintenance VMState = "upkeep"
	VMDown        VMState = "down"
)

// VM is one entry of the platform's list of VMs.
type VM struct {
	Name       string
	Pool       string
	State      VMState
	DataCentre string
	Capacity   Vector
	Labels     []string
	// Executor is the id of the VM's executor, empty while there is none.
	Executor string
}

// Wave is a request for maintenance of a set of VMs within a time limit.
type Wave struct {
	Number int
	VMs    []string
	// TimeLimitS is the time limit of the wave in seconds.
	TimeLimitS float64
	// MaxDown is the largest number of its VMs that may be down at once.
	MaxDown int
}
