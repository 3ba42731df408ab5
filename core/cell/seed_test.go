package cell_test

import "flag"

// The random runs are the same each time unless the command line names another
// seed; seed 0 takes one from the clock.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}
