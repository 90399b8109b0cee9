// Package fixedseed makes rapid draw the same sequences in every run of the tests that import it. The flag
// -rapid.seed=0 selects a random seed. Only tests import it.
package fixedseed

import (
	"flag"

	_ "pgregory.net/rapid" // defines the flag
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
