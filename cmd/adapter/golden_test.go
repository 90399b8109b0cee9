package main

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"glenport/internal/golden"
)

// TestTranscriptIsAnsweredByteForByte replays frames of two instances with all kinds of messages. The text of
// DEBUG lines is free; that one is written, and where, is not.
func TestTranscriptIsAnsweredByteForByte(t *testing.T) {
	const recorded = "testdata/transcript.out"
	in, err := os.ReadFile("testdata/transcript.in")
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := run(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	lines := strings.SplitAfter(out.String(), "\n")
	for i, line := range lines {
		if words := strings.Fields(line); len(words) > 2 && words[0] == "DEBUG" {
			lines[i] = strings.Join(words[:2], " ") + "\n"
		}
	}
	got := strings.Join(lines, "")
	golden.CheckText(t, recorded, got)
}
