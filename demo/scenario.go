package demo

import (
	"context"
	"fmt"
	"sync"
	"time"

	"jacinthwind/core/config"
	"jacinthwind/io/operator"
)

// settleTime is the time within which a change has to be in effect.
const settleTime = 5 * time.Second

// The parts of the demo's duration at which things happen.
const (
	atWithdraw     = 0.15
	atOut          = 0.20
	atLeaving      = 0.25
	atGracefulStop = 0.60
	atBack         = 0.65
	atKill         = 0.75
)

const (
	withdrawnTeam = "dispatch"
	outDataCentre = "dc2"
	leavingVM     = "proofs-1"
	gracefulNode  = 1
	killedNode    = 2
	operatorNode  = 0
)

// marks are the moments at which the scenario acted.
type marks struct {
	withdrawn    time.Time
	out          time.Time
	back         time.Time
	leaving      time.Time
	stopBegan    time.Time
	stopEnded    time.Time
	stopErr      error
	killed       time.Time
	configDelays []time.Duration
	configReverts,
	configLate int
}

// scenario makes the planned faults happen.
type scenario struct {
	fleet  *fleet
	load   *load
	length time.Duration
	began  time.Time
	client operator.Client
	report func(string)

	mu    sync.Mutex
	marks marks
}

// run carries out all steps.
func (s *scenario) run(ctx context.Context) error {
	s.client = operator.Client{Address: s.fleet.nodes[operatorNode].Settings().OperatorAddress}
	steps := []struct {
		at   float64
		name string
		do   func(context.Context) error
	}{
		{atWithdraw, "withdrawing the key of team " + withdrawnTeam, s.withdrawKey},
		{atOut, "taking data centre " + outDataCentre + " out of service", s.takeOut},
		{atLeaving, "marking VM " + leavingVM + " as leaving", s.markLeaving},
		{atGracefulStop, "stopping node entry-2 gracefully", s.stopNode},
		{atBack, "bringing data centre " + outDataCentre + " back", s.bringBack},
		{atKill, "stopping node entry-3 abruptly", s.killNode},
	}
	for _, step := range steps {
		wait := time.Until(s.began.Add(time.Duration(step.at * float64(s.length))))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait):
		}
		s.report(step.name)
		if err := step.do(ctx); err != nil {
			return fmt.Errorf("%s: %w", step.name, err)
		}
	}
	return nil
}

// change applies operations based on the present revision and measures how
// long they take to be in force everywhere.
func (s *scenario) change(ctx context.Context, ops ...config.Operation) error {
	current, err := s.client.Config(ctx)
	if err != nil {
		return err
	}
	reply, err := s.client.Apply(ctx, operator.ChangeQuery{Author: "demo", BaseRevision: current.Revision, Operations: ops})
	if err != nil {
		return err
	}
	s.measureInForce(reply.Revision)
	return nil
}

func (s *scenario) measureInForce(revision int64) {
	accepted := time.Now()
	for time.Since(accepted) < inForceBound {
		if s.allInForce(revision) {
			s.marks.configDelays = append(s.marks.configDelays, time.Since(accepted))
			return
		}
		time.Sleep(readyPoll)
	}
	s.marks.configLate++
}

const inForceBound = 7 * time.Second

func (s *scenario) allInForce(revision int64) bool {
	for i, n := range s.fleet.nodes {
		if !s.fleet.isDead(i) && n.NodeStatus().Revision < revision {
			return false
		}
	}
	return true
}

func (s *scenario) withdrawKey(ctx context.Context) error {
	err := s.change(ctx, config.Operation{Kind: config.KindKey, Name: withdrawnTeam + "-1"})
	s.marks.withdrawn = time.Now()
	s.load.withdrawnAt.Store(s.marks.withdrawn.UnixNano())
	return err
}

func (s *scenario) takeOut(ctx context.Context) error {
	err := s.change(ctx, config.Operation{
		Kind: config.KindDataCentreOut, Name: outDataCentre, Value: []byte(`"` + outDataCentre + `"`),
	})
	s.marks.out = time.Now()
	return err
}

func (s *scenario) bringBack(ctx context.Context) error {
	s.marks.back = time.Now()
	return s.change(ctx, config.Operation{Kind: config.KindDataCentreOut, Name: outDataCentre})
}

func (s *scenario) markLeaving(ctx context.Context) error {
	for _, vm := range s.fleet.doc.Register.VMs {
		if vm.Name != leavingVM {
			continue
		}
		vm.Leaving = true
		op, err := config.Put(config.KindVM, vm.Name, vm)
		if err != nil {
			return err
		}
		err = s.change(ctx, op)
		s.marks.leaving = time.Now()
		return err
	}
	return fmt.Errorf("VM %s is not in the register", leavingVM)
}

func (s *scenario) stopNode(ctx context.Context) error {
	s.marks.stopBegan = time.Now()
	s.marks.stopErr = s.fleet.nodes[gracefulNode].Stop(ctx)
	s.marks.stopEnded = time.Now()
	s.fleet.markDead(gracefulNode)
	return nil
}

func (s *scenario) killNode(context.Context) error {
	s.fleet.markDead(killedNode)
	s.marks.killed = time.Now()
	s.fleet.nodes[killedNode].Kill()
	return nil
}

// watchRevisions counts how often a node's configuration went back.
func (s *scenario) watchRevisions(ctx context.Context) {
	latest := make([]int64, len(s.fleet.nodes))
	ticker := time.NewTicker(readyPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for i, n := range s.fleet.nodes {
			revision := n.NodeStatus().Revision
			if revision < latest[i] {
				s.mu.Lock()
				s.marks.configReverts++
				s.mu.Unlock()
			}
			latest[i] = revision
		}
	}
}
