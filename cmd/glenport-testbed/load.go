package main

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"glenport/internal/testbed/bench"
	"glenport/internal/testbed/load"

	"github.com/spf13/cobra"
)

// controllerTemplate gives the settings of the schedulers behind a measured controller.
const controllerTemplate = "scenarios/why-scheduler.yaml"

// schedulerLoad is what the load of a scheduler is measured with.
type schedulerLoad struct {
	machines, rates []int
	length, runtime time.Duration
	template        string
}

// loadCommand measures one scheduler against emulated machines that answer at once.
func loadCommand() *cobra.Command {
	var l schedulerLoad
	c := &cobra.Command{
		Use: "load", Short: "Measure one scheduler against machines that answer at once", Args: cobra.NoArgs,
		Example: "  glenport-testbed load --machines 100 --rates 300 --length 5s",
		RunE:    func(*cobra.Command, []string) error { return l.run() },
	}
	c.AddCommand(apiLoadCommand(), jobLoadCommand(), bgpLoadCommand())
	c.Flags().IntSliceVar(&l.machines, "machines", []int{10, 100, 1000}, "how many machines")
	c.Flags().IntSliceVar(&l.rates, "rates", []int{300, 3000}, "submissions a second")
	c.Flags().DurationVar(&l.length, "length", 10*time.Second, "of each measurement")
	c.Flags().DurationVar(&l.runtime, "runtime", 2*time.Second, "of each container")
	formerFlag(c, "life", "runtime")
	c.Flags().StringVar(&l.template, "scheduler-config", "scenarios/scheduler.yaml", "template of its settings")
	formerFlag(c, "placer-file", "scheduler-config")
	return c
}

// run prints a row for each number of machines and rate.
func (l *schedulerLoad) run() error {
	program, err := schedulerProgram(0)
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	const header = "machines\tsubmitted/s\tplaced/s\tp50 ms\tp99 ms\tp99.9 ms\tworst ms\t" +
		"busy\tdeciding\tof busy\tlive MiB\tbefore\topen\t"
	if _, err := fmt.Fprintln(table, header); err != nil {
		return err
	}
	for _, machines := range l.machines {
		for _, rate := range l.rates {
			if err := l.measure(table, program, machines, rate); err != nil {
				return err
			}
		}
	}
	return table.Flush()
}

func (l *schedulerLoad) measure(table io.Writer, program []string, machines, rate int) error {
	dir, done, err := folder("")
	if err != nil {
		return err
	}
	defer done()
	r, err := load.MeasureScheduler(
		bench.Spec{Template: l.template, Dir: dir, Program: program, Machines: machines},
		load.Submissions{Rate: rate, Length: l.length, Runtime: l.runtime},
	)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(table,
		"%d\t%d\t%.0f\t%.2f\t%.2f\t%.2f\t%.2f\t%.0f%%\t%.1f us\t%.0f%%\t%.1f\t%.1f\t%.0f\t\n",
		machines, rate, r.PlacedPerSecond, r.P50, r.P99, r.P999, r.Worst,
		100*r.Busy, r.DecidingMicroseconds, 100*r.DecidingShare, r.MiB, r.MiBBefore, r.KnownContainers)
	return err
}

// controllerBench is the bench on which a controller is measured.
func controllerBench(program []string, dir string, machines int) bench.Spec {
	return bench.Spec{Template: controllerTemplate, Dir: dir, Program: program, Machines: machines}
}

func apiLoadCommand() *cobra.Command {
	var machines, pending, watchers int
	c := &cobra.Command{
		Use: "api", Short: "Measure a controller with pending containers", Args: cobra.NoArgs,
		Example: "  glenport-testbed load api --machines 100 --pending 1000 --watchers 100",
		RunE: func(*cobra.Command, []string) error {
			return withSchedulers("", 0, func(program []string, dir string) error {
				return load.MeasureAPI(controllerBench(program, dir, machines), pending, watchers, os.Stdout)
			})
		},
	}
	c.Flags().IntVar(&machines, "machines", 1000, "how many machines")
	c.Flags().IntVar(&pending, "pending", 10000, "how many containers are pending")
	formerFlag(c, "waiting", "pending")
	c.Flags().IntVar(&watchers, "watchers", 1000, "how many watch")
	return c
}

func jobLoadCommand() *cobra.Command {
	var machines, rate int
	c := &cobra.Command{
		Use: "jobs", Aliases: []string{"kept"}, Args: cobra.NoArgs,
		Short:   "Measure jobs from the request to a controller until they run",
		Example: "  glenport-testbed load jobs --machines 100 --rate 300",
		RunE: func(*cobra.Command, []string) error {
			return withSchedulers("", 0, func(program []string, dir string) error {
				return load.MeasureJobs(controllerBench(program, dir, machines), rate, 5*time.Second, os.Stdout)
			})
		},
	}
	c.Flags().IntVar(&machines, "machines", 100, "how many machines")
	c.Flags().IntVar(&rate, "rate", 300, "jobs a second")
	return c
}

func bgpLoadCommand() *cobra.Command {
	var prefixes int
	var peers []int
	c := &cobra.Command{
		Use: "bgp", Short: "Measure a speaker with many prefixes and peers", Args: cobra.NoArgs,
		Example: "  glenport-testbed load bgp --prefixes 1000 --peers 1,10",
		RunE: func(*cobra.Command, []string) error {
			for _, n := range peers {
				if err := load.MeasureBGP(prefixes, n, os.Stdout); err != nil {
					return err
				}
			}
			return nil
		},
	}
	c.Flags().IntVar(&prefixes, "prefixes", 100_000, "how many prefixes")
	c.Flags().IntSliceVar(&peers, "peers", []int{1, 10, 50}, "how many peers")
	return c
}
