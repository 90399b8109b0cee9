// Package simprotocol turns the simulator's lines into a placer's events, and its actions into lines.
package simprotocol

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"

	"glenport/scheduler"
)

// Delivery is one event for one instance. Start sets up a new instance, Stop ends it.
type Delivery struct {
	Line     int
	Instance int
	Event    scheduler.Event
	Start    *scheduler.Config
	Stop     bool
}

// Frame is one batch of events.
type Frame struct {
	Now        scheduler.Time
	Seq        string
	Deliveries []Delivery
}

// Decoder reads frames and keeps the numbered lists of machines.
type Decoder struct {
	in   *bufio.Reader
	line int
	// lists holds at most 16 numbered lists; a new one takes the place of its number's last.
	lists [16][]scheduler.MachineEntry
	known [16]bool
}

func NewDecoder(r io.Reader) *Decoder { return &Decoder{in: bufio.NewReaderSize(r, 1<<16)} }

// tenths rounds down, so that no time read is later than the one sent.
func tenths(ms float64) scheduler.Time { return scheduler.Time(math.Floor(ms*10 + 1e-6)) }

func parseNumber(v string) (float64, error) {
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(f) || math.Abs(f) > 1e14 {
		return 0, fmt.Errorf("%q is no number", v)
	}
	return f, nil
}

// next returns the next line; io.EOF only where no byte of one is left.
func (d *Decoder) next() (string, error) {
	s, err := d.in.ReadString('\n')
	if err == io.EOF && s != "" {
		return "", fmt.Errorf("line %d: input ends inside a line", d.line+1)
	}
	if err != nil {
		return "", err
	}
	d.line++
	return strings.TrimSuffix(strings.TrimSuffix(s, "\n"), "\r"), nil
}

// Next reads a frame. It returns io.EOF at the end of input between frames.
func (d *Decoder) Next() (*Frame, error) {
	s, err := d.next()
	if err != nil {
		return nil, err
	}
	f := d.fields(s)
	if f.word() != "FRAME" {
		return nil, d.faulty(s, errors.New("a FRAME line was expected"))
	}
	frame := &Frame{Now: f.time(), Seq: f.word()}
	if err := f.done(); err != nil {
		return nil, d.faulty(s, err)
	}
	for {
		s, err := d.next()
		if err == io.EOF {
			return nil, fmt.Errorf("line %d: input ends inside a frame", d.line)
		}
		if err != nil {
			return nil, err
		}
		if s == "COMMIT" {
			return frame, nil
		}
		if err := d.event(frame, s); err != nil {
			return nil, d.faulty(s, err)
		}
	}
}

func (d *Decoder) faulty(s string, err error) error {
	if len(s) > 120 {
		s = s[:120] + "..."
	}
	return fmt.Errorf("line %d: %w: %q", d.line, err, s)
}

