package protocol

import (
	"bytes"
	"errors"
	"fmt"
	"regexp"
	"strings"
	"testing"

	"glenport/internal/testutil"
)

const invalidFile = "testdata/invalid_frames.txt"

// goType matches names of Go types, which the recorded errors do not contain.
var goType = regexp.MustCompile(`\*?\b[a-z]+\.[A-Z]\w*`)

// errorText is the recorded form of an error's text, with FRAME in place of the name of a frame or type.
func errorText(err error) string {
	if err == nil {
		return "none\n"
	}
	text := goType.ReplaceAllString(err.Error(), "FRAME")
	if name := frameOf(err); name != "" {
		rest, ok := strings.CutPrefix(text, name)
		if !ok {
			return fmt.Sprintf("%q does not begin with the name of the frame, %s\n", text, name)
		}
		text = "FRAME" + rest
	}
	return text + "\n"
}

// frameOf is the name of the frame to which an error refers, or empty.
func frameOf(err error) string {
	var frame *FrameError
	var size *SizeError
	var outOfTurn *OutOfTurnError
	switch {
	case errors.As(err, &frame):
		return frame.Frame
	case errors.As(err, &size) && size.Frame != "frame":
		return size.Frame
	case errors.As(err, &outOfTurn):
		return outOfTurn.Frame
	}
	return ""
}

// Decoding a malformed frame, or one with a value out of range, returns the recorded error.
func TestInvalidFramesKeepTheirErrors(t *testing.T) {
	const head = "Frames that are refused (some that just pass): the error, " +
		"where FRAME stands for a name in Go,\nand the bytes without the length in front.\n"
	var known []section
	for _, f := range invalidFrames(t) {
		_, err := Decode(f.body)
		known = append(known, section{f.title, errorText(err), f.body})
	}
	for i, want := range recordedSections(t, invalidFile, head, known) {
		t.Run(want.title, func(t *testing.T) {
			testutil.Require(t, bytes.Equal(known[i].bytes, want.bytes),
				"%x is recorded in place of %x", want.bytes, known[i].bytes)
			f, err := Decode(want.bytes)
			got := errorText(err)
			testutil.Expect(t, got == want.text, "error %swant %s", got, want.text)
			testutil.Expect(t, (f == nil) == (err != nil), "a frame %v with the error %v", f, err)
		})
	}
}

// Append refuses the frames that Decode refuses, with the same error.
func TestInvalidFramesAreNotSent(t *testing.T) {
	for _, invalid := range invalidFrames(t) {
		if len(invalid.body) == 0 {
			continue
		}
		f := newFrame(kind(invalid.body[0]))
		if f == nil || decoder.Unmarshal(invalid.body[kindSize:], f) != nil {
			continue
		}
		_, received := Decode(invalid.body)
		b, sent := Append([]byte("before"), f)
		testutil.Expect(t, errorText(received) == errorText(sent),
			"%s: received with %v, sent with %v", invalid.title, received, sent)
		testutil.Expect(t, sent == nil || string(b) == "before", "%s: data before the frame: %q", invalid.title, b)
	}
}
