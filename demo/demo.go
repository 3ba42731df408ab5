package demo

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"jacinthwind/core"
)

// DefaultDuration is the default duration, without starting and finishing.
const DefaultDuration = 20 * time.Second

// MinDuration is the shortest duration that leaves every change time to take
// effect.
const MinDuration = 16 * time.Second

// Options holds the options of Run.
type Options struct {
	Duration time.Duration
	Seed     uint64
	Log      *zap.Logger
	// Progress is called with each step as it begins; it may be nil.
	Progress func(string)
}

// Requests holds the number of requests by outcome as their callers know it.
type Requests struct {
	Sent    int `json:"sent"`
	Done    int `json:"done"`
	NotRun  int `json:"not_run"`
	Unknown int `json:"unknown"`
}

func (r *Requests) countOutcome(o core.Outcome) {
	r.Sent++
	switch o {
	case core.Done:
		r.Done++
	case core.NotRun:
		r.NotRun++
	default:
		r.Unknown++
	}
}

// TeamReport holds the results of one team.
type TeamReport struct {
	Requests
	Team       string  `json:"team"`
	Share      int     `json:"share"`
	Limit      int     `json:"limit"`
	MaxRunning int     `json:"max_running"`
	P50MS      float64 `json:"p50_ms"`
	P99MS      float64 `json:"p99_ms"`
}

// Report holds the results of the demo.
type Report struct {
	Promises []Promise    `json:"promises"`
	Requests Requests     `json:"requests"`
	Teams    []TeamReport `json:"teams"`
	Seed     uint64       `json:"seed"`
}

// Held reports whether every promise was tried and none was violated.
func (r *Report) Held() bool {
	for i := range r.Promises {
		if !r.Promises[i].Held() {
			return false
		}
	}
	return true
}

// Run starts the system, sends load while it injects failures, and reports which
// promises held.
func Run(ctx context.Context, o Options) (*Report, error) {
	if o.Duration < MinDuration {
		return nil, fmt.Errorf("run demo for %v: too short for the changes to take effect, the minimum is %v", o.Duration, MinDuration)
	}
	if o.Progress == nil {
		o.Progress = func(string) {}
	}
	o.Progress("starting the simulated services and three nodes")
	cl, err := newCluster(o.Log)
	defer cl.close()
	if err != nil {
		return nil, err
	}
	l := newLoadGenerator(cl, o.Seed)
	l.withdrawnTeam = withdrawnTeam
	s := &scenario{cluster: cl, load: l, duration: o.Duration, startedAt: time.Now(), progress: o.Progress}
	if err := s.runWithLoad(ctx); err != nil {
		return nil, err
	}
	o.Progress("checking the promises against the records of callers and executors")
	return newReport(o.Seed, cl, l, s), nil
}

// runWithLoad runs the scenario while the load generator sends requests.
func (s *scenario) runWithLoad(ctx context.Context) error {
	loadCtx, cancel := context.WithTimeout(ctx, s.duration)
	defer cancel()
	loadDone := make(chan struct{})
	go func() {
		defer close(loadDone)
		s.load.run(loadCtx)
	}()
	watchDone := make(chan struct{})
	watchCtx, stopWatching := context.WithCancel(ctx)
	go func() {
		defer close(watchDone)
		s.watchRevisions(watchCtx)
	}()
	err := s.run(ctx)
	if err != nil {
		cancel()
	}
	<-loadDone
	stopWatching()
	<-watchDone
	return err
}

func newReport(seed uint64, cl *cluster, l *loadGenerator, s *scenario) *Report {
	c := newChecker(cl, s.observed, l.requests)
	r := &Report{Promises: c.checkPromises(), Seed: seed}
	teams := make(map[string]*TeamReport)
	for _, t := range teamSpecs {
		teams[t.name] = &TeamReport{Team: t.name, Share: t.share, Limit: t.limit}
	}
	for _, s := range l.requests {
		r.Requests.countOutcome(s.outcome())
		if t, ok := teams[s.team]; ok {
			t.countOutcome(s.outcome())
		}
	}
	for _, start := range c.starts {
		if t, ok := teams[start.Team]; ok {
			t.MaxRunning = max(t.MaxRunning, start.TeamRunning)
		}
	}
	for _, t := range teamSpecs {
		teamReport := teams[t.name]
		teamReport.P50MS = float64(l.latency[t.name].ValueAtQuantile(50)) / 1000
		teamReport.P99MS = float64(l.latency[t.name].ValueAtQuantile(99)) / 1000
		r.Teams = append(r.Teams, *teamReport)
	}
	return r
}
