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
	reader     *bufio.Reader
	lineNumber int
	// lists holds at most 16 numbered lists; a new one takes the place of its number's last.
	machineLists [16][]scheduler.MachineEntry
	listDefined  [16]bool
}

func NewDecoder(r io.Reader) *Decoder { return &Decoder{reader: bufio.NewReaderSize(r, 1<<16)} }

// timeFromMillis rounds down, so that no time read is later than the one sent.
func timeFromMillis(ms float64) scheduler.Time { return scheduler.Time(math.Floor(ms*10 + 1e-6)) }

func parseNumber(v string) (float64, error) {
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(f) || math.Abs(f) > 1e14 {
		return 0, fmt.Errorf("%q is no number", v)
	}
	return f, nil
}

// readLine returns the next line; io.EOF only where no byte of one is left.
func (d *Decoder) readLine() (string, error) {
	s, err := d.reader.ReadString('\n')
	if err == io.EOF && s != "" {
		return "", fmt.Errorf("line %d: input ends inside a line", d.lineNumber+1)
	}
	if err != nil {
		return "", err
	}
	d.lineNumber++
	return strings.TrimSuffix(strings.TrimSuffix(s, "\n"), "\r"), nil
}

// Next reads a frame. It returns io.EOF at the end of input between frames.
func (d *Decoder) Next() (*Frame, error) {
	s, err := d.readLine()
	if err != nil {
		return nil, err
	}
	f := d.newFieldReader(s)
	if f.text() != "FRAME" {
		return nil, d.lineError(s, errors.New("a FRAME line was expected"))
	}
	frame := &Frame{Now: f.time(), Seq: f.text()}
	if err := f.finish(); err != nil {
		return nil, d.lineError(s, err)
	}
	for {
		s, err := d.readLine()
		if err == io.EOF {
			return nil, fmt.Errorf("line %d: input ends inside a frame", d.lineNumber)
		}
		if err != nil {
			return nil, err
		}
		if s == "COMMIT" {
			return frame, nil
		}
		if err := d.decodeEvent(frame, s); err != nil {
			return nil, d.lineError(s, err)
		}
	}
}

func (d *Decoder) lineError(s string, err error) error {
	if len(s) > 120 {
		s = s[:120] + "..."
	}
	return fmt.Errorf("line %d: %w: %q", d.lineNumber, err, s)
}

func (d *Decoder) decodeEvent(frame *Frame, s string) error {
	f := d.newFieldReader(s)
	name := f.text()
	if name == "SHEET" {
		return d.decodeMachineList(f)
	}
	out := Delivery{Line: d.lineNumber, Instance: f.wholeNumber()}
	switch name {
	case "CONFIGURE":
		seed, err := strconv.ParseUint(f.text(), 10, 64)
		if err != nil {
			return errors.New("the seed is no whole number")
		}
		terms, err := ParseSettings(seed, f.takeRemaining())
		if err != nil {
			return err
		}
		out.Start = &terms
	case "KILLED":
		out.Stop = true
	case "UPDATE":
		e := scheduler.MachineListUpdate{Mode: enumValue(f, listModes), Version: int64(f.wholeNumber())}
		ref := f.text()
		if e.Mode != scheduler.UpdateFailed {
			n, err := strconv.Atoi(ref)
			if err != nil || n < 0 || n >= len(d.machineLists) || !d.listDefined[n] {
				return fmt.Errorf("no list has the number %q", ref)
			}
			e.Entries = d.machineLists[n]
		}
		out.Event = e
	case "PENDING":
		a := scheduler.PlacementRequest{ID: scheduler.ContainerID(f.text())}
		a.Tenant, a.ClientRetry = f.wholeNumberOrZero(), f.wholeNumberOrZero()&16 != 0
		a.IdempotencyKey, a.WorkloadClass = f.text(), f.wholeNumber()
		a.Memory, a.Cores, a.Deadline = f.numberOrZero(), f.numberOrZero(), f.time()
		a.Service, a.ExpectedRuntime = f.text(), f.timeOrZero()
		out.Event = scheduler.RequestReceived{PlacementRequest: a}
	case "ALREADY_PLACED":
		a := scheduler.PlacementRequest{ID: scheduler.ContainerID(f.text()), Service: f.text(), Deadline: f.timeOrZero()}
		a.WorkloadClass, a.Cores, a.IdempotencyKey, a.Tenant = f.wholeNumber(), f.numberOrZero(), f.text(), f.wholeNumberOrZero()
		a.Memory, a.ClientRetry, a.ExpectedRuntime = f.numberOrZero(), f.wholeNumberOrZero()&16 != 0, f.timeOrZero()
		out.Event = scheduler.ContainerAdopted{PlacementRequest: a, Machine: scheduler.MachineID(f.text())}
	case "CONFIRMED":
		out.Event = scheduler.AttemptAccepted{ID: scheduler.ContainerID(f.text()), Attempt: f.wholeNumber(),
			Machine: scheduler.MachineID(f.text()), Elapsed: f.timeOrZero()}
	case "INTERIM":
		out.Event = scheduler.UsageReported{ID: scheduler.ContainerID(f.text()), Machine: scheduler.MachineID(f.text()),
			Attempt: f.wholeNumber(), Metric: scheduler.UsageMetric(f.wholeNumber()), Value: f.number()}
	case "DONE":
		e := scheduler.AttemptEnded{ID: scheduler.ContainerID(f.text()), Final: f.boolean(), Attempt: f.wholeNumber(),
			Outcome: enumValue(f, outcomes), Machine: scheduler.MachineID(f.text())}
		e.Reason, e.Elapsed, e.Report = scheduler.Reason(f.wholeNumberOrZero()), f.timeOrZero(), f.report()
		out.Event = e
	case "HEALTH_RESULT":
		out.Event = scheduler.ProbeCompleted{Machine: scheduler.MachineID(f.text()), Outcome: enumValue(f, outcomes),
			Elapsed: f.timeOrZero(), Report: f.report()}
	case "TICK_DUE":
		out.Event = scheduler.TimerFired{Name: f.text()}
	case "NOTE_FROM": // no placer sends any, and none is heeded
		return nil
	case "VANISHED":
		out.Event = scheduler.ContainerRemoved{ID: scheduler.ContainerID(f.text())}
	default:
		return errors.New("unknown message")
	}
	frame.Deliveries = append(frame.Deliveries, out)
	return f.finish()
}

