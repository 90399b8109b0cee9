package golden

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

type point struct{ X, Y int }

type renamed struct{ Left, Top int }

func digestLine(add func(*Digest)) string {
	d := NewDigest()
	add(d)
	return d.Line("group")
}

func TestDigestFollowsValuesAndOrder(t *testing.T) {
	flags := map[string]bool{"x": true, "y": false}
	base := digestLine(func(d *Digest) { d.Add(1, "a", point{1, 2}, []int{3}, flags) })
	for name, add := range map[string]func(*Digest){
		"another ordinal":  func(d *Digest) { d.Add(2, "a", point{1, 2}, []int{3}, flags) },
		"another value":    func(d *Digest) { d.Add(1, "a", point{1, 3}, []int{3}, flags) },
		"fields exchanged": func(d *Digest) { d.Add(1, "a", point{2, 1}, []int{3}, flags) },
		"a longer list":    func(d *Digest) { d.Add(1, "a", point{1, 2}, []int{3, 0}, flags) },
		"another map entry": func(d *Digest) {
			d.Add(1, "a", point{1, 2}, []int{3}, map[string]bool{"x": true, "y": true})
		},
		"another empty record": func(d *Digest) {
			d.Add(1, "a", point{1, 2}, []int{3}, flags)
			d.Add(0)
		},
	} {
		if digestLine(add) == base {
			t.Errorf("%s does not change the digest", name)
		}
	}
}

func TestDigestIgnoresNames(t *testing.T) {
	before := digestLine(func(d *Digest) { d.Add(1, point{1, 2}) })
	if after := digestLine(func(d *Digest) { d.Add(1, renamed{1, 2}) }); after != before {
		t.Errorf("a rename changes %s to %s", before, after)
	}
}

// failureRecorder records the failure messages of a check.
type failureRecorder struct {
	testing.TB
	messages []string
}

func (f *failureRecorder) Errorf(format string, args ...any) {
	f.messages = append(f.messages, fmt.Sprintf(format, args...))
}

func TestCheckTextSeesEachDifference(t *testing.T) {
	file := filepath.Join(t.TempDir(), "recorded.txt")
	if err := os.WriteFile(file, []byte("a\nb\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct{ name, got, message string }{
		{"no difference", "a\nb\n", ""},
		{"another line", "a\nc\n", "differing lines: 1; lines: 3, recorded: 3"},
		{"last line end missing", "a\nb", "differing lines: 2; lines: 2, recorded: 3"},
		{"additional line end", "a\nb\n\n", "differing lines: 2; lines: 4, recorded: 3"},
		{"additional line", "a\nb\nc\n", "differing lines: 2; lines: 4, recorded: 3"},
		{"missing line", "a\n", "differing lines: 2; lines: 2, recorded: 3"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			found := &failureRecorder{TB: t}
			CheckText(found, file, tc.got)
			if (len(found.messages) == 0) != (tc.message == "") ||
				!strings.HasSuffix(strings.Join(found.messages, ""), tc.message) {
				t.Errorf("failures %q, want one that ends in %q", found.messages, tc.message)
			}
		})
	}
}
