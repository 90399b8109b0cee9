package jsonlines

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"glenport/internal/golden"
	"glenport/internal/testutil"
)

// describe writes every value of a message by its name on the wire.
func describe(m *Message) string {
	var b strings.Builder
	fmt.Fprintf(&b, "op=%q call=%q", string(m.Op), m.RequestID)
	if m.Fields == nil {
		b.WriteString(" with=none")
	}
	for _, k := range slices.Sorted(maps.Keys(m.Fields)) {
		fmt.Fprintf(&b, " with.%s=%q", k, m.Fields[k])
	}
	if m.Cause == nil {
		b.WriteString(" why=none")
	} else {
		fmt.Fprintf(&b, " why=%d", *m.Cause)
	}
	fmt.Fprintf(&b, " cause=%d", m.CauseOrNone())
	if m.Description == nil {
		b.WriteString(" desc=none")
	} else {
		fmt.Fprintf(&b, " desc=%q", string(m.Description))
	}
	return b.String()
}

// failure writes an error without what the JSON library says of types of the program.
func failure(err error) string {
	text := err.Error()
	if wrongType, ok := errors.AsType[*json.UnmarshalTypeError](err); ok {
		place := fmt.Sprintf("<%s at %s, byte %d>", wrongType.Value, wrongType.Field, wrongType.Offset)
		text = strings.Replace(text, wrongType.Error(), place, 1)
	}
	return text
}

const id = `"call":"9b1f03aa5c7e2d41"`

// validLines are lines of every type with every field that a peer sends.
var validLines = []string{
	`{"op":"offer",` + id + `,"with":{"class":"batch","key":"t1:k7","left":1500,"tenant":"t1","retry":"1",` +
		`"idem":"5f","extras":"service:c7;cores:2;memory:1.5;again:1"},"desc":"a\r\nb"}`,
	`{"op":"offer",` + id +
		`,"with":{"class":"web","key":"t2:k8","left":"900","extras":"at:m:4;service:c8"},"desc":""}`,
	`{"op":"ringing",` + id + `,"with":{},"why":0}`,
	`{"op":"accept",` + id + `,"with":{"load":"cpu:0.5;mem:0.25"},"desc":"made\u0020here\/\u00e9\ud83d\ude00"}`,
	`{"op":"end",` + id + `,"with":{"note":"cpu_full","load":"cpu:0.97;x:1"},"why":34}`,
	`{"op":"end",` + id + `,"with":{"wait":250},"why":41,"desc":"why"}`,
	`{"op":"end",` + id + `,"with":{"note":"oom"},"why":16}`,
	`{"op":"end",` + id + `,"why":31}`,
	`{"op":"end",` + id + `,"why":47}`,
	`{"op":"end",` + id + `,"why":100}`,
	`{"op":"end",` + id + `,"why":102}`,
	`{"op":"end",` + id + `,"why":-1}`,
	`{"op":"end",` + id + `,"why":null}`,
	`{"op":"ended",` + id + `}`,
	`{"op":"test",` + id + `,"with":{},"why":1}`,
	`{"op":"tested",` + id + `,"with":{"load":"cpu:0.5"},"why":0}`,
	`{"op":"info",` + id + `,"with":{"note":"cpu","value":0.125}}`,
	`{"op":"info",` + id + `,"with":{"note":"up","value":-1.5e-3}}`,
	`{"op":"redirect",` + id + `,"with":{"to":"127.0.0.1:9"}}`,
	`  {"op" : "ended" , "call":"ABCDEFabcdef0123" , "more":[1,{}] , "with":null}  `,
	`{"OP":"ended","Call":"0000000000000000","WITH":{"A":"1","a":"2"},"Why":7,"DESC":"x"}`,
	`{"op":"end","op":"ended",` + id + `,"call":"1111111111111111","with":{"a":"1","a":"2"},"with":{"b":3}}`,
}

// invalidLines are lines that are no message.
var invalidLines = []string{
	``,
	` `,
	`null`,
	`[1]`,
	`7`,
	`"offer"`,
	`{`,
	`{"op":"end"`,
	`{"op":"end",}`,
	`{"op":"ended",` + id + `}{}`,
	"\x00",
	`{}`,
	`{"op":"run",` + id + `}`,
	`{"op":"",` + id + `}`,
	`{"op":"END",` + id + `}`,
	`{"op":7,` + id + `}`,
	`{"op":"` + strings.Repeat("o", 100) + `",` + id + `}`,
	`{"op":"end","why":16}`,
	`{"op":"end","call":"9b1f03aa5c7e2d4g"}`,
	`{"op":"end","call":"9b1f03aa5c7e2d4"}`,
	`{"op":"end","call":"9b1f03aa5c7e2d411"}`,
	`{"op":"end","call":7}`,
	`{"op":"end","call":"` + strings.Repeat("0", 100) + `"}`,
	`{"op":"end",` + id + `,"why":"x"}`,
	`{"op":"end",` + id + `,"why":1.5}`,
	`{"op":"end",` + id + `,"why":1e30}`,
	`{"op":"end",` + id + `,"why":{}}`,
	`{"op":"offer",` + id + `,"with":{"left":[1]}}`,
	`{"op":"offer",` + id + `,"with":{"left":true}}`,
	`{"op":"offer",` + id + `,"with":{"left":null}}`,
	`{"op":"offer",` + id + `,"with":{"left":{}}}`,
	`{"op":"offer",` + id + `,"with":[]}`,
	`{"op":"offer",` + id + `,"with":"x"}`,
	`{"op":"accept",` + id + `,"desc":null}`,
	`{"op":"accept",` + id + `,"desc":5}`,
	`{"op":"accept",` + id + `,"desc":["x"]}`,
	`{"op":"accept",` + id + `,"desc":true}`,
	`{"op":"accept",` + id + `,"desc":"` + "\xff" + `"}`,
	`{"op":"accept",` + id + `,"desc":"` + "a\tb" + `"}`,
}

