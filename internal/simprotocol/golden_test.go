package simprotocol

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"reflect"
	"slices"
	"strings"
	"testing"

	"glenport/internal/golden"
	"glenport/internal/testutil"
	"glenport/scheduler"
)

func indentedJSON(t *testing.T, v any) []byte {
	t.Helper()
	b, err := json.MarshalIndent(v, "", " ")
	testutil.NoError(t, err)
	return append(b, '\n')
}

// goldenFrames has every incoming message, with each field set, absent, and with each of its keywords.
const goldenFrames = "FRAME 0 first\n" +
	"SHEET 0 4\n" +
	"ITEM m:1 1 2 3 SERVING 3.5 0.25 12.75 6100.05\n" +
	"ITEM m:2 0 0 0 DRAINING - - - -\n" +
	"ITEM m:3 4 5 6 DELETED 0 1 2 3\n" +
	"ITEM m:4 0 0 0 SERVING -1.5 -2 -3 -4.05\n" +
	"SHEET 15 0\n" +
	"UPDATE 3 Partial 41 0\n" +
	"UPDATE 3 Complete 42 15\n" +
	"UPDATE 3 Persisted 43 0\n" +
	"UPDATE 3 Error 44 -\n" +
	"COMMIT\n" +
	"FRAME 8412.25 2\r\n" +
	"PENDING 0 r-1 2 17 t:k 1 1.5 2.25 8652.25 c:s 12.05\r\n" +
	"PENDING 4 r-2 - - t:k2 0 - - 0.05 c:s2 -\n" +
	"PENDING 4 r-3 0 15 t:k3 0 0 0 0 c:s3 0\n" +
	"ALREADY_PLACED 3 r-1 c:s 8652.25 1 2.25 t:k 2 1.5 16 12.05 m:1\n" +
	"ALREADY_PLACED 3 r-2 c:s - 0 - k - - - - m:2\n" +
	"CONFIRMED 3 r-1 2 m:1 18.55\n" +
	"CONFIRMED 3 r-1 0 m:1 -\n" +
	"CONFIRMED 3 r-1 0 m:1 18.49999999\n" +
	"INTERIM 3 r-1 m:1 2 1 0.5\n" +
	"INTERIM 3 r-1 m:1 0 5 -1e3\n" +
	"DONE 3 r-1 1 2 GOOD m:1 - 18.55 x0:1.5,new:2,x1:-\n" +
	"DONE 3 r-1 0 0 BAD m:1 0 - -\n" +
	"DONE 3 r-1 0 0 FULL m:1 1 0 a:-1\n" +
	"DONE 3 r-1 0 1 LATE m:1 2 1 -\n" +
	"DONE 3 r-1 0 1 NOCONN m:1 3 1 -\n" +
	"DONE 3 r-1 0 1 RST m:1 4 1 -\n" +
	"DONE 3 r-1 0 1 CXL m:1 5 1 -\n" +
	"DONE 3 r-1 0 1 NOP m:1 6 1 x:-\n" +
	"DONE 3 r-1 1 1 RST m:1 7 1 -\n" +
	"HEALTH_RESULT 3 m:1 GOOD 250.05 cpu:0.5\n" +
	"HEALTH_RESULT 3 m:1 LATE - -\n" +
	"TICK_DUE 3 sweep\n" +
	"NOTE_FROM 3 4 whatever it says\n" +
	"VANISHED 3 r-1\n" +
	"KILLED 3\n" +
	"COMMIT\n" +
	"FRAME 8413 3\nCOMMIT\n"

// TestIncomingMessagesMatchGolden compares every decoded value of every incoming message with the recorded one.
func TestIncomingMessagesMatchGolden(t *testing.T) {
	d := NewDecoder(strings.NewReader(goldenFrames))
	var frames []object
	for {
		f, err := d.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		testutil.NoError(t, err)
		var deliveries []object
		for _, d := range f.Deliveries {
			o := object{"line": d.Line, "instance": d.Instance, "stop": d.Stop, "event": nil, "start": nil}
			if d.Event != nil {
				o["event"] = describeEvent(t, d.Event)
			}
			if d.Start != nil {
				o["start"] = describeSettings(t, *d.Start)
			}
			deliveries = append(deliveries, requireAllFields(t, d, o))
		}
		frames = append(frames, requireAllFields(t, *f, object{"now": f.Now, "seq": f.Seq, "deliveries": deliveries}))
	}
	golden.CheckText(t, "testdata/incoming.json", string(indentedJSON(t, frames)))
}

