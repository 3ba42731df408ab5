package demo

import (
	"fmt"
	"strings"
	"time"

	"jacinthwind/core"
	"jacinthwind/standin/target"
)

// Promise holds a property that the system guarantees, with the number of cases
// that were checked and that violated it.
type Promise struct {
	Name     string `json:"name"`
	Tried    int    `json:"tried"`
	Violated int    `json:"violated"`
	// Example describes the first case that violated the promise.
	Example string `json:"example,omitempty"`
}

func (p *Promise) recordCase(held bool, example string) {
	p.Tried++
	if held {
		return
	}
	p.Violated++
	if p.Example == "" {
		p.Example = example
	}
}

// Held reports whether at least one case was checked and none violated the
// promise.
func (p *Promise) Held() bool {
	return p.Tried > 0 && p.Violated == 0
}

// checker checks the promises against the observations of callers and executors.
type checker struct {
	cluster  *cluster
	observed observations
	requests []*sentRequest
	starts   []target.Start
	// startCounts holds the number of starts by request ID.
	startCounts  map[string]int
	requestsByID map[string]*sentRequest
}

func newChecker(cl *cluster, observed observations, requests []*sentRequest) *checker {
	c := &checker{
		cluster: cl, observed: observed, requests: requests, starts: cl.recorder.Starts(),
		startCounts: make(map[string]int), requestsByID: make(map[string]*sentRequest),
	}
	for _, s := range c.starts {
		c.startCounts[s.RequestID]++
	}
	for _, s := range requests {
		c.requestsByID[s.id] = s
	}
	return c
}

func (c *checker) checkPromises() []Promise {
	return []Promise{
		c.checkAnsweredInTime(),
		c.checkOwnPool(),
		c.checkOwnTeam(),
		c.checkWithdrawnKey(),
		c.checkTeamLimit(),
		c.checkOutOfService(),
		c.checkWholeAnswer(),
		c.checkNotRunIsTrue(),
		c.checkAtMostOnce(),
		c.checkLeavingTarget(),
		c.checkGracefulStop(),
		c.checkConfigInForce(),
		c.checkInvariants(),
	}
}

func (c *checker) checkAnsweredInTime() Promise {
	p := Promise{Name: "every request is answered by its deadline"}
	for _, s := range c.requests {
		answeredAt := s.replies[0].endedAt
		p.recordCase(!answeredAt.After(s.sentAt.Add(requestDeadline+answerGrace)), s.id)
	}
	return p
}

func (c *checker) checkOwnPool() Promise {
	p := Promise{Name: "a VM runs work of its own pool only"}
	pools := make(map[string]string)
	for _, vm := range c.cluster.doc.Register.VMs {
		pools[vm.Name] = vm.Pool
	}
	for _, s := range c.starts {
		pool, _, _ := strings.Cut(s.Attempt, ".")
		p.recordCase(pools[s.VM] == pool, s.Attempt+" on "+s.VM)
	}
	return p
}

func (c *checker) checkOwnTeam() Promise {
	p := Promise{Name: "work is taken only for the team whose key came with it"}
	for _, s := range c.starts {
		if request, ok := c.requestsByID[s.RequestID]; ok {
			p.recordCase(request.team == s.Team, s.RequestID)
		}
	}
	return p
}

func (c *checker) checkWithdrawnKey() Promise {
	p := Promise{Name: "a withdrawn key stops working within 5 s"}
	for _, s := range c.requests {
		if s.keyWithdrawn {
			p.recordCase(c.startCounts[s.id] == 0, s.id)
		}
	}
	return p
}

func (c *checker) checkTeamLimit() Promise {
	p := Promise{Name: "no team has more running than its upper limit"}
	limits := make(map[string]int)
	for _, t := range teamSpecs {
		limits[t.name] = t.limit
	}
	for _, s := range c.starts {
		if s.Team != "" {
			p.recordCase(s.TeamRunning <= limits[s.Team], s.RequestID)
		}
	}
	return p
}

