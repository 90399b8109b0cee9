package why

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"glenport/internal/protocol"
	"glenport/internal/testbed/cluster"
	"glenport/internal/testbed/emulator"
	"glenport/internal/testbed/process"
	"glenport/internal/testbed/report"
	"glenport/internal/testbed/scenario"
	"glenport/internal/testbed/trials"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Trial starts a cluster with a controller, makes containers pend for known reasons, and compares what a client
// reads through the API with the state of the emulated machines themselves.
type Trial struct {
	Cluster  *cluster.Cluster
	Cycles   int  // of draining and filling; each holds four changes
	Steps    int  // how many of the trial's steps are played; 0: all
	Sabotage bool // read another code than the API returns, to show that the trial sees it
	Out      io.Writer

	*process.Controller
	trials.Runner
	delays *hdrhistogram.Histogram // milliseconds
	checks int
}

// reasonLimit is the time in which a client must read the true reason.
const reasonLimit = time.Second

// The codes of reasons that the trial expects, and the limits of the settings that it knows.
const (
	reasonNoMachine   = "no_machine"
	reasonNoRoom      = "no_room"
	reasonNoScheduler = "no_placer"
	reasonFencing     = "guard"
	reasonBackingOff  = "backing_off"
	reasonZoneDrains  = "hall_drains"
	reasonListAway    = "list_away"
	reasonSpreadFull  = "spread_full"
	placementTimeout  = 4 * time.Second // of the trial's at-most-once work
	listSilenceLimit  = 4 * time.Second // after which the list counts as unavailable
	spreadTimeout     = time.Minute
)

// Run plays the trial and reports whether all held.
func (t *Trial) Run(s *scenario.Scenario, dir string, program []string) (ok bool, err error) {
	t.delays = hdrhistogram.New(1, 60_000, 3)
	if t.Cluster, err = cluster.Start(s.Spec, dir, program); err != nil {
		return false, err
	}
	defer t.Cluster.Shutdown()
	if t.Controller, err = t.Cluster.StartController(program[0], nil, ""); err != nil {
		return false, err
	}
	defer t.Terminate()
	steps := []trials.Step{
		{Name: "drains and room", Play: timed(t.playDrainsAndRoom)},
		{Name: "four reasons at once", Play: timed(t.playCombinedReasons)},
		{Name: "spread", Play: timed(t.playSpread)},
		{Name: "guard", Play: timed(t.playFencing)},
		{Name: "scaled down in the guard", Play: timed(t.playScaleDownWhileFenced)},
		{Name: "list away", Play: timed(t.playListUnavailable)},
		{Name: "placers killed while the owner asks", Play: timed(t.playSchedulersKilled)},
	}
	if t.Steps > 0 {
		steps = steps[:min(t.Steps, len(steps))]
	}
	if err := t.Play(t.Out, 38, steps); err != nil {
		return false, err
	}
	report.Printf(t.Out, "%d changes: the true reason was read after p50 %d ms, p99 %d ms, worst %d ms\n", t.checks,
		t.delays.ValueAtQuantile(50), t.delays.ValueAtQuantile(99), t.delays.Max())
	return t.Passed(), nil
}

// timed makes a step of a function: its figures are the time that it took.
func timed(play func() error) func() (string, error) {
	return func() (string, error) {
		began := time.Now()
		err := play()
		return fmt.Sprintf("%5.1f s", time.Since(began).Seconds()), err
	}
}

// pendingReasons is the API's answer to why a container is pending.
type pendingReasons struct {
	State   string
	Reasons []pendingReason
}

type pendingReason struct {
	Code    string
	Text    string
	Figures map[string]float64
	UntilMS int64 `json:"until_ms"`
}

// find returns the reason with a code.
func (r *pendingReasons) find(code string) (pendingReason, bool) {
	for _, reason := range r.Reasons {
		if reason.Code == code {
			return reason, true
		}
	}
	return pendingReason{}, false
}

// sabotagedCodes has the codes that a sabotaged trial reads in place of the true ones.
var sabotagedCodes = map[string]string{
	reasonNoMachine: reasonNoRoom,
	reasonNoRoom:    reasonNoMachine,
	reasonFencing:   reasonBackingOff,
}

// codes reads a container's reasons.
func (t *Trial) codes(container string) (map[string]bool, pendingReasons, error) {
	var answer pendingReasons
	if err := t.Get("/v1/containers/"+container+"/why", &answer); err != nil {
		return nil, answer, err
	}
	codes := map[string]bool{}
	for _, reason := range answer.Reasons {
		code := reason.Code
		if t.Sabotage {
			code = sabotagedCodes[code]
		}
		codes[code] = true
	}
	return codes, answer, nil
}

