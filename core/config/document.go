package config

import "jacinthwind/common/defaults"

// Document is the whole configuration: the register and the rules.
type Document struct {
	Register Register `json:"register"`
	Rules    Rules    `json:"rules"`
}

// Merge appends the entries of other to those of d. If other has scheduling
// rules, they replace those of d.
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

// Register lists the data centres, pools, queues, VMs, teams and keys.
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

// Queue is a name under which callers submit requests to a pool.
type Queue struct {
	Name string `json:"name"`
	Pool string `json:"pool"`
	// Open queues accept requests without a key.
	Open bool `json:"open,omitempty"`
}

// VM is a machine of the fleet with the executor that runs on it.
type VM struct {
	Name       string   `json:"name"`
	Pool       string   `json:"pool"`
	DataCentre string   `json:"data_centre"`
	Rack       string   `json:"rack"`
	Executor   Executor `json:"executor"`
	// Leaving VMs get no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// Executor is the process on a VM that runs tasks.
type Executor struct {
	// Address is an IP address with a port.
	Address string `json:"address"`
	// Slots is the largest number of tasks that run at once.
	Slots int `json:"slots"`
	// Connections is the largest number of connections that the executor accepts.
	Connections int `json:"connections"`
}

// Team is a client account that owns keys and is charged for its work.
type Team struct {
	Name string `json:"name"`
	// Share is the weight of the team when teams compete for a pool.
	Share int `json:"share"`
	// Limit is the largest number of the team's running tasks across the fleet.
	Limit int `json:"limit"`
}

// Key is a credential with which callers submit work for a team.
type Key struct {
	Name string `json:"name"`
	Team string `json:"team"`
	// SHA256 is the hexadecimal digest of the secret.
	SHA256 string `json:"sha256"`
}

// Rules control how the VMs of the register are used.
type Rules struct {
	// DataCentresOut names the data centres that are out of service.
	DataCentresOut []string   `json:"data_centres_out,omitempty"`
	Scheduling     Scheduling `json:"scheduling,omitzero"`
}

// Scheduling holds the rules for queues, retries and quarantine.
type Scheduling struct {
	// MaxQueued is the largest number of requests that wait for one pool.
	MaxQueued int `json:"max_queued,omitempty"`
	// UrgentInARow is the largest number of urgent requests that start in a row
	// while normal ones wait.
	UrgentInARow int `json:"urgent_in_a_row,omitempty"`
	// MaxAttempts is the largest number of attempts for one idempotent request.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// RetryPercent limits retries, in percent of new requests.
	RetryPercent int `json:"retry_percent,omitempty"`
	// QuarantineAfter is the number of distinct requests that an executor must fail
	// in a row to be quarantined.
	QuarantineAfter int `json:"quarantine_after,omitempty"`
	// QuarantinePercent limits the executors of a pool in quarantine, in percent.
	QuarantinePercent int `json:"quarantine_percent,omitempty"`
	// IDWindowS is the time in seconds for which the IDs of settled requests are
	// remembered.
	IDWindowS int `json:"id_window_s,omitempty"`
	// HoldUnplaceableS is the time in seconds for which a request waits for a
	// pool that has no executor in service.
	HoldUnplaceableS int `json:"hold_unplaceable_s,omitempty"`
}

// The defaults of the scheduling rules.
const (
	DefaultMaxQueued         = 20_000
	DefaultUrgentInARow      = 4
	DefaultMaxAttempts       = 3
	DefaultRetryPercent      = 10
	DefaultQuarantineAfter   = 5
	DefaultQuarantinePercent = 25
	DefaultIDWindowS         = 120
)

// WithDefaults returns s with every unset field set to its default, if it has
// one.
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