func (d *Decoder) event(frame *Frame, s string) error {
	f := d.fields(s)
	name := f.word()
	if name == "SHEET" {
		return d.list(f)
	}
	out := Delivery{Line: d.line, Instance: f.whole()}
	switch name {
	case "CONFIGURE":
		seed, err := strconv.ParseUint(f.word(), 10, 64)
		if err != nil {
			return errors.New("the seed is no whole number")
		}
		terms, err := ParseTerms(seed, f.rest())
		if err != nil {
			return err
		}
		out.Start = &terms
	case "KILLED":
		out.Stop = true
	case "UPDATE":
		e := scheduler.MachineListUpdate{Mode: oneOf(f, listModes), Version: int64(f.whole())}
		ref := f.word()
		if e.Mode != scheduler.UpdateFailed {
			n, err := strconv.Atoi(ref)
			if err != nil || n < 0 || n >= len(d.lists) || !d.known[n] {
				return fmt.Errorf("no list has the number %q", ref)
			}
			e.Entries = d.lists[n]
		}
		out.Event = e
	case "PENDING":
		a := scheduler.PlacementRequest{ID: scheduler.ContainerID(f.word())}
		a.Tenant, a.ClientRetry = f.wholeOr0(), f.wholeOr0()&16 != 0
		a.IdempotencyKey, a.WorkloadClass = f.word(), f.whole()
		a.Memory, a.Cores, a.Deadline = f.numberOr0(), f.numberOr0(), f.time()
		a.Service, a.ExpectedRuntime = f.word(), f.timeOr0()
		out.Event = scheduler.RequestReceived{PlacementRequest: a}
	case "ALREADY_PLACED":
		a := scheduler.PlacementRequest{ID: scheduler.ContainerID(f.word()), Service: f.word(), Deadline: f.timeOr0()}
		a.WorkloadClass, a.Cores, a.IdempotencyKey, a.Tenant = f.whole(), f.numberOr0(), f.word(), f.wholeOr0()
		a.Memory, a.ClientRetry, a.ExpectedRuntime = f.numberOr0(), f.wholeOr0()&16 != 0, f.timeOr0()
		out.Event = scheduler.ContainerAdopted{PlacementRequest: a, Machine: scheduler.MachineID(f.word())}
	case "CONFIRMED":
		out.Event = scheduler.AttemptAccepted{ID: scheduler.ContainerID(f.word()), Attempt: f.whole(),
			Machine: scheduler.MachineID(f.word()), Elapsed: f.timeOr0()}
	case "INTERIM":
		out.Event = scheduler.UsageReported{ID: scheduler.ContainerID(f.word()), Machine: scheduler.MachineID(f.word()),
			Attempt: f.whole(), Metric: scheduler.UsageMetric(f.whole()), Value: f.number()}
	case "DONE":
		e := scheduler.AttemptEnded{ID: scheduler.ContainerID(f.word()), Final: f.flag(), Attempt: f.whole(),
			Outcome: oneOf(f, outcomes), Machine: scheduler.MachineID(f.word())}
		e.Reason, e.Elapsed, e.Report = scheduler.Reason(f.wholeOr0()), f.timeOr0(), f.report()
		out.Event = e
	case "HEALTH_RESULT":
		out.Event = scheduler.ProbeCompleted{Machine: scheduler.MachineID(f.word()), Outcome: oneOf(f, outcomes),
			Elapsed: f.timeOr0(), Report: f.report()}
	case "TICK_DUE":
		out.Event = scheduler.TimerFired{Name: f.word()}
	case "NOTE_FROM": // no placer sends any, and none is heeded
		return nil
	case "VANISHED":
		out.Event = scheduler.ContainerRemoved{ID: scheduler.ContainerID(f.word())}
	default:
		return errors.New("unknown message")
	}
	frame.Deliveries = append(frame.Deliveries, out)
	return f.done()
}

func (d *Decoder) list(f *fields) error {
	ref, n := f.whole(), f.whole()
	if err := f.done(); err != nil {
		return err
	}
	if ref < 0 || ref >= len(d.lists) || n < 0 {
		return errors.New("list number or count out of range")
	}
	var entries []scheduler.MachineEntry
	for i := 0; i < n; i++ {
		s, err := d.next()
		if err == io.EOF {
			return errors.New("input ends inside a list")
		}
		if err != nil {
			return err
		}
		f := d.fields(s)
		if f.word() != "ITEM" {
			return fmt.Errorf("list of %d entries breaks off after %d", n, i)
		}
		e := scheduler.MachineEntry{Machine: scheduler.MachineID(f.word()), Zone: f.whole(), MachineType: f.whole(),
			RackGroup: f.whole(), State: oneOf(f, states), FreeCores: f.numberOr0(), PowerHint: f.numberOr0(),
			FreeMemory: f.numberOr0(), StartedAt: f.timeOr0()}
		if err := f.done(); err != nil {
			return err
		}
		entries = append(entries, e)
	}
	d.lists[ref], d.known[ref] = entries, true
	return nil
}

var listModes = map[string]scheduler.UpdateMode{"Partial": scheduler.DeltaUpdate, "Complete": scheduler.FullSnapshot,
	"Persisted": scheduler.RestoredSnapshot, "Error": scheduler.UpdateFailed}

var states = map[string]scheduler.MachineState{"SERVING": scheduler.MachineServing, "DRAINING": scheduler.MachineDraining,
	"DELETED": scheduler.MachineGone}

var outcomes = map[string]scheduler.Outcome{"GOOD": scheduler.OutcomeFinished, "BAD": scheduler.OutcomeErrored, "FULL": scheduler.OutcomeFull,
	"LATE": scheduler.OutcomeTimedOut, "NOCONN": scheduler.OutcomeConnectFailed, "RST": scheduler.OutcomeLost, "CXL": scheduler.OutcomeStopped,
	"NOP": scheduler.OutcomeNotSent}

// fields takes a line apart and keeps the first fault met.
type fields struct {
	words []string
	fault error
}

