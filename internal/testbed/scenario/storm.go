package scenario

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"glenport/internal/testbed/audit"
	"glenport/scheduler"
)

// StormTrial restarts most of a fleet at once under load, without damping, with clients that back off, and with
// glenport's doors, on a simulated clock and over sockets.
type StormTrial struct {
	Seeds   int // of the simulated form
	Sockets int // runs of each form over sockets; 0: none
	Ignore  float64
	Program func(damped bool) []string
	Out     io.Writer
}

var dampings = []Damping{NoDamping, Exponential, Damped}

// recovery is how a run came through: seconds from the trouble until goodput was back, -1: it never was.
type recoveryOf struct {
	before, lowest float64 // goodput a second
	back           int
	lost           float64 // starts in time that were missed, against the time before
}

// back judges a run by its goodput in each second: it is back when it reaches 95% of before and holds that over three
// seconds on average.
func judge(good []float64, trouble int) recoveryOf {
	r := recoveryOf{lowest: math.Inf(1), back: -1}
	for _, g := range good[2:trouble] {
		r.before += g / float64(trouble-2)
	}
	for i := trouble; i < len(good); i++ {
		r.lowest = min(r.lowest, good[i])
		r.lost += max(0, r.before-good[i])
	}
	for i := trouble + 2; i+3 <= len(good); i++ {
		if good[i]+good[i+1]+good[i+2] >= 3*0.95*r.before {
			r.back = i - trouble
			break
		}
	}
	return r
}

func (r recoveryOf) String() string {
	back := "never in the run (metastable)"
	if r.back >= 0 {
		back = fmt.Sprintf("back after %d s", r.back)
	}
	return fmt.Sprintf("in time %.0f a second before, at worst %.0f, %s, %.0f starts in time lost", r.before, r.lowest, back, r.lost)
}

// Run returns whether glenport came back in every run, sooner than the others or with fewer starts lost.
func (t *StormTrial) Run(day *Day, dir string) (bool, error) {
	ok := t.simulated()
	ok = t.calm() && ok
	t.restarted()
	for i := range t.Sockets {
		var all []recoveryOf
		for _, d := range dampings {
			r, kept, err := t.sockets(day, filepath.Join(dir, fmt.Sprintf("%s-%d", d, i)), d, uint64(i))
			if err != nil {
				return false, err
			}
			fmt.Fprintf(t.Out, "sockets, %d placers, damping %-11s: %s\n", day.Placers, d, r)
			all = append(all, r)
			ok = ok && kept
		}
		glenport := all[len(all)-1]
		ok = ok && glenport.back >= 0
		for _, other := range all[:len(all)-1] {
			ok = ok && glenport.lost < other.lost
		}
	}
	return ok, nil
}

// simulated plays the world for each seed and damping; the dampings of a seed have the same clients.
func (t *StormTrial) simulated() bool {
	ok := true
	for _, ignore := range []float64{0, t.Ignore} {
		all := map[Damping][]recoveryOf{}
		began := time.Now()
		acts, kept, honored := 0, 0, 0
		for seed := range t.Seeds {
			var mu sync.Mutex
			var each sync.WaitGroup
			for _, d := range dampings {
				each.Go(func() {
					w := &World{Seed: uint64(seed + 1), Placers: 3, Machines: 24, Rate: 1200, Length: 60 * scheduler.Second, Damping: d, Ignore: ignore,
						Restart: 20, RestartAt: 10 * scheduler.Second, DownFor: 2 * scheduler.Second}
					w.Run()
					var good []float64
					for _, s := range w.Seconds[:len(w.Seconds)-1] {
						good = append(good, float64(s.Placed))
					}
					mu.Lock()
					defer mu.Unlock()
					all[d] = append(all[d], judge(good, 10))
					acts += w.Acts
					kept, honored = kept+w.Kept, honored+w.Honored
				})
			}
			each.Wait()
		}
		for _, d := range dampings {
			var back []int
			never, lost := 0, 0.0
			for _, r := range all[d] {
				if r.back < 0 {
					never++
				} else {
					back = append(back, r.back)
				}
				lost += r.lost / float64(len(all[d]))
			}
			slices.Sort(back)
			when := "none came back"
			if len(back) > 0 {
				when = fmt.Sprintf("back after %d to %d s", back[0], back[len(back)-1])
			}
			fmt.Fprintf(t.Out, "simulated, 20 of 24 machines restart, %3.0f%% of the clients ignore advice, damping %-11s: %s, metastable in %d of %d; %.0f "+
				"starts in time lost on average\n", 100*ignore, d, when, never, len(all[d]), lost)
			if d == Damped && never > 0 {
				ok = false
			}
		}
		fmt.Fprintf(t.Out, "simulated: %d actions of the modules in %.1f s; %d appointments kept, at %.0f%% of them there was room\n", acts,
			time.Since(began).Seconds(), kept, 100*float64(honored)/float64(max(1, kept)))
		if mean(all[Damped]) >= min(mean(all[NoDamping]), mean(all[Exponential])) {
			ok = false
		}
	}
	return ok
}

