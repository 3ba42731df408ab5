package main

import (
	"errors"
	"time"
)

// playEnds lets tasks end while the store is down: their ends wait in the executors' lists.
func playEnds(c *cluster, trouble bool) (bool, error) {
	const prefix, service = "/puxa400/", "huvo11a"
	const jobs, tasks, taskMs = 24, 200, 400
	const outage = 4500 * time.Millisecond
	if err := c.addExecutors(service, 2); err != nil {
		return false, err
	}
	c.configure(7, service, route("r-iikdrbn", prefix, service, 2, 60000))
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
		if !c.submit(prefix, id, jobBody{Spec: `{"ms":400}`, Steps: []step{{Count: tasks, CPU: 500, MemMb: 256, EstMs: taskMs}}}) {
			return false, errors.New("a job was not accepted")
		}
		ids = append(ids, id)
	}
	c.note("all %d jobs of %d tasks are accepted", jobs, tasks)
	time.Sleep(500 * time.Millisecond)
	if trouble {
		c.note("the store is down: silent")
		c.store.stopServing("silent")
	}
	for began := time.Now(); time.Since(began) < outage; time.Sleep(500 * time.Millisecond) {
		c.note("ends that wait in the executors' lists: %d and %d", c.executors[0].unacked(), c.executors[1].unacked())
	}
	if trouble {
		c.store.serveAgain()
		c.note("the store serves again")
	}
	open := map[string]bool{}
	for _, id := range ids {
		open[id] = true
	}
	for end := time.Now().Add(60 * time.Second); len(open) > 0 && time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		for _, id := range ids {
			if !open[id] {
				continue
			}
			if s, _ := c.state(prefix, id); s == "succeeded" || s == "failed" {
				delete(open, id)
			}
		}
	}
	c.note("jobs that are not shown as ended: %d", len(open))
	time.Sleep(2 * time.Second)
	return c.judgeTwice() > 0, nil
}