// TestDecodedMessagesAreUnchanged reads lines of every type, and lines that are none, and compares every value or
// error.
func TestDecodedMessagesAreUnchanged(t *testing.T) {
	var got bytes.Buffer
	for _, line := range slices.Concat(validLines, invalidLines) {
		m, err := Decode([]byte(line))
		if err != nil {
			testutil.Expect(t, m == nil, "%s: a message and an error", line)
			fmt.Fprintf(&got, "%q\n\terror: %s\n", line, failure(err))
			continue
		}
		fmt.Fprintf(&got, "%q\n\t%s\n", line, describe(m))
	}
	golden.CheckText(t, "testdata/decoded.txt", got.String())
}

// TestEncodedMessagesAreUnchanged writes messages of every type with every field set and compares the bytes.
func TestEncodedMessagesAreUnchanged(t *testing.T) {
	const call = "9b1f03aa5c7e2d41"
	var got []byte
	for _, m := range []*Message{
		{
			Op: OpOffer, RequestID: call,
			Fields:      Fields{"class": "batch", "key": "t1:<k>&", "left": "1500", "idem": "5f"},
			Description: []byte(`"a\u00e9\/\r\n"`),
		},
		{Op: OpRinging, RequestID: call, Fields: Fields{"a": ""}},
		{Op: OpAccept, RequestID: call, Description: []byte(`"made\u0020here"`)},
		{Op: OpEnd, RequestID: call, Fields: Fields{"wait": "250"}, Cause: new(CauseNoCapacity)},
		{Op: OpEnd, RequestID: call, Cause: new(CauseTemporaryFailure)},
		{Op: OpEnd, RequestID: call, Cause: new(CauseInvalidContents)},
		{Op: OpEnd, RequestID: call, Cause: new(CauseNormal)},
		{Op: OpEnd, RequestID: call, Cause: new(CauseCancelled)},
		{Op: OpEnd, RequestID: call, Cause: new(CauseError)},
		{Op: OpEnd, RequestID: call, Cause: new(CauseNotSent)},
		{Op: OpEnd, RequestID: call, Cause: new(-1)},
		{Op: OpEnded, RequestID: call},
		{Op: OpTest, RequestID: "0000000000000001", Cause: new(CauseTestPassed)},
		{Op: OpTested, RequestID: call, Cause: new(CauseTestFailed), Fields: Fields{"load": "cpu:0.5"}},
		{Op: OpInfo, RequestID: call, Fields: Fields{"note": "cpu", "value": "0.125"}},
		{Op: OpRedirect, RequestID: call, Fields: Fields{"to": "é\u2028\t\"\\\x01\x7f"}},
		{},
	} {
		var err error
		if got, err = Append(got, m); err != nil {
			t.Fatalf("%+v: %v", m, err)
		}
	}
	golden.CheckText(t, "testdata/encoded.txt", string(got))
}

// TestDecodedMessagesAreEncodedAgain writes what was read from each valid line and compares the bytes.
func TestDecodedMessagesAreEncodedAgain(t *testing.T) {
	var got []byte
	for _, line := range validLines {
		m, err := Decode([]byte(line))
		testutil.NoError(t, err)
		got, err = Append(got, m)
		testutil.NoError(t, err)
	}
	golden.CheckText(t, "testdata/encoded-again.txt", string(got))
}

// TestLinesAreSplitAsBefore feeds streams in pieces and compares the lines, what is left, and the error, at each limit.
func TestLinesAreSplitAsBefore(t *testing.T) {
	refused := errors.New("the reader refuses this line")
	var got bytes.Buffer
	for _, in := range []string{
		"", "\n", "\r\n", "a\nbc\r\n\n", "a\nbc", "123456789\n", "1234567890\n", "12345678\r\n", "123456789\r\n",
		"a\n1234567890", "a\n123456789", "x\nstop\ny\n", "a\r\rb\n",
	} {
		for _, step := range []int{1, 2, 3, 7, 100} {
			lines := LineSplitter{MaxBytes: 10}
			fmt.Fprintf(&got, "%q by %d:", in, step)
			for p := []byte(in); len(p) > 0; p = p[min(step, len(p)):] {
				err := lines.Feed(p[:min(step, len(p))], func(line []byte) error {
					fmt.Fprintf(&got, " %q", line)
					if string(line) == "stop" {
						return refused
					}
					return nil
				})
				if err != nil {
					fmt.Fprintf(&got, " error: %v;", err)
				}
			}
			fmt.Fprintf(&got, " left %d\n", lines.Buffered())
		}
	}
	golden.CheckText(t, "testdata/split.txt", got.String())
}

// TestMessagesOverTheLimitAreNotEncoded finds the longest message by its bytes.
func TestMessagesOverTheLimitAreNotEncoded(t *testing.T) {
	var got bytes.Buffer
	fmt.Fprintf(&got, "limit %d\n", MaxLineBytes)
	for _, n := range []int{16322, 16323, 16324, 16325, 16326, 16327, 16328, 20000} {
		out, err := Append(
			[]byte("kept"),
			&Message{
				Op:          OpAccept,
				RequestID:   "9b1f03aa5c7e2d41",
				Description: []byte(`"` + strings.Repeat("x", n) + `"`),
			},
		)
		fmt.Fprintf(&got, "%d: %d bytes, error: %v\n", n, len(out), err)
	}
	golden.CheckText(t, "testdata/limit.txt", got.String())
}
