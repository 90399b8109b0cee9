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

func lineOf(add func(*Digest)) string {
	d := NewDigest()
	add(d)
	return d.Line("group")
}

func TestDigestFollowsValuesAndOrder(t *testing.T) {
	flags := map[string]bool{"x": true, "y": false}
	base := lineOf(func(d *Digest) { d.Add(1, "a", point{1, 2}, []int{3}, flags) })
	for name, add := range map[string]func(*Digest){
		"another ordinal":    func(d *Digest) { d.Add(2, "a", point{1, 2}, []int{3}, flags) },
		"another value":      func(d *Digest) { d.Add(1, "a", point{1, 3}, []int{3}, flags) },
		"fields in exchange": func(d *Digest) { d.Add(1, "a", point{2, 1}, []int{3}, flags) },
		"a longer list":      func(d *Digest) { d.Add(1, "a", point{1, 2}, []int{3, 0}, flags) },
		"another map entry": func(d *Digest) {
			d.Add(1, "a", point{1, 2}, []int{3}, map[string]bool{"x": true, "y": true})
		},
		"one more, empty one": func(d *Digest) {
			d.Add(1, "a", point{1, 2}, []int{3}, flags)
			d.Add(0)
		},
	} {
		if lineOf(add) == base {
			t.Errorf("%s leaves the digest as it is", name)
		}
	}
}

func TestDigestIgnoresNames(t *testing.T) {
	before := lineOf(func(d *Digest) { d.Add(1, point{1, 2}) })
	if after := lineOf(func(d *Digest) { d.Add(1, renamed{1, 2}) }); after != before {
		t.Errorf("a rename changes %s to %s", before, after)
	}
}

// failures keeps the messages of a check that fails.
type failures struct {
	testing.TB
	messages []string
}

func (f *failures) Errorf(format string, args ...any) {
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
		{"no last line end", "a\nb", "differing lines: 2; lines: 2, recorded: 3"},
		{"one more line end", "a\nb\n\n", "differing lines: 2; lines: 4, recorded: 3"},
		{"one more line", "a\nb\nc\n", "differing lines: 2; lines: 4, recorded: 3"},
		{"one line less", "a\n", "differing lines: 2; lines: 2, recorded: 3"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			found := &failures{TB: t}
			CheckText(found, file, tc.got)
			if (len(found.messages) == 0) != (tc.message == "") ||
				!strings.HasSuffix(strings.Join(found.messages, ""), tc.message) {
				t.Errorf("failures %q, want one that ends with %q", found.messages, tc.message)
			}
		})
	}
}
