package simulation

import (
	"fmt"
	"math"
)

// Recovery describes the goodput of a run before and after a fault.
type Recovery struct {
	Before, Lowest   float64 // goodput per second: mean before the fault, minimum after it
	SecondsToRecover int     // from the fault until goodput has recovered; -1: it did not recover in the run
	Lost             float64 // starts in time that are missing after the fault, compared with the mean before it
}

const (
	warmupSeconds  = 2    // excluded from the mean before the fault
	recoveryShare  = 0.95 // of the goodput before the fault
	recoveryWindow = 3    // seconds over which that share must hold on average
)

// EvaluateRecovery computes the recovery from the goodput in each second and the second of the fault.
func EvaluateRecovery(goodput []float64, fault int) Recovery {
	r := Recovery{Lowest: math.Inf(1), SecondsToRecover: -1}
	for _, g := range goodput[warmupSeconds:fault] {
		r.Before += g / float64(fault-warmupSeconds)
	}
	for _, g := range goodput[fault:] {
		r.Lowest = min(r.Lowest, g)
		r.Lost += max(0, r.Before-g)
	}
	for i := fault + 2; i+recoveryWindow <= len(goodput); i++ {
		if goodput[i]+goodput[i+1]+goodput[i+2] >= recoveryWindow*recoveryShare*r.Before {
			r.SecondsToRecover = i - fault
			break
		}
	}
	return r
}

func (r Recovery) String() string {
	recovered := "not recovered in the run (metastable)"
	if r.SecondsToRecover >= 0 {
		recovered = fmt.Sprintf("recovered after %d s", r.SecondsToRecover)
	}
	return fmt.Sprintf(
		"starts in time: %.0f per second before, %.0f at worst, %s, %.0f lost",
		r.Before,
		r.Lowest,
		recovered,
		r.Lost,
	)
}
