package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["drain"] = playDrain }

// playDrain restarts the nodes in turn while clients send requests on kept connections.
func playDrain(w *world) error {
	w.works = workFromSpec
	w.putConfig(7, []string{"grabado"}, route{name: "plan", prefix: "/plan/", service: "grabado", attempts: 2})
	if err := w.addExecutors("grabado", 8, 64000, 131072); err != nil {
		return err
	}
	if err := w.addNodes(5); err != nil {
		return err
	}
	if err := w.awaitOwner(); err != nil {
		return err
	}
	time.Sleep(time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var n, broken, refused atomic.Int64
	for ni, nd := range w.nodes {
		for c := range 8 {
			wg.Go(func() {
				client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
				for i := 0; ; i++ {
					select {
					case <-stop:
						return
					default:
					}
					id := fmt.Sprintf("%04x%04x%08x", ni, c, i)
					body := `{"spec":"300ms","steps":[{"count":1,"cpu":100,"memMb":16,"estMs":300}]}`
					for _, m := range []string{"POST", "GET"} {
						if m == "GET" {
							body = ""
						}
						ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
						var wrote atomic.Int64
						ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) { wrote.Store(time.Now().UnixNano()) }})
						req, _ := http.NewRequestWithContext(ctx, m, "http://"+nd.front+"/plan/"+id, bytes.NewReader([]byte(body)))
						req.GetBody = nil
						req.Host = host
						req.Header.Set("Authorization", "Bearer key-1")
						req.Header.Set("X-Deadline-Ms", "3000")
						resp, err := client.Do(req)
						if err == nil {
							_, err = io.Copy(io.Discard, resp.Body)
							resp.Body.Close()
						}
						n.Add(1)
						if err != nil {
							after := time.Since(time.Unix(0, wrote.Load()))
							switch {
							case wrote.Load() == 0:
								refused.Add(1)
							case errors.Is(err, context.DeadlineExceeded):
								w.note("%s %s at %s: no answer in 3 s", m, id, nd.name)
							case after > 200*time.Millisecond:
								broken.Add(1)
								w.breaks("LOST: %s %s at %s: the connection ended %d ms after the request was sent: %v", m, id, nd.name, after.Milliseconds(), err)
							default:
								w.note("%s %s at %s: the connection ended %d ms after the request was sent", m, id, nd.name, after.Milliseconds())
							}
						}
						cancel()
					}
					time.Sleep(60 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(3 * time.Second)
	w.restartInTurn(2*time.Second, func() bool { return false })
	time.Sleep(8 * time.Second)
	w.restartInTurn(6*time.Second, func() bool { return false })
	time.Sleep(5 * time.Second)
	close(stop)
	wg.Wait()
	fmt.Println("requests", n.Load(), "broken", broken.Load(), "refused", refused.Load())
	return nil
}