// fullSettings has every setting that is read, each with a different value.
const fullSettings = "me=1 balancers=3 family_info.admit_cores=2.25 family_info.mem_booking=1.5" +
	" family_info.unit_cores=0.96 family_info.unit_memory=1.73 family_info.yes_at=running" +
	" family_info.use_notes=true family_info.view=true permissions.probes=true" +
	" permissions.max_attempts=4 registry_mode=on_request rules.ask_every_ms=10000.05 rules.cold_ms=17000.0" +
	" rules.grace_to_answer_ms=8.0 rules.overload_for_ms=3000.0 family_info.fresh_offers=103.9 over_share_worth=0.125" +
	" family_info.cpu_of_kind=26,41 family_info.kind_memory=59.5,71.25 family_info.class_kind=-1,1,0,1,0" +
	" family_info.class_most=2,3,4,5,6 family_info.spread_over=silent,cell,machine,zone,cell" +
	" classes.count=5 classes.0.effect=safe classes.0.aim_ms=700.0 classes.0.deadline_ms=6000.0 classes.0.credit=1.0" +
	" classes.1.effect=keyed classes.1.aim_ms=710.0 classes.1.deadline_ms=6100.0 classes.1.credit=2.5" +
	" classes.1.group=zone classes.1.window_ms=8000.0" +
	" classes.2.effect=unsafe classes.2.aim_ms=720.0 classes.2.deadline_ms=6200.0 classes.2.credit=-3.0" +
	" classes.3.effect=keyed classes.3.aim_ms=730.0 classes.3.deadline_ms=6300.0 classes.3.credit=4.0" +
	" classes.3.group=cell classes.3.window_ms=8100.0" +
	" classes.4.effect=keyed classes.4.aim_ms=740.0 classes.4.deadline_ms=6400.0 classes.4.credit=5.0" +
	" classes.4.group=all classes.4.window_ms=8200.0" +
	" tenants.count=2 family_info.quota_cores=100.5,200.25 a.new.key=what_is_this"

// TestSettingsMatchGolden compares every decoded setting with the recorded one, with and without optional settings.
func TestSettingsMatchGolden(t *testing.T) {
	all := strings.Fields(fullSettings)
	without := func(keys ...string) []string {
		return slices.DeleteFunc(slices.Clone(all), func(pair string) bool {
			key, _, _ := strings.Cut(pair, "=")
			return slices.Contains(keys, key)
		})
	}
	pushed := without("registry_mode", "rules.ask_every_ms", "over_share_worth", "family_info.yes_at",
		"family_info.use_notes", "family_info.view", "permissions.probes", "tenants.count")
	pushed = append(pushed, "registry_mode=pushed", "family_info.yes_at=accepted", "family_info.use_notes=false",
		"family_info.view=false", "permissions.probes=false")
	noClasses := without("classes.count", "family_info.class_kind", "family_info.class_most", "family_info.spread_over",
		"family_info.cpu_of_kind", "family_info.kind_memory", "family_info.quota_cores")
	noClasses = append(noClasses, "classes.count=0", "family_info.class_kind=-", "family_info.class_most=",
		"family_info.spread_over=-", "family_info.cpu_of_kind=", "family_info.kind_memory=-")
	var got []object
	for i, pairs := range [][]string{all, pushed, noClasses} {
		s, err := ParseSettings(uint64(1)<<63+uint64(i), pairs)
		testutil.NoError(t, err)
		got = append(got, describeSettings(t, s))
		if i == 0 {
			requireNonZeroFields(t, reflect.ValueOf(s))
		}
	}
	golden.CheckText(t, "testdata/settings.json", string(indentedJSON(t, got)))
}

// requireNonZeroFields fails if a field of the settings has its zero value, because the comparison would not notice
// that the setting is not decoded.
func requireNonZeroFields(t *testing.T, settings reflect.Value) {
	t.Helper()
	for field, value := range settings.Fields() {
		testutil.Expect(t, !value.IsZero(), "%s is not set", field.Name)
	}
}

// TestOutgoingMessagesMatchGolden compares the bytes of every outgoing message, with each field set and absent.
func TestOutgoingMessagesMatchGolden(t *testing.T) {
	var got bytes.Buffer
	for _, a := range []scheduler.Action{
		scheduler.StartAttempt{ID: "r-1", Machine: "m:1", Timeout: 801},
		scheduler.StartAttempt{ID: "r-1", Machine: "m:1"},
		scheduler.Reject{ID: "r-1", RetryAfter: 2505},
		scheduler.Reject{ID: "r-1"},
		scheduler.Fail{ID: "r-1"},
		scheduler.CancelAttempt{ID: "r-1", Attempt: 2},
		scheduler.CancelAttempt{ID: "r-1"},
		scheduler.Probe{Machine: "m:1"},
		scheduler.Disconnect{Machine: "m:1"},
		scheduler.SetTimer{After: 5001, Name: "sweep"},
		scheduler.SetTimer{After: -1, Name: "sweep"},
		scheduler.WatchMachineList{Enabled: true},
		scheduler.WatchMachineList{},
		scheduler.FetchMachineList{},
		scheduler.Log{Message: " two\nlines\tand  more "},
		scheduler.Log{},
		nil,
	} {
		AppendAction(&got, 3, a)
	}
	AppendFault(&got, 4, "what\nwent wrong")
	golden.CheckText(t, "testdata/outgoing.txt", got.String())
}
