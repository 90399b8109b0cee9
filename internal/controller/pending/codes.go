package pending

import (
	"slices"
	"sort"
)

// Code identifies a reason to clients of the API. Codes must not change.
type Code string

// Codes of the API.
const (
	CodeNoScheduler          Code = "no_placer"   // no scheduler is connected
	CodeSchedulerUnreachable Code = "placer_away" // the scheduler that knows if the container runs is not connected
	CodeFencing              Code = "guard"       // the container may be running, and a second copy must not run
	CodeOutcomeUnknown       Code = "unsure"      // the scheduler does not know yet whether the container runs
	CodeNoMachine            Code = "no_machine"  // no machine in service has the required type and size
	CodeZoneDraining         Code = "hall_drains" // all machines of a zone are draining
	CodeNoCapacity           Code = "no_room"     // suitable machines are full
	// Machines have as many containers of the service as the spread limit allows.
	CodeSpreadExhausted    Code = "spread_full"
	CodeSlowStartExhausted Code = "cold_budget"   // machines in slow start have used up their slow-start budget
	CodeMachinesEjected    Code = "machines_sick" // machines are ejected, self-draining, or suspected for this work
	CodeLoadShedding       Code = "low_gain"      // requests of this priority are shed
	CodeBackingOff         Code = "backing_off"   // the next request is scheduled
	CodeMachineListStale   Code = "list_away"     // the machine list has not been updated for too long
	CodePlacing            Code = "being_placed"  // a scheduler has the request
	CodeRefused            Code = "turned_away"   // a scheduler did not admit the request
	CodeUnobserved         Code = "unwatched"     // the scheduler was lost while the container ran
	CodeUnknown            Code = "unknown"       // no scheduler has answered yet
)

// codesByRank holds all codes, starting with those that explain most.
var codesByRank = []Code{
	CodeNoScheduler,
	CodeSchedulerUnreachable,
	CodeFencing,
	CodeOutcomeUnknown,
	CodeUnobserved,
	CodeNoMachine,
	CodeZoneDraining,
	CodeNoCapacity,
	CodeSpreadExhausted,
	CodeSlowStartExhausted,
	CodeMachinesEjected,
	CodeLoadShedding,
	CodeMachineListStale,
	CodeRefused,
	CodeBackingOff,
	CodePlacing,
	CodeUnknown,
}

// sortByRank sorts reasons by the rank of their codes. Reasons with the same code keep their order.
func sortByRank(reasons []Reason) {
	rank := func(i int) int { return slices.Index(codesByRank, reasons[i].Code) }
	sort.SliceStable(reasons, func(i, j int) bool { return rank(i) < rank(j) })
}
