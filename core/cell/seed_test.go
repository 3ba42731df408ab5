package cell_test

import "flag"

// init fixes the seed of the random tests. The command line may set another; seed 0
// takes one from the clock.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}
