package golden

import "testing"

type point struct{ X, Y int }

type renamed struct{ Left, Top int }

func lineOf(add func(*Digest)) string {
	d := NewDigest()
	add(d)
	return d.Line("group")
}

func TestDigestFollowsValuesAndOrder(t *testing.T) {
	base := lineOf(func(d *Digest) { d.Add(1, "a", point{1, 2}, []int{3}, map[string]bool{"x": true, "y": false}) })
	for name, add := range map[string]func(*Digest){
		"another ordinal":    func(d *Digest) { d.Add(2, "a", point{1, 2}, []int{3}, map[string]bool{"x": true, "y": false}) },
		"another value":      func(d *Digest) { d.Add(1, "a", point{1, 3}, []int{3}, map[string]bool{"x": true, "y": false}) },
		"fields in exchange": func(d *Digest) { d.Add(1, "a", point{2, 1}, []int{3}, map[string]bool{"x": true, "y": false}) },
		"a longer list":      func(d *Digest) { d.Add(1, "a", point{1, 2}, []int{3, 0}, map[string]bool{"x": true, "y": false}) },
		"another map entry":  func(d *Digest) { d.Add(1, "a", point{1, 2}, []int{3}, map[string]bool{"x": true, "y": true}) },
		"one more, empty one": func(d *Digest) {
			d.Add(1, "a", point{1, 2}, []int{3}, map[string]bool{"x": true, "y": false})
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
