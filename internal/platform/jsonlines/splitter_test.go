package jsonlines

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

func TestStreamIsSplitIntoLines(t *testing.T) {
	for _, tc := range []struct {
		name, in, lines string
		buffered        int
		tooLong         bool
	}{
		{"complete lines", "a\nbc\r\n\n", "a|bc||", 0, false},
		{"incomplete line", "a\nbc", "a|", 2, false},
		{"longest", strings.Repeat("x", 9) + "\n", "xxxxxxxxx|", 0, false},
		{"too long", "a\n" + strings.Repeat("x", 10) + "\n", "a|", 0, true},
		{"no line end", "a\n" + strings.Repeat("x", 100), "a|", 0, true},
	} {
		for _, step := range []int{1, 3, 1000} {
			t.Run(fmt.Sprint(tc.name, " by ", step), func(t *testing.T) {
				splitter, got := LineSplitter{MaxBytes: 10}, ""
				var err error
				for p := []byte(tc.in); len(p) > 0; p = p[min(step, len(p)):] {
					err = splitter.Feed(p[:min(step, len(p))], func(line []byte) error {
						got += string(bytes.Clone(line)) + "|"
						return nil
					})
				}
				if got != tc.lines || splitter.Buffered() != tc.buffered || (err != nil) != tc.tooLong ||
					tc.tooLong && !hasType[*LineLengthError](err) {
					t.Errorf("lines %q, %d bytes buffered, error %v", got, splitter.Buffered(), err)
				}
			})
		}
	}
}
