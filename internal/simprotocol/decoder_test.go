package simprotocol

import (
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"

	"glenport/internal/testutil"
	"glenport/scheduler"
)

const sampleConfigure = "CONFIGURE 3 51 me=1 balancers=3 family_info.admit_cores=2.0 family_info.mem_booking=1.5" +
	" family_info.unit_cores=0.96 family_info.unit_memory=1.73 family_info.yes_at=running" +
	" family_info.use_notes=false family_info.view=true permissions.probes=true permissions.cancel=true" +
	" permissions.max_attempts=4 registry_mode=on_request rules.ask_every_ms=10000.0 rules.cold_ms=17000.0" +
	" rules.grace_to_answer_ms=8.0 rules.cold_from=0.28 rules.overload_for_ms=3000.0 family_info.fresh_offers=103.0" +
	" family_info.cpu_of_kind=26,41 family_info.kind_memory=59.0,71.0 family_info.class_kind=-1,1" +
	" family_info.class_most=2,3 family_info.precedence=0,1 family_info.spread_over=silent,cell" +
	" classes.count=2 classes.0.effect=safe classes.0.aim_ms=700.0 classes.0.deadline_ms=6000.0" +
	" classes.0.credit=1.0 classes.1.effect=keyed classes.1.aim_ms=700.0 classes.1.deadline_ms=6000.0" +
	" classes.1.credit=2.0 classes.1.group=zone classes.1.window_ms=8000.0 a.new.key=what_is_this"

const machineListLines = "SHEET 0 1\nITEM m:1 0 1 2 SERVING 3.5 1 12 6100.05\n"

func readDeliveries(lines string) ([]Delivery, error) {
	d := NewDecoder(strings.NewReader(lines))
	f, err := d.Next()
	if err != nil {
		return nil, err
	}
	if _, err := d.Next(); !errors.Is(err, io.EOF) {
		return nil, err
	}
	return f.Deliveries, nil
}

// hasErrorType reports whether an error is of a type, or wraps an error of the type.
func hasErrorType[E error](err error) bool {
	var target E
	return errors.As(err, &target)
}

// wrapsError returns a function that reports whether an error wraps a sentinel error.
func wrapsError(sentinel error) func(error) bool {
	return func(err error) bool { return errors.Is(err, sentinel) }
}

func TestEachEventIsDecoded(t *testing.T) {
	entry := scheduler.MachineEntry{
		Machine: "m:1", MachineType: 1, RackGroup: 2, FreeCores: 3.5, PowerHint: 1, FreeMemory: 12,
		StartedAt: 61000,
	}
	request := scheduler.PlacementRequest{
		ID: "r-1", IdempotencyKey: "t:k", Service: "c:s", WorkloadClass: 1, Tenant: 2, Cores: 2, Memory: 1.5,
		Deadline: 86522, ExpectedRuntime: 120, ClientRetry: true,
	}
	for _, tc := range []struct {
		line string
		want scheduler.Event
	}{
		{machineListLines + "UPDATE 3 Persisted 41 0", scheduler.MachineListUpdate{
			Mode: scheduler.RestoredSnapshot, Version: 41, Entries: []scheduler.MachineEntry{entry},
		}},
		{
			machineListLines + "SHEET 0 0\nUPDATE 3 Complete 42 0",
			scheduler.MachineListUpdate{Mode: scheduler.FullSnapshot, Version: 42},
		},
		{"UPDATE 3 Error 0 -", scheduler.MachineListUpdate{Mode: scheduler.UpdateFailed}},
		{"PENDING 3 r-1 2 17 t:k 1 1.5 2 8652.25 c:s 12.0", scheduler.RequestReceived{PlacementRequest: request}},
		{
			"ALREADY_PLACED 3 r-1 c:s 8652.25 1 2 t:k 2 1.5 16 12.0 m:1",
			scheduler.ContainerAdopted{PlacementRequest: request, Machine: "m:1"},
		},
		{"CONFIRMED 3 r-1 2 m:1 18.55", scheduler.AttemptAccepted{ID: "r-1", Attempt: 2, Machine: "m:1", Elapsed: 185}},
		{
			"INTERIM 3 r-1 m:1 0 2 0.5",
			scheduler.UsageReported{ID: "r-1", Machine: "m:1", Metric: scheduler.MetricCoresUsed, Value: 0.5},
		},
		{"DONE 3 r-1 1 0 GOOD m:1 - 18.5 x0:1.5,new:2,x1:-", scheduler.AttemptEnded{
			ID: "r-1", Final: true,
			Machine: "m:1", Elapsed: 185, Report: scheduler.LoadReport{"x0": 1.5, "new": 2},
		}},
		{"DONE 3 r-1 0 1 FULL m:1 2 - -", scheduler.AttemptEnded{
			ID: "r-1", Attempt: 1, Outcome: scheduler.OutcomeFull,
			Reason: scheduler.ReasonNoMemory, Machine: "m:1",
		}},
		{
			"HEALTH_RESULT 3 m:1 LATE 250.0 -",
			scheduler.ProbeCompleted{Machine: "m:1", Outcome: scheduler.OutcomeTimedOut, Elapsed: 2500},
		},
		{"TICK_DUE 3 sweep", scheduler.TimerFired{Name: "sweep"}},
		{"VANISHED 3 r-1", scheduler.ContainerRemoved{ID: "r-1"}},
	} {
		t.Run(tc.line, func(t *testing.T) {
			got, err := readDeliveries("FRAME 8412.25 1\n" + tc.line + "\nCOMMIT\n")
			testutil.Require(t, err == nil && len(got) == 1, "%v, %d events", err, len(got))
			testutil.Expect(t, reflect.DeepEqual(got[0].Event, tc.want) && got[0].Instance == 3,
				"got %+v, want %+v", got[0].Event, tc.want)
		})
	}
}