// expectation is what a client must read of a container.
type expectation struct {
	what      string // names the change before
	container string
	since     time.Time // when it became true
	want      []string  // codes that must be read
	not       []string  // codes that must not be read; all others may
	holds     func(pendingReasons) bool
}

func (e *expectation) met(codes map[string]bool, answer pendingReasons) bool {
	if e.holds != nil && !e.holds(answer) {
		return false
	}
	for _, code := range e.want {
		if !codes[code] {
			return false
		}
	}
	for _, code := range e.not {
		if codes[code] {
			return false
		}
	}
	return true
}

// expect waits until the client reads the codes wanted and none of those excluded.
func (t *Trial) expect(what, container string, since time.Time, want, not []string) error {
	return t.expectMatching(expectation{what: what, container: container, since: since, want: want, not: not})
}

// expectMatching waits until what is read meets an expectation. It records the delay, and a miss if that is longer
// than reasonLimit.
func (t *Trial) expectMatching(e expectation) error {
	t.checks++
	for wrong := (pendingReasons{}); ; time.Sleep(10 * time.Millisecond) {
		codes, answer, err := t.codes(e.container)
		if err != nil {
			return err
		}
		took := time.Since(e.since)
		switch {
		case e.met(codes, answer):
			t.recordDelay(max(1, took.Milliseconds()))
			if took > reasonLimit {
				t.Miss(
					"%s: the truth was read after %d ms, before that %s %+v",
					e.what,
					took.Milliseconds(),
					wrong.State,
					wrong.Reasons,
				)
			}
			return nil
		case took > 5*reasonLimit:
			read := slices.Sorted(maps.Keys(codes))
			t.Miss(
				"%s: read [%s], true is [%s] and not [%s]",
				e.what,
				strings.Join(read, " "),
				strings.Join(e.want, " "),
				strings.Join(e.not, " "),
			)
			t.recordDelay(took.Milliseconds())
			return nil
		}
		wrong = answer
	}
}

func (t *Trial) recordDelay(milliseconds int64) {
	_ = t.delays.RecordValue(milliseconds) // longer than its range is a miss already
}

// countFittingMachines counts, by the machines' own state, those that would accept a container.
func (t *Trial) countFittingMachines(cores, memory float64) int {
	n := 0
	for _, m := range t.Cluster.Machines {
		s, ok := m.Status()
		if ok && s.Up && !s.Draining && m.Cores*(m.AcceptCores-1)+s.FreeCores >= cores &&
			m.Memory*(m.AcceptMemory-1)+s.FreeMemory >= memory {
			n++
		}
	}
	return n
}

func (t *Trial) drain(on bool, which func(*emulator.Machine) bool) {
	state := protocol.MachineServing
	if on {
		state = protocol.MachineDraining
	}
	for _, m := range t.Cluster.Machines {
		if which(m) {
			t.Cluster.List.SetState(m, state)
			m.SetDraining(on, false)
		}
	}
}

// Each large machine accepts 96 cores and thus one container of fillerCores; the next needs as many more.
const (
	fillerCores  = 60
	fillerMemory = 1
	fillerJob    = "filler"
	pendingJob   = "waits"
	pendingOne   = "waits.0" // its container
)

func isLarge(m *emulator.Machine) bool { return m.MachineType == "large" || m.MachineTypeIndex == 1 }

func inFirstZone(m *emulator.Machine) bool { return m.ZoneIndex == 0 }

// playDrainsAndRoom changes the reason of one pending container again and again: no room, then all that could run it
// drain, then no room, then room.
func (t *Trial) playDrainsAndRoom() error {
	large := 0
	for _, m := range t.Cluster.Machines {
		if isLarge(m) {
			large++
		}
	}
	if err := t.CreateJob(fillerJob, process.WorkloadLargeOnly, large, fillerCores, fillerMemory); err != nil {
		return err
	}
	if err := t.WaitRunning(fillerJob, large); err != nil {
		return err
	}
	for range t.Cycles {
		if err := t.fullThenDraining(); err != nil {
			return err
		}
		if err := t.roomAgain(large); err != nil {
			return err
		}
	}
	return nil
}

// fullThenDraining submits one container more than fits, drains all machines that may run it and ends the drain.
func (t *Trial) fullThenDraining() error {
	if n := t.countFittingMachines(fillerCores, fillerMemory); n != 0 {
		return fmt.Errorf("the fleet was to be full, and has room on %d", n)
	}
	since := time.Now()
	if err := t.CreateJob(pendingJob, process.WorkloadLargeOnly, 1, fillerCores, fillerMemory); err != nil {
		return err
	}
	if err := t.expect("full", pendingOne, since, []string{reasonNoRoom}, []string{reasonNoMachine}); err != nil {
		return err
	}
	since = time.Now()
	t.drain(true, isLarge)
	if err := t.expect(
		"all draining",
		pendingOne,
		since,
		[]string{reasonNoMachine},
		[]string{reasonNoRoom},
	); err != nil {
		return err
	}
	since = time.Now()
	t.drain(false, isLarge)
	return t.expect("in service, and full", pendingOne, since, []string{reasonNoRoom}, []string{reasonNoMachine})
}

