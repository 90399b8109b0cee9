package pending

import "glenport/scheduler"

// staleListAge is the age above which a machine list counts as stale. One that is up sends something each second.
const staleListAge = 4 * scheduler.Second

// explainFleet gives the reasons that lie with the machines, as a scheduler has explained them.
func (e *explainer) explainFleet() {
	e.explainList()
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

// suitable is how many machines have the type and size that the container needs, and inService how many of them do not
// drain.
func (f *Facts) suitable() int {
	return f.Explanation.Machines - f.Explanation.WrongMachineType - f.Explanation.TooSmall
}

func (f *Facts) inService() int { return f.suitable() - f.Explanation.Draining }

func (e *explainer) explainList() {
	if age := e.facts.ListAge; age < 0 || age > staleListAge {
		known := seconds(max(0, age))
		e.add(CodeMachineListStale, map[string]float64{"seconds": known}, textMachineListStale, known)
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
	x, suitable := &e.facts.Explanation, e.facts.suitable()
	switch {
	case suitable == 0:
		e.add(CodeNoMachine, map[string]float64{"machines": float64(x.Machines)}, textNoMachine, x.Machines)
	case e.facts.inService() == 0:
		details := map[string]float64{"machines": float64(suitable), "draining": float64(x.Draining)}
		e.add(CodeNoMachine, details, textAllDraining, suitable)
	}
}

func (e *explainer) explainCapacity() {
	x, inService := &e.facts.Explanation, e.facts.inService()
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
	n, inService := e.facts.Explanation.SpreadExhausted, e.facts.inService()
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
