package simprotocol

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"

	"glenport/internal/golden"
)

// wrongValues replace the value of each setting in turn. Some are valid for some settings.
var wrongValues = []string{
	"", "-", "x", "0", "-1", "1.5", "99", "NaN", "Inf", "1e15", "10000001", "0,0,0,0,0,0", "0,1,2,0,1", "x,x",
}

// wrongFields replace each field of a message in turn. Some are valid for some fields.
var wrongFields = []string{"", "-", "?", "-1", "1.5", "16", "a:b"}

// sampleMessages are the messages whose fields are replaced.
var sampleMessages = []string{
	"UPDATE 3 Partial 41 0",
	"UPDATE 3 Error 41 -",
	"PENDING 0 r-1 2 17 t:k 1 1.5 2.25 8652.25 c:s 12.05",
	"ALREADY_PLACED 3 r-1 c:s 8652.25 1 2.25 t:k 2 1.5 16 12.05 m:1",
	"CONFIRMED 3 r-1 2 m:1 18.55",
	"INTERIM 3 r-1 m:1 2 1 0.5",
	"DONE 3 r-1 1 2 GOOD m:1 3 18.55 x0:1.5",
	"HEALTH_RESULT 3 m:1 GOOD 250.05 cpu:0.5",
	"TICK_DUE 3 sweep",
	"NOTE_FROM 3 x",
	"VANISHED 3 r-1",
	"KILLED 3",
	"WHAT 3",
	"CONFIGURE 3 51 me=0",
	"SHEET 1 0",
	"ITEM m:1 0 1 2 SERVING 3.5 1 12 6100.05",
}

// faultyInputs have errors in their frames and lists.
var faultyInputs = []string{
	"", "\n", "FRAME 1 1", "FRAME 1 1\n", "FRAME\nCOMMIT\n", "FRAME x 1\nCOMMIT\n", "FRAME 1\nCOMMIT\n",
	"FRAME 1 1 1\nCOMMIT\n",
	"FRAME 1e15 1\nCOMMIT\n", "FRAME -1 1\nCOMMIT\n", "COMMIT\n", "FRAME 1 1\nCOMMIT",
	"FRAME 1 1\nCOMMIT\nFRAME 2 2\n",
	"FRAME 1 1\nSHEET 0 2\nITEM m:1 0 0 0 SERVING 1 1 1 -\nCOMMIT\n", "FRAME 1 1\nSHEET 0 2\n",
	"FRAME 1 1\nSHEET 0 1\nITEM m:1\n",
	"FRAME 1 1\nSHEET 0 1\nITEM m:1 0 0 0 GONE 1 1 1 -\n", "FRAME 1 1\n" + strings.Repeat("x", 200) + "\n",
	"FRAME 1 1\n\nCOMMIT\n",
}

// TestInvalidSettingsErrorsMatchGolden removes each setting in turn and gives it wrong values, and compares the errors
// with the recorded ones.
func TestInvalidSettingsErrorsMatchGolden(t *testing.T) {
	all := strings.Fields(fullSettings)
	var got bytes.Buffer
	check := func(change string, pairs []string) {
		if _, err := ParseSettings(1, pairs); err != nil {
			fmt.Fprintf(&got, "%s: error: %v\n", change, err)
		} else {
			fmt.Fprintf(&got, "%s: accepted\n", change)
		}
	}
	for i, pair := range all {
		key, _, _ := strings.Cut(pair, "=")
		check("without "+key, slices.Delete(slices.Clone(all), i, i+1))
		for _, value := range wrongValues {
			pairs := slices.Clone(all)
			pairs[i] = key + "=" + value
			check(pairs[i], pairs)
		}
		pairs := slices.Clone(all)
		pairs[i] = key
		check(fmt.Sprintf("%q", key), pairs)
	}
	check("none", nil)
	golden.CheckText(t, "testdata/faulty-settings.txt", got.String())
}

// TestInvalidMessagesErrorsMatchGolden truncates each message, adds a field and replaces each field, and compares the
// errors with the recorded ones.
func TestInvalidMessagesErrorsMatchGolden(t *testing.T) {
	var got bytes.Buffer
	check := func(shown, in string) { fmt.Fprintf(&got, "%q: %s\n", shown, firstError(in)) }
	const listLines = "SHEET 0 1\nITEM m:1 0 1 2 SERVING 3.5 1 12 6100.05\n"
	for _, line := range sampleMessages {
		words := strings.Split(line, " ")
		frame := func(line string) { check(line, "FRAME 1 1\n"+listLines+line+"\nCOMMIT\n") }
		for n := range words {
			frame(strings.Join(words[:n], " "))
			for _, bad := range wrongFields {
				changed := slices.Clone(words)
				changed[n] = bad
				frame(strings.Join(changed, " "))
			}
		}
		frame(line + " more")
		check(line+", then the end inside the line", "FRAME 1 1\n"+listLines+line)
		check(line+", then the end inside the frame", "FRAME 1 1\n"+listLines+line+"\n")
	}
	for _, in := range faultyInputs {
		check(in, in)
	}
	golden.CheckText(t, "testdata/faulty-messages.txt", got.String())
}

// firstError decodes all frames of an input and returns the text of the first error, or "accepted".
func firstError(in string) string {
	d := NewDecoder(strings.NewReader(in))
	for {
		_, err := d.Next()
		if errors.Is(err, io.EOF) {
			return "accepted"
		}
		if err != nil {
			return fmt.Sprintf("error: %v", err)
		}
	}
}
