// Command review-2 plays the cases 6 to 10 of the review: it starts processes of the system
// beside stand-ins of the platform, the executors and the clients, and judges one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxTime is the longest time that a case takes.
const maxTime = 112 * time.Second

var cases = map[string]func(*world) error{}

func main() {
	if len(os.Args) != 4 {
		fmt.Println("usage: review-2 CASE PROGRAM RECORD")
		os.Exit(2)
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Println("no such case")
		os.Exit(2)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	ended := make(chan error, 1)
	go func() { ended <- play(w) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case err = <-ended:
	case <-signals:
		err = fmt.Errorf("ended by a signal")
	case <-time.After(maxTime):
		err = fmt.Errorf("it took too long")
	}
	os.Exit(w.finish(os.Args[3], err))
}
