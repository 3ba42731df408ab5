package main

import (
	"errors"
	"net/http"
	"sort"
	"sync"
	"time"
)

// playRecord hands in a scheduled job with many occurrences.
func playRecord(c *cluster, trouble bool) (bool, error) {
	const prefix, service = "/puxa400/", "huvo11a"
	// A job that runs each minute for a day, with the minute shortened.
	const tasks, intervalMs = 24, 30
	times := 24 * 60
	if !trouble {
		times /= 10
	}
	if err := c.addExecutors(service, 4); err != nil {
		return false, err
	}
	c.configure(7, service, route("r-iikdrbn", prefix, service, 2, 2500))
	if err := c.addNodes(3); err != nil {
		return false, err
	}
	if !c.awaitReady(10 * time.Second) {
		return false, errors.New("the processes are not ready")
	}
	time.Sleep(time.Second)
	scheduled := c.newID()
	if !c.submit(prefix, scheduled, jobBody{
		Spec: `{"ms":100}`, Steps: []step{{Count: tasks, CPU: 500, MemMb: 256, EstMs: 100}},
		Times: times, StartMs: time.Now().Add(time.Second).UnixMilli(), IntervalMs: intervalMs,
	}) {
		return false, errors.New("the scheduled job was not accepted")
	}
	// Other clients hand in small jobs, and cancel them.
	var lasting []string
	for range 6 {
		id := c.newID()
		if !c.submit(prefix, id, jobBody{Spec: `{"ms":200000}`, Steps: []step{{Count: 2, CPU: 500, MemMb: 256, EstMs: 900, LongRunning: true}}}) {
			return false, errors.New("a lasting job was not accepted")
		}
		lasting = append(lasting, id)
	}
	refused := 0
	for end := time.Now().Add(80 * time.Second); refused == 0 && time.Now().Before(end); time.Sleep(2 * time.Second) {
		refused = c.noteRecord(scheduled)
		if state, _ := c.state(prefix, scheduled); state == "succeeded" {
			break
		}
	}
	if trouble && refused == 0 {
		return false, errors.New("the scheduled job has not reached the size of a value")
	}
	// The clients of the lasting jobs cancel them, and repeat that for a second more than ackMs.
	var wg sync.WaitGroup
	var mu sync.Mutex
	unanswered := 0
	for _, id := range lasting {
		wg.Go(func() {
			answered := false
			began := time.Now()
			for i := 0; !answered && time.Since(began) < 5*time.Second; i++ {
				status, text := c.call(c.nodes[i%len(c.nodes)], http.MethodDelete, prefix+id, nil)
				c.note("client: job %s is cancelled at %s: %d %s", id, c.nodes[i%len(c.nodes)].name, status, text)
				answered = status/100 == 2 || status == http.StatusGone
			}
			mu.Lock()
			defer mu.Unlock()
			if !answered {
				unanswered++
			}
		})
	}
	wg.Wait()
	c.noteRecord(scheduled)
	state, status := c.state(prefix, scheduled)
	c.note("client: the state of job %s is %q (%d)", scheduled, state, status)
	id := c.newID()
	accepted := c.submit(prefix, id, jobBody{Spec: `{"ms":100}`, Steps: []step{{Count: 1, CPU: 500, MemMb: 256, EstMs: 100}}})
	c.note("client: a new job of one task is accepted: %v", accepted)
	c.note("cancels of accepted jobs: %d; without 2xx or 410 for more than ackMs (4 s): %d", len(lasting), unanswered)
	for _, d := range c.nodes {
		if trouble && d.name == c.ownerName() && time.Since(c.began) < 85*time.Second {
			// Not judged: the next owner does no better.
			c.kill(d)
			time.Sleep(8 * time.Second)
			id := c.newID()
			body := jobBody{Spec: `{"ms":100}`, Steps: []step{{Count: 1, CPU: 500, MemMb: 256, EstMs: 100}}}
			c.note("client: a new job of one task is accepted while %s owns the pools: %v", c.ownerName(), c.submit(prefix, id, body))
			c.noteRecord(scheduled)
			break
		}
	}
	if unanswered*10 > len(lasting) {
		c.note("Acks: more than a tenth of the cancels have no answer, with a stable core and no link disrupted")
		return true, nil
	}
	return false, nil
}

// noteRecord records how large the stored progress of a job is, and returns how many puts
// were refused for their size.
func (c *cluster) noteRecord(id string) int {
	c.store.mu.Lock()
	var refused []string
	for k := range c.store.refusedValues {
		refused = append(refused, k)
	}
	size, times := 0, 0
	for k, n := range c.store.largest {
		if len(k) > len(id) && k[len(k)-len(id):] == id {
			size = max(size, n)
		}
	}
	sort.Strings(refused)
	for _, k := range refused {
		times += c.store.refusedValues[k]
	}
	c.store.mu.Unlock()
	unacked := 0
	for _, x := range c.executors {
		unacked += x.unacked()
	}
	c.note("largest value stored for job %s: %d bytes; puts refused for a value over %d bytes: %d %v; ends that wait: %d", id, size, valueBytes, times, refused, unacked)
	return times
}
