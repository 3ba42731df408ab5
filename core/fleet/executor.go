package fleet

import "strings"

// Executor is what an executor reports of itself.
type Executor struct {
	ID         string
	Pool       string
	Address    string
	DataCentre string
	// Draining executors leave and take no new work.
	Draining bool
	Room     Vector
	// Labels name the executor's kind and its rack.
	Labels []string
	// Born is the Unix time of the incarnation's start in milliseconds.
	Born int64
}

// Rack returns the executor's rack: its last label with a dash, or nothing.
func (e *Executor) Rack() string {
	for i := len(e.Labels) - 1; i >= 0; i-- {
		if strings.Contains(e.Labels[i], "-") {
			return e.Labels[i]
		}
	}
	return ""
}

// HasLabel reports whether the executor carries a label.
func (e *Executor) HasLabel(label string) bool {
	for _, l := range e.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// VMState is the state of a VM in the platform's list.
type VMState string

// The states of a VM.
const (
	VMUp     VMState = "up"
	VMMoving VMState = "moving"
	VMUpkeep VMState = "upkeep"
	VMDown   VMState = "down"
)

// VM is one entry of the platform's list of VMs.
type VM struct {
	Name       string
	Pool       string
	State      VMState
	DataCentre string
	Room       Vector
	Labels     []string
	// Executor is the id of the VM's executor, empty while there is none.
	Executor string
}

// Wave asks that each of its VMs has its maintenance in time.
type Wave struct {
	Number int
	VMs    []string
	// Within is how long the wave may take in seconds.
	Within float64
	// Cap is how many of its VMs may be down for maintenance at once.
	Cap int
}
