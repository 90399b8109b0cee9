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

var work = Work{Container: "c-1", Key: "k", Service: "reports", Workload: 1, Customer: 2, Cores: 0.5,
	Memory: 1.25, Window: 80000, RunFor: 120, Again: true}

func samples() []Frame {
	return []Frame{
		Greeting(Machine, "m1", 7), &Offer{Bid: 9, Wait: 3500, Work: work}, &Yes{Bid: 9, Running: true},
		&Result{Bid: 9, Outcome: Full, Reason: NoMemory, Report: map[string]float64{"queue": 2}},
		&Note{Bid: 9, Sort: 2, Amount: 0.25}, &Withdraw{Life: 7, Bid: 9}, &Probe{Seq: 1},
		&Probed{Seq: 1, Report: map[string]float64{"util": 0.5}},
		&Holds{Incarnation: 3, Held: []Holding{{Life: 6, Bid: 1, Running: true, Work: work}}},
		&Fetch{}, &Watch{On: true, Since: 5},
		&Listed{Whole: true, Version: 6, Entries: []Entry{{Machine: "m1", Addr: "127.0.0.1:1", State: Draining,
			FreeCores: -3, Incarnation: 3, Age: -1}}},
		&Failed{Text: "busy"}, &Beat{}, &Submit{Left: 60000, Work: work}, &Cancel{Container: "c-1"},
		&Answer{Container: "c-1", Verdict: PushedBack, HoldOff: 100}, &Fate{Container: "c-1", Outcome: Lost},
		&AskStatus{},
		&Status{Name: "p", Figures: []Figure{{Name: "open", Value: 3}}}, &Bye{Text: "garbage"}, &AskWhy{Seq: 3, Work: work}, &Look{Container: "c", Key: "k"}, &Why{Seq: 3, Known: true, NoCores: 4, ListAge: -1},
		&AskRoutes{Service: "s"}, &Routes{Peers: []RoutePeer{{Addr: "a", AS: 1}}, Services: []RouteOf{{Service: "s", Penalty: 2}}},
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
	for _, fresh := range sorts {
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
		if !reflect.DeepEqual(got, want) || r.Half() != 0 {
			t.Errorf("in pieces of %d: got %d frames, %d bytes left", piece, len(got), r.Half())
		}
	}
}

func TestFaults(t *testing.T) {
	hello := stream(t, Greeting(Owner, "o", 1))
	raw := func(sort byte, body ...byte) []byte {
		b := binary.BigEndian.AppendUint32(nil, uint32(len(body)+1))
		return append(append(b, sort), body...)
	}
	old := *Greeting(Owner, "o", 1)
	old.Version = 99
	oldBody, _ := encoder.Marshal(&old)
	for _, tc := range []struct {
		name string
		in   []byte
		want string
	}{
		{"garbage", []byte("GET / HTTP/1.1\r\n\r\n"), "over the limit of 1024"},
		{"no greeting", stream(t, &Beat{}), "out of turn"},
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
	for _, f := range []Frame{&Offer{Work: Work{Container: strings.Repeat("x", 201), Key: "k", Service: "s"}},
		&Submit{Left: -1, Work: work}, &Answer{Container: "c"}, &Note{Sort: 6}} {
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
		if len(frames) != len(pieces) || (err == nil) != (cut.fault == nil) {
			t.Fatalf("whole: %d frames, %v; cut: %d, %v", len(frames), err, len(pieces), cut.fault)
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
	offer := &Offer{Bid: 9, Wait: 3500, Work: work}
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