func TestConfigureIsDecoded(t *testing.T) {
	got, err := readDeliveries("FRAME 1 1\n" + sampleConfigure + "\nCOMMIT\n")
	testutil.NoError(t, err)
	want := scheduler.WorkloadClass{
		Idempotency:      scheduler.IdempotentWithKey,
		DedupScope:       scheduler.ScopeZone,
		DedupWindow:      80000,
		LatencyObjective: 7000,
		PlacementTimeout: 60000,
		MachineType:      1,
		SpreadScope:      scheduler.ScopeRackGroup,
		MaxPerScope:      3,
		PriorityWeight:   2,
	}
	if s := got[0].Start; s.Seed != 51 || s.SchedulerCount != 3 || s.WorkloadClasses[1] != want ||
		s.MachineTypes[1].Memory != 71 {
		t.Errorf("got %+v", s)
	}
}

func TestInvalidInputIsRejectedWithItsLine(t *testing.T) {
	frame := func(s string) string { return "FRAME 1 1\n" + s + "\nCOMMIT\n" }
	configure := func(setting, value string) string {
		return frame(strings.Replace(sampleConfigure, setting, value, 1))
	}
	for _, tc := range []struct {
		name, lines, want string
		matches           func(error) bool
	}{
		{"line outside a frame", "COMMIT\n", "line 1: a FRAME line", wrapsError(ErrFrameExpected)},
		{"unknown message", frame("WHAT 3"), "line 2: unknown message", wrapsError(ErrUnknownMessage)},
		{"field missing", frame("VANISHED 3"), "line 2: a field is missing", wrapsError(ErrMissingField)},
		{"extra field", frame("VANISHED 3 r-1 r-2"), "1 fields too many", hasErrorType[*ExtraFieldsError]},
		{"not a number", frame("CONFIRMED 3 r-1 0 m:1 soon"), `"soon" is no number`, hasErrorType[*ValueError]},
		{"unknown outcome", frame("DONE 3 r-1 1 0 FINE m:1 - 1 -"), `"FINE" is not known`, hasErrorType[*ValueError]},
		{"unknown list", frame("UPDATE 3 Complete 1 5"), `no list has the number "5"`, hasErrorType[*UnknownListError]},
		{
			"too few entries", frame("SHEET 0 2\nITEM m:1 0 0 0 SERVING 1 1 1 -"),
			"breaks off after 1", hasErrorType[*ShortListError],
		},
		{"truncated list", "FRAME 1 1\nSHEET 0 2\n", "input ends inside a list", hasErrorType[*TruncatedError]},
		{"list number", frame("SHEET 16 0"), "out of range", wrapsError(ErrListOutOfRange)},
		{"truncated line", "FRAME 1 1\nVANI", "line 2: input ends inside a line", hasErrorType[*TruncatedError]},
		{"truncated frame", "FRAME 1 1\nVANISHED 3 r-1\n", "input ends inside a frame", hasErrorType[*TruncatedError]},
		{"setting missing", frame("CONFIGURE 3 51 me=0 balancers=3"), "is missing", hasErrorType[*SettingError]},
		{"unknown word in a setting", configure("safe", "sure"), "is none of safe", hasErrorType[*SettingError]},
		{"size of 0", configure("unit_cores=0.96", "unit_cores=0"), "is not above 0", hasErrorType[*SettingError]},
		{
			"negative scheduler count", configure("balancers=3", "balancers=-3"),
			"is no count", hasErrorType[*SettingError],
		},
		{
			"negative tenant", frame("PENDING 3 r-1 -1 0 t:k 0 1 1 10 c:s -"),
			"no whole number from 0", hasErrorType[*ValueError],
		},
		{"short list in a setting", configure("59.0,71.0", "59.0"), "has 1 values, not 2", hasErrorType[*SettingError]},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := readDeliveries(tc.lines)
			testutil.Require(t, err != nil && strings.Contains(err.Error(), tc.want), "got %v, want %s", err, tc.want)
			testutil.Expect(t, tc.matches(err), "error %v does not have the expected type", err)
		})
	}
}

func TestLineErrorHoldsNumberAndLine(t *testing.T) {
	long := "VANISHED 3 r-1 " + strings.Repeat("x", 200)
	_, err := readDeliveries("FRAME 1 1\nVANISHED 3 r-1\n" + long + "\nCOMMIT\n")
	var lineError *LineError
	if !errors.As(err, &lineError) || lineError.Number != 3 || lineError.Line != long ||
		!hasErrorType[*ExtraFieldsError](lineError.Err) {
		t.Errorf("got %+v", err)
	}
	want := "line 3: 1 fields too many: \"" + long[:120] + "...\""
	testutil.Expect(t, err != nil && err.Error() == want, "got %v, want %s", err, want)
}

// FuzzDecoder checks that for any input the decoder returns frames, followed by io.EOF or an error that names a line.
func FuzzDecoder(f *testing.F) {
	f.Add("FRAME 1 1\n" + sampleConfigure + "\n" + machineListLines + "UPDATE 3 Persisted 41 0\nCOMMIT\n")
	f.Add("FRAME 1 1\nDONE 3 r-1 1 0 GOOD m:1 - 18.5 x0:1.5\nVANISHED 3 r-1\nCOMMIT\n")
	f.Fuzz(func(t *testing.T, s string) {
		d := NewDecoder(strings.NewReader(s))
		for {
			if _, err := d.Next(); err != nil {
				testutil.Expect(t, errors.Is(err, io.EOF) || strings.HasPrefix(err.Error(), "line "),
					"error without a line number: %v", err)
				return
			}
		}
	})
}
