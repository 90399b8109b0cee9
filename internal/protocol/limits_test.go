package protocol

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"glenport/internal/testutil"
)

// Both sides of a connection rely on the same limits of the frame size.
func TestFrameSizesAreLimited(t *testing.T) {
	testutil.Expect(t, MaxClientFrame == 65536 && MaxFrame == 16777216 && Version == 1,
		"limits %d and %d, version %d", MaxClientFrame, MaxFrame, Version)
	if _, err := Append(nil, goodbyeOfSize(t, MaxFrame)); err != nil {
		t.Errorf("the largest frame is refused: %v", err)
	}
	larger := goodbyeOfSize(t, MaxFrame)
	larger.Message += "x"
	_, err := Append(nil, larger)
	testutil.Equal(t, errorText(err), "FRAME of 16777217 bytes is over the limit of 16777216\n", "one more byte")
	for _, limit := range []struct {
		maxSize, hellos, size int
		want                  string
	}{
		{0, 0, 1024, "FRAME out of turn\n"}, // within the limit, but not a Hello
		{0, 0, 1025, "frame of 1025 bytes is over the limit of 1024\n"},
		{0, 1, 1025, "none\n"},
		{MaxClientFrame, 1, MaxClientFrame, "none\n"},
		{MaxClientFrame, 1, MaxClientFrame + 1, "frame of 65537 bytes is over the limit of 65536\n"},
	} {
		r := Reader{MaxSize: limit.maxSize}
		hello := stream(t, NewHello(RoleClient, "client", 1))
		input := append(bytes.Repeat(hello, limit.hellos), stream(t, goodbyeOfSize(t, limit.size))...)
		got := errorText(r.Feed(input, func(Frame) error { return nil }))
		testutil.Expect(t, got == limit.want, "%+v: %s", limit, got)
	}
	_, err = ReadFrame(bytes.NewReader(stream(t, goodbyeOfSize(t, 104))), 50)
	testutil.Equal(t, errorText(err), "frame of 104 bytes is over the limit of 50\n", "read with a limit of 50")
}

// goodbyeOfSize returns a frame with the given number of bytes after the length.
func goodbyeOfSize(t *testing.T, size int) *Goodbye {
	t.Helper()
	for overhead := 3; overhead <= 7; overhead++ { // the length of the text takes one to five bytes
		f := &Goodbye{Message: strings.Repeat("x", size-overhead)}
		if data, err := Append(nil, f); err == nil && len(data) == lengthSize+size {
			return f
		}
	}
	t.Fatalf("no frame has %d bytes", size)
	return nil
}

// Logs and the output of commands contain the names of enumerated values, so they must not change.
func TestEnumeratedValuesKeepTheirTexts(t *testing.T) {
	var got []string
	for i := range 6 {
		got = append(got, Role(i).String(), Outcome(i).String(), Verdict(i).String(), MachineState(i).String())
	}
	for i := range 9 {
		got = append(got, Reason(i).String())
	}
	want := "|finished||serving|placer|erred|placed|draining|machine|full|pushed back|gone|" +
		"list|stopped|given up|unknown 3|owner|lost|turned away|unknown 4|unknown 5|unknown 5|unknown 5|unknown 5|" +
		"-|no cores|no memory|long queue|not here|evicted|pushed out|sent away|unknown 8"
	s := strings.Join(got, "|")
	testutil.Expect(t, s == want, "got\n%s, want\n%s", s, want)
}

// Errors that are sent to a peer contain the names of frames, which are the names in docs/protocol.md.
func TestFramesHaveTheNamesOfTheProtocolPage(t *testing.T) {
	var got []string
	for number := range 256 {
		if f := newFrame(kind(number)); f != nil {
			got = append(got, fmt.Sprint(number, " ", Name(f)))
		}
	}
	want := "1 Hello, 2 Offer, 3 Yes, 4 Result, 5 Note, 6 Withdraw, 7 Probe, 8 Probed, 9 Holds, 10 Fetch, " +
		"11 Watch, 12 Listed, 13 Failed, 14 Beat, 15 Submit, 16 Cancel, 17 Answer, 18 Fate, 20 AskStatus, " +
		"21 Status, 22 Bye, 23 AskWhy, 24 Why, 25 AskRoutes, 26 Routes, 27 Look"
	names := strings.Join(got, ", ")
	testutil.Expect(t, names == want, "got\n%s, want\n%s", names, want)
}