func (d *Decoder) decodeMachineList(f *fieldReader) error {
	ref, n := f.wholeNumber(), f.wholeNumber()
	if err := f.finish(); err != nil {
		return err
	}
	if ref < 0 || ref >= len(d.machineLists) || n < 0 {
		return errors.New("list number or count out of range")
	}
	var entries []scheduler.MachineEntry
	for i := 0; i < n; i++ {
		s, err := d.readLine()
		if err == io.EOF {
			return errors.New("input ends inside a list")
		}
		if err != nil {
			return err
		}
		f := d.newFieldReader(s)
		if f.text() != "ITEM" {
			return fmt.Errorf("list of %d entries breaks off after %d", n, i)
		}
		e := scheduler.MachineEntry{Machine: scheduler.MachineID(f.text()), Zone: f.wholeNumber(), MachineType: f.wholeNumber(),
			RackGroup: f.wholeNumber(), State: enumValue(f, machineStates), FreeCores: f.numberOrZero(), PowerHint: f.numberOrZero(),
			FreeMemory: f.numberOrZero(), StartedAt: f.timeOrZero()}
		if err := f.finish(); err != nil {
			return err
		}
		entries = append(entries, e)
	}
	d.machineLists[ref], d.listDefined[ref] = entries, true
	return nil
}

var listModes = map[string]scheduler.UpdateMode{"Partial": scheduler.DeltaUpdate, "Complete": scheduler.FullSnapshot,
	"Persisted": scheduler.RestoredSnapshot, "Error": scheduler.UpdateFailed}

var machineStates = map[string]scheduler.MachineState{"SERVING": scheduler.MachineServing, "DRAINING": scheduler.MachineDraining,
	"DELETED": scheduler.MachineGone}

var outcomes = map[string]scheduler.Outcome{"GOOD": scheduler.OutcomeFinished, "BAD": scheduler.OutcomeErrored, "FULL": scheduler.OutcomeFull,
	"LATE": scheduler.OutcomeTimedOut, "NOCONN": scheduler.OutcomeConnectFailed, "RST": scheduler.OutcomeLost, "CXL": scheduler.OutcomeStopped,
	"NOP": scheduler.OutcomeNotSent}

// fieldReader takes a line apart and keeps the first fault met.
type fieldReader struct {
	remaining []string
	err       error
}

func (d *Decoder) newFieldReader(s string) *fieldReader {
	return &fieldReader{remaining: strings.Split(s, " ")}
}

func (f *fieldReader) failf(format string, a ...any) {
	if f.err == nil {
		f.err = fmt.Errorf(format, a...)
	}
}

