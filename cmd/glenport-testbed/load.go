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

// controllerTemplate is the template of the settings of the schedulers that a measured controller uses.
const controllerTemplate = "scenarios/why-scheduler.yaml"

// schedulerLoad holds the parameters of the load measurements of one scheduler.
type schedulerLoad struct {
	machines, rates []int
	length, runtime time.Duration
	template        string
}

// loadCommand returns the command that measures one scheduler against emulated machines that answer immediately.
func loadCommand() *cobra.Command {
	var l schedulerLoad
	c := &cobra.Command{
		Use: "load", Short: "Measure one scheduler against machines that answer immediately", Args: cobra.NoArgs,
		Example: "  glenport-testbed load --machines 100 --rates 300 --length 5s",
		RunE:    func(*cobra.Command, []string) error { return l.run() },
	}
	c.AddCommand(apiLoadCommand(), jobLoadCommand(), bgpLoadCommand())
	c.Flags().IntSliceVar(&l.machines, "machines", []int{10, 100, 1000}, "numbers of machines to measure with")
	c.Flags().IntSliceVar(&l.rates, "rates", []int{300, 3000}, "submissions per second to measure with")
	c.Flags().DurationVar(&l.length, "length", 10*time.Second, "length of each measurement")
	c.Flags().DurationVar(&l.runtime, "runtime", 2*time.Second, "runtime of each container")
	addFormerFlag(c, "life", "runtime")
	c.Flags().StringVar(&l.template, "scheduler-config", "scenarios/scheduler.yaml", "scheduler settings template")
	addFormerFlag(c, "placer-file", "scheduler-config")
	return c
}

// run prints a row of measurements for each combination of machine count and submission rate.
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
	dir, cleanup, err := outputDir("")
	if err != nil {
		return err
	}
	defer cleanup()
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
		100*r.Busy, r.DecidingMicroseconds, 100*r.DecidingShare, r.HeapMiB, r.HeapMiBBefore, r.KnownContainers)
	return err
}

// controllerBench returns the test bench on which a controller is measured.
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
	c.Flags().IntVar(&machines, "machines", 1000, "number of machines")
	c.Flags().IntVar(&pending, "pending", 10000, "number of pending containers")
	addFormerFlag(c, "waiting", "pending")
	c.Flags().IntVar(&watchers, "watchers", 1000, "number of clients that watch")
	return c
}

func jobLoadCommand() *cobra.Command {
	var machines, rate int
	c := &cobra.Command{
		Use: "jobs", Aliases: []string{"kept"}, Args: cobra.NoArgs,
		Short:   "Measure the time from the request for a job to a controller until the job runs",
		Example: "  glenport-testbed load jobs --machines 100 --rate 300",
		RunE: func(*cobra.Command, []string) error {
			return withSchedulers("", 0, func(program []string, dir string) error {
				return load.MeasureJobs(controllerBench(program, dir, machines), rate, 5*time.Second, os.Stdout)
			})
		},
	}
	c.Flags().IntVar(&machines, "machines", 100, "number of machines")
	c.Flags().IntVar(&rate, "rate", 300, "jobs per second")
	return c
}

func bgpLoadCommand() *cobra.Command {
	var prefixes int
	var peers []int
	c := &cobra.Command{
		Use: "bgp", Short: "Measure a BGP speaker with many prefixes and peers", Args: cobra.NoArgs,
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
	c.Flags().IntVar(&prefixes, "prefixes", 100_000, "number of prefixes")
	c.Flags().IntSliceVar(&peers, "peers", []int{1, 10, 50}, "numbers of peers to measure with")
	return c
}
