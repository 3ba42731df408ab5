package demo

import (
	"context"
	"fmt"
	"sync"
	"time"

	"jacinthwind/core/config"
	"jacinthwind/io/operator"
)

// settleTime is the time within which a change must take effect.
const settleTime = 5 * time.Second

// Times of the scenario's steps, as fractions of the demo's duration.
const (
	atWithdraw     = 0.15
	atTakeOut      = 0.20
	atLeaving      = 0.25
	atGracefulStop = 0.60
	atBringBack    = 0.65
	atKill         = 0.75
)

const (
	withdrawnTeam = "dispatch"
	outDataCentre = "dc2"
	leavingVM     = "proofs-1"
	stoppedNode   = 1
	killedNode    = 2
	operatorNode  = 0
)

// observations holds the times of the scenario's steps and how configuration
// changes took effect.
type observations struct {
	withdrawnAt   time.Time
	outAt         time.Time
	backAt        time.Time
	leavingAt     time.Time
	stopStartedAt time.Time
	stopEndedAt   time.Time
	stopErr       error
	killedAt      time.Time
	configDelays  []time.Duration
	// configRevertCount counts the changes of a node back to an earlier revision,
	// configLateCount the changes that were not in force within maxConfigDelay.
	configRevertCount,
	configLateCount int
}

// scenario runs the planned steps against the cluster.
type scenario struct {
	cluster   *cluster
	load      *loadGenerator
	duration  time.Duration
	startedAt time.Time
	client    operator.Client
	progress  func(string)

	mu       sync.Mutex
	observed observations
}

// run runs each step at its time.
func (s *scenario) run(ctx context.Context) error {
	s.client = operator.Client{Address: s.cluster.nodes[operatorNode].Settings().OperatorAddress}
	steps := []struct {
		at   float64
		name string
		do   func(context.Context) error
	}{
		{atWithdraw, "withdrawing the key of team " + withdrawnTeam, s.withdrawKey},
		{atTakeOut, "taking data centre " + outDataCentre + " out of service", s.takeDataCentreOut},
		{atLeaving, "marking VM " + leavingVM + " as leaving", s.markVMLeaving},
		{atGracefulStop, "stopping node entry-2 gracefully", s.stopNodeGracefully},
		{atBringBack, "bringing data centre " + outDataCentre + " back", s.bringDataCentreBack},
		{atKill, "stopping node entry-3 abruptly", s.killNode},
	}
	for _, step := range steps {
		wait := time.Until(s.startedAt.Add(time.Duration(step.at * float64(s.duration))))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait):
		}
		s.progress(step.name)
		if err := step.do(ctx); err != nil {
			return fmt.Errorf("%s: %w", step.name, err)
		}
	}
	return nil
}

// applyChange applies operations to the current revision and measures how long
// they take to be in force on all running nodes.
func (s *scenario) applyChange(ctx context.Context, ops ...config.Operation) error {
	current, err := s.client.Config(ctx)
	if err != nil {
		return err
	}
	reply, err := s.client.Apply(ctx, operator.ChangeQuery{Author: "demo", BaseRevision: current.Revision, Operations: ops})
	if err != nil {
		return err
	}
	s.measureConfigDelay(reply.Revision)
	return nil
}

func (s *scenario) measureConfigDelay(revision int64) {
	accepted := time.Now()
	for time.Since(accepted) < maxConfigDelay {
		if s.isInForceEverywhere(revision) {
			s.observed.configDelays = append(s.observed.configDelays, time.Since(accepted))
			return
		}
		time.Sleep(pollInterval)
	}
	s.observed.configLateCount++
}

// maxConfigDelay is the time within which an accepted configuration must be in
// force on all running nodes.
const maxConfigDelay = 7 * time.Second

func (s *scenario) isInForceEverywhere(revision int64) bool {
	for i, n := range s.cluster.nodes {
		if !s.cluster.isStopped(i) && n.NodeStatus().Revision < revision {
			return false
		}
	}
	return true
}

func (s *scenario) withdrawKey(ctx context.Context) error {
	err := s.applyChange(ctx, config.Operation{Kind: config.KindKey, Name: withdrawnTeam + "-1"})
	s.observed.withdrawnAt = time.Now()
	s.load.withdrawnAt.Store(s.observed.withdrawnAt.UnixNano())
	return err
}

func (s *scenario) takeDataCentreOut(ctx context.Context) error {
	err := s.applyChange(ctx, config.Operation{
		Kind: config.KindDataCentreOut, Name: outDataCentre, Value: []byte(`"` + outDataCentre + `"`),
	})
	s.observed.outAt = time.Now()
	return err
}

func (s *scenario) bringDataCentreBack(ctx context.Context) error {
	s.observed.backAt = time.Now()
	return s.applyChange(ctx, config.Operation{Kind: config.KindDataCentreOut, Name: outDataCentre})
}

func (s *scenario) markVMLeaving(ctx context.Context) error {
	for _, vm := range s.cluster.doc.Register.VMs {
		if vm.Name != leavingVM {
			continue
		}
		vm.Leaving = true
		op, err := config.NewPut(config.KindVM, vm.Name, vm)
		if err != nil {
			return err
		}
		err = s.applyChange(ctx, op)
		s.observed.leavingAt = time.Now()
		return err
	}
	return fmt.Errorf("find VM %q: not in the register", leavingVM)
}

func (s *scenario) stopNodeGracefully(ctx context.Context) error {
	s.observed.stopStartedAt = time.Now()
	s.observed.stopErr = s.cluster.nodes[stoppedNode].Stop(ctx)
	s.observed.stopEndedAt = time.Now()
	s.cluster.markStopped(stoppedNode)
	return nil
}

func (s *scenario) killNode(context.Context) error {
	s.cluster.markStopped(killedNode)
	s.observed.killedAt = time.Now()
	s.cluster.nodes[killedNode].Kill()
	return nil
}

// watchRevisions counts how often the configuration of a node reverts to an
// earlier revision.
func (s *scenario) watchRevisions(ctx context.Context) {
	latest := make([]int64, len(s.cluster.nodes))
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for i, n := range s.cluster.nodes {
			revision := n.NodeStatus().Revision
			if revision < latest[i] {
				s.mu.Lock()
				s.observed.configRevertCount++
				s.mu.Unlock()
			}
			latest[i] = revision
		}
	}
}
