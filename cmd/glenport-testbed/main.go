// Command glenport-testbed brings up clusters of stand-ins on loopback, plays bad days on them with real placers and
// judges what passed over the sockets.
package main

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"

	"glenport/internal/bgp/speaker"
	"glenport/internal/config"
	"glenport/internal/schedulerd"
	"glenport/internal/testbed/audit"
	"glenport/internal/testbed/mutants"
	"glenport/internal/testbed/scenario"
	"glenport/scheduler"

	"github.com/spf13/cobra"
)

var errNotHeld = errors.New("not held")

func main() {
	root := &cobra.Command{Use: "glenport-testbed", Short: "Stand-ins, bad days and their audit, on loopback",
		SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(dayCommand(), auditCommand(), replayCommand(), loadCommand(), trialCommand(), placerCommand())
	if err := root.Execute(); errors.Is(err, errNotHeld) {
		os.Exit(1)
	} else if err != nil {
		fmt.Fprintln(os.Stderr, "glenport-testbed:", err)
		os.Exit(2)
	}
}

// folder is where a day's record and logs go: one that was named, or a new one that is removed again.
func folder(named string) (dir string, done func(), err error) {
	if named != "" {
		return named, func() {}, os.MkdirAll(named, 0o755)
	}
	dir, err = os.MkdirTemp("", "glenport-day-")
	return dir, func() { os.RemoveAll(dir) }, err
}

// placerProgram is glenport itself, from beside this program; with sabotage it is this program's own host.
func placerProgram(rule int) ([]string, error) {
	own, err := os.Executable()
	if err != nil {
		return nil, err
	}
	if rule > 0 {
		return []string{own, "scheduler", "--sabotage", fmt.Sprint(rule)}, nil
	}
	p := filepath.Join(filepath.Dir(own), "glenport")
	if _, err := os.Stat(p); err != nil {
		return nil, fmt.Errorf("glenport is to stand beside glenport-testbed: %w", err)
	}
	return []string{p, "scheduler"}, nil
}

// withPlacers runs f with the program that placers are, and a folder for their files.
func withPlacers(named string, rule int, f func(program []string, dir string) error) error {
	program, err := placerProgram(rule)
	if err != nil {
		return err
	}
	dir, done, err := folder(named)
	if err != nil {
		return err
	}
	defer done()
	return f(program, dir)
}

func play(d *scenario.Day, dir string, rule int) error {
	return withPlacers(dir, rule, func(program []string, dir string) error {
		o, err := d.Run(dir, program, os.Stdout)
		if err != nil {
			return err
		}
		o.Print(os.Stdout)
		if !o.Held() {
			return errNotHeld
		}
		return nil
	})
}

func dayCommand() *cobra.Command {
	var dir string
	var rule int
	c := &cobra.Command{Use: "scenario FILE", Aliases: []string{"day"}, Short: "Play a day's troubles on a cluster and judge its record", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			d, err := scenario.LoadDay(args[0])
			if err != nil {
				return err
			}
			return play(d, dir, rule)
		}}
	c.Flags().StringVar(&dir, "dir", "", "folder to keep the record and the logs in")
	c.Flags().IntVar(&rule, "sabotage", 0, "break this rule on purpose, 1 to 5")
	return c
}

func auditCommand() *cobra.Command {
	var container string
	c := &cobra.Command{Use: "audit RECORD", Short: "Judge a record alone", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if container != "" {
				return audit.PrintContainer(args[0], container, os.Stdout)
			}
			j, err := audit.CheckRecording(args[0])
			if err != nil {
				return err
			}
			fmt.Printf("%d frames, %d submissions, %d offers\n", j.Frames, j.Submitted, j.Offers)
			scenario.PrintViolations(os.Stdout, j)
			if !j.Passed() {
				return errNotHeld
			}
			fmt.Println("rules: kept")
			return nil
		}}
	c.Flags().StringVar(&container, "show", "", "show what passed for this container instead")
	return c
}

