package main

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"glenport/internal/golden"
	"glenport/internal/testutil"
)

func TestFramesAreAnsweredUntilInvalidInput(t *testing.T) {
	for _, tc := range []struct{ name, in, out, err string }{
		{"empty input", "", "", ""},
		{"empty frame", "FRAME 8412.25 1\nCOMMIT\n", "DONE 1\n", ""},
		{"unknown instance", "FRAME 1 1\nVANISHED 3 r-1\nCOMMIT\n", "", "line 2: instance 3 is not known"},
		{"truncated input", "FRAME 1 1\nCOMMIT\nFRAME 2 2\n", "DONE 1\n", "input ends inside a frame"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var out bytes.Buffer
			err := run(strings.NewReader(tc.in), &out)
			testutil.Expect(t, out.String() == tc.out, "wrote %q, want %q", out.String(), tc.out)
			if (err == nil) != (tc.err == "") || err != nil && !strings.Contains(err.Error(), tc.err) {
				t.Errorf("error %v, want %q", err, tc.err)
			}
		})
	}
}

func TestUnknownInstanceIsATypedError(t *testing.T) {
	err := run(strings.NewReader("FRAME 1 1\nVANISHED 3 r-1\nCOMMIT\n"), io.Discard)
	var unknown *unknownInstanceError
	testutil.Expect(t, errors.As(err, &unknown) && unknown.instance == 3 && unknown.line == 2, "error %v", err)
}

func TestSchedulerPanicIsReportedAsFault(t *testing.T) {
	var out bytes.Buffer
	if appendDecisions(&out, 1, &instanceBatch{instance: 3}); !strings.HasPrefix(out.String(), "FAULT 3 ") {
		t.Errorf("wrote %q", out.String())
	}
}

// TestTranscriptIsAnsweredByteForByte replays frames of two instances with all kinds of messages. It compares the
// position of DEBUG lines, but not their text.
func TestTranscriptIsAnsweredByteForByte(t *testing.T) {
	in := testutil.ReadFile(t, "testdata/transcript.in")
	var out bytes.Buffer
	testutil.NoError(t, run(bytes.NewReader(in), &out))
	lines := strings.SplitAfter(out.String(), "\n")
	for i, line := range lines {
		if words := strings.Fields(line); len(words) > 2 && words[0] == "DEBUG" {
			lines[i] = strings.Join(words[:2], " ") + "\n"
		}
	}
	golden.CheckText(t, "testdata/transcript.out", strings.Join(lines, ""))
}
