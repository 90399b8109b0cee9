package scenario

import (
	"io"
	"sync"
	"time"

	"glenport/internal/testbed/audit"
	"glenport/internal/testbed/cluster"
	"glenport/internal/testbed/emulator"
	"glenport/internal/testbed/faults"
)

// Outcome is the result of a scenario.
type Outcome struct {
	Tally              emulator.Tally
	Audit              *audit.Report
	OverloadedMachines int                           // machines that failed under load while in slow start
	Injected           map[faults.Kind]int           // number of injected faults, by kind
	Status             map[string]map[string]float64 // statistics of each scheduler, by its name
}

// Passed reports whether every rule was kept and every container got exactly one final reply.
func (o *Outcome) Passed() bool {
	return o.Audit.Passed() && o.Tally.DuplicateReplies == 0 && o.Tally.Pending == 0
}

// Run plays the scenario; program is the command that starts a scheduler. The recording and the logs are kept in dir.
func (s *Scenario) Run(dir string, program []string, out io.Writer) (*Outcome, error) {
	c, err := cluster.Start(s.Spec, dir, program)
	if err != nil {
		return nil, err
	}
	defer c.Shutdown()
	log := faults.NewLog(out)
	log.Printf(
		"%d schedulers, %d machines in %d zones, %.0f submissions per second",
		len(c.Schedulers),
		len(c.Machines),
		len(s.Zones),
		s.Rate,
	)
	injector := faults.NewInjector(c, s.Spec, s.Rate, log)
	c.Clients.Start(s.Rate, s.Seed)
	var playing sync.WaitGroup
	for _, f := range s.Faults {
		playing.Go(func() { injector.Inject(f) })
	}
	time.Sleep(s.Length - log.Elapsed())
	injector.End()
	c.Clients.SetRate(0)
	playing.Wait()
	c.WaitForReplies(s.Settle)
	outcome := &Outcome{
		Injected:           injector.Injected(),
		Status:             c.StatusByScheduler(),
		OverloadedMachines: c.CountOverloaded(),
	}
	outcome.Tally = c.Clients.Close()
	outcome.Audit, err = c.CloseAndAudit()
	return outcome, err
}
