package main

import (
	"errors"
	"sort"
	"strings"
	"time"
)

// playCrash lets one worker of a pool crash and come back again and again, while jobs run
// whose tasks last.
func playCrash(c *cluster, trouble bool) (bool, error) {
	const prefix, service = "/puxa400/", "huvo11a"
	const workers, jobs, tasks, mayMiss = 8, 16, 5, 1
	const crashes, down, up = 6, 4 * time.Second, 4 * time.Second
	const notice = 4500 * time.Millisecond
	if err := c.addExecutors(service, workers); err != nil {
		return false, err
	}
	c.configure(7, service, route("r-iikdrbn", prefix, service, 4, 2500))
	if err := c.addNodes(3); err != nil {
		return false, err
	}
	if !c.awaitReady(10 * time.Second) {
		return false, errors.New("the processes are not ready")
	}
	time.Sleep(time.Second)
	var ids []string
	for range jobs {
		id := c.newID()
		if !c.submit(prefix, id, jobBody{Spec: `{"lasts":true}`, Steps: []step{{Count: tasks, CPU: 5400, MemMb: 9000, EstMs: 900, LongRunning: true, MaxPer: 2, MayMiss: mayMiss}}}) {
			return false, errors.New("a job was not accepted")
		}
		ids = append(ids, id)
	}
	time.Sleep(6 * time.Second)
	for i := range crashes {
		if trouble {
			c.note("worker %s (%s) crashes: %d runs are lost", c.executors[0].machine, c.executors[0].id, c.executors[0].crash())
		}
		time.Sleep(down)
		if trouble {
			if err := c.restart(0); err != nil {
				return false, err
			}
			c.note("worker %s is back as %s", c.executors[0].machine, c.executors[0].id)
		}
		time.Sleep(up)
		for _, id := range ids {
			if s, status := c.state(prefix, id); s != "running" {
				c.note("client: after crash %d the state of job %s is %q (%d)", i+1, id, s, status)
			}
		}
	}
	time.Sleep(6 * time.Second)
	// AVAIL: a stop ends a task that is at work on a sound executor while mayMiss others of its
	// step are away: ended by such an order, or not at work for notice.
	c.judge.mu.Lock()
	defer c.judge.mu.Unlock()
	byJob := map[string][]*startRecord{}
	for _, r := range c.judge.runs {
		byJob[r.task[:16]] = append(byJob[r.task[:16]], r)
	}
	broken := 0
	for _, id := range ids {
		var stops []*startRecord
		for _, r := range byJob[id] {
			if !r.stopAt.IsZero() && r.how == "stopped" && r.stopAt.Sub(r.at) > startUp {
				stops = append(stops, r)
			}
		}
		sort.Slice(stops, func(i, j int) bool { return stops[i].stopAt.Before(stops[j].stopAt) })
		for _, r := range stops {
			away := 0
			for i := range tasks {
				other := id + ".0.0." + string(rune('0'+i))
				if other != r.task && c.isAway(byJob[id], other, r.stopAt, notice) {
					away++
				}
			}
			if away >= mayMiss {
				broken++
				c.note("AVAIL: %s run %d is at work on %s since %s and is ended by a stop at %s, while %d others of its step are away, and %d may be", r.task, r.run, r.executor, c.at(r.at), c.at(r.stopAt), away, mayMiss)
			}
		}
		if len(stops) > 0 {
			for _, r := range byJob[id] {
				c.note("    %s run %d on %s: started %s, ended %s %s", strings.TrimPrefix(r.task, id), r.run, r.executor, c.at(r.at), c.at(r.endedAt), r.how)
			}
		}
	}
	return broken > 0, nil
}

// isAway reports whether a task was ended by a stop, or not at work for some time, at a moment.
func (c *cluster) isAway(runs []*startRecord, task string, at time.Time, notice time.Duration) bool {
	lastAtWork := time.Time{}
	for _, r := range runs {
		if r.task != task || r.at.After(at) {
			continue
		}
		if !r.stopAt.IsZero() && !r.stopAt.After(at) {
			// It may have started again since.
			again := false
			for _, o := range runs {
				again = again || (o.task == task && o.run > r.run && o.at.Before(at))
			}
			if !again {
				return true
			}
		}
		end := r.endedAt
		if end.IsZero() || end.After(at) {
			end = at
		}
		if end.Sub(r.at) > startUp && end.After(lastAtWork) {
			lastAtWork = end
		}
	}
	return at.Sub(lastAtWork) >= notice
}
