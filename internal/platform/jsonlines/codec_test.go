package jsonlines

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

func TestDecode(t *testing.T) {
	const call = `"call":"9b1f03aa5c7e2d41"`
	for _, tc := range []struct {
		name, line, fault string
	}{
		{"set-up", `{"op":"offer",` + call + `,"with":{"class":"batch","left":1500},"desc":"a\r\nb"}`, ""},
		{"end", `{"op":"end",` + call + `,"with":{},"why":34}`, ""},
		{"no fields", `{"op":"ended",` + call + `}`, ""},
		{"unknown keys", `{"op":"ended",` + call + `,"more":[1,{}]}`, ""},
		{"no object", `[1]`, "no message"},
		{"no JSON", `{"op":"end"`, "no message"},
		{"unknown op", `{"op":"run",` + call + `}`, `op "run" is not known`},
		{"no call", `{"op":"end","why":16}`, "is not 16 hex digits"},
		{"call is no hex", `{"op":"end","call":"9b1f03aa5c7e2d4g"}`, "is not 16 hex digits"},
		{"call is a number", `{"op":"end","call":7}`, "no message"},
		{"cause is text", `{"op":"end",` + call + `,"why":"x"}`, "no message"},
		{"cause is huge", `{"op":"end",` + call + `,"why":1e30}`, "no message"},
		{"field is a list", `{"op":"offer",` + call + `,"with":{"left":[1]}}`, "with.left is neither text nor a number"},
		{"description is a number", `{"op":"accept",` + call + `,"desc":5}`, "desc is no text"},
		{"not UTF-8", `{"op":"accept",` + call + `,"desc":"` + "\xff" + `"}`, "not UTF-8"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := Decode([]byte(tc.line))
			if got := fmt.Sprint(err); tc.fault == "" && err != nil || tc.fault != "" && !strings.Contains(got, tc.fault) {
				t.Errorf("fault %v, want %q", err, tc.fault)
			}
		})
	}
}

// What was read is written again with its description byte for byte and its figures as they stood.
func TestThereAndBack(t *testing.T) {
	m, err := Decode([]byte(`{"op":"offer","call":"9b1f03aa5c7e2d41","with":{"left":1500,"key":"<k>"},"why":0,"desc":"a\u00e9\/\r\n"}`))
	if err != nil {
		t.Fatal(err)
	}
	out, err := Append(nil, m)
	want := `{"op":"offer","call":"9b1f03aa5c7e2d41","with":{"key":"<k>","left":"1500"},"why":0,"desc":"a\u00e9\/\r\n"}` + "\n"
	if err != nil || string(out) != want {
		t.Errorf("%s, %v", out, err)
	}
	m.Fields["key"] = strings.Repeat("x", MaxLineBytes)
	if out, err := Append([]byte("kept"), m); err == nil || string(out) != "kept" {
		t.Errorf("a message over the limit: %d bytes, %v", len(out), err)
	}
}

func TestLines(t *testing.T) {
	for _, tc := range []struct {
		name  string
		in    string
		lines string
		half  int
		fault bool
	}{
		{"whole lines", "a\nbc\r\n\n", "a|bc||", 0, false},
		{"half a line", "a\nbc", "a|", 2, false},
		{"longest", strings.Repeat("x", 9) + "\n", "xxxxxxxxx|", 0, false},
		{"too long", "a\n" + strings.Repeat("x", 10) + "\n", "a|", 0, true},
		{"never ends", "a\n" + strings.Repeat("x", 100), "a|", 0, true},
	} {
		for _, step := range []int{1, 3, 1000} {
			t.Run(fmt.Sprint(tc.name, " by ", step), func(t *testing.T) {
				l, got := LineSplitter{MaxBytes: 10}, ""
				var err error
				for p := []byte(tc.in); len(p) > 0; p = p[min(step, len(p)):] {
					err = l.Feed(p[:min(step, len(p))], func(line []byte) error {
						got += string(bytes.Clone(line)) + "|"
						return nil
					})
				}
				if got != tc.lines || l.Buffered() != tc.half || (err != nil) != tc.fault {
					t.Errorf("lines %q, half %d, fault %v", got, l.Buffered(), err)
				}
			})
		}
	}
}
