package protocol

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"reflect"
	"strings"
	"testing"
)

var work = ContainerSpec{ContainerID: "c-1", IdempotencyKey: "k", Service: "reports", WorkloadClass: 1, Tenant: 2, Cores: 0.5,
	Memory: 1.25, DedupWindow: 80000, ExpectedRuntime: 120, ClientRetry: true}

func samples() []Frame {
	return []Frame{
		NewHello(RoleMachine, "m1", 7), &Offer{AttemptID: 9, Timeout: 3500, Spec: work}, &Accept{AttemptID: 9, Running: true},
		&Result{AttemptID: 9, Outcome: OutcomeFull, Reason: ReasonNoMemory, Report: map[string]float64{"queue": 2}},
		&UsageReport{AttemptID: 9, Metric: 2, Value: 0.25}, &CancelAttempt{SchedulerIncarnation: 7, AttemptID: 9}, &Probe{Seq: 1},
		&ProbeReply{Seq: 1, Report: map[string]float64{"util": 0.5}},
		&Inventory{MachineIncarnation: 3, Containers: []InventoryItem{{SchedulerIncarnation: 6, AttemptID: 1, Running: true, Spec: work}}},
		&FetchMachineList{}, &WatchMachineList{Enabled: true, SinceVersion: 5},
		&MachineListUpdate{FullSnapshot: true, Version: 6, Entries: []MachineEntry{{Machine: "m1", Address: "127.0.0.1:1", State: MachineDraining,
			FreeCores: -3, Incarnation: 3, Age: -1}}},
		&MachineListError{Message: "busy"}, &Heartbeat{}, &Submit{TimeToDeadline: 60000, Spec: work}, &CancelContainer{ContainerID: "c-1"},
		&PlacementReply{ContainerID: "c-1", Verdict: VerdictRejected, RetryAfter: 100}, &Termination{ContainerID: "c-1", Outcome: OutcomeLost},
		&StatusRequest{},
		&StatusReply{Name: "p", Stats: []Stat{{Name: "open", Value: 3}}}, &Goodbye{Message: "garbage"}, &ExplainRequest{Seq: 3, Spec: work}, &Lookup{ContainerID: "c", IdempotencyKey: "k"}, &ExplainReply{Seq: 3, Known: true, InsufficientCores: 4, ListAge: -1},
		&RoutesRequest{Service: "s"}, &RoutesReply{Peers: []BGPPeerStatus{{Address: "a", ASN: 1}}, Services: []ServiceRoute{{Service: "s", Penalty: 2}}},
	}
}

func stream(t testing.TB, frames ...Frame) []byte {
	var b []byte
	for _, f := range frames {
		var err error
		if b, err = Append(b, f); err != nil {
			t.Fatal(err)
		}
	}
	return b
}

// Every frame comes back as it went, in whatever pieces the stream arrives.
func TestRoundTrip(t *testing.T) {
	want := samples()
	known := 0
	for _, fresh := range frameTypes {
		if fresh != nil {
			known++
		}
	}
	if len(want) != known {
		t.Fatalf("%d samples of %d sorts", len(want), known)
	}
	all := stream(t, want...)
	for _, piece := range []int{1, 3, 100, len(all)} {
		var r Reader
		var got []Frame
		for rest := all; len(rest) > 0; {
			n := min(piece, len(rest))
			if err := r.Feed(rest[:n], func(f Frame) error { got = append(got, f); return nil }); err != nil {
				t.Fatal(err)
			}
			rest = rest[n:]
		}
		if !reflect.DeepEqual(got, want) || r.Buffered() != 0 {
			t.Errorf("in pieces of %d: got %d frames, %d bytes left", piece, len(got), r.Buffered())
		}
	}
}

