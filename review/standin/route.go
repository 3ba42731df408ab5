package main

import (
	"errors"
	"time"
)

// playRoute removes a route while a job of it runs, and adds it again.
func playRoute(c *cluster, trouble bool) (bool, error) {
	const prefix, service = "/puxa400/", "huvo11a"
	const attempts = 4
	if err := c.addExecutors(service, 4); err != nil {
		return false, err
	}
	first, other := route("r-iikdrbn", prefix, service, attempts, 2500), route("r-3is47qd", "/wuhu344/", service, attempts, 2500)
	c.configure(7, service, first, other)
	if err := c.addNodes(3); err != nil {
		return false, err
	}
	if !c.awaitReady(10 * time.Second) {
		return false, errors.New("the processes are not ready")
	}
	time.Sleep(time.Second)
	// One run of each task fails, after 3 s; the queue allows four attempts.
	id := c.newID()
	if !c.submit(prefix, id, jobBody{Spec: `{"ms":3000,"fail":1}`, Steps: []step{{Count: 4, CPU: 3300, MemMb: 3400, EstMs: 3000}}}) {
		return false, errors.New("the job was not accepted")
	}
	time.Sleep(time.Second)
	if trouble {
		c.configure(9, service, other)
		c.note("operator: version 9 is acknowledged, without the route of the job")
	}
	time.Sleep(3500 * time.Millisecond)
	if trouble {
		c.configure(12, service, first, other)
		c.note("operator: version 12 is acknowledged, with the route again")
	}
	time.Sleep(3 * time.Second)
	state, status := "", 0
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		if state, status = c.state(prefix, id); state == "succeeded" || state == "failed" || state == "cancelled" {
			break
		}
	}
	c.note("client: the state of job %s is %q (%d)", id, state, status)
	c.judge.mu.Lock()
	defer c.judge.mu.Unlock()
	failures := map[string]int{}
	for _, r := range c.judge.runs {
		c.note("    run %d of %s on %s: started %s, ended %s %s, end taken note of %s", r.run, r.task, r.executor, c.at(r.at), c.at(r.endedAt), r.how, c.at(r.noted))
		if r.how == "failed" {
			failures[r.task]++
		}
	}
	most := 0
	for _, n := range failures {
		most = max(most, n)
	}
	c.note("the most failed ends of a task: %d; attempts in all versions of the config: %d", most, attempts)
	if state == "failed" && most < attempts {
		c.note("LOST: the job is shown as failed without cause")
		return true, nil
	}
	return false, nil
}