// roomAgain scales the filler down by one, so that the pending container fits, and restores the fleet after that.
func (t *Trial) roomAgain(large int) error {
	if err := t.ReplaceJob(fillerJob, process.WorkloadLargeOnly, large-1, fillerCores, fillerMemory); err != nil {
		return err
	}
	placed := func() bool { return t.CountContainers(pendingJob, process.StateRunning) > 0 }
	if err := process.WaitUntil("the stand-in has room", 5*time.Second, func() bool {
		return t.countFittingMachines(fillerCores, fillerMemory) > 0 || placed()
	}); err != nil {
		return err
	}
	if since := time.Now(); t.CountContainers(pendingJob, process.StateRunning) == 0 {
		// The machine with room may be excluded for another reason: it drained a moment ago, and rejected work then.
		// But no more machines may be reported as full than are.
		if err := t.expectMatching(expectation{
			what: "room", container: pendingOne, since: since, not: []string{reasonNoMachine},
			holds: func(answer pendingReasons) bool {
				noRoom, found := answer.find(reasonNoRoom)
				return !found || int(noRoom.Figures["full"]) == large-t.countFittingMachines(fillerCores, fillerMemory)
			},
		}); err != nil {
			return err
		}
	}
	if err := t.DeleteJob(pendingJob); err != nil {
		return err
	}
	if err := t.ReplaceJob(fillerJob, process.WorkloadLargeOnly, large, fillerCores, fillerMemory); err != nil {
		return err
	}
	return t.WaitRunning(fillerJob, large)
}

// playCombinedReasons drains a whole zone while the rest is full of the pending container's own service and other work,
// so that several reasons hold at once, each by the machines' own state.
func (t *Trial) playCombinedReasons() error {
	since := time.Now()
	t.drain(true, inFirstZone)
	if err := t.CreateJob(pendingJob, process.WorkloadLargeOnly, 1, fillerCores, fillerMemory); err != nil {
		return err
	}
	if err := t.expect("a hall drains, the rest is full", pendingOne, since,
		[]string{reasonZoneDrains, reasonNoRoom, reasonBackingOff}, []string{reasonNoMachine}); err != nil {
		return err
	}
	since = time.Now()
	t.Cluster.List.SetUnreachable(true)
	if err := t.expect(
		"and the list is away",
		pendingOne,
		since.Add(listSilenceLimit),
		[]string{
			reasonZoneDrains,
			reasonNoRoom,
			reasonBackingOff,
			reasonListAway,
		},
		[]string{reasonNoMachine},
	); err != nil {
		return err
	}
	t.Cluster.List.SetUnreachable(false)
	t.drain(false, inFirstZone)
	if err := t.DeleteJob(pendingJob); err != nil {
		return err
	}
	return t.DeleteJob(fillerJob)
}

// spreadCapacity is how many containers of an at-most-once service fit by its spread: two a machine at each scheduler.
func (t *Trial) spreadCapacity() int {
	return 2 * len(t.Cluster.Machines) * len(t.Cluster.Schedulers)
}

// playSpread submits more of a service than its spread leaves room for.
func (t *Trial) playSpread() error {
	const job = "spread"
	capacity := t.spreadCapacity()
	if err := t.CreateJob(job, process.WorkloadAtMostOnce, capacity+4, 0.1, 0.1); err != nil {
		return err
	}
	if err := process.WaitUntil(
		"the spread is full",
		spreadTimeout,
		func() bool { return t.CountContainers(job, process.StateRunning) >= capacity-2 },
	); err != nil {
		return err
	}
	// One scheduler's places may be full while the other has one; the true reason is that of the scheduler asked.
	if err := process.WaitUntil(
		"both placers are full",
		spreadTimeout,
		func() bool { return t.CountContainers(job, process.StateRunning) == capacity },
	); err != nil {
		return err
	}
	var pending struct{ Items []struct{ ID string } }
	if err := t.Get("/v1/containers?limit=1000&field=job=spread,state!=running", &pending); err != nil {
		return fmt.Errorf("list the pending containers of the spread job: %w", err)
	}
	if len(pending.Items) == 0 {
		return errors.New("none of the spread job waits")
	}
	last := pending.Items[len(pending.Items)-1].ID
	if err := t.expect(
		"spread full",
		last,
		time.Now(),
		[]string{reasonSpreadFull},
		[]string{reasonNoMachine, reasonNoRoom},
	); err != nil {
		return err
	}
	return t.DeleteJob(job)
}