// restarted lets all placers die two seconds after the machines are back, with and without what their doors knew.
func (t *StormTrial) restarted() {
	for _, forget := range []bool{false, true} {
		w := &World{Seed: 1, Placers: 3, Machines: 24, Rate: 1200, Length: 60 * scheduler.Second, Damping: Damped, Restart: 20,
			RestartAt: 10 * scheduler.Second, DownFor: 2 * scheduler.Second, PlacersDie: 14 * scheduler.Second, Forget: forget}
		w.Run()
		var good []float64
		for _, s := range w.Seconds[:len(w.Seconds)-1] {
			good = append(good, float64(s.Placed))
		}
		fmt.Fprintf(t.Out, "simulated, all placers die in the storm, what the doors knew is kept %-5v: %s\n", !forget, judge(good, 10))
	}
}

// calm plays an ordinary time without and with the door: it must turn next to nothing away and cost no start in time.
func (t *StormTrial) calm() bool {
	var inTime, asked, shed [2]int
	for i, d := range []Damping{NoDamping, Damped} {
		w := &World{Seed: 5, Placers: 3, Machines: 24, Rate: 700, Length: 120 * scheduler.Second, Damping: d}
		w.Run()
		for _, s := range w.Seconds {
			inTime[i] += s.Placed
			asked[i] += s.Asked
			shed[i] += s.Shed
		}
	}
	lost := 1 - float64(inTime[1])/float64(asked[1])/(float64(inTime[0])/float64(asked[0]))
	fmt.Fprintf(t.Out, "simulated, calm: %d asked, %d turned away; starts in time %.2f%% without the door, %.2f%% with it\n", asked[1], shed[1],
		100*float64(inTime[0])/float64(asked[0]), 100*float64(inTime[1])/float64(asked[1]))
	return lost < 0.01
}

func mean(all []recoveryOf) (lost float64) {
	for _, r := range all {
		lost += r.lost / float64(len(all))
	}
	return lost
}

// sockets plays it with real placers; kept tells whether the rules held and no machine was pushed over.
func (t *StormTrial) sockets(day *Day, dir string, d Damping, seed uint64) (r recoveryOf, kept bool, err error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return r, false, err
	}
	c, err := Bring(day, dir, t.Program(d == Damped))
	if err != nil {
		return r, false, err
	}
	defer c.Close()
	const trouble = 10
	length := int(day.Length.Seconds())
	good := make([]float64, length)
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 8))
	began := time.Now()
	c.Owners.OnPlaced = func(kind int, took time.Duration) {
		agreed := time.Duration(c.Site.Policy.WorkloadClasses[kind].LatencyObjective) * 100 * time.Microsecond
		if at := int(time.Since(began).Seconds()); took <= agreed && at < length {
			mu.Lock()
			good[at]++
			mu.Unlock()
		}
	}
	c.Owners.Backoff = func(tries int, hold time.Duration) time.Duration { // called under the owners' lock
		switch {
		case d == Exponential || d == Damped && hold == 0:
			span := 200 * time.Millisecond << min(tries+1, 7)
			return span/2 + time.Duration(rng.Int64N(int64(span/2)))
		case d == Damped:
			return hold
		}
		return 50*time.Millisecond + time.Duration(rng.Int64N(int64(100*time.Millisecond)))
	}
	c.Owners.Start(day.Rate, day.Seed+seed)
	time.Sleep(time.Until(began.Add(trouble * time.Second)))
	struck := c.Machines[:20]
	for _, m := range struck {
		m.Crash()
	}
	time.Sleep(1500 * time.Millisecond)
	for _, m := range struck {
		if err := m.Start(false); err != nil {
			return r, false, err
		}
	}
	time.Sleep(time.Until(began.Add(day.Length)))
	c.Owners.SetRate(0)
	for end := time.Now().Add(day.Settle); c.Owners.Pending() > 0 && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
	}
	fell := 0
	for _, m := range c.Machines {
		if s, ok := m.Status(); ok && s.Overwhelmed {
			fell++
		}
	}
	tally := c.Owners.Close()
	if err := c.Close(); err != nil {
		return r, false, err
	}
	j, err := audit.CheckRecording(filepath.Join(dir, "record"))
	if err != nil {
		return r, false, err
	}
	PrintViolations(t.Out, j)
	fmt.Fprintf(t.Out, "  %d submitted (%d again), %d placed, %d pushed back, %d turned away, %d given up; %d machines pushed over, cold ones at most at "+
		"%d of %d\n", tally.Submitted, tally.Retried, tally.Placed, tally.Rejected, tally.NotAdmitted, tally.Failed, fell, j.SlowStartPeak, j.SlowStartBudget)
	return judge(good, trouble), j.Passed() && fell == 0, nil
}