func (d *Decoder) fields(s string) *fields { return &fields{words: strings.Split(s, " ")} }

func (f *fields) fail(format string, a ...any) {
	if f.fault == nil {
		f.fault = fmt.Errorf(format, a...)
	}
}

func (f *fields) word() string {
	if len(f.words) == 0 {
		f.fail("a field is missing")
		return ""
	}
	w := f.words[0]
	if f.words = f.words[1:]; w == "" {
		f.fail("a field is empty")
	}
	return w
}

func (f *fields) rest() []string {
	w := f.words
	f.words = nil
	return w
}

func (f *fields) done() error {
	if len(f.words) > 0 {
		f.fail("%d fields too many", len(f.words))
	}
	return f.fault
}

func (f *fields) parse(w string) float64 {
	v, err := parseNumber(w)
	if err != nil && f.fault == nil {
		f.fault = err
	}
	return v
}

func (f *fields) number() float64 { return f.parse(f.word()) }

func (f *fields) numberOr0() float64 {
	if w := f.word(); w != "-" {
		return f.parse(w)
	}
	return 0
}

func (f *fields) time() scheduler.Time    { return tenths(f.number()) }
func (f *fields) timeOr0() scheduler.Time { return tenths(f.numberOr0()) }

func (f *fields) parseWhole(w string) int {
	n, err := strconv.Atoi(w)
	if err != nil || n < 0 {
		f.fail("%q is no whole number from 0", w)
		n = 0
	}
	return n
}

func (f *fields) whole() int { return f.parseWhole(f.word()) }

func (f *fields) wholeOr0() int {
	if w := f.word(); w != "-" {
		return f.parseWhole(w)
	}
	return 0
}

func (f *fields) flag() bool {
	switch w := f.word(); w {
	case "1":
		return true
	case "0":
	default:
		f.fail("%q is neither 1 nor 0", w)
	}
	return false
}

func (f *fields) report() scheduler.LoadReport {
	w := f.word()
	if w == "-" || w == "" {
		return nil
	}
	r := scheduler.LoadReport{}
	for _, p := range strings.Split(w, ",") {
		k, v, ok := strings.Cut(p, ":")
		if !ok {
			f.fail("report %q has no value", p)
			return nil
		}
		if v != "-" {
			r[k] = f.parse(v)
		}
	}
	return r
}

func oneOf[T any](f *fields, words map[string]T) T {
	w := f.word()
	v, ok := words[w]
	if !ok {
		f.fail("%q is not known here", w)
	}
	return v
}

func ms(t scheduler.Time) string { return strconv.FormatFloat(float64(t)/10, 'f', 1, 64) }

// Append writes one action of an instance as a line.
func Append(b *bytes.Buffer, instance int, a scheduler.Action) {
	switch a := a.(type) {
	case scheduler.StartAttempt:
		fmt.Fprintf(b, "BIND %d %s %s %s\n", instance, a.ID, a.Machine, ms(a.Timeout))
	case scheduler.Reject:
		fmt.Fprintf(b, "BUSY %d %s %s\n", instance, a.ID, ms(a.RetryAfter))
	case scheduler.Fail:
		fmt.Fprintf(b, "FAIL %d %s\n", instance, a.ID)
	case scheduler.CancelAttempt:
		fmt.Fprintf(b, "UNDO_SEND %d %s %d\n", instance, a.ID, a.Attempt)
	case scheduler.Probe:
		fmt.Fprintf(b, "PING %d %s\n", instance, a.Machine)
	case scheduler.Disconnect:
		fmt.Fprintf(b, "CLOSE %d %s\n", instance, a.Machine)
	case scheduler.SetTimer:
		fmt.Fprintf(b, "AFTER %d %s %s\n", instance, ms(a.After), a.Name)
	case scheduler.WatchMachineList:
		on := 0
		if a.Enabled {
			on = 1
		}
		fmt.Fprintf(b, "WATCH %d %d\n", instance, on)
	case scheduler.FetchMachineList:
		fmt.Fprintf(b, "FETCH %d\n", instance)
	case scheduler.Log:
		fmt.Fprintf(b, "DEBUG %d %s\n", instance, plain(a.Message))
	}
}

// AppendFault writes the line by which an instance says that its decisions failed.
func AppendFault(b *bytes.Buffer, instance int, what string) {
	fmt.Fprintf(b, "FAULT %d %s\n", instance, plain(what))
}

func plain(s string) string { return strings.Join(strings.Fields(s), " ") }
