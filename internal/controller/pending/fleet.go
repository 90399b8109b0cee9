package pending

import "glenport/scheduler"

// staleListAge is the age above which a machine list is stale. A machine list service that is up sends a message each
// second.
const staleListAge = 4 * scheduler.Second

// explainFleet adds the reasons that concern the machines, from the explanation of a scheduler.
func (e *explainer) explainFleet() {
	e.explainMachineList()
	e.explainZones()
	if e.facts.Explanation.Eligible <= 0 {
		e.explainMachineTypes()
		e.explainCapacity()
		e.explainSpread()
		e.explainSlowStart()
		e.explainEjections()
	}
	e.explainLoadShedding()
}

// suitableMachines returns the number of machines that have the type and size that the container needs.
func (f *Facts) suitableMachines() int {
	return f.Explanation.Machines - f.Explanation.WrongMachineType - f.Explanation.TooSmall
}

// machinesInService returns the number of suitable machines that are not draining.
func (f *Facts) machinesInService() int { return f.suitableMachines() - f.Explanation.Draining }

func (e *explainer) explainMachineList() {
	if age := e.facts.ListAge; age < 0 || age > staleListAge {
		ageSeconds := seconds(max(0, age))
		e.add(CodeMachineListStale, map[string]float64{"seconds": ageSeconds}, textMachineListStale, ageSeconds)
	}
}

func (e *explainer) explainZones() {
	for _, z := range e.facts.Zones {
		if z.Machines > 0 && z.Draining == z.Machines {
			details := map[string]float64{"machines": float64(z.Machines)}
			e.add(CodeZoneDraining, details, textZoneDraining, z.Name, z.Machines)
		}
	}
}

func (e *explainer) explainMachineTypes() {
	x, suitable := &e.facts.Explanation, e.facts.suitableMachines()
	switch {
	case suitable == 0:
		e.add(CodeNoMachine, map[string]float64{"machines": float64(x.Machines)}, textNoMachine, x.Machines)
	case e.facts.machinesInService() == 0:
		details := map[string]float64{"machines": float64(suitable), "draining": float64(x.Draining)}
		e.add(CodeNoMachine, details, textAllDraining, suitable)
	}
}

func (e *explainer) explainCapacity() {
	x, inService := &e.facts.Explanation, e.facts.machinesInService()
	full := x.InsufficientCores + x.InsufficientMemory
	if full <= 0 {
		return
	}
	scarce := "cores"
	if x.InsufficientMemory > x.InsufficientCores {
		scarce = "memory"
	}
	details := map[string]float64{
		"machines": float64(inService), "full": float64(full),
		"short_of_cores": float64(x.InsufficientCores), "short_of_memory": float64(x.InsufficientMemory),
	}
	e.add(CodeNoCapacity, details, textNoCapacity, full, inService, scarce, x.InsufficientCores, x.InsufficientMemory)
}

func (e *explainer) explainSpread() {
	n, inService := e.facts.Explanation.SpreadExhausted, e.facts.machinesInService()
	if n <= 0 {
		return
	}
	details := map[string]float64{"machines": float64(n), "of": float64(inService)}
	e.add(CodeSpreadExhausted, details, textSpreadExhausted, n, inService)
}

func (e *explainer) explainSlowStart() {
	n, window := e.facts.Explanation.SlowStartExhausted, seconds(e.facts.SlowStartWindow)
	if n <= 0 {
		return
	}
	details := map[string]float64{"machines": float64(n), "window_seconds": window}
	e.add(CodeSlowStartExhausted, details, textSlowStartExhausted, n, window)
}

func (e *explainer) explainEjections() {
	x := &e.facts.Explanation
	n := x.Ejected + x.Suspected + x.SelfDraining
	if n <= 0 {
		return
	}
	details := map[string]float64{
		"resting": float64(x.Ejected), "shun_it": float64(x.Suspected), "closing": float64(x.SelfDraining),
	}
	e.add(CodeMachinesEjected, details, textMachinesEjected, n, x.Ejected, x.Suspected, x.SelfDraining)
}

func (e *explainer) explainLoadShedding() {
	x := &e.facts.Explanation
	if x.SheddingLoad {
		details := map[string]float64{"share_without_room": x.FullRatio}
		e.add(CodeLoadShedding, details, textLoadShedding, 100*x.FullRatio)
	}
}