func (c *checker) checkOutOfService() Promise {
	p := Promise{Name: "no task starts in a data centre 5 s after it was taken out"}
	outSince := c.observed.outAt.Add(settleTime)
	for _, s := range c.starts {
		if s.At.After(outSince) && s.At.Before(c.observed.backAt) {
			p.recordCase(s.DataCentre != outDataCentre, s.RequestID)
		}
	}
	return p
}

func (c *checker) checkWholeAnswer() Promise {
	p := Promise{Name: "a caller gets the whole answer to its own request"}
	for _, s := range c.requests {
		for _, r := range s.replies {
			if r.outcome == core.Done {
				p.recordCase(r.complete, s.id)
			}
		}
	}
	return p
}

func (c *checker) checkNotRunIsTrue() Promise {
	p := Promise{Name: "a refusal that says not_run is true"}
	for _, s := range c.requests {
		if s.outcome() == core.NotRun {
			p.recordCase(c.startCounts[s.id] == 0, c.describeRequest(s))
		}
	}
	return p
}

// describeRequest returns all that was observed of one request.
func (c *checker) describeRequest(s *sentRequest) string {
	text := fmt.Sprintf("%s of team %q sent at %s, idempotent %t", s.id, s.team, s.sentAt.Format(clockFormat), s.idempotent)
	for _, r := range s.replies {
		text += fmt.Sprintf("; node %d from %s to %s: %s %s", r.node, r.sentAt.Format(clockFormat), r.endedAt.Format(clockFormat), r.outcome, r.reason)
	}
	for _, start := range c.starts {
		if start.RequestID == s.id {
			text += fmt.Sprintf("; start %s on %s at %s", start.Attempt, start.VM, start.At.Format(clockFormat))
		}
	}
	return text + fmt.Sprintf("; graceful stop from %s to %s, abrupt stop at %s",
		c.observed.stopStartedAt.Format(clockFormat), c.observed.stopEndedAt.Format(clockFormat), c.observed.killedAt.Format(clockFormat))
}

// clockFormat shows seconds and milliseconds.
const clockFormat = "05.000"

func (c *checker) checkAtMostOnce() Promise {
	p := Promise{Name: "a non-idempotent request runs at most once"}
	for _, s := range c.requests {
		if !s.idempotent {
			p.recordCase(c.startCounts[s.id] <= 1, c.describeRequest(s))
		}
	}
	return p
}

func (c *checker) checkLeavingTarget() Promise {
	p := Promise{Name: "a leaving target gets no new work after 5 s"}
	leavingSince := c.observed.leavingAt.Add(settleTime)
	for _, s := range c.starts {
		if s.At.After(leavingSince) && strings.HasPrefix(s.VM, "proofs-") {
			p.recordCase(s.VM != leavingVM, s.RequestID)
		}
	}
	return p
}

// checkGracefulStop checks the requests that were open at the node while it
// stopped.
func (c *checker) checkGracefulStop() Promise {
	p := Promise{Name: "a planned stop cuts off no request"}
	for _, s := range c.requests {
		for _, r := range s.replies {
			if r.node == stoppedNode && overlaps(r, c.observed.stopStartedAt, c.observed.stopEndedAt) {
				// A request whose deadline passes while it runs was not cut off by the stop.
				late := !r.endedAt.Before(s.sentAt.Add(requestDeadline))
				p.recordCase(!r.connectionLost && (r.outcome != core.Unknown || late), c.describeRequest(s))
			}
		}
	}
	p.recordCase(c.observed.stopErr == nil, formatError(c.observed.stopErr))
	return p
}

func overlaps(r reply, from, to time.Time) bool {
	return r.endedAt.After(from) && r.sentAt.Before(to)
}

func formatError(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func (c *checker) checkConfigInForce() Promise {
	p := Promise{Name: "an accepted configuration is in force everywhere within 7 s and never reverts"}
	for range c.observed.configDelays {
		p.recordCase(true, "")
	}
	for range c.observed.configLateCount {
		p.recordCase(false, "late")
	}
	p.recordCase(c.observed.configRevertCount == 0, "reverted")
	return p
}

func (c *checker) checkInvariants() Promise {
	p := Promise{Name: "no invariant inside the nodes was violated"}
	for _, n := range c.cluster.nodes {
		p.recordCase(n.Violations() == 0, n.Settings().Name)
	}
	return p
}
