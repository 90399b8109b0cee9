package pending

import (
	"slices"
	"sort"
)

// Code names a reason to clients of the API. Codes do not change.
type Code string

// Codes of the API.
const (
	CodeNoScheduler          Code = "no_placer"   // no scheduler is connected
	CodeSchedulerUnreachable Code = "placer_away" // the only scheduler that can know is not connected
	CodeFencing              Code = "guard"       // it may run, and a second copy must not
	CodeOutcomeUnknown       Code = "unsure"      // a scheduler cannot know yet whether it runs
	CodeNoMachine            Code = "no_machine"  // no machine of the type and size that it needs is in service
	CodeZoneDraining         Code = "hall_drains" // all machines of a zone drain
	CodeNoCapacity           Code = "no_room"     // machines that could run it are full
	// machines have as many containers of its service as its spread allows
	CodeSpreadExhausted    Code = "spread_full"
	CodeSlowStartExhausted Code = "cold_budget"   // machines in slow start take no more for now
	CodeMachinesEjected    Code = "machines_sick" // machines are ejected, or suspected of failing it
	CodeLoadShedding       Code = "low_gain"      // requests of its priority are shed
	CodeBackingOff         Code = "backing_off"   // the next request is scheduled
	CodeMachineListStale   Code = "list_away"     // the machine list has not been heard for long
	CodePlacing            Code = "being_placed"  // a scheduler has the request
	CodeRefused            Code = "turned_away"   // a scheduler does not admit the request
	CodeUnobserved         Code = "unwatched"     // its scheduler was lost while it ran
	CodeUnknown            Code = "unknown"       // no scheduler has answered yet
)

// byRank holds all codes, the ones that explain most first.
var byRank = []Code{
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

// sortByRank keeps the order of reasons with the same code.
func sortByRank(reasons []Reason) {
	rank := func(i int) int { return slices.Index(byRank, reasons[i].Code) }
	sort.SliceStable(reasons, func(i, j int) bool { return rank(i) < rank(j) })
}
