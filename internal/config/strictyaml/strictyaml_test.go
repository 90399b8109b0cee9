package strictyaml

import (
	"errors"
	"testing"

	"github.com/goccy/go-yaml"

	"glenport/internal/testutil"
)

func TestErrorsAreTypedWithFileLineColumnAndKey(t *testing.T) {
	for _, tc := range []struct {
		name, text   string
		line, column int
		key          string
	}{
		{"value without its unit", "word: w\ninner: {choice: one}\nspan: 12\n", 3, 7, "span"},
		{"value not allowed", "word: w\ninner: {choice: three}\n", 2, 17, "inner.choice"},
		{"value in a list", "word: w\ninner: {choice: one}\nwords: [a, [b]]\n", 3, 12, "words[1]"},
		{"mapping in place of a value", "word: {a: 1}\n", 1, 7, "word"},
		{"unknown key", "word: w\nother: 5\n", 2, 1, "other"},
		{
			"unknown key in a list entry",
			"word: w\nlist:\n  - choice: a\n  - choice: b\n    other: 5\n", 5, 5, "list[1].other",
		},
		{"missing key", "inner: {choice: one}\n", 1, 1, "word"},
		{
			"missing key in a list entry",
			"word: w\ninner: {choice: one}\nlist: [{choice: a}, {}]\n", 3, 21, "list[1].choice",
		},
		{"duplicate key", "word: w\nword: v\n", 2, 1, ""},
		{"invalid YAML", "word: [\n", 1, 7, ""},
		{"empty", "", 0, 0, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			err := readAndCheck(tc.text)
			var located *Error
			testutil.Require(t, errors.As(err, &located), "got %T: %v", err, err)
			if want := (Position{tc.line, tc.column}); located.File != "f.yaml" || located.Position != want ||
				located.Key != tc.key {
				t.Errorf("got %s, %v, key %q; want f.yaml, %v, key %q (%v)",
					located.File, located.Position, located.Key, want, tc.key, err)
			}
		})
	}
}

func TestErrorOfTheYAMLPackageIsWrapped(t *testing.T) {
	var syntax *yaml.SyntaxError
	if err := readAndCheck("word: [\n"); !errors.As(err, &syntax) {
		t.Errorf("got %T: %v", err, err)
	}
}