func TestFaults(t *testing.T) {
	hello := stream(t, NewHello(RoleClient, "o", 1))
	raw := func(sort byte, body ...byte) []byte {
		b := binary.BigEndian.AppendUint32(nil, uint32(len(body)+1))
		return append(append(b, sort), body...)
	}
	old := *NewHello(RoleClient, "o", 1)
	old.Version = 99
	oldBody, _ := encoder.Marshal(&old)
	for _, tc := range []struct {
		name string
		in   []byte
		want string
	}{
		{"garbage", []byte("GET / HTTP/1.1\r\n\r\n"), "over the limit of 1024"},
		{"no greeting", stream(t, &Heartbeat{}), "out of turn"},
		{"two greetings", append(bytes.Clone(hello), hello...), "out of turn"},
		{"another version", raw(1, oldBody...), "version 99 is not 1"},
		{"oversize", append(bytes.Clone(hello), 0xff, 0xff, 0xff, 0xff), "over the limit"},
		{"empty frame", append(bytes.Clone(hello), 0, 0, 0, 0), "empty frame"},
		{"unknown sort", append(bytes.Clone(hello), raw(77)...), "unknown sort of frame 77"},
		{"a sort that is no more", append(bytes.Clone(hello), raw(19)...), "unknown sort of frame 19"},
		{"no CBOR", append(bytes.Clone(hello), raw(2, 0xff)...), "Offer"},
		{"too few fields", append(bytes.Clone(hello), raw(7, 0x80)...), "Probe"},
		{"unknown outcome", append(bytes.Clone(hello), raw(4, 0x84, 1, 0x18, 99, 0, 0xa0)...), "outcome is unknown"},
		{"endless", append(bytes.Clone(hello), raw(16, 0x82, 0x7f)...), "Cancel"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var r Reader
			err := r.Feed(tc.in, func(Frame) error { return nil })
			if err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Errorf("got %v, want %s", err, tc.want)
			}
			if again := r.Feed(hello, nil); !errors.Is(again, err) {
				t.Errorf("goes on after a fault: %v", again)
			}
		})
	}
	for _, f := range []Frame{&Offer{Spec: ContainerSpec{ContainerID: strings.Repeat("x", 201), IdempotencyKey: "k", Service: "s"}},
		&Submit{TimeToDeadline: -1, Spec: work}, &PlacementReply{ContainerID: "c"}, &UsageReport{Metric: 6}} {
		if _, err := Append(nil, f); err == nil {
			t.Errorf("%T with a fault is sent", f)
		}
	}
}

// Whatever comes, a reader ends with frames or an error, and what it takes it can send again.
func FuzzReader(f *testing.F) {
	f.Add(stream(f, samples()...))
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, p []byte) {
		var whole, cut Reader
		var frames, pieces []Frame
		err := whole.Feed(p, func(f Frame) error { frames = append(frames, f); return nil })
		for i := range p {
			cut.Feed(p[i:i+1], func(f Frame) error { pieces = append(pieces, f); return nil })
		}
		if len(frames) != len(pieces) || (err == nil) != (cut.err == nil) {
			t.Fatalf("whole: %d frames, %v; cut: %d, %v", len(frames), err, len(pieces), cut.err)
		}
		for _, f := range frames {
			if _, err := Append(nil, f); err != nil {
				t.Errorf("taken, but not sent: %v", err)
			}
		}
	})
}

// An offer there and back, by the codec in use and by the standard library's JSON.
func BenchmarkOffer(b *testing.B) {
	offer := &Offer{AttemptID: 9, Timeout: 3500, Spec: work}
	b.Run("cbor", func(b *testing.B) {
		var p []byte
		b.ReportAllocs()
		for b.Loop() {
			p, _ = Append(p[:0], offer)
			Decode(p[4:])
		}
		b.ReportMetric(float64(len(p)), "bytes")
	})
	b.Run("json", func(b *testing.B) {
		var p []byte
		b.ReportAllocs()
		for b.Loop() {
			p, _ = json.Marshal(offer)
			json.Unmarshal(p, new(Offer))
		}
		b.ReportMetric(float64(len(p)), "bytes")
	})
}
