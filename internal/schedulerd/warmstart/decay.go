package warmstart

import (
	"math"

	"glenport/scheduler"
)

const (
	minute = 60 * scheduler.Second
	hour   = 60 * minute
)

// Category is a category of the state that a scheduler learns.
type Category uint8

// Categories of learned state. Each becomes outdated at its own rate.
const (
	MachineList      Category = iota // the machine list as last received
	Outliers                         // evidence that a machine is an outlier
	FailureEvidence                  // evidence that a machine fails a traffic class
	LossRatios                       // fraction of attempts that were lost, by traffic class
	FullRatio                        // fraction of attempts that found no room
	ConcurrencyLimit                 // the limit of open requests
	categories                       // number of categories
)

// decay defines how fast each category becomes outdated: its weight halves with each half-life and is 0 from the
// maximum age on. The free room of a fleet changes within seconds and an outlier is repaired within minutes, whereas
// programs behave tomorrow as they do today. If an outlier is weighted too high, a machine that was repaired meanwhile
// stays ejected for one more probe.
var decay = [categories]struct{ halfLife, maxAge scheduler.Time }{
	MachineList:      {halfLife: 24 * hour, maxAge: 24 * hour},
	Outliers:         {halfLife: minute, maxAge: 10 * minute},
	FailureEvidence:  {halfLife: 20 * scheduler.Second, maxAge: 2 * minute},
	LossRatios:       {halfLife: minute, maxAge: 10 * minute},
	FullRatio:        {halfLife: 5 * scheduler.Second, maxAge: minute},
	ConcurrencyLimit: {halfLife: 5 * scheduler.Second, maxAge: minute},
}

// Weight returns the weight of a category at an age, from 1 to 0. At an unknown age it is 0.
func Weight(c Category, age scheduler.Time) float64 {
	if age < 0 || age >= decay[c].maxAge {
		return 0
	}
	return math.Exp2(-float64(age) / float64(decay[c].halfLife))
}
