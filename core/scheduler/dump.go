package scheduler

import (
	"time"

	"jacinthwind/core"
)

// Dump is the state of a pool in the form shown to operators.
type Dump struct {
	Pool       string         `json:"pool"`
	Epoch      uint64         `json:"epoch"`
	Revision   int64          `json:"revision"`
	Frozen     bool           `json:"frozen,omitempty"`
	Reconciled bool           `json:"settled"`
	OwnedUntil time.Time      `json:"owned_until"`
	Queued     int            `json:"queued"`
	Records    int            `json:"records"`
	HeldBytes  int            `json:"held_bytes"`
	MeanRunMS  float64        `json:"mean_run_ms"`
	Counts     Counts         `json:"counts"`
	Teams      []TeamDump     `json:"teams"`
	Executors  []ExecutorDump `json:"executors"`
}

// TeamDump is the state of one team in a pool.
type TeamDump struct {
	Team        string  `json:"team"`
	Share       int     `json:"share"`
	Limit       int     `json:"limit"`
	Urgent      int     `json:"urgent"`
	Normal      int     `json:"normal"`
	Running     int     `json:"running"`
	OrphanSlots int     `json:"doubt,omitempty"`
	Held        int     `json:"held"`
	Target      int     `json:"target"`
	VirtualTime float64 `json:"virtual_time"`
}

// ExecutorDump is the state of one executor in a pool.
type ExecutorDump struct {
	VM          string `json:"vm"`
	DataCentre  string `json:"data_centre"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Running     int    `json:"running"`
	InService   bool   `json:"in_service"`
	Draining    bool   `json:"draining,omitempty"`
	Reconciled  bool   `json:"proved"`
	Quarantined bool   `json:"quarantined,omitempty"`
	// FailureScore is the sum of the weights of the failures in a row.
	FailureScore float64 `json:"failure_score,omitempty"`
}

// Dump returns the kernel's state.
func (k *Kernel) Dump() Dump {
	d := Dump{
		Pool: k.pool, Epoch: k.epoch, Revision: k.view.Revision, Frozen: k.frozen, Reconciled: k.reconciled,
		OwnedUntil: k.ownedUntil, Queued: k.queued, Records: len(k.tasks), HeldBytes: k.heldAnswerBytes,
		MeanRunMS: k.meanRunSeconds * 1000, Counts: k.counts,
	}
	for _, t := range k.sortedTeams() {
		d.Teams = append(d.Teams, t.dump())
	}
	for _, e := range k.executors {
		d.Executors = append(d.Executors, e.dump())
	}
	return d
}

func (t *team) dump() TeamDump {
	return TeamDump{
		Team: t.Name, Share: t.Share, Limit: t.limit,
		Urgent: t.queues[core.Urgent].length, Normal: t.queues[core.Normal].length,
		Running: t.running, OrphanSlots: t.orphanSlots, Held: t.grant.held, Target: t.grant.target,
		VirtualTime: t.VirtualTime,
	}
}

func (e *executor) dump() ExecutorDump {
	return ExecutorDump{
		VM: e.Name, DataCentre: e.DataCentre, Address: e.address, Slots: e.Slots, Running: e.Running,
		InService: e.inService, Draining: e.draining, Reconciled: e.reconciled,
		Quarantined: e.health.quarantined, FailureScore: e.health.score,
	}
}
