package jsonlines

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"glenport/internal/testutil"
)

// hasType reports whether an error is or wraps one of type E.
func hasType[E error](err error) bool {
	var target E
	return errors.As(err, &target)
}

// wraps returns a function that reports whether an error wraps sentinel.
func wraps(sentinel error) func(error) bool {
	return func(err error) bool { return errors.Is(err, sentinel) }
}

func TestInvalidLineIsRejected(t *testing.T) {
	const call = `"call":"9b1f03aa5c7e2d41"`
	none := func(err error) bool { return err == nil }
	for _, tc := range []struct {
		name, line, text string
		matches          func(error) bool
	}{
		{"offer", `{"op":"offer",` + call + `,"with":{"class":"batch","left":1500},"desc":"a\r\nb"}`, "", none},
		{"end", `{"op":"end",` + call + `,"with":{},"why":34}`, "", none},
		{"no fields", `{"op":"ended",` + call + `}`, "", none},
		{"unknown keys", `{"op":"ended",` + call + `,"more":[1,{}]}`, "", none},
		{"not an object", `[1]`, "no message", wraps(ErrMalformed)},
		{"invalid JSON", `{"op":"end"`, "no message", wraps(ErrMalformed)},
		{"unknown op", `{"op":"run",` + call + `}`, `op "run" is not known`, hasType[*UnknownOpError]},
		{"no call", `{"op":"end","why":16}`, "is not 16 hex digits", hasType[*RequestIDError]},
		{"call is not hex", `{"op":"end","call":"9b1f03aa5c7e2d4g"}`, "is not 16 hex digits", hasType[*RequestIDError]},
		{"call is a number", `{"op":"end","call":7}`, "no message", wraps(ErrMalformed)},
		{"cause is text", `{"op":"end",` + call + `,"why":"x"}`, "no message", wraps(ErrMalformed)},
		{"cause is huge", `{"op":"end",` + call + `,"why":1e30}`, "no message", wraps(ErrMalformed)},
		{
			"field is a list", `{"op":"offer",` + call + `,"with":{"left":[1]}}`,
			"with.left is neither text nor a number", hasType[*FieldTypeError],
		},
		{
			"description is a number", `{"op":"accept",` + call + `,"desc":5}`,
			"desc is no text", wraps(ErrInvalidDescription),
		},
		{"not UTF-8", `{"op":"accept",` + call + `,"desc":"` + "\xff" + `"}`, "not UTF-8", wraps(ErrInvalidUTF8)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := Decode([]byte(tc.line))
			if got := fmt.Sprint(err); tc.text == "" && err != nil || tc.text != "" && !strings.Contains(got, tc.text) {
				t.Errorf("error %v, want %q", err, tc.text)
			}
			testutil.Expect(t, tc.matches(err), "error %v is of type %T", err, err)
		})
	}
}

// Decoding and encoding a message preserves its description byte for byte and the notation of its numbers.
func TestMessageSurvivesRoundTrip(t *testing.T) {
	const start, end = `{"op":"offer","call":"9b1f03aa5c7e2d41","with":{`, `},"why":0,"desc":"a\u00e9\/\r\n"}`
	m, err := Decode([]byte(start + `"left":1500,"key":"<k>"` + end))
	testutil.NoError(t, err)
	out, err := Append(nil, m)
	want := start + `"key":"<k>","left":"1500"` + end + "\n"
	testutil.Expect(t, err == nil && string(out) == want, "%s, %v", out, err)
	m.Fields["key"] = strings.Repeat("x", MaxLineBytes)
	if out, err := Append([]byte("kept"), m); !hasType[*MessageSizeError](err) || string(out) != "kept" {
		t.Errorf("a message over the limit: %d bytes, %v", len(out), err)
	}
}
