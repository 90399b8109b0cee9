package recovery

import "flag"

// Drawn histories are the same in every run; -rapid.seed=0 draws others.
func init() { flag.Set("rapid.seed", "1") }
