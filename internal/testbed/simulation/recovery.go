package simulation

import (
	"fmt"
	"math"
)

// Recovery is how a run came through a fault.
type Recovery struct {
	Before, Lowest   float64 // goodput a second
	SecondsToRecover int     // from the fault until goodput was back; -1: it never was
	Lost             float64 // starts within the latency objective that were missed, against the time before
}

const (
	warmupSeconds  = 2    // that are not counted as before the fault
	recoveredShare = 0.95 // of the goodput before
	recoveredFor   = 3    // seconds over which that share must hold on average
)

// EvaluateRecovery evaluates a run by its goodput in each second and the second of the fault.
func EvaluateRecovery(goodput []float64, fault int) Recovery {
	r := Recovery{Lowest: math.Inf(1), SecondsToRecover: -1}
	for _, g := range goodput[warmupSeconds:fault] {
		r.Before += g / float64(fault-warmupSeconds)
	}
	for _, g := range goodput[fault:] {
		r.Lowest = min(r.Lowest, g)
		r.Lost += max(0, r.Before-g)
	}
	for i := fault + 2; i+recoveredFor <= len(goodput); i++ {
		if goodput[i]+goodput[i+1]+goodput[i+2] >= recoveredFor*recoveredShare*r.Before {
			r.SecondsToRecover = i - fault
			break
		}
	}
	return r
}

func (r Recovery) String() string {
	back := "never in the run (metastable)"
	if r.SecondsToRecover >= 0 {
		back = fmt.Sprintf("back after %d s", r.SecondsToRecover)
	}
	return fmt.Sprintf(
		"in time %.0f a second before, at worst %.0f, %s, %.0f starts in time lost",
		r.Before,
		r.Lowest,
		back,
		r.Lost,
	)
}
