package demo

import (
	"fmt"
	"strings"
	"time"

	"jacinthwind/core"
	"jacinthwind/standin/target"
)

// Promise is one property of the brief with the cases that tried it.
type Promise struct {
	Name     string `json:"name"`
	Tried    int    `json:"tried"`
	Violated int    `json:"violated"`
	// Example names one case that violated it.
	Example string `json:"example,omitempty"`
}

func (p *Promise) try(held bool, example string) {
	p.Tried++
	if held {
		return
	}
	p.Violated++
	if p.Example == "" {
		p.Example = example
	}
}

// Held reports whether the promise was tried and never violated.
func (p *Promise) Held() bool {
	return p.Tried > 0 && p.Violated == 0
}

// judge compares what the callers and the executors saw.
type judge struct {
	fleet  *fleet
	marks  marks
	sent   []*sent
	starts []target.Start
	// startsOf counts the starts by request id.
	startsOf map[string]int
	byID     map[string]*sent
}

func newJudge(f *fleet, m marks, all []*sent) *judge {
	j := &judge{
		fleet: f, marks: m, sent: all, starts: f.recorder.Starts(),
		startsOf: make(map[string]int), byID: make(map[string]*sent),
	}
	for _, s := range j.starts {
		j.startsOf[s.RequestID]++
	}
	for _, s := range all {
		j.byID[s.id] = s
	}
	return j
}

func (j *judge) promises() []Promise {
	return []Promise{
		j.answeredInTime(),
		j.onePool(),
		j.ownTeam(),
		j.withdrawnKey(),
		j.teamLimit(),
		j.outOfService(),
		j.wholeAnswer(),
		j.notRunIsTrue(),
		j.atMostOnce(),
		j.leavingTarget(),
		j.gracefulStop(),
		j.configInForce(),
		j.invariants(),
	}
}

func (j *judge) answeredInTime() Promise {
	p := Promise{Name: "every request is answered by its deadline"}
	for _, s := range j.sent {
		last := s.replies[0].endedAt
		p.try(!last.After(s.at.Add(requestDeadline+answerGrace)), s.id)
	}
	return p
}

func (j *judge) onePool() Promise {
	p := Promise{Name: "a VM runs work of its own pool only"}
	pools := make(map[string]string)
	for _, vm := range j.fleet.doc.Register.VMs {
		pools[vm.Name] = vm.Pool
	}
	for _, s := range j.starts {
		pool, _, _ := strings.Cut(s.Attempt, ".")
		p.try(pools[s.VM] == pool, s.Attempt+" on "+s.VM)
	}
	return p
}

func (j *judge) ownTeam() Promise {
	p := Promise{Name: "work is taken only for the team whose key came with it"}
	for _, s := range j.starts {
		if sent, ok := j.byID[s.RequestID]; ok {
			p.try(sent.team == s.Team, s.RequestID)
		}
	}
	return p
}

func (j *judge) withdrawnKey() Promise {
	p := Promise{Name: "a withdrawn key stops working within 5 s"}
	for _, s := range j.sent {
		if s.withdrawn {
			p.try(j.startsOf[s.id] == 0, s.id)
		}
	}
	return p
}

func (j *judge) teamLimit() Promise {
	p := Promise{Name: "no team has more running than its upper limit"}
	limits := make(map[string]int)
	for _, t := range teamSpecs {
		limits[t.name] = t.limit
	}
	for _, s := range j.starts {
		if s.Team != "" {
			p.try(s.TeamRunning <= limits[s.Team], s.RequestID)
		}
	}
	return p
}

func (j *judge) outOfService() Promise {
	p := Promise{Name: "no task starts in a data centre 5 s after it was taken out"}
	from := j.marks.out.Add(settleTime)
	for _, s := range j.starts {
		if s.At.After(from) && s.At.Before(j.marks.back) {
			p.try(s.DataCentre != outDataCentre, s.RequestID)
		}
	}
	return p
}

func (j *judge) wholeAnswer() Promise {
	p := Promise{Name: "a caller gets the whole answer to its own request"}
	for _, s := range j.sent {
		for _, r := range s.replies {
			if r.outcome == core.Done {
				p.try(r.whole, s.id)
			}
		}
	}
	return p
}

func (j *judge) notRunIsTrue() Promise {
	p := Promise{Name: "a refusal that says not_run is true"}
	for _, s := range j.sent {
		if s.outcome() == core.NotRun {
			p.try(j.startsOf[s.id] == 0, j.describe(s))
		}
	}
	return p
}

// describe tells everything about one request.
func (j *judge) describe(s *sent) string {
	text := fmt.Sprintf("%s of team %q sent at %s, idempotent %t", s.id, s.team, s.at.Format(clock), s.idempotent)
	for _, r := range s.replies {
		text += fmt.Sprintf("; node %d from %s to %s: %s %s", r.node, r.sentAt.Format(clock), r.endedAt.Format(clock), r.outcome, r.reason)
	}
	for _, start := range j.starts {
		if start.RequestID == s.id {
			text += fmt.Sprintf("; start %s on %s at %s", start.Attempt, start.VM, start.At.Format(clock))
		}
	}
	return text + fmt.Sprintf("; stop from %s to %s, kill at %s",
		j.marks.stopBegan.Format(clock), j.marks.stopEnded.Format(clock), j.marks.killed.Format(clock))
}

const clock = "05.000"

func (j *judge) atMostOnce() Promise {
	p := Promise{Name: "a non-idempotent request runs at most once"}
	for _, s := range j.sent {
		if !s.idempotent {
			p.try(j.startsOf[s.id] <= 1, j.describe(s))
		}
	}
	return p
}

func (j *judge) leavingTarget() Promise {
	p := Promise{Name: "a leaving target gets no new work after 5 s"}
	from := j.marks.leaving.Add(settleTime)
	for _, s := range j.starts {
		if s.At.After(from) && strings.HasPrefix(s.VM, "proofs-") {
			p.try(s.VM != leavingVM, s.RequestID)
		}
	}
	return p
}

// gracefulStop looks at the requests that the stopping node held.
func (j *judge) gracefulStop() Promise {
	p := Promise{Name: "a planned stop cuts off no request"}
	for _, s := range j.sent {
		for _, r := range s.replies {
			if r.node == gracefulNode && overlaps(r, j.marks.stopBegan, j.marks.stopEnded) {
				// A request whose own deadline passes while it runs is not cut off.
				late := !r.endedAt.Before(s.at.Add(requestDeadline))
				p.try(!r.cut && (r.outcome != core.Unknown || late), j.describe(s))
			}
		}
	}
	p.try(j.marks.stopErr == nil, errorText(j.marks.stopErr))
	return p
}

func overlaps(r reply, from, to time.Time) bool {
	return r.endedAt.After(from) && r.sentAt.Before(to)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func (j *judge) configInForce() Promise {
	p := Promise{Name: "an accepted configuration is in force everywhere within 7 s and never reverts"}
	for range j.marks.configDelays {
		p.try(true, "")
	}
	for range j.marks.configLate {
		p.try(false, "late")
	}
	p.try(j.marks.configReverts == 0, "reverted")
	return p
}

func (j *judge) invariants() Promise {
	p := Promise{Name: "no invariant inside the nodes was violated"}
	for _, n := range j.fleet.nodes {
		p.try(n.Violations() == 0, n.Settings().Name)
	}
	return p
}
