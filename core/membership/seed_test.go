package membership_test

import "flag"

// init fixes the seed of the property tests, so that every run draws the same
// values. -rapid.seed selects another seed, and 0 takes one from the clock.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}
