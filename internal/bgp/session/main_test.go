package session

import "flag"

// Drawn sequences are the same in every run; -rapid.seed=0 draws others.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