func replayCommand() *cobra.Command {
	var dir, template string
	var rate float64
	c := &cobra.Command{Use: "replay DAY.json", Short: "Play the kinds of trouble of a simulated day, scaled down, on real placers",
		Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
			d, err := scenario.LoadReplay(args[0], template, rate, os.Stdout)
			if err != nil {
				return err
			}
			return play(d, dir, 0)
		}}
	c.Flags().StringVar(&dir, "dir", "", "folder to keep the record and the logs in")
	c.Flags().StringVar(&template, "day", "scenarios/bad-day.yaml", "day file that gives the cluster")
	c.Flags().Float64Var(&rate, "rate", 150, "submissions a second at the day's mean load")
	return c
}

// placerCommand runs a placer of the product's host, with or without one rule broken.
func placerCommand() *cobra.Command {
	var file, spoil string
	var rule int
	var damped bool
	c := &cobra.Command{Use: "scheduler", Aliases: []string{"placer"}, Hidden: true, Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		s, err := config.LoadScheduler(file)
		if err != nil {
			return err
		}
		s.AdaptiveLimit = s.AdaptiveLimit || damped
		var d schedulerd.Scheduler = scheduler.New(s.Policy)
		if rule > 0 {
			if d, err = mutants.New(rule, s.Policy, d); err != nil {
				return err
			}
		}
		h, err := schedulerd.New(s, d, slog.New(slog.NewTextHandler(os.Stderr, nil)))
		if err != nil {
			return err
		}
		if r := h.Speaker(); r != nil && spoil != "" {
			r.WrapDecider(func(d speaker.RouteDecider) speaker.RouteDecider {
				return mutants.NewRouteMutant(mutants.RouteMutation(spoil), d)
			})
		}
		told := make(chan os.Signal, 1)
		signal.Notify(told, syscall.SIGINT, syscall.SIGTERM)
		go func() { <-told; h.Stop() }()
		runtime.LockOSThread()
		return h.Run()
	}}
	c.Flags().StringVarP(&file, "config", "c", "", "the placer's file")
	c.Flags().IntVar(&rule, "sabotage", 0, "rule to break")
	c.Flags().BoolVar(&damped, "damped", false, "narrow the door when starts become slow")
	c.Flags().StringVar(&spoil, "spoil-routes", "", "late or storm")
	return c
}

func trialCommand() *cobra.Command {
	trial := &cobra.Command{Use: "trial", Short: "Prove a subsystem end to end, with faults"}
	var dir string
	var cycles, steps int
	var lie bool
	why := &cobra.Command{Use: "why", Short: "Owners read the true reason why their work waits, within a second", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			program, err := placerProgram(0)
			if err != nil {
				return err
			}
			d, err := scenario.LoadDay("scenarios/why.yaml")
			if err != nil {
				return err
			}
			dir, done, err := folder(dir)
			if err != nil {
				return err
			}
			defer done()
			t := &scenario.WhyTrial{Cycles: cycles, Steps: steps, Lie: lie, Out: os.Stdout}
			ok, err := t.Run(d, dir, program)
			return verdict("why", ok, err, "an owner read what was not so, or too late")
		}}
	why.Flags().StringVar(&dir, "dir", "", "folder to keep the logs in")
	why.Flags().IntVar(&cycles, "cycles", 50, "of draining and filling, four changes each")
	why.Flags().IntVar(&steps, "steps", 0, "play the first so many steps only; 0: all")
	why.Flags().BoolVar(&lie, "sabotage", false, "read another reason than the API tells")
	trial.AddCommand(why, bgpTrialCommand(), restartTrialCommand(), stormTrialCommand())
	return trial
}