func (f *fieldReader) text() string {
	if len(f.remaining) == 0 {
		f.failf("a field is missing")
		return ""
	}
	w := f.remaining[0]
	if f.remaining = f.remaining[1:]; w == "" {
		f.failf("a field is empty")
	}
	return w
}

func (f *fieldReader) takeRemaining() []string {
	w := f.remaining
	f.remaining = nil
	return w
}

func (f *fieldReader) finish() error {
	if len(f.remaining) > 0 {
		f.failf("%d fields too many", len(f.remaining))
	}
	return f.err
}

func (f *fieldReader) parseNumber(w string) float64 {
	v, err := parseNumber(w)
	if err != nil && f.err == nil {
		f.err = err
	}
	return v
}

func (f *fieldReader) number() float64 { return f.parseNumber(f.text()) }

func (f *fieldReader) numberOrZero() float64 {
	if w := f.text(); w != "-" {
		return f.parseNumber(w)
	}
	return 0
}

func (f *fieldReader) time() scheduler.Time       { return timeFromMillis(f.number()) }
func (f *fieldReader) timeOrZero() scheduler.Time { return timeFromMillis(f.numberOrZero()) }

func (f *fieldReader) parseWholeNumber(w string) int {
	n, err := strconv.Atoi(w)
	if err != nil || n < 0 {
		f.failf("%q is no whole number from 0", w)
		n = 0
	}
	return n
}

func (f *fieldReader) wholeNumber() int { return f.parseWholeNumber(f.text()) }

func (f *fieldReader) wholeNumberOrZero() int {
	if w := f.text(); w != "-" {
		return f.parseWholeNumber(w)
	}
	return 0
}

func (f *fieldReader) boolean() bool {
	switch w := f.text(); w {
	case "1":
		return true
	case "0":
	default:
		f.failf("%q is neither 1 nor 0", w)
	}
	return false
}

func (f *fieldReader) report() scheduler.LoadReport {
	w := f.text()
	if w == "-" || w == "" {
		return nil
	}
	r := scheduler.LoadReport{}
	for _, p := range strings.Split(w, ",") {
		k, v, ok := strings.Cut(p, ":")
		if !ok {
			f.failf("report %q has no value", p)
			return nil
		}
		if v != "-" {
			r[k] = f.parseNumber(v)
		}
	}
	return r
}

func enumValue[T any](f *fieldReader, words map[string]T) T {
	w := f.text()
	v, ok := words[w]
	if !ok {
		f.failf("%q is not known here", w)
	}
	return v
}

func formatMillis(t scheduler.Time) string { return strconv.FormatFloat(float64(t)/10, 'f', 1, 64) }

// AppendAction writes one action of an instance as a line.
func AppendAction(b *bytes.Buffer, instance int, a scheduler.Action) {
	switch a := a.(type) {
	case scheduler.StartAttempt:
		fmt.Fprintf(b, "BIND %d %s %s %s\n", instance, a.ID, a.Machine, formatMillis(a.Timeout))
	case scheduler.Reject:
		fmt.Fprintf(b, "BUSY %d %s %s\n", instance, a.ID, formatMillis(a.RetryAfter))
	case scheduler.Fail:
		fmt.Fprintf(b, "FAIL %d %s\n", instance, a.ID)
	case scheduler.CancelAttempt:
		fmt.Fprintf(b, "UNDO_SEND %d %s %d\n", instance, a.ID, a.Attempt)
	case scheduler.Probe:
		fmt.Fprintf(b, "PING %d %s\n", instance, a.Machine)
	case scheduler.Disconnect:
		fmt.Fprintf(b, "CLOSE %d %s\n", instance, a.Machine)
	case scheduler.SetTimer:
		fmt.Fprintf(b, "AFTER %d %s %s\n", instance, formatMillis(a.After), a.Name)
	case scheduler.WatchMachineList:
		on := 0
		if a.Enabled {
			on = 1
		}
		fmt.Fprintf(b, "WATCH %d %d\n", instance, on)
	case scheduler.FetchMachineList:
		fmt.Fprintf(b, "FETCH %d\n", instance)
	case scheduler.Log:
		fmt.Fprintf(b, "DEBUG %d %s\n", instance, singleLine(a.Message))
	}
}

// AppendFault writes the line by which an instance says that its decisions failed.
func AppendFault(b *bytes.Buffer, instance int, what string) {
	fmt.Fprintf(b, "FAULT %d %s\n", instance, singleLine(what))
}

func singleLine(s string) string { return strings.Join(strings.Fields(s), " ") }
