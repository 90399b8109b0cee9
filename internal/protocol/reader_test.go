package protocol

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"reflect"
	"strings"
	"testing"

	"glenport/internal/testutil"
)

var sampleSpec = ContainerSpec{
	ContainerID: "c-1", IdempotencyKey: "k", Service: "reports", WorkloadClass: 1, Tenant: 2,
	Cores: 0.5, Memory: 1.25, DedupWindow: 80000, ExpectedRuntime: 120, ClientRetry: true,
}

// samples returns the golden frames with only one Hello, which comes first.
func samples() []Frame {
	var frames []Frame
	for _, known := range goldenFrames() {
		if _, isHello := known.frame.(*Hello); !isHello || len(frames) == 0 {
			frames = append(frames, known.frame)
		}
	}
	return frames
}

// stream returns the concatenated encodings of frames.
func stream(tb testing.TB, frames ...Frame) []byte {
	tb.Helper()
	var data []byte
	for _, f := range frames {
		var err error
		data, err = Append(data, f)
		testutil.NoError(tb, err)
	}
	return data
}

func ignoreFrame(Frame) error { return nil }

func TestReaderDecodesStreamsCutAtAnySize(t *testing.T) {
	want := samples()
	kinds := map[kind]bool{}
	for _, f := range want {
		kinds[f.kind()] = true
	}
	for number := range 256 {
		known := newFrame(kind(number)) != nil
		testutil.Expect(t, kinds[kind(number)] == known, "frame %d: known %t, sampled %t", number, known, !known)
	}
	data := stream(t, want...)
	for _, piece := range []int{1, 3, 100, len(data)} {
		var r Reader
		var got []Frame
		for rest := data; len(rest) > 0; {
			n := min(piece, len(rest))
			err := r.Feed(rest[:n], func(f Frame) error {
				got = append(got, f)
				return nil
			})
			testutil.NoError(t, err)
			rest = rest[n:]
		}
		if !reflect.DeepEqual(got, want) || r.Buffered() != 0 {
			t.Errorf("in pieces of %d: got %d frames, %d bytes left", piece, len(got), r.Buffered())
		}
	}
}

func TestInvalidStreamEndsTheReader(t *testing.T) {
	hello := stream(t, NewHello(RoleClient, "o", 1))
	raw := func(number byte, body ...byte) []byte {
		data := binary.BigEndian.AppendUint32(nil, uint32(kindSize+len(body)))
		return append(append(data, number), body...)
	}
	afterHello := func(data ...byte) []byte { return append(bytes.Clone(hello), data...) }
	otherVersion := NewHello(RoleClient, "o", 1)
	otherVersion.Version = 99
	otherVersionBody, err := encoder.Marshal(otherVersion)
	testutil.NoError(t, err)
	for _, tc := range []struct {
		name  string
		input []byte
		want  string
	}{
		{"garbage", []byte("GET / HTTP/1.1\r\n\r\n"), "over the limit of 1024"},
		{"no Hello", stream(t, &Heartbeat{}), "Beat out of turn"},
		{"two Hellos", afterHello(hello...), "Hello out of turn"},
		{"another version", raw(1, otherVersionBody...), "version 99 is not 1"},
		{"oversize", afterHello(0xff, 0xff, 0xff, 0xff), "over the limit"},
		{"empty frame", afterHello(0, 0, 0, 0), "empty frame"},
		{"unknown kind", afterHello(raw(77)...), "unknown sort of frame 77"},
		{"a kind no longer in use", afterHello(raw(19)...), "unknown sort of frame 19"},
		{"no CBOR", afterHello(raw(2, 0xff)...), "Offer"},
		{"too few fields", afterHello(raw(7, 0x80)...), "Probe"},
		{"unknown outcome", afterHello(raw(4, 0x84, 1, 0x18, 99, 0, 0xa0)...), "outcome is unknown"},
		{"text without a length", afterHello(raw(16, 0x82, 0x7f)...), "Cancel"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var r Reader
			err := r.Feed(tc.input, ignoreFrame)
			testutil.Expect(t, err != nil && strings.Contains(err.Error(), tc.want), "got %v, want %s", err, tc.want)
			again := r.Feed(hello, nil)
			testutil.Expect(t, errors.Is(again, err), "the reader continues after an error: %v", again)
		})
	}
}

