package node

import (
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"jacinthwind/core/config"
	"jacinthwind/core/limit"
)

// Messages to a team's actor.
type (
	teamReport struct {
		report limit.Report
		reply  chan<- teamAnswer
	}
	teamAnswer struct {
		answer limit.Answer
		ok     bool
	}
	teamView struct {
		view *config.View
	}
	// teamFreeze asks for the ledger's state and stops granting, for a handover.
	teamFreeze struct {
		reply chan<- *limit.State
	}
	teamDump struct {
		reply chan<- *limit.State
	}
)

// teamActor hosts the ledger of one team's limit.
type teamActor struct {
	node   *Node
	team   string
	ledger *limit.Ledger
	frozen bool
}

// Receive implements actor.Actor.
func (t *teamActor) Receive(ctx actor.Context) {
	switch m := ctx.Message().(type) {
	case *teamReport:
		t.handleReport(m)
	case *teamView:
		team, _ := m.view.Team(t.team)
		t.ledger.SetLimit(team.Limit, listPoolNames(m.view))
	case *teamFreeze:
		t.frozen = true
		m.reply <- t.ledger.State()
	case *teamDump:
		m.reply <- t.ledger.State()
	}
	t.node.log.WriteNotes(t.ledger.TakeNotes())
}

// handleReport answers a pool's report, unless the ledger is frozen or the ownership
// has ended.
func (t *teamActor) handleReport(m *teamReport) {
	if t.frozen || !time.Now().Before(t.node.ownedUntil()) {
		m.reply <- teamAnswer{}
		return
	}
	answer, ok := t.ledger.HandleReport(time.Now(), m.report)
	m.reply <- teamAnswer{answer, ok}
}

// listPoolNames returns the names of all pools.
func listPoolNames(v *config.View) []string {
	names := make([]string, len(v.Register.Pools))
	for i, p := range v.Register.Pools {
		names[i] = p.Name
	}
	return names
}