func bgpTrialCommand() *cobra.Command {
	var dir, spoil string
	var rounds int
	c := &cobra.Command{Use: "bgp", Short: "Addresses are announced while containers run, in time and without storms", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			program, err := placerProgram(0)
			if err != nil {
				return err
			}
			if spoil != "" {
				own, err := os.Executable()
				if err != nil {
					return err
				}
				program = []string{own, "scheduler", "--spoil-routes", spoil}
			}
			d, err := scenario.LoadDay("scenarios/why.yaml")
			if err != nil {
				return err
			}
			dir, done, err := folder(dir)
			if err != nil {
				return err
			}
			defer done()
			t := &scenario.BGPTrial{Rounds: rounds, Out: os.Stdout}
			ok, err := t.Run(d, dir, program)
			return verdict("bgp", ok, err, "a peer was told too late, too often or what was not so")
		}}
	c.Flags().StringVar(&dir, "dir", "", "folder to keep the logs in")
	c.Flags().IntVar(&rounds, "rounds", 10, "of fifty ends each")
	c.Flags().StringVar(&spoil, "sabotage", "", "late or storm: withdrawals come late, or every change is told at once")
	return c
}

func restartTrialCommand() *cobra.Command {
	var dir string
	var short bool
	t := &scenario.RestartTrial{Out: os.Stdout}
	c := &cobra.Command{Use: "restart", Short: "Nothing that was promised is lost when programs are killed while they write", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if t.Spoil != "" && t.Spoil != "sync" && t.Spoil != "checksum" {
				return fmt.Errorf("--sabotage %q is neither sync nor checksum", t.Spoil)
			}
			t.Sizes, t.Lost = []int{100, 10_000, 100_000}, true
			if short {
				t.Sizes, t.Lost = []int{100}, false
			}
			d, err := scenario.LoadDay("scenarios/short.yaml")
			if err != nil {
				return err
			}
			return withPlacers(dir, 0, func(program []string, dir string) error {
				ok, err := t.Run(d, dir, program)
				return verdict("restart", ok, err, "what was promised was lost, or a rule broken")
			})
		}}
	c.Flags().StringVar(&dir, "dir", "", "folder to keep the records and the logs in")
	c.Flags().IntVar(&t.Kills, "kills", 1000, "of placers; the keeper dies now and then beside")
	c.Flags().BoolVar(&short, "short", false, "leave out the long measurements")
	c.Flags().StringVar(&t.Spoil, "sabotage", "", "sync or checksum: the store leaves it out")
	return c
}

// verdict prints a trial's last line.
func verdict(name string, ok bool, err error, what string) error {
	switch {
	case err != nil:
		fmt.Printf("trial %s: FAILED %v\n", name, err)
	case !ok:
		fmt.Printf("trial %s: FAILED %s\n", name, what)
	default:
		fmt.Printf("trial %s: ok\n", name)
		return nil
	}
	return errNotHeld
}

func stormTrialCommand() *cobra.Command {
	var dir string
	var placers int
	t := &scenario.StormTrial{Ignore: 0.5, Out: os.Stdout}
	c := &cobra.Command{Use: "storm", Short: "When most of a fleet restarts at once, what follows is not worse than that", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			d, err := scenario.LoadDay("scenarios/storm.yaml")
			if err != nil {
				return err
			}
			d.Placers = placers
			own, err := os.Executable()
			if err != nil {
				return err
			}
			return withPlacers(dir, 0, func(program []string, dir string) error {
				t.Program = func(damped bool) []string {
					if damped {
						return []string{own, "scheduler", "--damped"}
					}
					return program
				}
				ok, err := t.Run(d, dir)
				return verdict("storm", ok, err, "a storm outlived its cause, or a rule was broken")
			})
		}}
	c.Flags().StringVar(&dir, "dir", "", "folder to keep the records and the logs in")
	c.Flags().IntVar(&t.Seeds, "seeds", 10, "of the simulated form")
	c.Flags().IntVar(&t.Sockets, "sockets", 1, "runs of each damping over sockets")
	c.Flags().IntVar(&placers, "placers", 3, "over sockets")
	return c
}
