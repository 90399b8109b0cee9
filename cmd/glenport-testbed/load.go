package main

import (
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"glenport/internal/testbed/scenario"

	"github.com/spf13/cobra"
)

// loadCommand measures one placer against stand-ins that answer at once.
func loadCommand() *cobra.Command {
	var machines, rates []int
	var length, life time.Duration
	var template string
	c := &cobra.Command{Use: "load", Short: "Measure one placer against machines that answer at once", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			program, err := schedulerProgram(0)
			if err != nil {
				return err
			}
			w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
			fmt.Fprintln(w, "machines\tasked/s\tplaced/s\tp50 ms\tp99 ms\tp99.9 ms\tworst ms\tbusy\tdeciding\tof busy\tlive MiB\tbefore\topen\t")
			for _, m := range machines {
				for _, r := range rates {
					dir, done, err := folder("")
					if err != nil {
						return err
					}
					l, err := scenario.MeasureLoad(template, dir, program, m, r, length, life)
					done()
					if err != nil {
						return err
					}
					fmt.Fprintf(w, "%d\t%d\t%.0f\t%.2f\t%.2f\t%.2f\t%.2f\t%.0f%%\t%.1f us\t%.0f%%\t%.1f\t%.1f\t%.0f\t\n", m, r, l.PlacedPerSecond,
						l.P50, l.P99, l.P999, l.Worst, 100*l.Busy, l.DecidingMicroseconds, 100*l.DecidingShare, l.MiB, l.MiBBefore, l.KnownContainers)
				}
			}
			return w.Flush()
		}}
	var fleet, waiting, watchers int
	api := &cobra.Command{Use: "api", Short: "Measure a keeper with containers that wait", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return withSchedulers("", 0, func(program []string, dir string) error {
				return scenario.MeasureAPI("scenarios/why-placer.yaml", dir, program, fleet, waiting, watchers, os.Stdout)
			})
		}}
	api.Flags().IntVar(&fleet, "machines", 1000, "how many machines")
	api.Flags().IntVar(&waiting, "waiting", 10000, "how many containers wait")
	api.Flags().IntVar(&watchers, "watchers", 1000, "how many watch")
	var keptRate int
	kept := &cobra.Command{Use: "kept", Short: "Measure the way of jobs through a keeper", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return withSchedulers("", 0, func(program []string, dir string) error {
				return scenario.MeasureJobs("scenarios/why-placer.yaml", dir, program, fleet, keptRate, 5*time.Second, os.Stdout)
			})
		}}
	kept.Flags().IntVar(&fleet, "machines", 100, "how many machines")
	kept.Flags().IntVar(&keptRate, "rate", 300, "jobs a second")
	var prefixes int
	var peers []int
	bgp := &cobra.Command{Use: "bgp", Short: "Measure a speaker with many prefixes and peers", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			for _, n := range peers {
				if err := scenario.MeasureBGP(prefixes, n, os.Stdout); err != nil {
					return err
				}
			}
			return nil
		}}
	bgp.Flags().IntVar(&prefixes, "prefixes", 100_000, "how many prefixes")
	bgp.Flags().IntSliceVar(&peers, "peers", []int{1, 10, 50}, "how many peers")
	c.AddCommand(api, kept, bgp)
	c.Flags().IntSliceVar(&machines, "machines", []int{10, 100, 1000}, "how many machines")
	c.Flags().IntSliceVar(&rates, "rates", []int{300, 3000}, "submissions a second")
	c.Flags().DurationVar(&length, "length", 10*time.Second, "of each measurement")
	c.Flags().DurationVar(&life, "life", 2*time.Second, "of each container")
	c.Flags().StringVar(&template, "placer-file", "scenarios/placer.yaml", "the placer's terms")
	return c
}
