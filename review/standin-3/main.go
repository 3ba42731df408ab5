// Command world plays the cases of the third review: it starts the program under test as
// separate processes and stands in for everything around them.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: world CASE FOLDER")
		os.Exit(2)
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(2)
	}
	os.Exit(run(newWorld(os.Args[2]), os.Getenv("TROUBLE") != "0"))
}
