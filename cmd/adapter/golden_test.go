package main

import (
	"bytes"
	"strings"
	"testing"

	"glenport/internal/golden"
	"glenport/internal/testutil"
)

// TestTranscriptIsAnsweredByteForByte replays frames of two instances with all kinds of messages. The text of
// DEBUG lines is free; that one is written, and where, is not.
func TestTranscriptIsAnsweredByteForByte(t *testing.T) {
	const recorded = "testdata/transcript.out"
	in := testutil.ReadFile(t, "testdata/transcript.in")
	var out bytes.Buffer
	testutil.NoError(t, run(bytes.NewReader(in), &out))
	lines := strings.SplitAfter(out.String(), "\n")
	for i, line := range lines {
		if words := strings.Fields(line); len(words) > 2 && words[0] == "DEBUG" {
			lines[i] = strings.Join(words[:2], " ") + "\n"
		}
	}
	got := strings.Join(lines, "")
	golden.CheckText(t, recorded, got)
}