// Callers can distinguish the errors of a stream by their types.
func TestErrorsAreTyped(t *testing.T) {
	_, err := Decode(nil)
	testutil.Expect(t, errors.Is(err, ErrEmptyFrame), "empty frame: %v", err)
	_, err = Decode([]byte{77})
	var unknown *UnknownKindError
	testutil.Expect(t, errors.As(err, &unknown) && unknown.Kind == 77, "unknown kind: %v", err)
	_, err = Append(nil, &MachineListUpdate{Entries: []MachineEntry{{Machine: "m"}}})
	var frame *FrameError
	var field *FieldError
	if !errors.As(err, &frame) || frame.Frame != "Listed" || !errors.As(err, &field) ||
		*field != (FieldError{"address", "is empty"}) {
		t.Errorf("a field out of range: %v", err)
	}
	var r Reader
	err = r.Feed(stream(t, &Heartbeat{}), ignoreFrame)
	var outOfTurn *OutOfTurnError
	testutil.Expect(t, errors.As(err, &outOfTurn) && outOfTurn.Frame == "Beat", "out of turn: %v", err)
	_, err = ReadFrame(bytes.NewReader([]byte{0, 0, 1, 0}), 255)
	var size *SizeError
	testutil.Expect(t, errors.As(err, &size) && *size == (SizeError{"frame", 256, 255}), "oversize: %v", err)
	refused := errors.New("refused by the receiver")
	r = Reader{}
	err = r.Feed(stream(t, NewHello(RoleClient, "c", 1)), func(Frame) error { return refused })
	testutil.Expect(t, errors.Is(err, refused), "error of the receiver: %v", err)
}

func TestFramesOutOfRangeAreNotEncoded(t *testing.T) {
	tooLongSpec := ContainerSpec{ContainerID: strings.Repeat("x", 201), IdempotencyKey: "k", Service: "s"}
	for _, f := range []Frame{
		&Offer{Spec: tooLongSpec}, &Submit{TimeToDeadline: -1, Spec: sampleSpec},
		&PlacementReply{ContainerID: "c"}, &UsageReport{Metric: 6},
	} {
		if _, err := Append(nil, f); err == nil {
			t.Errorf("%s with a value out of range is encoded", Name(f))
		}
	}
}

// For any input, a reader returns the same frames and the same success or failure whether it is fed all bytes at once
// or one by one, and every frame that it accepts can be encoded again.
func FuzzReader(f *testing.F) {
	frames := samples()
	f.Add(stream(f, frames...))
	for _, frame := range frames[1:] {
		f.Add(stream(f, frames[0], frame))
	}
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var whole, bytewise Reader
		var wholeFrames, bytewiseFrames []Frame
		wholeErr := whole.Feed(data, func(f Frame) error {
			wholeFrames = append(wholeFrames, f)
			return nil
		})
		var bytewiseErr error
		for i := range data {
			bytewiseErr = bytewise.Feed(data[i:i+1], func(f Frame) error {
				bytewiseFrames = append(bytewiseFrames, f)
				return nil
			})
		}
		testutil.Require(t, len(wholeFrames) == len(bytewiseFrames) && (wholeErr == nil) == (bytewiseErr == nil),
			"whole: %d frames, %v; bytewise: %d, %v", len(wholeFrames), wholeErr, len(bytewiseFrames), bytewiseErr)
		for _, f := range wholeFrames {
			if _, err := Append(nil, f); err != nil {
				t.Errorf("accepted, but not encoded: %v", err)
			}
		}
	})
}

// Encodes and decodes an offer, with the codec of this package and with the standard library's JSON.
func BenchmarkOffer(b *testing.B) {
	offer := &Offer{AttemptID: 9, Timeout: 3500, Spec: sampleSpec}
	benchmarkCodec(b, "cbor",
		func(data []byte) ([]byte, error) { return Append(data[:0], offer) },
		func(data []byte) error { _, err := Decode(data[lengthSize:]); return err })
	benchmarkCodec(b, "json",
		func([]byte) ([]byte, error) { return json.Marshal(offer) },
		func(data []byte) error { return json.Unmarshal(data, new(Offer)) })
}

func benchmarkCodec(b *testing.B, name string, encode func([]byte) ([]byte, error), decode func([]byte) error) {
	b.Helper()
	b.Run(name, func(b *testing.B) {
		var data []byte
		b.ReportAllocs()
		for b.Loop() {
			var err error
			data, err = encode(data)
			testutil.NoError(b, err)
			err = decode(data)
			testutil.NoError(b, err)
		}
		b.ReportMetric(float64(len(data)), "bytes")
	})
}
