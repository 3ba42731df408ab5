package demo

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"jacinthwind/core"
)

// DefaultLength is the demo's duration without the time to start and finish.
const DefaultLength = 20 * time.Second

// MinLength leaves every change the time to take effect.
const MinLength = 16 * time.Second

// Options choose how the demo runs.
type Options struct {
	Length time.Duration
	Seed   uint64
	Log    *zap.Logger
	// Progress is told what happens, nil for nobody.
	Progress func(string)
}

// Requests counts the requests by what their callers know.
type Requests struct {
	Sent    int `json:"sent"`
	Done    int `json:"done"`
	NotRun  int `json:"not_run"`
	Unknown int `json:"unknown"`
}

func (r *Requests) add(o core.Outcome) {
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

// TeamReport is one team's line of the report.
type TeamReport struct {
	Requests
	Team       string  `json:"team"`
	Share      int     `json:"share"`
	Limit      int     `json:"limit"`
	MaxRunning int     `json:"max_running"`
	P50MS      float64 `json:"p50_ms"`
	P99MS      float64 `json:"p99_ms"`
}

// Report is the result of the demo.
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

// Run starts the system, makes it fail and reports what held.
func Run(ctx context.Context, o Options) (*Report, error) {
	if o.Length < MinLength {
		return nil, fmt.Errorf("a demo of %v leaves the changes no time to take effect, the shortest is %v", o.Length, MinLength)
	}
	if o.Progress == nil {
		o.Progress = func(string) {}
	}
	o.Progress("starting the stand-ins and three nodes")
	f, err := newFleet(o.Log)
	defer f.close()
	if err != nil {
		return nil, err
	}
	l := newLoad(f, o.Seed)
	l.withdrawnTeam = withdrawnTeam
	s := &scenario{fleet: f, load: l, length: o.Length, began: time.Now(), report: o.Progress}
	if err := s.runWithLoad(ctx); err != nil {
		return nil, err
	}
	o.Progress("comparing what callers and executors saw")
	return makeReport(o.Seed, f, l, s), nil
}

// runWithLoad runs the scenario while the callers send requests.
func (s *scenario) runWithLoad(ctx context.Context) error {
	loadCtx, cancel := context.WithTimeout(ctx, s.length)
	defer cancel()
	loaded := make(chan struct{})
	go func() {
		defer close(loaded)
		s.load.run(loadCtx)
	}()
	watched := make(chan struct{})
	watchCtx, stopWatching := context.WithCancel(ctx)
	go func() {
		defer close(watched)
		s.watchRevisions(watchCtx)
	}()
	err := s.run(ctx)
	if err != nil {
		cancel()
	}
	<-loaded
	stopWatching()
	<-watched
	return err
}

func makeReport(seed uint64, f *fleet, l *load, s *scenario) *Report {
	j := newJudge(f, s.marks, l.sent)
	r := &Report{Promises: j.promises(), Seed: seed}
	teams := make(map[string]*TeamReport)
	for _, t := range teamSpecs {
		teams[t.name] = &TeamReport{Team: t.name, Share: t.share, Limit: t.limit}
	}
	for _, s := range l.sent {
		r.Requests.add(s.outcome())
		if t, ok := teams[s.team]; ok {
			t.add(s.outcome())
		}
	}
	for _, start := range j.starts {
		if t, ok := teams[start.Team]; ok {
			t.MaxRunning = max(t.MaxRunning, start.TeamRunning)
		}
	}
	for _, t := range teamSpecs {
		line := teams[t.name]
		line.P50MS = float64(l.latency[t.name].ValueAtQuantile(50)) / 1000
		line.P99MS = float64(l.latency[t.name].ValueAtQuantile(99)) / 1000
		r.Teams = append(r.Teams, *line)
	}
	return r
}
