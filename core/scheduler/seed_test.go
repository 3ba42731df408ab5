package scheduler_test

import "flag"

// init fixes the seed, so that random runs repeat unless the command line sets
// another seed. Seed 0 takes one from the clock.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}
