package scenario

import (
	"fmt"
	"io"
	"math/rand/v2"
	"path/filepath"
	"sort"
	"sync"
	"time"

	"glenport/internal/protocol"
	"glenport/internal/testbed/audit"
	"glenport/internal/testbed/emulator"
	"glenport/internal/testbed/faultproxy"
)

// Outcome is what a day came to.
type Outcome struct {
	Tally  emulator.Tally
	Audit  *audit.Report
	Fell   int // cold machines pushed over
	Played map[string]int
	Status map[string]map[string]float64
}

// Held tells whether every rule was kept and every container got its one answer.
func (o *Outcome) Held() bool {
	return o.Audit.Passed() && o.Tally.DuplicateReplies == 0 && o.Tally.Pending == 0
}

// Run plays the day with placers started by program, in a folder where its record and logs stay.
func (d *Day) Run(dir string, program []string, out io.Writer) (*Outcome, error) {
	c, err := Bring(d, dir, program)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	began := time.Now()
	var say sync.Mutex
	note := func(format string, a ...any) {
		say.Lock()
		defer say.Unlock()
		fmt.Fprintf(out, "%6.1f s  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, a...))
	}
	note("%d placers, %d machines in %d halls, %.0f submissions a second", len(c.Placers), len(c.Machines), len(d.Halls), d.Rate)
	p := &player{Cluster: c, day: d, rng: rand.New(rand.NewPCG(d.Seed, 11)), note: note,
		faults: map[int]func(string, protocol.Role, string) faultproxy.Fault{}}
	c.Owners.Start(d.Rate, d.Seed)
	over := make(chan struct{})
	wait := func(s time.Duration) {
		select {
		case <-over:
		case <-time.After(s):
		}
	}
	o := &Outcome{Played: map[string]int{}, Status: map[string]map[string]float64{}}
	var playing sync.WaitGroup
	for _, t := range d.Troubles {
		playing.Go(func() {
			wait(t.At - time.Since(began))
			select {
			case <-over:
				return
			default:
			}
			say.Lock()
			o.Played[t.Kind]++
			say.Unlock()
			note("%s%s", t.Kind, t.figures(d))
			troubles[t.Kind](p, t, wait)
			note("%s: over", t.Kind)
		})
	}
	time.Sleep(d.Length - time.Since(began))
	close(over)
	c.Owners.SetRate(0)
	playing.Wait()
	for end := time.Now().Add(d.Settle); c.Owners.Pending() > 0 && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
	}
	for _, x := range c.Placers {
		if s, err := x.Status(); err == nil {
			o.Status[x.Name] = s
		}
	}
	for _, m := range c.Machines {
		if s, ok := m.Status(); ok && s.Overwhelmed {
			o.Fell++
		}
	}
	o.Tally = c.Owners.Close()
	if err := c.Close(); err != nil {
		return nil, fmt.Errorf("the record is not whole: %w", err)
	}
	if o.Audit, err = audit.CheckRecording(filepath.Join(dir, "record")); err != nil {
		return nil, err
	}
	return o, nil
}

func (t Trouble) figures(d *Day) string {
	s := fmt.Sprintf(", for %.1f s", t.For.Seconds())
	if t.Part > 0 {
		s += fmt.Sprintf(", part %.2f", t.Part)
	}
	if t.Size > 0 {
		s += fmt.Sprintf(", size %.1f", t.Size)
	}
	if t.Kind == "hall cut off" || t.Kind == "hall restarts cold" {
		s += ", " + d.Halls[t.Hall]
	}
	return s
}

// Print writes the day's figures.
func (o *Outcome) Print(out io.Writer) {
	t, j := &o.Tally, o.Audit
	fmt.Fprintf(out, "owners: %d submitted (%d of them again), %d placed, %d pushed back, %d given up, %d turned away, "+
		"%d whose placer went first, %d unsent, %d without an answer, %d answers too many\n", t.Submitted, t.Retried, t.Placed,
		t.Rejected, t.Failed, t.NotAdmitted, t.Unanswered, t.Unsent, t.Pending, t.DuplicateReplies)
	fmt.Fprintf(out, "placed: %d ended in their owner's hearing, %d evicted, %d lost with a machine\n", t.Ended, t.Evicted, t.Lost)
	fmt.Fprintf(out, "submission to yes: p50 %.1f ms, p99 %.1f ms, p99.9 %.1f ms\n", float64(t.PlacementLatency.ValueAtQuantile(50))/1000,
		float64(t.PlacementLatency.ValueAtQuantile(99))/1000, float64(t.PlacementLatency.ValueAtQuantile(99.9))/1000)
	var names []string
	for n := range o.Status {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		s := o.Status[n]
		fmt.Fprintf(out, "%s: submission to bid p50 %.2f ms, p99 %.2f ms, p99.9 %.2f ms; busy %.1f%%, deciding %.1f%% of that; "+
			"%.0f taken over, %.0f MiB, %.0f goroutines\n", n, s["placing p50"], s["placing p99"], s["placing p99.9"],
			100*s["busy"]/s["up"], 100*s["deciding"]/s["busy"], s["containers taken over"], s["memory"], s["goroutines"])
	}
	fmt.Fprintf(out, "record: %d frames, %d submissions, %d offers, %d yeses; cold machines at most at %d of %d offers in a window, "+
		"%d pushed over; last offer after a drain was told %.1f ms\n", j.Frames, j.Submitted, j.Offers, j.Accepted, j.SlowStartPeak,
		j.SlowStartBudget, o.Fell, j.DrainLatency)
	PrintViolations(out, j)
	if o.Held() {
		fmt.Fprintf(out, "rules: kept, one final answer for each of %d containers\n", t.Submitted-t.Unanswered-t.Unsent)
	} else if j.Passed() {
		fmt.Fprintf(out, "rules: kept on the record, but %d containers without an answer and %d answers too many\n", t.Pending, t.DuplicateReplies)
	}
}

// PrintViolations writes the first violations of each rule, and ends with the rules' numbers where there are any.
func PrintViolations(out io.Writer, j *audit.Report) {
	rules := map[audit.Rule]int{}
	for _, f := range j.Violations {
		if rules[f.Rule]++; rules[f.Rule] <= 3 {
			fmt.Fprintln(out, f)
		}
	}
	if len(rules) == 0 {
		return
	}
	s := ""
	for r := audit.RuleFinalReply; r <= audit.LastRule; r++ {
		if rules[r] > 0 {
			s += fmt.Sprintf(" %d (%d times or more)", r, rules[r])
		}
	}
	fmt.Fprintf(out, "rules: broken:%s\n", s)
}
