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

// describe formats every value of a message under its name on the wire.
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

// errorText formats an error without the names of Go types that the JSON library includes in its message.
func errorText(err error) string {
	text := err.Error()
	if wrongType, ok := errors.AsType[*json.UnmarshalTypeError](err); ok {
		place := fmt.Sprintf("<%s at %s, byte %d>", wrongType.Value, wrongType.Field, wrongType.Offset)
		text = strings.Replace(text, wrongType.Error(), place, 1)
	}
	return text
}

const callMember = `"call":"9b1f03aa5c7e2d41"`

// validLines are messages of every type, with every field that a peer sends.
var validLines = []string{
	`{"op":"offer",` + callMember + `,"with":{"class":"batch","key":"t1:k7","left":1500,"tenant":"t1","retry":"1",` +
		`"idem":"5f","extras":"service:c7;cores:2;memory:1.5;again:1"},"desc":"a\r\nb"}`,
	`{"op":"offer",` + callMember +
		`,"with":{"class":"web","key":"t2:k8","left":"900","extras":"at:m:4;service:c8"},"desc":""}`,
	`{"op":"ringing",` + callMember + `,"with":{},"why":0}`,
	`{"op":"accept",` + callMember + `,"with":{"load":"cpu:0.5;mem:0.25"},"desc":"made\u0020here\/\u00e9\ud83d\ude00"}`,
	`{"op":"end",` + callMember + `,"with":{"note":"cpu_full","load":"cpu:0.97;x:1"},"why":34}`,
	`{"op":"end",` + callMember + `,"with":{"wait":250},"why":41,"desc":"why"}`,
	`{"op":"end",` + callMember + `,"with":{"note":"oom"},"why":16}`,
	`{"op":"end",` + callMember + `,"why":31}`,
	`{"op":"end",` + callMember + `,"why":47}`,
	`{"op":"end",` + callMember + `,"why":100}`,
	`{"op":"end",` + callMember + `,"why":102}`,
	`{"op":"end",` + callMember + `,"why":-1}`,
	`{"op":"end",` + callMember + `,"why":null}`,
	`{"op":"ended",` + callMember + `}`,
	`{"op":"test",` + callMember + `,"with":{},"why":1}`,
	`{"op":"tested",` + callMember + `,"with":{"load":"cpu:0.5"},"why":0}`,
	`{"op":"info",` + callMember + `,"with":{"note":"cpu","value":0.125}}`,
	`{"op":"info",` + callMember + `,"with":{"note":"up","value":-1.5e-3}}`,
	`{"op":"redirect",` + callMember + `,"with":{"to":"127.0.0.1:9"}}`,
	`  {"op" : "ended" , "call":"ABCDEFabcdef0123" , "more":[1,{}] , "with":null}  `,
	`{"OP":"ended","Call":"0000000000000000","WITH":{"A":"1","a":"2"},"Why":7,"DESC":"x"}`,
	`{"op":"end","op":"ended",` + callMember + `,"call":"1111111111111111","with":{"a":"1","a":"2"},"with":{"b":3}}`,
}

// invalidLines are lines that are not messages.
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
	`{"op":"ended",` + callMember + `}{}`,
	"\x00",
	`{}`,
	`{"op":"run",` + callMember + `}`,
	`{"op":"",` + callMember + `}`,
	`{"op":"END",` + callMember + `}`,
	`{"op":7,` + callMember + `}`,
	`{"op":"` + strings.Repeat("o", 100) + `",` + callMember + `}`,
	`{"op":"end","why":16}`,
	`{"op":"end","call":"9b1f03aa5c7e2d4g"}`,
	`{"op":"end","call":"9b1f03aa5c7e2d4"}`,
	`{"op":"end","call":"9b1f03aa5c7e2d411"}`,
	`{"op":"end","call":7}`,
	`{"op":"end","call":"` + strings.Repeat("0", 100) + `"}`,
	`{"op":"end",` + callMember + `,"why":"x"}`,
	`{"op":"end",` + callMember + `,"why":1.5}`,
	`{"op":"end",` + callMember + `,"why":1e30}`,
	`{"op":"end",` + callMember + `,"why":{}}`,
	`{"op":"offer",` + callMember + `,"with":{"left":[1]}}`,
	`{"op":"offer",` + callMember + `,"with":{"left":true}}`,
	`{"op":"offer",` + callMember + `,"with":{"left":null}}`,
	`{"op":"offer",` + callMember + `,"with":{"left":{}}}`,
	`{"op":"offer",` + callMember + `,"with":[]}`,
	`{"op":"offer",` + callMember + `,"with":"x"}`,
	`{"op":"accept",` + callMember + `,"desc":null}`,
	`{"op":"accept",` + callMember + `,"desc":5}`,
	`{"op":"accept",` + callMember + `,"desc":["x"]}`,
	`{"op":"accept",` + callMember + `,"desc":true}`,
	`{"op":"accept",` + callMember + `,"desc":"` + "\xff" + `"}`,
	`{"op":"accept",` + callMember + `,"desc":"` + "a\tb" + `"}`,
}

// TestDecodedMessagesAreUnchanged decodes messages of every type and invalid lines, and compares every value or error
// with the recorded one.
func TestDecodedMessagesAreUnchanged(t *testing.T) {
	var got bytes.Buffer
	for _, line := range slices.Concat(validLines, invalidLines) {
		m, err := Decode([]byte(line))
		if err != nil {
			testutil.Expect(t, m == nil, "%s: returned both a message and an error", line)
			fmt.Fprintf(&got, "%q\n\terror: %s\n", line, errorText(err))
			continue
		}
		fmt.Fprintf(&got, "%q\n\t%s\n", line, describe(m))
	}
	golden.CheckText(t, "testdata/decoded.txt", got.String())
}

// TestEncodedMessagesAreUnchanged encodes messages of every type, with every field set, and compares the bytes with the
// recorded ones.
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

// TestDecodedMessagesAreEncodedAgain decodes and encodes each valid line and compares the bytes with the recorded ones.
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

// TestLinesAreSplitAsBefore feeds streams in pieces, at and around the limit. It compares the lines, the number of
// buffered bytes and the error with the recorded ones.
func TestLinesAreSplitAsBefore(t *testing.T) {
	errRefused := errors.New("the reader refuses this line")
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
						return errRefused
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

// TestMessagesOverTheLimitAreNotEncoded encodes messages just below and above the limit and compares the results with
// the recorded ones.
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
