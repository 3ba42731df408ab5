package config

import "jacinthwind/common/defaults"

// Document is the whole configuration: the register and the rules.
type Document struct {
	Register Register `json:"register"`
	Rules    Rules    `json:"rules"`
}

// Merge adds the entries of other; its scheduling rules replace those of d
// where it has any.
func (d *Document) Merge(other *Document) {
	r, o := &d.Register, &other.Register
	r.DataCentres = append(r.DataCentres, o.DataCentres...)
	r.Pools = append(r.Pools, o.Pools...)
	r.Queues = append(r.Queues, o.Queues...)
	r.VMs = append(r.VMs, o.VMs...)
	r.Teams = append(r.Teams, o.Teams...)
	r.Keys = append(r.Keys, o.Keys...)
	d.Rules.DataCentresOut = append(d.Rules.DataCentresOut, other.Rules.DataCentresOut...)
	if other.Rules.Scheduling != (Scheduling{}) {
		d.Rules.Scheduling = other.Rules.Scheduling
	}
}

// Register lists what exists.
type Register struct {
	DataCentres []DataCentre `json:"data_centres,omitempty"`
	Pools       []Pool       `json:"pools,omitempty"`
	Queues      []Queue      `json:"queues,omitempty"`
	VMs         []VM         `json:"vms,omitempty"`
	Teams       []Team       `json:"teams,omitempty"`
	Keys        []Key        `json:"keys,omitempty"`
}

// DataCentre is a failure domain that operators take out of service as a whole.
type DataCentre struct {
	Name   string `json:"name"`
	Region string `json:"region,omitempty"`
}

// Pool is a set of VMs that serve the same queues.
type Pool struct {
	Name string `json:"name"`
	// Spare marks the pool whose VMs may be lent to others.
	Spare bool `json:"spare,omitempty"`
}

// Queue is a name under which callers hand in requests.
type Queue struct {
	Name string `json:"name"`
	Pool string `json:"pool"`
	// Open queues take requests without a key.
	Open bool `json:"open,omitempty"`
}

// VM is a machine of the fleet with the executor that runs on it.
type VM struct {
	Name       string   `json:"name"`
	Pool       string   `json:"pool"`
	DataCentre string   `json:"data_centre"`
	Rack       string   `json:"rack"`
	Executor   Executor `json:"executor"`
	// Leaving marks a VM that gets no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// Executor is the process on a VM that runs tasks.
type Executor struct {
	// Address is an IP address with a port.
	Address string `json:"address"`
	// Slots is the number of tasks that run at once.
	Slots int `json:"slots"`
	// Connections is the number of connections that the executor accepts.
	Connections int `json:"connections"`
}

// Team is a customer that owns keys and is charged for its work.
type Team struct {
	Name string `json:"name"`
	// Share is the weight of the team when a pool is full.
	Share int `json:"share"`
	// Limit is the largest number of the team's tasks running over the fleet.
	Limit int `json:"limit"`
}

// Key lets its bearer hand in work for a team.
type Key struct {
	Name string `json:"name"`
	Team string `json:"team"`
	// SHA256 is the hexadecimal digest of the secret.
	SHA256 string `json:"sha256"`
}

// Rules steer how the register's machines are used.
type Rules struct {
	// DataCentresOut names the data centres that are out of service.
	DataCentresOut []string   `json:"data_centres_out,omitempty"`
	Scheduling     Scheduling `json:"scheduling,omitzero"`
}

// Scheduling holds the rules of queues, retries and quarantine.
type Scheduling struct {
	// MaxQueued is the largest number of requests that wait for one pool.
	MaxQueued int `json:"max_queued,omitempty"`
	// UrgentInARow is the number of urgent requests that start one after the
	// other while normal ones wait.
	UrgentInARow int `json:"urgent_in_a_row,omitempty"`
	// MaxAttempts is the largest number of attempts for one idempotent request.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// RetryPercent is the share of retries in percent of fresh requests.
	RetryPercent int `json:"retry_percent,omitempty"`
	// QuarantineAfter is the number of distinct requests in a row that an
	// executor fails before it is quarantined.
	QuarantineAfter int `json:"quarantine_after,omitempty"`
	// QuarantinePercent bounds the executors of a pool in quarantine.
	QuarantinePercent int `json:"quarantine_percent,omitempty"`
	// IDWindowS is the time in seconds for which settled requests are remembered.
	IDWindowS int `json:"id_window_s,omitempty"`
	// HoldUnplaceableS is the time in seconds for which a request waits for a
	// pool that has no executor in service.
	HoldUnplaceableS int `json:"hold_unplaceable_s,omitempty"`
}

// Defaults of the scheduling rules.
const (
	DefaultMaxQueued         = 20_000
	DefaultUrgentInARow      = 4
	DefaultMaxAttempts       = 3
	DefaultRetryPercent      = 10
	DefaultQuarantineAfter   = 5
	DefaultQuarantinePercent = 25
	DefaultIDWindowS         = 120
)

// WithDefaults returns s with every unset field replaced by its default.
func (s Scheduling) WithDefaults() Scheduling {
	defaults.Set(&s.MaxQueued, DefaultMaxQueued)
	defaults.Set(&s.UrgentInARow, DefaultUrgentInARow)
	defaults.Set(&s.MaxAttempts, DefaultMaxAttempts)
	defaults.Set(&s.RetryPercent, DefaultRetryPercent)
	defaults.Set(&s.QuarantineAfter, DefaultQuarantineAfter)
	defaults.Set(&s.QuarantinePercent, DefaultQuarantinePercent)
	defaults.Set(&s.IDWindowS, DefaultIDWindowS)
	return s
}
