package warmstart

import (
	"math"

	"glenport/scheduler"
)

const (
	minute = 60 * scheduler.Second
	hour   = 60 * minute
)

// Category is a sort of what a scheduler learns.
type Category uint8

// Categories by how fast they go out of date.
const (
	MachineList      Category = iota // the machine list as last received
	Outliers                         // evidence that a machine is an outlier
	FailureEvidence                  // evidence that a machine fails a traffic class
	LossRatios                       // attempts lost, by traffic class
	FullRatio                        // attempts that found no room
	ConcurrencyLimit                 // the limit of open requests
	categories
)

// decay holds tuned values: what is learned counts half after a half-life, and not at all from the maximum age on. How
// full a fleet is changes in seconds and an outlier is repaired in minutes, while programs behave tomorrow as they do
// today. Where they are wrong, a machine repaired meanwhile stays ejected for one probe more.
var decay = [categories]struct{ halfLife, maxAge scheduler.Time }{
	MachineList:      {halfLife: 24 * hour, maxAge: 24 * hour},
	Outliers:         {halfLife: minute, maxAge: 10 * minute},
	FailureEvidence:  {halfLife: 20 * scheduler.Second, maxAge: 2 * minute},
	LossRatios:       {halfLife: minute, maxAge: 10 * minute},
	FullRatio:        {halfLife: 5 * scheduler.Second, maxAge: minute},
	ConcurrencyLimit: {halfLife: 5 * scheduler.Second, maxAge: minute},
}

// Weight is what a category counts for at an age, from 1 to 0. An unknown age counts as too old.
func Weight(c Category, age scheduler.Time) float64 {
	if age < 0 || age >= decay[c].maxAge {
		return 0
	}
	return math.Exp2(-float64(age) / float64(decay[c].halfLife))
}