// playFencing loses the reply to an at-most-once attempt: nothing may be done for the fencing delay, and then it is.
func (t *Trial) playFencing() error {
	const job, first = "guarded", "guarded.0"
	t.Cluster.FreezeAll(true)
	since := time.Now()
	if err := t.CreateJob(job, process.WorkloadAtMostOnce, 2, 0.1, 0.1); err != nil {
		return err
	}
	err := t.expect("given up, and it may run", first, since.Add(placementTimeout), []string{reasonFencing}, nil)
	_, answer, readErr := t.codes(first)
	t.Cluster.FreezeAll(false)
	if err := errors.Join(err, readErr); err != nil {
		return err
	}
	fencing, _ := answer.find(reasonFencing) // its time, if it is missing, is a miss below
	ends := time.UnixMilli(fencing.UntilMS)
	if left := time.Until(ends); left <= 0 || left > 9*time.Second {
		t.Miss("the guard is said to end in %v", left)
		return nil
	}
	time.Sleep(time.Until(ends))
	if err := t.expect("the guard is over", first, ends, nil, []string{reasonFencing}); err != nil {
		return err
	}
	if err := t.WaitRunning(job, 2); err != nil {
		return err
	}
	return t.DeleteJob(job)
}

// connectAllMachines uses every machine once. A freeze before has cost connections; an attempt over a connection that
// is not up provably never runs, and needs no fencing.
func (t *Trial) connectAllMachines() error {
	const job = "warm"
	capacity := t.spreadCapacity()
	if err := t.CreateJob(job, process.WorkloadAtMostOnce, capacity, 0.1, 0.1); err != nil {
		return err
	}
	if err := process.WaitUntil(
		"every machine is in use again",
		spreadTimeout,
		func() bool { return t.CountContainers(job, process.StateRunning) == capacity },
	); err != nil {
		return err
	}
	return t.DeleteJob(job)
}

// playScaleDownWhileFenced scales a job down while its containers are fenced: none of them may be left running.
func (t *Trial) playScaleDownWhileFenced() error {
	const job = "shrinks"
	if err := t.connectAllMachines(); err != nil {
		return err
	}
	t.Cluster.FreezeAll(true)
	since := time.Now()
	if err := t.CreateJob(job, process.WorkloadAtMostOnce, 2, 0.1, 0.1); err != nil {
		return err
	}
	err := t.expect("in the guard", "shrinks.1", since.Add(placementTimeout), []string{reasonFencing}, nil)
	if err == nil {
		err = t.ReplaceJob(job, process.WorkloadAtMostOnce, 0, 0.1, 0.1)
	}
	t.Cluster.FreezeAll(false)
	if err != nil {
		return err
	}
	if err := t.DeleteJob(job); err != nil {
		return err
	}
	return process.WaitUntil("nothing of it runs", 10*time.Second, func() bool { return t.Cluster.CountRunning() == 0 })
}

// unplaceableJob has a container that never runs: no machine is large enough.
const unplaceableJob, unplaceableOne = "huge", "huge.0"

func (t *Trial) playListUnavailable() error {
	since := time.Now()
	if err := t.CreateJob(unplaceableJob, process.WorkloadMatcher, 1, 500, 1); err != nil {
		return err
	}
	if err := t.expect(
		"too large for all",
		unplaceableOne,
		since,
		[]string{reasonNoMachine},
		[]string{reasonNoRoom, reasonListAway},
	); err != nil {
		return err
	}
	since = time.Now()
	t.Cluster.List.SetUnreachable(true)
	if err := t.expect(
		"the list is away",
		unplaceableOne,
		since.Add(listSilenceLimit),
		[]string{reasonListAway, reasonNoMachine},
		nil,
	); err != nil {
		return err
	}
	t.Cluster.List.SetUnreachable(false)
	// The schedulers connect again after a backoff of their own; the reason must go within a second after that.
	return process.WaitUntil("the list is heard again", 10*time.Second, func() bool {
		codes, _, err := t.codes(unplaceableOne)
		return err == nil && !codes[reasonListAway]
	})
}

// playSchedulersKilled kills all schedulers while the unplaceable container is pending.
func (t *Trial) playSchedulersKilled() error {
	since := time.Now()
	for _, p := range t.Cluster.Schedulers {
		t.Cluster.KillScheduler(p)
	}
	if err := t.expect(
		"all placers killed",
		unplaceableOne,
		since,
		[]string{reasonNoScheduler},
		[]string{reasonNoMachine},
	); err != nil {
		return err
	}
	for _, p := range t.Cluster.Schedulers {
		if err := t.Cluster.StartScheduler(p); err != nil {
			return err
		}
	}
	if err := t.expect("and up again", unplaceableOne, time.Now(), nil, []string{reasonNoScheduler}); err != nil {
		return err
	}
	return t.DeleteJob(unplaceableJob)
}
